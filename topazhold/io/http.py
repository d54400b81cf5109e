"""HTTP/1.1 by h11 over curio sockets: a bounded server and pooled clients."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11
from curio import socket
from curio.network import tcp_server_socket

from topazhold.wire import messages as wire
from topazhold.wire.codec import pack

log = logging.getLogger(__name__)

HEADER_LIMIT = 16 * 1024
CHUNK = 64 * 1024


class Request:
    """A received request; `body` is bytes still to be decoded."""

    __slots__ = ("method", "path", "query", "body")

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.method = method
        self.path, _, self.query = target.partition("?")
        self.body = body


class Answer:
    """A response: a status, a CBOR body and perhaps `Retry-After`."""

    __slots__ = ("status", "body", "retry_after", "close")

    def __init__(
        self, status: int, body: Any = None, retry_after: float | None = None, close: bool = False
    ) -> None:
        self.status = status
        self.body = body
        self.retry_after = retry_after
        self.close = close

    def headers(self, length: int) -> list[tuple[str, str]]:
        fields = [("Content-Type", "application/cbor"), ("Content-Length", str(length))]
        if self.retry_after is not None:
            fields.append(("Retry-After", str(max(1, round(self.retry_after)))))
        if self.close:
            fields.append(("Connection", "close"))
        return fields


Handler = Callable[[Request], Awaitable[Answer]]


class Server:
    """Serves one address, with a bound on all connections and one on some.

    Connections whose first request `is_guest` names are guests: they may take
    `most_guests` at the most, so that others always find room.
    """

    def __init__(
        self,
        handler: Handler,
        most: int,
        idle_s: float,
        is_guest: Callable[[Request], bool] = lambda request: False,
        most_guests: int = 0,
    ) -> None:
        self._handler = handler
        self._most = most
        self._idle_s = idle_s
        self._is_guest = is_guest
        self._most_guests = most_guests
        self._open = 0
        self._guests = 0

    async def run(self, address: tuple[str, int]) -> None:
        """Accept connections until cancelled."""
        await listen(address, self._client, backlog=256)

    async def _client(self, sock: Any) -> None:
        if self._open >= self._most:
            return  # closing at once lets the load balancer or the worker move on
        self._open += 1
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._talk(sock)
        finally:
            self._open -= 1

    async def _talk(self, sock: Any) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT)
        guest = False
        try:
            while True:
                try:
                    request = await curio.timeout_after(self._idle_s, self._receive, sock, conn)
                except h11.RemoteProtocolError as exc:
                    await self._refuse(sock, conn, exc.error_status_hint or 400)
                    return
                if request is None:
                    return
                if isinstance(request, Request) and not guest and self._is_guest(request):
                    if self._guests >= self._most_guests:
                        request = Answer(503, retry_after=1.0, close=True)
                    else:
                        guest = True
                        self._guests += 1
                answer = request if isinstance(request, Answer) else await self._answer(request)
                if not await self._send(sock, conn, answer):
                    return
                conn.start_next_cycle()
        finally:
            self._guests -= guest

    async def _send(self, sock: Any, conn: h11.Connection, answer: Answer) -> bool:
        """Send an answer; whether the connection can go on."""
        body = b"" if answer.body is None else pack(answer.body)
        headers = answer.headers(len(body))
        out = conn.send(h11.Response(status_code=answer.status, headers=headers))
        out += conn.send(h11.Data(data=body)) + conn.send(h11.EndOfMessage())
        await sock.sendall(out)
        done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        return done and not answer.close

    async def _answer(self, request: Request) -> Answer:
        try:
            return await self._handler(request)
        except Exception:  # one bad request must not take the node down
            log.exception("request failed: %s %s", request.method, request.path)
            return Answer(500)

    async def _receive(self, sock: Any, conn: h11.Connection) -> Request | Answer | None:
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    await sock.sendall(conn.send(go_on))
                conn.receive_data(await sock.recv(CHUNK))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > wire.BODY_LIMIT:
                    return Answer(413, close=True)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                target = head.target.decode("latin-1")
                return Request(head.method.decode("ascii"), target, b"".join(parts))
            else:
                return None

    async def _refuse(self, sock: Any, conn: h11.Connection, status: int) -> None:
        if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        answer = Answer(status, close=True)
        out = conn.send(h11.Response(status_code=status, headers=answer.headers(0)))
        await sock.sendall(out + (conn.send(h11.EndOfMessage()) or b""))


async def listen(
    address: tuple[str, int], client: Callable[[Any], Awaitable[None]], backlog: int
) -> None:
    """Accept connections until cancelled; one failed accept is not the end."""
    server = tcp_server_socket(address[0], address[1], backlog=backlog)
    async with server:
        while True:
            try:
                sock, _ = await server.accept()
            except OSError as exc:
                log.debug("accept: %s", exc)
                await curio.sleep(0.05)
                continue
            await curio.spawn(_served, sock, client, daemon=True)


async def _served(sock: Any, client: Callable[[Any], Awaitable[None]]) -> None:
    async with sock:
        try:
            await client(sock)
        except (OSError, curio.TaskTimeout):
            pass


class NotSent(Exception):
    """The request did not leave this node."""


class NoAnswer(Exception):
    """The request was sent and may have been, or may yet be, carried out."""


class Client:
    """Keeps a few idle connections to one address."""

    def __init__(self, address: tuple[str, int], keep: int = 4, body_limit: int = 8 << 20) -> None:
        self._address = address
        self._host = f"{address[0]}:{address[1]}"
        self._keep = keep
        self._body_limit = body_limit
        self._idle: list[tuple[Any, h11.Connection]] = []

    async def ask(
        self, method: str, target: str, message: Any, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request; raises NotSent or NoAnswer, also when time runs out."""
        body = b"" if message is None else pack(message)
        fresh = not self._idle
        sock, conn = await self._take(timeout_s) if fresh else self._idle.pop()
        try:
            status, answer = await curio.timeout_after(
                timeout_s, self._exchange, sock, conn, method, target, body
            )
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as exc:
            await sock.close()
            raise NoAnswer(f"{method} {self._host}: {type(exc).__name__}") from None
        except BaseException:
            await sock.close()
            raise
        keep = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        if keep and len(self._idle) < self._keep:
            conn.start_next_cycle()
            self._idle.append((sock, conn))
        else:
            await sock.close()
        return status, answer

    async def close(self) -> None:
        """Drop the idle connections."""
        while self._idle:
            sock, _ = self._idle.pop()
            await sock.close()

    async def _take(self, timeout_s: float) -> tuple[Any, h11.Connection]:
        sock = await connect(self._address, timeout_s)
        return sock, h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT)

    async def _exchange(
        self, sock: Any, conn: h11.Connection, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        headers = [("Host", self._host), ("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "application/cbor"))
        out = conn.send(h11.Request(method=method, target=target, headers=headers))
        if body:
            out += conn.send(h11.Data(data=body))
        await sock.sendall(out + (conn.send(h11.EndOfMessage()) or b""))
        status = 0
        parts: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                data = await sock.recv(CHUNK)
                conn.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._body_limit:
                    raise OSError("answer too large")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b"".join(parts)
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("closed")


class Clients:
    """Clients of many addresses; those used longest ago are given up."""

    def __init__(self, dial: Callable[[tuple[str, int], int], Client], most: int) -> None:
        self._dial = dial
        self._most = most
        self._of: OrderedDict[tuple[str, int], Client] = OrderedDict()

    async def at(self, address: tuple[str, int], busy: int) -> Client:
        """The client of an address; `busy` of all are in use and come on top of the bound."""
        client = self._of.get(address)
        if client is None:
            client = self._of[address] = self._dial(address, 1)
        self._of.move_to_end(address)
        while len(self._of) > self._most + busy:
            _, oldest = self._of.popitem(last=False)
            await oldest.close()
        return client

    async def close(self) -> None:
        for client in self._of.values():
            await client.close()


async def connect(address: tuple[str, int], timeout_s: float) -> Any:
    """Open a TCP connection to a numeric address; raises NotSent."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await curio.timeout_after(timeout_s, sock.connect, address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except (OSError, curio.TaskTimeout) as exc:
        await sock.close()
        raise NotSent(f"{address[0]}:{address[1]}: {type(exc).__name__}") from None
    except BaseException:
        await sock.close()
        raise
    return sock
