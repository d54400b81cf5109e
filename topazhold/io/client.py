"""HTTP/1.1 clients with a small pool of idle connections, on h11 and curio."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import curio
import h11

from topazhold.io.http import CHUNK_BYTES, NoResponseError, connect
from topazhold.io.http_heads import MAX_HEAD_BYTES
from topazhold.wire.codec import pack

#: Maximum number of idle connections that are kept open to one address.
MAX_IDLE_CONNECTIONS = 4
#: Maximum size of a response's body, in bytes.
MAX_RESPONSE_BYTES = 8 << 20


class Client:
    """Sends requests to one address and reuses idle connections to it."""

    def __init__(
        self,
        address: tuple[str, int],
        max_idle: int = MAX_IDLE_CONNECTIONS,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._address = address
        self._host = f"{address[0]}:{address[1]}"
        self._max_idle = max_idle
        self._max_response_bytes = max_response_bytes
        self._idle: list[tuple[Any, h11.Connection]] = []

    async def request(
        self, method: str, target: str, message: Any, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request with a CBOR body; return the status and body of the response.

        `timeout_s` applies to opening a connection and to the exchange separately.

        Raises:
            RequestNotSentError: no connection could be opened in time.
            NoResponseError: the connection failed, or no response arrived in time.
        """
        body = b"" if message is None else pack(message)
        sock, conn = self._idle.pop() if self._idle else await self._open(timeout_s)
        try:
            status, response = await curio.timeout_after(
                timeout_s, self._exchange, sock, conn, method, target, body
            )
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as exc:
            await sock.close()
            raise NoResponseError(f"{method} {self._host}: {type(exc).__name__}") from None
        except BaseException:
            await sock.close()
            raise
        reusable = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        if reusable and len(self._idle) < self._max_idle:
            conn.start_next_cycle()
            self._idle.append((sock, conn))
        else:
            await sock.close()
        return status, response

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            sock, _ = self._idle.pop()
            await sock.close()

    async def _open(self, timeout_s: float) -> tuple[Any, h11.Connection]:
        sock = await connect(self._address, timeout_s)
        return sock, h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    async def _exchange(
        self, sock: Any, conn: h11.Connection, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        """Send a request and receive its response.

        Raises:
            OSError: the connection failed, or the response is too large.
            h11.ProtocolError: the response is not valid HTTP.
        """
        await sock.sendall(self._encode(conn, method, target, body))
        return await self._receive(sock, conn)

    def _encode(self, conn: h11.Connection, method: str, target: str, body: bytes) -> bytes:
        headers = [("Host", self._host), ("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "application/cbor"))
        out = conn.send(h11.Request(method=method, target=target, headers=headers))
        if body:
            out += conn.send(h11.Data(data=body))
        return out + (conn.send(h11.EndOfMessage()) or b"")

    async def _receive(self, sock: Any, conn: h11.Connection) -> tuple[int, bytes]:
        status = 0
        parts: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                data = await sock.recv(CHUNK_BYTES)
                conn.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._max_response_bytes:
                    raise OSError("response too large")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b"".join(parts)
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("connection closed")


class ClientPool:
    """A pool of clients for up to `limit` addresses; the least recently used are closed.

    `dial` creates a client for an address that keeps the given number of idle connections.
    """

    def __init__(self, dial: Callable[[tuple[str, int], int], Client], limit: int) -> None:
        self._dial = dial
        self._limit = limit
        self._by_address: OrderedDict[tuple[str, int], Client] = OrderedDict()

    async def client_for(self, address: tuple[str, int], busy: int) -> Client:
        """Return the client of an address; the `busy` clients in use are added to the limit."""
        client = self._by_address.get(address)
        if client is None:
            client = self._by_address[address] = self._dial(address, 1)
        self._by_address.move_to_end(address)
        while len(self._by_address) > self._limit + busy:
            _, oldest = self._by_address.popitem(last=False)
            await oldest.close()
        return client

    async def close(self) -> None:
        """Close the idle connections of all clients."""
        for client in self._by_address.values():
            await client.close()
