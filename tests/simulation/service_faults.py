"""Faults of the key-value store and the cloud, and unusual requests of users."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from tests.simulation.fault import Fault

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

#: Longest delay of a response of the slow key-value store.
MAX_STORE_DELAY_S = 0.4
#: Range of the seconds for which the leader alone is refused before everyone is.
REFUSAL_BEFORE_OUTAGE_S = (0.2, 2.0)
#: Length of that outage as a multiple of the time limit of a cancellation.
OUTAGE_CANCEL_FACTOR = 1.2
#: Share of the ending jobs that are cancelled at that moment.
CANCEL_AT_END_SHARE = 0.3


async def store_down(simulation: Simulation, fault: Fault) -> None:
    """Let the key-value store refuse all requests."""
    simulation.store.set_down(True)
    await curio.sleep(fault.duration_s)
    simulation.store.set_down(False)


async def store_refuses_controller(simulation: Simulation, fault: Fault) -> None:
    """Let the key-value store refuse one controller."""
    simulation.store.refused_controllers.add(fault.controller)
    await curio.sleep(fault.duration_s)
    simulation.store.refused_controllers.discard(fault.controller)


async def store_refuses_leader(simulation: Simulation, fault: Fault) -> None:
    """Let the key-value store refuse the leader."""
    simulation.store.refused_controllers |= set(simulation.leaders())
    await curio.sleep(fault.duration_s)
    simulation.store.refused_controllers.clear()


async def store_refuses_leader_then_all(simulation: Simulation, fault: Fault) -> None:
    """Let the key-value store refuse the leader, then everyone for longer than a cancellation."""
    refused = set(simulation.leaders())
    simulation.store.refused_controllers |= refused
    await curio.sleep(simulation.rng.uniform(*REFUSAL_BEFORE_OUTAGE_S))
    simulation.store.set_down(True)
    simulation.store.refused_controllers -= refused
    await curio.sleep(OUTAGE_CANCEL_FACTOR * simulation.settings.cluster.workers.cancel_s)
    simulation.store.set_down(False)


async def store_slow(simulation: Simulation, fault: Fault) -> None:
    """Let the key-value store respond slowly."""
    simulation.store.max_delay_s = MAX_STORE_DELAY_S
    await curio.sleep(fault.duration_s)
    simulation.store.max_delay_s = 0.0


async def cloud_down(simulation: Simulation, fault: Fault) -> None:
    """Let the cloud refuse all requests."""
    simulation.cloud.down = True
    await curio.sleep(fault.duration_s)
    simulation.cloud.down = False


async def unusual_requests(simulation: Simulation, fault: Fault) -> None:
    """Let users send repeated, invalid and impossible requests."""
    await simulation.users.send_unusual_requests(fault.duration_s)


async def cancel_ending_jobs(simulation: Simulation, fault: Fault) -> None:
    """Let users cancel jobs at the moment at which they end."""
    simulation.users.cancel_at_end_share = CANCEL_AT_END_SHARE
    await curio.sleep(fault.duration_s)
    simulation.users.cancel_at_end_share = 0.0


FAULTS = {
    "state_down": store_down,
    "state_refused": store_refuses_controller,
    "leader_refused": store_refuses_leader,
    "refused_then_down": store_refuses_leader_then_all,
    "state_slow": store_slow,
    "cloud_down": cloud_down,
    "odd_requests": unusual_requests,
    "cancel_at_end": cancel_ending_jobs,
}
