"""The other controllers, and a link to each."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from topazhold.io.peer_transport import PeerConnection, encode
from topazhold.settings import Seed, address

#: Seconds between two tries to connect to a peer.
RECONNECT_DELAY_S = 0.5


class Broadcast(Protocol):
    """Sends a message to every other controller; no one waits for its arrival."""

    async def __call__(self, message: tuple[Any, ...], /) -> None: ...


class PeerGroup:
    """Links to the other controllers by name.

    A link is only a shortcut: messages may be lost, and nothing here waits for a peer.
    """

    def __init__(self, seeds: Iterable[Seed]) -> None:
        self.connections = {
            seed.node_name: PeerConnection(address(seed.addr), RECONNECT_DELAY_S) for seed in seeds
        }

    @property
    def controller_count(self) -> int:
        """How many controllers there are, this one included."""
        return 1 + len(self.connections)

    def names(self) -> Iterable[str]:
        """The other controllers."""
        return self.connections

    def is_known(self, peer: str) -> bool:
        """Whether there is a link to a controller of this name."""
        return peer in self.connections

    async def send(self, peer: str, message: tuple[Any, ...]) -> None:
        """Send a message to one peer; dropped where there is no link to it."""
        connection = self.connections.get(peer)
        if connection is not None:
            await connection.send(encode(message))

    async def broadcast(self, message: tuple[Any, ...]) -> None:
        """Send a message, encoded once, to every peer."""
        frame = encode(message)
        for connection in self.connections.values():
            await connection.send(frame)
