"""Seeded cuts of a zone with cancellations, an outage of the cloud and one more fault each.

The long run is started by hand: `python -m tests.test_zone_cut_days FIRST COUNT` plays COUNT seeds
from FIRST on in four processes and prints those that break a rule.
"""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from multiprocessing import Pool
from random import Random

import curio
import pytest

from tests.scenarios import SITES, Scenario, assert_no_violations, run_scenario
from tests.test_zone_cuts import (
    DOUBLE_ZONE,
    SINGLE_ZONE,
    controllers_in,
    controllers_outside,
    isolate_zone,
    start_work,
)

#: Seeds of the short run; the last one broke a rule in a long run.
SHORT_RUN_SEEDS = [*range(16), 1049]
#: Ranges, as multiples of `cancel_s`: length of the cut, time from its start to each cancellation
#: and to the further fault, and start (before the cut if negative) and length of the outage.
CUT_LENGTH = (0.8, 3.0)
CANCEL_DELAY = (-0.02, 0.8)
FAULT_DELAY = (-0.2, 0.8)
OUTAGE_START = (-0.5, 1.2)
OUTAGE_LENGTH = (0.5, 2.5)
#: Range of the seconds until a stopped controller is up again.
RESTART_DELAY_S = (0.1, 4.0)
PROCESSES = 4

FurtherFault = Callable[[Scenario, str], Awaitable[None]]


async def nothing(scenario: Scenario, zone: str) -> None:
    """Cause no further fault."""


async def restart(scenario: Scenario, names: list[str]) -> None:
    """Stop controllers, and start each after a delay of its own."""
    for name in names:
        await scenario.stop(name)
    for name in names:
        await scenario.start_again(name, scenario.rng.uniform(*RESTART_DELAY_S))


async def restart_inside(scenario: Scenario, zone: str) -> None:
    await restart(scenario, controllers_in(scenario, zone)[:1])


async def restart_outside(scenario: Scenario, zone: str) -> None:
    await restart(scenario, controllers_outside(scenario, zone)[:1])


async def restart_all(scenario: Scenario, zone: str) -> None:
    await restart(scenario, list(scenario.controllers))


async def store_outage(scenario: Scenario, zone: str) -> None:
    scenario.store.set_down(True)
    await curio.sleep(scenario.rng.uniform(0.2, 1.5) * scenario.worker_settings.cancel_s)
    scenario.store.set_down(False)


async def refuse_leader(scenario: Scenario, zone: str) -> None:
    leader = scenario.leader()
    if leader is not None:
        scenario.store.refused_controllers.add(leader)
        await curio.sleep(scenario.worker_settings.cancel_s)
        scenario.store.refused_controllers.clear()


async def silence_peers(scenario: Scenario, zone: str) -> None:
    scenario.peers_unreachable = True
    await curio.sleep(scenario.worker_settings.cancel_s)
    scenario.peers_unreachable = False


async def pause_inside(scenario: Scenario, zone: str) -> None:
    pause_s = scenario.rng.uniform(0.1, 0.6) * scenario.worker_settings.cancel_s
    for name in controllers_in(scenario, zone):
        scenario.paused_until[name] = scenario.clock.now + pause_s


async def heal_for_a_moment(scenario: Scenario, zone: str) -> None:
    cuts = set(scenario.network.cuts)
    scenario.network.cuts -= cuts
    await curio.sleep(scenario.rng.uniform(0.05, 2.0))
    scenario.network.cuts |= cuts


FURTHER_FAULTS: list[FurtherFault] = [
    nothing,
    restart_inside,
    restart_outside,
    restart_all,
    store_outage,
    refuse_leader,
    silence_peers,
    pause_inside,
    heal_for_a_moment,
]


async def cancel_until_confirmed(scenario: Scenario, job: str, zone: str) -> None:
    """Cancel a job through controllers outside `zone` until one confirms it."""
    while True:
        for name in controllers_outside(scenario, zone):
            if await scenario.cancel(job, name) == HTTPStatus.OK:
                return
        await curio.sleep(1.0)


def play_cut(seed: int, monkeypatch: pytest.MonkeyPatch) -> Scenario:
    """Play a cut that is drawn from a seed; the caller checks the rules."""
    draw = Random(seed)
    site = draw.choice(sorted(SITES))
    zone = draw.choice([SINGLE_ZONE, DOUBLE_ZONE])
    leader_zone = draw.choice([SINGLE_ZONE, DOUBLE_ZONE])
    further_fault = draw.choice(FURTHER_FAULTS)

    async def act(scenario: Scenario) -> None:
        cancel_s = scenario.worker_settings.cancel_s
        scenario.network.delivers_cut_requests_late = draw.random() < 0.5

        async def after(delay: float, action: Callable[[], Awaitable[None]]) -> None:
            await curio.sleep((1.0 + delay) * cancel_s)
            scenario.note(action.__name__)
            await action()

        async def cut() -> None:
            isolate_zone(scenario, zone)
            await curio.sleep(draw.uniform(*CUT_LENGTH) * cancel_s)
            scenario.network.cuts.clear()

        async def cloud_outage() -> None:
            scenario.cloud.down = True
            await curio.sleep(draw.uniform(*OUTAGE_LENGTH) * cancel_s)
            scenario.cloud.down = False

        async def cause_further_fault() -> None:
            await further_fault(scenario, zone)

        jobs = await start_work(scenario, zone, leader_zone)
        steps = [
            (0.0, cut),
            (draw.uniform(*OUTAGE_START), cloud_outage),
            (draw.uniform(*FAULT_DELAY), cause_further_fault),
        ]
        for delay, step in steps:
            await curio.spawn(after, delay, step, daemon=True)
        for job in jobs:

            async def cancel(job: str = job) -> None:
                await cancel_until_confirmed(scenario, job, zone)

            await curio.spawn(after, draw.uniform(*CANCEL_DELAY), cancel, daemon=True)
        await curio.sleep(5.5 * cancel_s)
        assert scenario.rules.cancel_confirmed_at.keys() == set(jobs)

    return run_scenario(act, monkeypatch, site, seed)


@pytest.mark.parametrize("seed", SHORT_RUN_SEEDS)
def test_cancelled_tasks_end_in_drawn_cuts(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: a cancelled task outlives `cancel_s` where a cut meets other faults."""
    assert_no_violations(play_cut(seed, monkeypatch))


def broken_rules(seed: int) -> tuple[int, list[str]]:
    """Return a seed with the rules that its cut breaks, or the error that ended it."""
    patch = pytest.MonkeyPatch()
    try:
        return seed, sorted(set(play_cut(seed, patch).violations))
    except AssertionError as error:
        return seed, [f"{error!r:.200}"]
    finally:
        patch.undo()


def main(first: int, count: int) -> None:
    """Play many seeds and print those that break a rule."""
    broken = 0
    with Pool(PROCESSES, maxtasksperchild=20) as pool:
        for seed, rules in pool.imap_unordered(broken_rules, range(first, first + count)):
            if rules:
                broken += 1
                print(f"seed {seed}: {', '.join(rules)}", flush=True)
    print(f"{count} cuts, {broken} with a broken rule")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
