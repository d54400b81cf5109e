"""What HTTP servers and clients share: messages, errors, and how connections are made."""

from __future__ import annotations

import errno
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio import socket
from curio.network import tcp_server_socket

log = logging.getLogger(__name__)

#: Bytes that are received at once, at the most.
CHUNK_BYTES = 64 * 1024
#: Seconds before another try to bind an address that is in use.
BIND_RETRY_S = 0.2
#: Seconds before another try after a connection could not be accepted.
ACCEPT_RETRY_S = 0.05


class Request:
    """A received request: method, path, query without `?`, and the encoded body."""

    __slots__ = ("method", "path", "query", "body")

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.method = method
        self.path, _, self.query = target.partition("?")
        self.body = body


class Response:
    """A response: a status, a body to encode as CBOR, and perhaps `Retry-After` in seconds.

    `close`: the connection ends after it.
    """

    __slots__ = ("status", "body", "retry_after", "close")

    def __init__(
        self, status: int, body: Any = None, retry_after: float | None = None, close: bool = False
    ) -> None:
        self.status = status
        self.body = body
        self.retry_after = retry_after
        self.close = close

    @property
    def retry_after_s(self) -> int | None:
        """The value of the `Retry-After` header, in whole seconds and at least 1."""
        return None if self.retry_after is None else max(1, round(self.retry_after))


class TransportError(Exception):
    """A request came to no response."""


class RequestNotSentError(TransportError):
    """The request did not leave this node: it is not carried out."""


class NoResponseError(TransportError):
    """The request was sent and may have been, or may yet be, carried out."""


async def listen(
    address: tuple[str, int], serve: Callable[[Any], Awaitable[None]], backlog: int
) -> None:
    """Accept connections until cancelled, each served by a task of its own.

    One failed accept is not the end. Raises OSError if the address can't be bound for another
    reason than being in use.
    """
    server = await _bind(address, backlog)
    async with server:
        while True:
            try:
                sock, _ = await server.accept()
            except OSError as exc:
                log.debug("accept: %s", exc)
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            await curio.spawn(_serve_connection, sock, serve, daemon=True)


async def _bind(address: tuple[str, int], backlog: int) -> Any:
    """A listening socket, as soon as the address is free.

    Another process may hold it for a moment, as an outgoing connection's own address. That is
    no reason to end: the platform starts an ended controller again only after a pause.
    """
    while True:
        try:
            return tcp_server_socket(address[0], address[1], backlog=backlog)
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE:
                raise
            log.error("%s:%d is in use, tried again soon", *address)
            await curio.sleep(BIND_RETRY_S)


async def _serve_connection(sock: Any, serve: Callable[[Any], Awaitable[None]]) -> None:
    async with sock:
        try:
            await serve(sock)
        except (OSError, curio.TaskTimeout):
            pass


async def connect(address: tuple[str, int], timeout_s: float) -> Any:
    """Open a TCP connection to a numeric address within `timeout_s` seconds.

    Raises:
        RequestNotSentError: the connection was refused, or not open in time.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await curio.timeout_after(timeout_s, sock.connect, address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except (OSError, curio.TaskTimeout) as exc:
        await sock.close()
        raise RequestNotSentError(f"{address[0]}:{address[1]}: {type(exc).__name__}") from None
    except BaseException:
        await sock.close()
        raise
    return sock
