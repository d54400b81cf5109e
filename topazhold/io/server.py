"""A bounded HTTP/1.1 server on h11 and curio."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11
from curio import socket

from topazhold.io.http import CHUNK, Request, Response, listen
from topazhold.io.http_heads import (
    HEAD_LIMIT,
    answer_event,
    parse_request_head,
    render_answer_head,
    split_head,
)
from topazhold.wire import messages as wire
from topazhold.wire.codec import pack

log = logging.getLogger(__name__)

#: How often idle connections are looked for, as a share of the time that they may be idle.
REAP_SHARE = 0.125

Handler = Callable[[Request], Awaitable[Response]]


class Connection:
    """One accepted connection: receives requests and sends their answers.

    Plain requests are read by remembered heads (`heads`). From the first request that is
    not plain, or whose head does not arrive in one piece, the connection is h11's.
    """

    def __init__(self, sock: Any, task: curio.Task, now: float) -> None:
        self._sock = sock
        self.task = task
        self.waits_since: float | None = now  # for a request; None while one is answered
        self._received = bytearray()
        self._protocol: h11.Connection | None = None
        self._head_only = False  # the answer to a HEAD request has no body

    async def receive(self) -> Request | Response | None:
        """The next request, the answer to one that is refused, or None at the end.

        Raises `h11.RemoteProtocolError` if what arrives is not HTTP.
        """
        if self._protocol is None:
            request = await self._receive_plain()
            if request is not None:
                return request
            self._protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT)
            if self._received:
                self._protocol.receive_data(bytes(self._received))
                self._received.clear()
        else:
            self._protocol.start_next_cycle()
        return await self._receive_any(self._protocol)

    async def _receive_plain(self) -> Request | None:
        """The next request if it is plain; else None, and what was received is kept."""
        received = self._received
        if not received:
            received += await self._sock.recv(CHUNK)
        end = split_head(received)
        head = parse_request_head(bytes(received[:end])) if end else None
        if head is None or head.length > wire.BODY_LIMIT:
            return None
        whole = end + head.length
        while len(received) < whole:
            part = await self._sock.recv(CHUNK)
            if not part:
                return None
            received += part
        body = bytes(received[end:whole])
        del received[:whole]
        return Request(head.method, head.target, body)

    async def _receive_any(self, protocol: h11.Connection) -> Request | Response | None:
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                if protocol.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    await self._sock.sendall(protocol.send(go_on))
                protocol.receive_data(await self._sock.recv(CHUNK))
            elif isinstance(event, h11.Request):
                head = event
                self._head_only = event.method == b"HEAD"
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > wire.BODY_LIMIT:
                    return Response(413, close=True)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                target = head.target.decode("latin-1")
                return Request(head.method.decode("ascii"), target, b"".join(parts))
            else:
                return None

    async def send(self, answer: Response) -> bool:
        """Send an answer; whether the connection can go on."""
        body = b"" if answer.body is None else pack(answer.body)
        protocol = self._protocol
        if protocol is None:
            head = render_answer_head(answer.status, len(body), answer.retry_after_s, answer.close)
            await self._sock.sendall(head + body)
            return not answer.close
        event = answer_event(answer.status, len(body), answer.retry_after_s, answer.close)
        out = protocol.send(event) or b""
        if not self._head_only:
            out += protocol.send(h11.Data(data=body)) or b""
        out += protocol.send(h11.EndOfMessage()) or b""
        await self._sock.sendall(out)
        done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        return done and not answer.close

    async def refuse(self, status: int) -> None:
        """Answer what is not HTTP, if an answer can still be sent."""
        protocol = self._protocol
        if protocol is not None and protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self.send(Response(status, close=True))


class Server:
    """Serves one address, with a bound on all connections and one on some.

    Connections whose first request `is_limited` names are guests: they may take
    `max_limited` at the most, so that others always find room.
    """

    def __init__(
        self,
        handler: Handler,
        limit: int,
        idle_s: float,
        is_limited: Callable[[Request], bool] = lambda request: False,
        max_limited: int = 0,
    ) -> None:
        self._handler = handler
        self._max = limit
        self._idle_s = idle_s
        self._is_limited = is_limited
        self._max_limited = max_limited
        self._open: set[Connection] = set()
        self._limited_connections = 0

    async def run(self, address: tuple[str, int]) -> None:
        """Accept connections until cancelled."""
        reaper = await curio.spawn(self._reap, daemon=True)
        try:
            await listen(address, self._serve, backlog=256)
        finally:
            await reaper.cancel()

    async def _reap(self) -> None:
        """End connections that have been idle for too long.

        One task for all: a time limit around each request cost a fifth of the request.
        """
        while True:
            await curio.sleep(REAP_SHARE * self._idle_s)
            now = time.monotonic()
            for connection in list(self._open):
                since = connection.waits_since
                if since is not None and now - since > self._idle_s:
                    await connection.task.cancel(blocking=False)

    async def _serve(self, sock: Any) -> None:
        if len(self._open) >= self._max:
            return  # closing at once lets the load balancer or the worker move on
        connection = Connection(sock, await curio.current_task(), time.monotonic())
        self._open.add(connection)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._talk(connection)
        finally:
            self._open.discard(connection)

    async def _talk(self, connection: Connection) -> None:
        limited = False
        try:
            while True:
                connection.waits_since = time.monotonic()
                try:
                    request = await connection.receive()
                except h11.RemoteProtocolError as exc:
                    await connection.refuse(exc.error_status_hint or 400)
                    return
                connection.waits_since = None
                if request is None:
                    return
                if isinstance(request, Request) and not limited and self._is_limited(request):
                    if self._limited_connections >= self._max_limited:
                        request = Response(503, retry_after=1.0, close=True)
                    else:
                        limited = True
                        self._limited_connections += 1
                answer = request if isinstance(request, Response) else await self._answer(request)
                if not await connection.send(answer):
                    return
        finally:
            self._limited_connections -= limited

    async def _answer(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except Exception:  # one bad request must not take the node down
            log.exception("request failed: %s %s", request.method, request.path)
            return Response(500)
