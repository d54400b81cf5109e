"""Transport between controllers: length-prefixed CBOR arrays over TCP.

Each message is an array whose first item is its tag. Delivery is best-effort: safety never
depends on a message arriving.
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
#: Maximum size of an encoded message, in bytes.
MAX_MESSAGE_BYTES = 256 * 1024
#: Maximum number of messages queued for one controller.
MAX_QUEUED_MESSAGES = 32
#: Maximum number of connections waiting to be accepted.
BACKLOG = 16
#: Timeouts of connecting and of sending a message, in periods of the regular messages.
CONNECT_PERIODS = 2
SEND_PERIODS = 4

#: Handles a message from another controller.
MessageHandler = Callable[[tuple[Any, ...]], Awaitable[None]]


def encode_frame(message: tuple[Any, ...]) -> bytes:
    """Encode a message as a frame, the same for all peers; empty if the message is too large."""
    data = cbor2.dumps(message)
    if len(data) > MAX_MESSAGE_BYTES:
        # The receiver would close the connection and lose other messages on it.
        log.error("message %s of %d bytes is too large, not sent", message[0], len(data))
        return b""
    return _LENGTH.pack(len(data)) + data


async def receive_message(sock: Any) -> tuple[Any, ...] | None:
    """Receive the next message; None if the connection ends or the data is invalid.

    Raises:
        OSError: the connection failed.
    """
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
    """Receive exactly `size` bytes; None if the connection ends first."""
    data = bytearray()
    while len(data) < size:
        part = await sock.recv(size - len(data))
        if not part:
            return None
        data += part
    return bytes(data)


class PeerListener:
    """Receives messages from the other controllers.

    Connections that are idle for `idle_s` seconds are closed.
    """

    def __init__(self, handler: MessageHandler, idle_s: float) -> None:
        self._handler = handler
        self._idle_s = idle_s

    async def run(self, address: tuple[str, int]) -> None:
        """Accept connections until cancelled.

        Raises:
            OSError: the address can't be bound.
        """
        await listen(address, self._serve_connection, backlog=BACKLOG)

    async def _serve_connection(self, sock: Any) -> None:
        """Handle the messages of a connection until it ends; invalid ones are dropped."""
        while True:
            message = await curio.timeout_after(self._idle_s, receive_message, sock)
            if message is None:
                return
            try:
                await self._handler(message)
            except (ValueError, TypeError, IndexError, KeyError) as exc:
                log.debug("dropped invalid peer message: %s: %r", message[0], exc)


class PeerConnection:
    """Sends messages to one controller; a full queue drops its oldest message.

    `period_s` is the interval between regular messages, in seconds.
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
        """Keep the connection open and send queued frames until cancelled."""
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
                # As a context manager, a curio socket would stay in the kernel's selector.
                await sock.close()

    async def _send_queued(self, sock: Any) -> None:
        """Send queued frames until the connection fails.

        Raises:
            OSError: the connection failed.
            curio.TaskTimeout: a frame was not sent in time.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                frame = self._queue.pop(0)
                await curio.timeout_after(self._period_s * SEND_PERIODS, sock.sendall, frame)
