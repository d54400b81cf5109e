"""An HTTP/1.1 server with a limited number of connections, on h11 and curio."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import curio
import h11
from curio import socket

from topazhold.io.http import CHUNK_BYTES, Request, Response, listen
from topazhold.io.http_heads import (
    MAX_HEAD_BYTES,
    head_length,
    parse_request_head,
    render_response_head,
    response_event,
)
from topazhold.wire import messages as wire
from topazhold.wire.codec import pack

log = logging.getLogger(__name__)

#: Interval between two checks for idle connections, as a share of the idle timeout.
REAP_INTERVAL_SHARE = 0.125
#: Maximum number of connections waiting to be accepted.
BACKLOG = 256
#: `Retry-After` for a limited connection over the limit, in seconds.
LIMITED_RETRY_S = 1.0

#: Handles a request.
Handler = Callable[[Request], Awaitable[Response]]


class Connection:
    """One accepted connection: receives requests and sends responses.

    Plain requests are parsed with cached heads (`http_heads`). From the first request on that
    is not plain, or whose head does not arrive in one piece, an `h11.Connection` parses them.
    """

    def __init__(self, sock: Any, task: curio.Task, now: float) -> None:
        self._sock = sock
        self.task = task
        self.idle_since: float | None = now  # None while a request is handled
        self._received = bytearray()
        self._protocol: h11.Connection | None = None
        self._head_only = False  # the response to a HEAD request has no body

    async def receive(self) -> Request | Response | None:
        """Receive the next request.

        Returns the response to send if the request is refused, None at the end of the connection.

        Raises:
            h11.RemoteProtocolError: the data is not valid HTTP.
            OSError: the connection failed.
        """
        if self._protocol is None:
            request = await self._receive_plain()
            if request is not None:
                return request
            self._protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
            if self._received:
                self._protocol.receive_data(bytes(self._received))
                self._received.clear()
        else:
            self._protocol.start_next_cycle()
        return await self._receive_with_h11(self._protocol)

    async def _receive_plain(self) -> Request | None:
        """Receive the next request if it is plain; else None, and the received data is kept."""
        received = self._received
        if not received:
            received += await self._sock.recv(CHUNK_BYTES)
        end = head_length(received)
        head = parse_request_head(bytes(received[:end])) if end else None
        if head is None or head.length > wire.MAX_REQUEST_BODY_BYTES:
            return None
        request_end = end + head.length
        while len(received) < request_end:
            part = await self._sock.recv(CHUNK_BYTES)
            if not part:
                return None
            received += part
        body = bytes(received[end:request_end])
        del received[:request_end]
        return Request(head.method, head.target, body)

    async def _receive_with_h11(self, protocol: h11.Connection) -> Request | Response | None:
        """Receive as `receive` does, but with h11."""
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                if protocol.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=HTTPStatus.CONTINUE, headers=[]
                    )
                    await self._sock.sendall(protocol.send(continue_response))
                protocol.receive_data(await self._sock.recv(CHUNK_BYTES))
            elif isinstance(event, h11.Request):
                head = event
                self._head_only = event.method == b"HEAD"
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > wire.MAX_REQUEST_BODY_BYTES:
                    return Response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, close=True)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                target = head.target.decode("latin-1")
                return Request(head.method.decode("ascii"), target, b"".join(parts))
            else:
                return None

    async def send(self, response: Response) -> bool:
        """Send a response; return whether the connection can be reused.

        Raises:
            OSError: the connection failed.
        """
        body = b"" if response.body is None else pack(response.body)
        protocol = self._protocol
        if protocol is None:
            head = render_response_head(
                response.status, len(body), response.retry_after_s, response.close
            )
            await self._sock.sendall(head + body)
            return not response.close
        event = response_event(response.status, len(body), response.retry_after_s, response.close)
        out = protocol.send(event) or b""
        if not self._head_only:
            out += protocol.send(h11.Data(data=body)) or b""
        out += protocol.send(h11.EndOfMessage()) or b""
        await self._sock.sendall(out)
        done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        return done and not response.close

    async def refuse(self, status: int) -> None:
        """Respond to data that is not HTTP, if a response can still be sent."""
        protocol = self._protocol
        if protocol is not None and protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self.send(Response(status, close=True))


class Server:
    """Serves one address with up to `limit` connections, of which `max_limited` are limited ones.

    A connection becomes limited with its first request for which `is_limited` is true. The
    separate limit leaves room for other connections. Connections that are idle for `idle_s`
    seconds are closed.
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
        self._limit = limit
        self._idle_s = idle_s
        self._is_limited = is_limited
        self._max_limited = max_limited
        self._connections: set[Connection] = set()
        self._limited_connections = 0

    async def run(self, address: tuple[str, int]) -> None:
        """Accept connections until cancelled.

        Raises:
            OSError: the address can't be bound.
        """
        reaper = await curio.spawn(self._reap, daemon=True)
        try:
            await listen(address, self._serve, backlog=BACKLOG)
        finally:
            await reaper.cancel()

    async def _reap(self) -> None:
        """Close connections that have been idle for too long.

        One task for all connections is cheaper than a timeout around each request.
        """
        while True:
            await curio.sleep(REAP_INTERVAL_SHARE * self._idle_s)
            now = time.monotonic()
            for connection in list(self._connections):
                idle_since = connection.idle_since
                if idle_since is not None and now - idle_since > self._idle_s:
                    await connection.task.cancel(blocking=False)

    async def _serve(self, sock: Any) -> None:
        """Serve an accepted connection unless the connection limit is reached."""
        if len(self._connections) >= self._limit:
            return  # closed at once, so that the load balancer or worker tries another controller
        connection = Connection(sock, await curio.current_task(), time.monotonic())
        self._connections.add(connection)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._serve_requests(connection)
        finally:
            self._connections.discard(connection)

    async def _serve_requests(self, connection: Connection) -> None:
        """Handle the requests of a connection one after another until it ends."""
        limited = False
        try:
            while True:
                connection.idle_since = time.monotonic()
                try:
                    request = await connection.receive()
                except h11.RemoteProtocolError as exc:
                    await connection.refuse(exc.error_status_hint or HTTPStatus.BAD_REQUEST)
                    return
                connection.idle_since = None
                if request is None:
                    return
                if isinstance(request, Request) and not limited and self._is_limited(request):
                    if self._limited_connections >= self._max_limited:
                        request = Response(
                            HTTPStatus.SERVICE_UNAVAILABLE, retry_after=LIMITED_RETRY_S, close=True
                        )
                    else:
                        limited = True
                        self._limited_connections += 1
                response = request if isinstance(request, Response) else await self._handle(request)
                if not await connection.send(response):
                    return
        finally:
            self._limited_connections -= limited

    async def _handle(self, request: Request) -> Response:
        """Handle a request; an exception of the handler becomes an internal server error."""
        try:
            return await self._handler(request)
        except Exception:  # a failing request must not stop the controller
            log.exception("request failed: %s %s", request.method, request.path)
            return Response(HTTPStatus.INTERNAL_SERVER_ERROR)
