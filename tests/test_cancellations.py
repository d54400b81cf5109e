"""Cancellations that meet an outage: every task is gone within `cancel_s` all the same.

The state service refuses the leader alone, another controller confirms, then the
service is down for all, for longer than `cancel_s`, while workers go on reporting.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import curio
import pytest

from tests.fakes.controllers import make_settings, start_controller
from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.fakes.worker import FakeWorker
from tests.scenarios import SITES, Scenario, assert_no_violations, run_scenario
from topazhold.control.cancellation_enforcer import CancellationEnforcer
from topazhold.control.cancellation_exchange import CancellationExchange
from topazhold.control.controller_services import initial_state
from topazhold.control.heartbeat_service import HeartbeatService
from topazhold.control.leader_term import LeaderTerm
from topazhold.core.cancellations import MAX_SENT, Cancellations
from topazhold.core.cluster_state import ClusterState
from topazhold.core.placement_hints import PlacementHints
from topazhold.io.http import Response
from topazhold.wire.workers import Commands, Heartbeat, TaskStatus

Twist = Callable[[Scenario, str, str], Awaitable[None]]


async def nothing(scenario: Scenario, leader: str, confirmer: str) -> None:
    """No further trouble."""


async def confirmer_ends(scenario: Scenario, leader: str, confirmer: str) -> None:
    await scenario.stop(confirmer)


async def leader_ends(scenario: Scenario, leader: str, confirmer: str) -> None:
    """Workers go to the followers, which keep them."""
    await scenario.stop(leader)


async def all_but_confirmer_restart(scenario: Scenario, leader: str, confirmer: str) -> None:
    """Controllers that came up in the outage, with nothing but what a peer tells them."""
    for name in scenario.other_controllers(confirmer):
        await scenario.stop(name)
    await curio.sleep(1.0)
    for name in scenario.controller_names:
        if name not in scenario.controllers:
            await start_controller(scenario, name)


async def all_restart(scenario: Scenario, leader: str, confirmer: str) -> None:
    """Nobody is left who could know: then nobody may keep a worker."""
    for name in list(scenario.controllers):
        await scenario.stop(name)
    await curio.sleep(1.0)
    for name in scenario.controller_names:
        await start_controller(scenario, name)


async def confirmer_restarts_alone(scenario: Scenario, leader: str, confirmer: str) -> None:
    scenario.peers_unreachable = True
    await scenario.stop(confirmer)
    await curio.sleep(0.5)
    await start_controller(scenario, confirmer)


def gap(
    twist: Twist,
    monkeypatch: pytest.MonkeyPatch,
    site: str,
    seed: int = 1,
    before: Callable[[Scenario], None] | None = None,
    links: bool = True,
) -> Scenario:
    """The gap: refused alone, cancelled, out for all; `before` is set up with the refusal."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        confirmer = scenario.other_controllers(leader)[0]
        jobs = await scenario.submit_running_jobs(4, confirmer, gpus=2.0)
        await curio.sleep(3 * scenario.worker_settings.heartbeat_interval_s)
        if before is not None:
            before(scenario)
        scenario.store.refused.add(leader)
        scenario.peers_unreachable = not links
        await curio.sleep(0.3)
        for job in jobs:
            assert await scenario.cancel(job, confirmer) == 200
        assert scenario.leader() == leader, "the old leader leads still"
        scenario.store.set_down(True)
        scenario.store.refused.clear()
        await twist(scenario, leader, confirmer)
        await curio.sleep(scenario.worker_settings.cancel_s + scenario.worker_settings.lease_s)
        assert scenario.store.down and len(scenario.rules.cancel_confirmed_at) == len(jobs)

    return run_scenario(act, monkeypatch, site, seed)


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize(
    "twist",
    [
        nothing,
        confirmer_ends,
        leader_ends,
        all_but_confirmer_restart,
        all_restart,
        confirmer_restarts_alone,
    ],
)
def test_gap(twist: Twist, site: str, monkeypatch: pytest.MonkeyPatch) -> None:
    scenario = gap(twist, monkeypatch, site)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.9 * scenario.worker_settings.cancel_s


@pytest.mark.parametrize("site", SITES)
def test_leader_after_the_outage_hears_the_workers_first(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The intents still name the tasks that were killed in the outage."""
    reasons: list[tuple[int, str]] = []  # by term: the ended process is only cut off here
    terms: list[int] = []
    scenarios: list[Scenario] = []
    release = ClusterState.release

    def noted(self: ClusterState, machine: Any, reason: str, now: float) -> None:
        if scenarios and machine.name in scenarios[0].cloud.workers:  # others are gone in fact
            reasons.append((self.term, reason))
        release(self, machine, reason, now)

    async def over(scenario: Scenario, leader: str, confirmer: str) -> None:
        scenarios.append(scenario)
        await scenario.stop(leader)
        await curio.sleep(1.1 * scenario.worker_settings.cancel_s)
        assert not scenario.busy_workers()
        scenario.store.set_down(False)
        new = await scenario.wait_for_new_leader(leader)
        terms.append(scenario.controllers[new].leader_term.term)
        named = [
            m
            for m in scenario.controllers[new].leader_term.scheduler.machines.values()
            if m.attempts
        ]
        assert len(named) > 3, "as far as she knows the tasks may be there"
        await curio.sleep(4 * scenario.worker_settings.heartbeat_interval_s)
        scenario.store.set_down(True)

    monkeypatch.setattr(ClusterState, "release", noted)
    assert_no_violations(gap(over, monkeypatch, site))
    assert [w for term, w in reasons if term in terms and w.startswith("can't stop")] == []


@pytest.mark.parametrize("site", SITES)
def test_gap_without_links(site: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """No controller hears another: the confirmer sees to it itself."""
    scenario = gap(nothing, monkeypatch, site, links=False)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.7 * scenario.worker_settings.cancel_s


def command_unreachable(worker: FakeWorker, until: float) -> None:
    worker.commands_lost_until = until


def mute(worker: FakeWorker, until: float) -> None:
    worker.heartbeats_lost_until = until


def hang(worker: FakeWorker, until: float) -> None:
    worker.hanging_until = until


@pytest.mark.parametrize("links", [True, False])
@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("trouble", [command_unreachable, mute, hang])
def test_gap_with_machines_out_of_reach(
    trouble: Callable[[FakeWorker, float], None],
    site: str,
    links: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What can't be shown to be gone takes its machine with it, without the state service."""

    healthy: list[FakeWorker] = []

    def before(scenario: Scenario) -> None:
        busy = [worker for worker in scenario.cloud.workers.values() if worker.present()]
        assert len(busy) > 3
        healthy[:] = busy[2:]
        for worker in busy[:2]:
            trouble(worker, scenario.clock.now + 4 * scenario.worker_settings.cancel_s)

    scenario = gap(nothing, monkeypatch, site, before=before, links=links)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.8 * scenario.worker_settings.cancel_s
    gone = [worker.name for worker in healthy if worker.gone]
    assert gone == [], "machines that show their tasks gone are not released"


@pytest.mark.parametrize("site", SITES)
def test_gap_with_a_leader_that_could_not_load(site: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its token voids the old leader's commands, so it has to kill without a scheduler."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        confirmer = scenario.other_controllers(old)[0]
        jobs = await scenario.submit_running_jobs(4, confirmer)
        scenario.store.refused.add(old)
        await curio.sleep(1.0)
        for job in jobs:
            assert await scenario.cancel(job, confirmer) == 200
        elected: list[str] = []

        def new() -> bool:
            elected[:] = [
                name
                for name, node in scenario.controllers.items()
                if name != old and node.leader_term is not None
            ]
            return bool(elected)

        while not new():
            await curio.sleep(0.001)
        scenario.store.set_down(True)
        scenario.store.refused.clear()
        leading = scenario.controllers[elected[0]].leader_term
        assert not leading.loaded
        await curio.sleep(scenario.worker_settings.cancel_s + scenario.worker_settings.lease_s)
        assert scenario.controllers[elected[0]].leader_term is leading and not leading.loaded

    scenario = run_scenario(act, monkeypatch, site)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.5 * scenario.worker_settings.cancel_s


def launch_in_flight(monkeypatch: pytest.MonkeyPatch, seed: int, states: list[str]) -> Scenario:
    """Jobs cancelled as soon as one of their tasks is in one of these states."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        confirmer = scenario.other_controllers(leader)[0]
        for _ in range(4):
            if states == ["written"]:
                # No report comes that the launch could go out with, for a moment.
                await curio.sleep(2 * scenario.worker_settings.heartbeat_interval_s)
                for worker in scenario.cloud.workers.values():
                    worker.hanging_until = scenario.clock.now + 1.0
            job = await scenario.submit(confirmer)
            scheduler = scenario.controllers[leader].leader_term.scheduler
            want = scenario.rng.choice(states)

            def reached(job: str = job, scheduler: Any = scheduler, want: str = want) -> bool:
                known = scheduler.jobs.get(job)
                return known is not None and any(
                    run.state.value in (want, "pulling") for run in known.attempts.values()
                )

            await scenario.wait_until(reached)
            scenario.store.refused.add(leader)
            assert await scenario.cancel(job, confirmer) == 200
            scenario.store.set_down(True)
            await curio.sleep(0.6 * scenario.worker_settings.cancel_s)
            scenario.store.set_down(False)
            scenario.store.refused.clear()
            await curio.sleep(2 * scenario.worker_settings.heartbeat_interval_s)
            found = scenario.leader()
            assert found is not None
            leader = found
            confirmer = scenario.other_controllers(leader)[0]

    return run_scenario(act, monkeypatch, seed=seed)


@pytest.mark.parametrize("seed", range(1, 7))
@pytest.mark.parametrize("states", [["written"], ["intended", "ordered", "pulling"]])
def test_launch_in_flight_at_the_confirmation(
    seed: int, states: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cancelled between intent and launch, or while the launch is on its way."""
    scenario = launch_in_flight(monkeypatch, seed, states)
    assert_no_violations(scenario)
    # A launch that had left already may start its task before the kill is there.
    assert scenario.longest_removal_s() < 3 * scenario.worker_settings.heartbeat_interval_s
    assert scenario.launched_late == []


def test_scene_catches_launches_that_are_not_checked(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader that goes on launching what a peer has told it is cancelled."""

    async def deaf_ear(self: Any, job_id: str, at: float) -> None:
        pass

    monkeypatch.setattr(LeaderTerm, "cancelled", deaf_ear)
    monkeypatch.setattr(
        LeaderTerm, "_may_launch", lambda self, now: self.context.lease_is_valid(now)
    )
    late = [launch_in_flight(monkeypatch, seed, ["written"]).launched_late for seed in range(6)]
    assert any(late)


# -- broken variants: each mechanism is needed by one of the scenarios -------------


def no_enforcer(patch: pytest.MonkeyPatch) -> None:
    async def idle(self: Any) -> None:
        pass

    patch.setattr(CancellationEnforcer, "round", idle)


def test_checker_catches_a_record_that_is_not_told(monkeypatch: pytest.MonkeyPatch) -> None:
    async def silent(self: Any, peer: str) -> None:
        pass

    monkeypatch.setattr(CancellationExchange, "_send_missing", silent)
    monkeypatch.setattr(Cancellations, "informed", True, raising=False)
    assert breaks_on_some_seed(confirmer_ends, monkeypatch)


def breaks_on_some_seed(twist: Twist, monkeypatch: pytest.MonkeyPatch, links: bool = True) -> bool:
    """Whether a cancelled task runs on. Which controller a worker is with is drawn, and with
    one that knows of the cancellation it is killed also in a broken variant."""
    for seed in range(1, 9):
        with monkeypatch.context() as of_scenario:
            if "ran_cancelled" in gap(twist, of_scenario, "hive", seed, links=links).violations:
                return True
    return False


def test_checker_catches_answers_without_kills(monkeypatch: pytest.MonkeyPatch) -> None:
    """Those who keep workers without a scheduler, the leader that led among them ended."""
    no_enforcer(monkeypatch)
    assert gap(leader_ends, monkeypatch, "hive").violations == []
    monkeypatch.setattr(
        HeartbeatService,
        "_answer_locally",
        lambda self, heartbeat, term: Response(200, Commands(term, [])),
    )
    assert breaks_on_some_seed(leader_ends, monkeypatch)


def test_checker_catches_a_confirmer_that_does_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    no_enforcer(monkeypatch)
    assert breaks_on_some_seed(nothing, monkeypatch, links=False)


def test_checker_catches_workers_kept_by_who_knows_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(HeartbeatService, "_is_informed", lambda self, now: True)
    assert breaks_on_some_seed(all_restart, monkeypatch)


# -- the record itself -------------------------------------------------------------


def test_record_reaches_a_peer_in_parts_and_after_its_restart() -> None:
    here = Cancellations("here-1", 30.0, 10.0)
    for number in range(2 * MAX_SENT + 5):
        assert here.add(f"wk-{number}", 1000.0, 1000.0)
    assert not here.add("wk-3", 1000.0, 1000.0)
    for incarnation in ("there-1", "there-2"):
        there = Cancellations(incarnation, 30.0, 10.0)
        here.acknowledged("there", "", -1)  # it has just started
        messages = 0
        while (news := here.news("there")) is not None:
            there.receive("here", here.incarnation, *news, 1001.0)
            here.acknowledged("there", *there.receipts()["here"])
            messages += 1
        assert messages == 3 and len(there) == len(here)
        assert there.level_with("here", here.incarnation, here.last)
        assert here.peer_has("there", "wk-1004")


def test_record_takes_nothing_out_of_order() -> None:
    """A lost message must not be taken for had: its jobs would never be told."""
    there = Cancellations("there-1", 30.0, 10.0)
    assert there.receive("here", "b", 5, 7, [["wk-7", 1000.0]], 1000.0) == []
    assert there.receipts()["here"] == ["b", -1]
    assert there.receive("here", "b", -1, 7, [["wk-7", 1000.0]], 1000.0) == [("wk-7", 1000.0)]


def test_record_is_bounded_by_time() -> None:
    record = Cancellations("b", 30.0, 10.0)
    for number in range(100):
        record.add(f"wk-{number}", 1000.0 + 10 * number, 1000.0 + 10 * number)
    assert len(record) <= 17 and "wk-99" in record


def test_older_word_of_a_worker_says_nothing_of_its_tasks() -> None:
    def report(sequence: int, jobs: list[str]) -> Heartbeat:
        tasks = [TaskStatus(f"{job}/0", 1, "running") for job in jobs]
        return Heartbeat("host-1", "h:1", "b1", "a", False, 1, sequence, 3, tasks)

    placement_hints = PlacementHints()
    placement_hints.update_from_leader(3, [["host-1", "h:1", ["wk-1"]]])
    placement_hints.update_from_heartbeat(report(5, []))
    placement_hints.update_from_heartbeat(report(4, ["wk-1"]))
    assert placement_hints.machines_of(frozenset(["wk-1"])) == {}
    placement_hints.update_from_leader(2, [["host-1", "h:1", ["wk-1"]]])
    assert placement_hints.machines_of(frozenset(["wk-1"])) == {}, "an earlier leader's word"


def test_former_leader_does_not_release_what_her_successor_sees_to(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Deposed, it had three machines released within a moment, of jobs cancelled 20 s before."""
    released: list[tuple[float, list[str]]] = []
    told: list[list[str]] = []
    seen_to = {"wk-1": False}

    async def announce_released(names: list[str]) -> None:
        told.append(names)

    class Cloud:
        async def machines(self) -> list[Any]:
            return []

        async def release(self, names: list[str]) -> None:
            released.append((await curio.clock(), names))

    async def main(clock: VirtualTime) -> None:
        settings = make_settings("hive-0", "a", [])
        cancel_s = settings.cluster.workers.cancel_s
        record = Cancellations("b", cancel_s, settings.cluster.workers.lease_s)
        placement_hints = PlacementHints()
        placement_hints.update_from_leader(
            3, [["host-1", None, ["wk-1"]], ["host-2", None, ["wk-2"]]]
        )
        cancellation_enforcer = CancellationEnforcer(
            settings,
            Cloud(),
            None,  # type: ignore[arg-type]
            replace(initial_state(settings), cancellations=record, placement_hints=placement_hints),
            lambda job, now: seen_to[job],
            announce_released,
        )
        record.add("wk-1", time.time() - 0.65 * cancel_s, time.time())
        for _ in range(15):
            await cancellation_enforcer.round()
            await curio.sleep(0.01 * cancel_s)
        assert released == []
        seen_to["wk-1"] = True
        await cancellation_enforcer.round()
        await curio.sleep(0.01 * cancel_s)
        seen_to["wk-1"] = False
        for _ in range(14):
            await cancellation_enforcer.round()
            await curio.sleep(0.01 * cancel_s)
        assert [names for _, names in released] == [["host-1"]], "at the last moment"
        assert told == [["host-1"]], "the others learn of it"

    run_virtual(main, monkeypatch)
