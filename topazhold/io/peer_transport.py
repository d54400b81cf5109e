"""Links between controllers: length-prefixed CBOR arrays over TCP.

Every message is an array whose first member is its tag. A link is only a
shortcut: nothing that the rules need depends on a message arriving.
"""

from __future__ import annotations

import logging
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
import curio

from topazhold.io.http import RequestNotSentError, connect, listen

log = logging.getLogger(__name__)

_LENGTH = struct.Struct("!I")
FRAME_LIMIT = 256 * 1024
QUEUE_LIMIT = 32

Receiver = Callable[[tuple[Any, ...]], Awaitable[None]]


def encode(message: tuple[Any, ...]) -> bytes:
    """One message as it goes out; encoded once for all peers."""
    data = cbor2.dumps(message)
    if len(data) > FRAME_LIMIT:
        # The receiver would end the link; a summary that is missed is sent anew.
        log.error("message %s of %d bytes is not sent", message[0], len(data))
        return b""
    return _LENGTH.pack(len(data)) + data


async def receive(sock: Any) -> tuple[Any, ...] | None:
    """The next message, or None when the link ends or carries no message."""
    head = await _exactly(sock, _LENGTH.size)
    if head is None:
        return None
    (length,) = _LENGTH.unpack(head)
    if length > FRAME_LIMIT:
        return None
    body = await _exactly(sock, length)
    if body is None:
        return None
    try:
        message = cbor2.loads(body)
    except Exception:  # a peer of another version may send anything
        return None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        return None
    return tuple(message)


async def _exactly(sock: Any, size: int) -> bytes | None:
    data = bytearray()
    while len(data) < size:
        part = await sock.recv(size - len(data))
        if not part:
            return None
        data += part
    return bytes(data)


class PeerListener:
    """Receives the other controllers' messages."""

    def __init__(self, receiver: Receiver, idle_s: float) -> None:
        self._receiver = receiver
        self._idle_s = idle_s

    async def run(self, address: tuple[str, int]) -> None:
        await listen(address, self._client, backlog=16)

    async def _client(self, sock: Any) -> None:
        while True:
            message = await curio.timeout_after(self._idle_s, receive, sock)
            if message is None:
                return
            try:
                await self._receiver(message)
            except (ValueError, TypeError, IndexError, KeyError) as exc:
                log.debug("peer message dropped: %s: %r", message[0], exc)


class PeerConnection:
    """Sends to one other controller; the oldest message gives way when it lags."""

    def __init__(self, address: tuple[str, int], period_s: float) -> None:
        self._address = address
        self._period_s = period_s
        self._waiting: list[bytes] = []
        self._wake = curio.Event()

    async def send(self, frame: bytes) -> None:
        """Send an encoded message soon."""
        if len(self._waiting) >= QUEUE_LIMIT:
            self._waiting.pop(0)
        self._waiting.append(frame)
        await self._wake.set()

    async def run(self) -> None:
        """Keep the link up until cancelled."""
        while True:
            try:
                sock = await connect(self._address, self._period_s * 2)
            except RequestNotSentError:
                self._waiting.clear()
                await curio.sleep(self._period_s)
                continue
            try:
                while True:
                    await self._wake.wait()
                    self._wake.clear()
                    while self._waiting:
                        frame = self._waiting.pop(0)
                        await curio.timeout_after(self._period_s * 4, sock.sendall, frame)
            except (OSError, curio.TaskTimeout):
                pass
            finally:
                await sock.close()
