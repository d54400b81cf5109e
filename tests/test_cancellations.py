"""Cancellations that meet an outage: every task is gone within `cancel_s` all the same.

The state service refuses the leader alone, another controller confirms, then the
service is down for all, for longer than `cancel_s`, while workers go on reporting.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from tests.fakes.controllers import start_controller
from tests.fakes.worker import FakeWorker
from tests.scenarios import SITES, Scenario, assert_no_violations, run_scenario
from topazhold.control.cancellation_enforcer import CancellationEnforcer
from topazhold.control.cancellation_exchange import CancellationExchange
from topazhold.control.heartbeat_service import HeartbeatService
from topazhold.control.leader_term import LeaderTerm
from topazhold.core.cancellations import Cancellations
from topazhold.core.cluster_state import ClusterState
from topazhold.io.http import Response
from topazhold.wire.workers import Commands

Twist = Callable[[Scenario, str, str], Awaitable[None]]


async def nothing(scenario: Scenario, leader: str, confirmer: str) -> None:
    """No further fault."""


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


def cancel_before_outage(
    twist: Twist,
    monkeypatch: pytest.MonkeyPatch,
    site: str,
    seed: int = 1,
    before: Callable[[Scenario], None] | None = None,
    links: bool = True,
) -> Scenario:
    """The store refuses the leader alone, jobs are cancelled, the store is out for all.

    `before` is set up with the refusal.
    """

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        confirmer = scenario.other_controllers(leader)[0]
        jobs = await scenario.submit_running_jobs(4, confirmer, gpus=2.0)
        await curio.sleep(3 * scenario.worker_settings.heartbeat_interval_s)
        if before is not None:
            before(scenario)
        scenario.store.refused_controllers.add(leader)
        scenario.peers_unreachable = not links
        await curio.sleep(0.3)
        for job in jobs:
            assert await scenario.cancel(job, confirmer) == 200
        assert scenario.leader() == leader, "the old leader leads still"
        scenario.store.set_down(True)
        scenario.store.refused_controllers.clear()
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
def test_cancelled_tasks_are_gone_in_time_though_an_outage_follows(
    twist: Twist, site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    scenario = cancel_before_outage(twist, monkeypatch, site)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.9 * scenario.worker_settings.cancel_s


@pytest.mark.parametrize("site", SITES)
def test_leader_after_the_outage_waits_for_heartbeats_before_it_releases(
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
    assert_no_violations(cancel_before_outage(over, monkeypatch, site))
    assert [w for term, w in reasons if term in terms and w.startswith("can't stop")] == []


@pytest.mark.parametrize("site", SITES)
def test_controller_that_confirmed_ends_the_tasks_without_its_peers(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No controller hears another: the confirmer sees to it itself."""
    scenario = cancel_before_outage(nothing, monkeypatch, site, links=False)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.7 * scenario.worker_settings.cancel_s


def lose_commands(worker: FakeWorker, until: float) -> None:
    worker.commands_lost_until = until


def lose_heartbeats(worker: FakeWorker, until: float) -> None:
    worker.heartbeats_lost_until = until


def hang(worker: FakeWorker, until: float) -> None:
    worker.hanging_until = until


@pytest.mark.parametrize("links", [True, False])
@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("fault", [lose_commands, lose_heartbeats, hang])
def test_machines_out_of_reach_are_released_and_healthy_ones_kept(
    fault: Callable[[FakeWorker, float], None],
    site: str,
    links: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What can't be shown to be gone takes its machine with it, without the state service."""

    healthy: list[FakeWorker] = []

    def before(scenario: Scenario) -> None:
        busy = [worker for worker in scenario.cloud.workers.values() if worker.active_tasks()]
        assert len(busy) > 3
        healthy[:] = busy[2:]
        for worker in busy[:2]:
            fault(worker, scenario.clock.now + 4 * scenario.worker_settings.cancel_s)

    scenario = cancel_before_outage(nothing, monkeypatch, site, before=before, links=links)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.8 * scenario.worker_settings.cancel_s
    gone = [worker.name for worker in healthy if worker.terminated]
    assert gone == [], "machines that show their tasks gone are not released"


@pytest.mark.parametrize("site", SITES)
def test_leader_that_could_not_load_still_ends_cancelled_tasks(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its token voids the old leader's commands, so it has to kill without a scheduler."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        confirmer = scenario.other_controllers(old)[0]
        jobs = await scenario.submit_running_jobs(4, confirmer)
        scenario.store.refused_controllers.add(old)
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
        scenario.store.refused_controllers.clear()
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
            scenario.store.refused_controllers.add(leader)
            assert await scenario.cancel(job, confirmer) == 200
            scenario.store.set_down(True)
            await curio.sleep(0.6 * scenario.worker_settings.cancel_s)
            scenario.store.set_down(False)
            scenario.store.refused_controllers.clear()
            await curio.sleep(2 * scenario.worker_settings.heartbeat_interval_s)
            found = scenario.leader()
            assert found is not None
            leader = found
            confirmer = scenario.other_controllers(leader)[0]

    return run_scenario(act, monkeypatch, seed=seed)


@pytest.mark.parametrize("seed", range(1, 7))
@pytest.mark.parametrize("states", [["written"], ["intended", "ordered", "pulling"]])
def test_nothing_is_launched_after_its_cancellation_is_confirmed(
    seed: int, states: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cancelled between intent and launch, or while the launch is on its way."""
    scenario = launch_in_flight(monkeypatch, seed, states)
    assert_no_violations(scenario)
    # A launch that had left already may start its task before the kill is there.
    assert scenario.longest_removal_s() < 3 * scenario.worker_settings.heartbeat_interval_s
    assert scenario.launched_late == []


def test_scenario_catches_launches_that_are_not_checked(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader that goes on launching what a peer has told it is cancelled."""

    async def ignore(self: Any, job_id: str, at: float) -> None:
        pass

    monkeypatch.setattr(LeaderTerm, "on_job_cancelled", ignore)
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
            if (
                "ran_cancelled"
                in cancel_before_outage(twist, of_scenario, "hive", seed, links=links).violations
            ):
                return True
    return False


def test_checker_catches_answers_without_kills(monkeypatch: pytest.MonkeyPatch) -> None:
    """Those who keep workers without a scheduler, the leader that led among them ended."""
    no_enforcer(monkeypatch)
    assert cancel_before_outage(leader_ends, monkeypatch, "hive").violations == []
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
    monkeypatch.setattr(HeartbeatService, "_may_extend_leases", lambda self, now: True)
    assert breaks_on_some_seed(all_restart, monkeypatch)
