"""Simulated links between controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from tests.fakes.network import MAX_DELAY_S, MIN_DELAY_S
from tests.versions import deliver_peer_message
from topazhold.wire.codec import unpack

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

#: Most recent messages between controllers that are recorded per tag.
MAX_RECORDED_MESSAGES = 200
#: Bytes of the length field in front of a frame's body.
FRAME_LENGTH_BYTES = 4


class PeerLink:
    """Carries messages from one controller to another."""

    def __init__(self, simulation: Simulation, source: str, target: str) -> None:
        self._simulation = simulation
        self._source = source
        self._target = target

    async def send(self, frame: bytes) -> None:
        """Deliver a message after the network's latency, unless it is lost or cut off."""
        await curio.spawn(self._deliver, frame, daemon=True)

    async def _deliver(self, frame: bytes) -> None:
        network = self._simulation.network
        await curio.sleep(network.rng.uniform(MIN_DELAY_S, MAX_DELAY_S))
        await self._simulation.wait_while_paused(self._source)
        await self._simulation.wait_while_paused(self._target)
        controller = self._simulation.controllers.get(self._target)
        unreachable = self._simulation.peers_unreachable or network.is_cut(
            self._source, self._target
        )
        unreachable = unreachable or network.is_cut_one_way(self._source, self._target)
        if controller is None or unreachable or network.rng.random() < network.loss_share:
            return
        message = tuple(unpack(frame[FRAME_LENGTH_BYTES:]))
        self._simulation.peer_messages.setdefault(message[0], []).append(message)
        del self._simulation.peer_messages[message[0]][:-MAX_RECORDED_MESSAGES]
        try:
            await deliver_peer_message(controller, message)
        except (ValueError, TypeError, IndexError, KeyError) as exc:
            # The real listener drops such a message; no version may send one to another.
            self._simulation.record_violation(
                "peer_message", f"{message[0]} at {self._target}: {exc!r}"
            )
