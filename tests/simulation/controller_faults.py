"""Faults of controllers: crashes, pauses and overload."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from tests.simulation.fault import Fault

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

#: Seconds until a controller is up again after a quick restart; one of these is drawn.
QUICK_RESTART_DELAYS_S = [0.02, 0.1, 0.3]
#: Seconds between the restarts of two controllers.
ROLLING_RESTART_PAUSE_S = 2.0
#: Newly elected leaders that crash one after another, and the range of the pauses between.
ELECTION_CRASHES = 3
ELECTION_CRASH_PAUSE_S = (0.0, 2.0)
#: Range of the time that an overloaded controller spends on each message.
MESSAGE_COST_S = (0.03, 0.08)


async def crash(simulation: Simulation, fault: Fault) -> None:
    """Crash and restart one controller."""
    await simulation.restart_controllers([fault.controller])


async def crash_all(simulation: Simulation, fault: Fault) -> None:
    """Crash and restart all controllers at once."""
    await simulation.restart_controllers(list(simulation.controllers))


async def rolling_restart(simulation: Simulation, fault: Fault) -> None:
    """Restart all controllers one after another."""
    for name in simulation.controller_names:
        await simulation.restart_controllers([name])
        await curio.sleep(ROLLING_RESTART_PAUSE_S)


async def crash_leader(simulation: Simulation, fault: Fault) -> None:
    """Crash and restart the leader."""
    await simulation.restart_controllers(simulation.leaders())


async def crash_during_election(simulation: Simulation, fault: Fault) -> None:
    """Crash newly elected leaders repeatedly, each with a quick restart."""
    for _ in range(ELECTION_CRASHES):
        await simulation.restart_controllers(simulation.leaders(), QUICK_RESTART_DELAYS_S)
        await curio.sleep(simulation.rng.uniform(*ELECTION_CRASH_PAUSE_S))


async def pause_controller(simulation: Simulation, fault: Fault) -> None:
    """Pause one controller; its clocks keep running."""
    simulation.paused_until[fault.controller] = simulation.clock.now + fault.duration_s


async def pause_leader(simulation: Simulation, fault: Fault) -> None:
    """Pause the leader, or the drawn controller if there is no leader."""
    name = next(iter(simulation.leaders()), fault.controller)
    simulation.paused_until[name] = simulation.clock.now + fault.duration_s


async def overload_controllers(simulation: Simulation, fault: Fault) -> None:
    """Make each message cost processing time: the leader falls behind, other controllers less."""
    simulation.message_cost_s = simulation.rng.uniform(*MESSAGE_COST_S)
    await curio.sleep(2 * fault.duration_s)
    simulation.message_cost_s = 0.0


FAULTS = {
    "crash": crash,
    "crash_all": crash_all,
    "roll": rolling_restart,
    "crash_leader": crash_leader,
    "crash_election": crash_during_election,
    "freeze": pause_controller,
    "freeze_leader": pause_leader,
    "slow": overload_controllers,
}
