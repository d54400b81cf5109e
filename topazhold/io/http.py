"""Messages, errors and connection setup shared by HTTP servers and clients."""

from __future__ import annotations

import errno
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio import socket
from curio.network import tcp_server_socket

log = logging.getLogger(__name__)

#: Maximum number of bytes received at once.
CHUNK_BYTES = 64 * 1024
#: Delay before retrying to bind an address that is in use, in seconds.
BIND_RETRY_S = 0.2
#: Delay after a failed accept, in seconds.
ACCEPT_RETRY_S = 0.05


class Request:
    """A received request: method, path, query (without `?`) and encoded body."""

    __slots__ = ("method", "path", "query", "body")

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.method = method
        self.path, _, self.query = target.partition("?")
        self.body = body


class Response:
    """A response: a status, a body to encode as CBOR, and an optional `Retry-After` in seconds.

    If `close` is true, the connection is closed after the response.
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
        """The value of the `Retry-After` header: whole seconds, at least 1."""
        return None if self.retry_after is None else max(1, round(self.retry_after))


class TransportError(Exception):
    """A request received no response."""


class RequestNotSentError(TransportError):
    """The request was not sent, and so has not been executed."""


class NoResponseError(TransportError):
    """The request was sent; it may have been executed, or may still be."""


async def listen(
    address: tuple[str, int], serve: Callable[[Any], Awaitable[None]], backlog: int
) -> None:
    """Accept connections until cancelled, and serve each in its own task.

    A failed accept is retried.

    Raises:
        OSError: the address can't be bound for another reason than being in use.
    """
    server = await _bind(address, backlog)
    async with server:
        while True:
            try:
                sock, _ = await server.accept()
            except OSError as exc:
                log.debug("accept failed, retrying: %s", exc)
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            await curio.spawn(_serve_connection, sock, serve, daemon=True)


async def _bind(address: tuple[str, int], backlog: int) -> Any:
    """Return a listening socket, waiting until the address is free.

    Another process may hold the address briefly as the local end of an outgoing connection.
    The controller does not exit for that, since the platform restarts it only after a pause.
    """
    while True:
        try:
            return tcp_server_socket(address[0], address[1], backlog=backlog)
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE:
                raise
            log.error("%s:%d is in use, retrying", *address)
            await curio.sleep(BIND_RETRY_S)


async def _serve_connection(sock: Any, serve: Callable[[Any], Awaitable[None]]) -> None:
    """Serve a connection and close it; a failed or timed out connection is ignored."""
    async with sock:
        try:
            await serve(sock)
        except (OSError, curio.TaskTimeout):
            pass


async def connect(address: tuple[str, int], timeout_s: float) -> Any:
    """Open a TCP connection to a numeric address within `timeout_s` seconds.

    Raises:
        RequestNotSentError: the connection failed, or was not open in time.
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
