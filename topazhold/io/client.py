"""HTTP clients that keep a few connections open, on h11 and curio."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import curio
import h11

from topazhold.io.http import CHUNK, NoResponseError, connect
from topazhold.io.http_heads import HEAD_LIMIT
from topazhold.wire.codec import pack


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
            raise NoResponseError(f"{method} {self._host}: {type(exc).__name__}") from None
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
        return sock, h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT)

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

    def __init__(self, dial: Callable[[tuple[str, int], int], Client], limit: int) -> None:
        self._dial = dial
        self._max = limit
        self._of: OrderedDict[tuple[str, int], Client] = OrderedDict()

    async def at(self, address: tuple[str, int], busy: int) -> Client:
        """The client of an address; `busy` of all are in use and come on top of the bound."""
        client = self._of.get(address)
        if client is None:
            client = self._of[address] = self._dial(address, 1)
        self._of.move_to_end(address)
        while len(self._of) > self._max + busy:
            _, oldest = self._of.popitem(last=False)
            await oldest.close()
        return client

    async def close(self) -> None:
        for client in self._of.values():
            await client.close()
