"""Random injection of faults of all kinds; faults may overlap."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import curio

from tests.simulation import controller_faults, machine_faults, network_faults, service_faults
from tests.simulation.fault import Fault

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

#: Ranges of the seconds between two faults and of the duration of a fault.
FAULT_INTERVAL_S = (2.0, 10.0)
FAULT_DURATION_S = (3.0, 20.0)

FaultFunction = Callable[["Simulation", Fault], Awaitable[None]]

#: The function that injects each kind of fault, by the kind's name in the lists of a run.
FAULTS: dict[str, FaultFunction] = {
    **controller_faults.FAULTS,
    **network_faults.FAULTS,
    **service_faults.FAULTS,
    **machine_faults.FAULTS,
}


class FaultInjector:
    """Draws faults at random and injects them."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation

    async def run(self, kinds: list[str]) -> None:
        """Inject random faults of the given kinds until cancelled."""
        rng = self._simulation.rng
        while True:
            await curio.sleep(rng.uniform(*FAULT_INTERVAL_S))
            await curio.spawn(self.inject, rng.choice(kinds), daemon=True)

    async def inject(self, kind: str) -> None:
        """Inject one fault. It ends when this returns, or by itself later."""
        simulation = self._simulation
        simulation.note(f"trouble: {kind}")
        duration_s = simulation.rng.uniform(*FAULT_DURATION_S)
        controller = simulation.rng.choice(simulation.controller_names)
        await FAULTS[kind](simulation, Fault(duration_s, controller))
