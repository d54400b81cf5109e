"""Transport between controllers: length-prefixed CBOR arrays over TCP.

Every message is an array whose first member is its tag. Delivery is best-effort: no safety
rule depends on a message arriving.
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
#: Bytes of an encoded message, at the most.
MAX_MESSAGE_BYTES = 256 * 1024
#: Messages that wait to be sent to one controller, at the most.
MAX_QUEUED_MESSAGES = 32
#: Connections that wait to be accepted, at the most.
BACKLOG = 16
#: Time limits to connect and to send a message, in periods of the messages.
CONNECT_PERIODS = 2
SEND_PERIODS = 4

#: Handles a message of another controller.
MessageHandler = Callable[[tuple[Any, ...]], Awaitable[None]]


def encode_frame(message: tuple[Any, ...]) -> bytes:
    """The frame of a message, the same for all peers; empty if it is over the limit."""
    data = cbor2.dumps(message)
    if len(data) > MAX_MESSAGE_BYTES:
        # The receiver would close the connection, and lose other messages with it.
        log.error("message %s of %d bytes is not sent", message[0], len(data))
        return b""
    return _LENGTH.pack(len(data)) + data


async def receive_message(sock: Any) -> tuple[Any, ...] | None:
    """The next message; None if the connection ends or carries no message. Raises OSError."""
    head = await _receive_exactly(sock, _LENGTH.size)
    if head is None:
        return None
    (length,) = _LENGTH.unpack(head)
    if length > MAX_MESSAGE_BYTES:
        return None
    body = await _receive_exactly(sock, length)
    if body is None:
        return None
    try:
        message = cbor2.loads(body)
    except Exception:  # noqa: BLE001 - a peer of another version may send anything
        return None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        return None
    return tuple(message)


async def _receive_exactly(sock: Any, size: int) -> bytes | None:
    """So many bytes; None if the connection ends before."""
    data = bytearray()
    while len(data) < size:
        part = await sock.recv(size - len(data))
        if not part:
            return None
        data += part
    return bytes(data)


class PeerListener:
    """Receives the other controllers' messages.

    A connection that is idle for `idle_s` seconds is closed.
    """

    def __init__(self, handler: MessageHandler, idle_s: float) -> None:
        self._handler = handler
        self._idle_s = idle_s

    async def run(self, address: tuple[str, int]) -> None:
        """Accept connections until cancelled; raises OSError if the address can't be bound."""
        await listen(address, self._serve_connection, backlog=BACKLOG)

    async def _serve_connection(self, sock: Any) -> None:
        while True:
            message = await curio.timeout_after(self._idle_s, receive_message, sock)
            if message is None:
                return
            try:
                await self._handler(message)
            except (ValueError, TypeError, IndexError, KeyError) as exc:
                log.debug("peer message dropped: %s: %r", message[0], exc)


class PeerConnection:
    """Sends to one other controller; the oldest message is dropped when the queue is full.

    `period_s` is the interval of regular messages in seconds.
    """

    def __init__(self, address: tuple[str, int], period_s: float) -> None:
        self._address = address
        self._period_s = period_s
        self._queue: list[bytes] = []
        self._wake = curio.Event()

    async def send(self, frame: bytes) -> None:
        """Queue a frame for sending."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._queue.pop(0)
        self._queue.append(frame)
        await self._wake.set()

    async def run(self) -> None:
        """Keep the connection open, and send what is queued, until cancelled."""
        while True:
            try:
                sock = await connect(self._address, self._period_s * CONNECT_PERIODS)
            except RequestNotSentError:
                self._queue.clear()
                await curio.sleep(self._period_s)
                continue
            try:
                await self._send_queued(sock)
            except (OSError, curio.TaskTimeout):
                pass
            finally:
                # A curio socket as a context manager is not taken out of the kernel's selector.
                await sock.close()

    async def _send_queued(self, sock: Any) -> None:
        """Send queued frames until the connection fails: OSError or curio.TaskTimeout."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                frame = self._queue.pop(0)
                await curio.timeout_after(self._period_s * SEND_PERIODS, sock.sendall, frame)
