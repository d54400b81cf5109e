"""Random days: simulations whose jobs and faults are drawn from a seed."""

from __future__ import annotations

from typing import Any

from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.simulation.deployment import Simulation
from topazhold.settings import LaterLimits

#: Kinds of faults, by the component they affect; a kind listed twice is drawn twice as often.
#: The names are those of `tests.simulation.faults.FAULTS`.
CONTROLLERS = ["crash", "crash", "crash_leader", "crash_all", "roll", "crash_election"]
NETWORK = [
    "zones_cut",
    "node_cut",
    "node_off_state",
    "machine_cut",
    "leader_off_zone",
    "loss",
    "node_off_all_but_workers",
    "leader_off_all_but_workers",
    "late_copies",
]
OUTSIDE = ["state_down", "state_refused", "leader_refused", "cloud_down"]
MACHINES = ["hang", "hang", "notice", "taken", "sick", "deaf", "deaf_zone", "blink"]
MANY = ["mass_hang", "mass_die", "freeze", "freeze_leader", "peers_refuse", "state_slow"]
ALL = CONTROLLERS + NETWORK + OUTSIDE + MACHINES


def play(  # noqa: PLR0913 - a day has many settings, passed by keyword
    seed: int,
    kinds: list[str],
    monkeypatch: Any,
    jobs: int = 30,
    trouble_s: float = 60.0,
    calm_s: float = 400.0,
    capacity: int = 9,
    limit: float = 1.0,
    services: float = 0.0,
    later: LaterLimits | None = None,
) -> Simulation:
    """Run a day with faults of these kinds; the caller checks the result.

    `limit` multiplies the teams' quotas. `services` is the share of jobs that are services.
    With `later`, the day starts on the production version and upgrades to the current one.
    """
    simulations: list[Simulation] = []

    async def main(clock: VirtualTime) -> None:
        simulation = Simulation(clock, seed, capacity)
        for settings in simulation.controller_settings.values():
            for team in settings.cluster.teams:
                team.gpus *= limit
                team.gpus_max *= limit
        simulations.append(simulation)
        simulation.users.service_share = services
        await simulation.run_day(jobs, trouble_s, calm_s, kinds, later)

    run_virtual(main, monkeypatch)
    return simulations[0]
