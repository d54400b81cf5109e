"""Connections to the other controllers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from topazhold.io.peer_transport import PeerConnection, encode_frame
from topazhold.settings import Seed, parse_address

#: Seconds between two attempts to connect to a peer.
RECONNECT_DELAY_S = 0.5


class Broadcast(Protocol):
    """Sends a message to every other controller without waiting for its delivery."""

    async def __call__(self, message: tuple[Any, ...], /) -> None: ...


class PeerGroup:
    """Connections to the other controllers, by name.

    Messages are best-effort: they may be lost, and sending never waits for a peer.
    """

    def __init__(self, seeds: Iterable[Seed]) -> None:
        self.connections = {
            seed.node_name: PeerConnection(parse_address(seed.addr), RECONNECT_DELAY_S)
            for seed in seeds
        }

    @property
    def controller_count(self) -> int:
        """The number of controllers, including this one."""
        return 1 + len(self.connections)

    def names(self) -> Iterable[str]:
        """Return the names of the other controllers."""
        return self.connections

    def is_known(self, peer: str) -> bool:
        """Return whether there is a connection to a controller of this name."""
        return peer in self.connections

    async def send(self, peer: str, message: tuple[Any, ...]) -> None:
        """Send a message to one peer; dropped if the peer is unknown."""
        connection = self.connections.get(peer)
        if connection is not None:
            await connection.send(encode_frame(message))

    async def broadcast(self, message: tuple[Any, ...]) -> None:
        """Send a message to every peer; it is encoded once."""
        frame = encode_frame(message)
        for connection in self.connections.values():
            await connection.send(frame)
