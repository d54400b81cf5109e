"""Cancellations during a store outage: every task must still be removed within `cancel_s`.

The key-value store refuses the leader alone, another controller confirms the cancellation, and
then the store is down for all controllers for longer than `cancel_s`, while workers keep
sending heartbeats.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
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
from topazhold.control.lease_renewals import LeaseRenewals
from topazhold.core.cluster_state import ClusterState
from topazhold.io.http import Response
from topazhold.wire.workers import Commands

FurtherFault = Callable[[Scenario, str, str], Awaitable[None]]


async def nothing(scenario: Scenario, leader: str, confirmer: str) -> None:
    """Cause no further fault."""


async def confirmer_ends(scenario: Scenario, leader: str, confirmer: str) -> None:
    await scenario.stop(confirmer)


async def leader_ends(scenario: Scenario, leader: str, confirmer: str) -> None:
    """The workers switch to the followers, which extend their leases."""
    await scenario.stop(leader)


async def all_but_confirmer_restart(scenario: Scenario, leader: str, confirmer: str) -> None:
    """Controllers started during the outage know only what a peer sends them."""
    for name in scenario.other_controllers(confirmer):
        await scenario.stop(name)
    await curio.sleep(1.0)
    for name in scenario.controller_names:
        if name not in scenario.controllers:
            await start_controller(scenario, name)


async def all_restart(scenario: Scenario, leader: str, confirmer: str) -> None:
    """No controller knows of the cancellations, so none may extend a worker's lease."""
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
    further_fault: FurtherFault,
    monkeypatch: pytest.MonkeyPatch,
    site: str,
    seed: int = 1,
    prepare: Callable[[Scenario], None] | None = None,
    peers_connected: bool = True,
) -> Scenario:
    """Cancel jobs while the store refuses the leader alone, then take the store down for all.

    `prepare` is called just before the store starts to refuse the leader.
    """

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        confirmer = scenario.other_controllers(leader)[0]
        jobs = await scenario.submit_running_jobs(4, confirmer, gpus=2.0)
        await curio.sleep(3 * scenario.worker_settings.heartbeat_interval_s)
        if prepare is not None:
            prepare(scenario)
        scenario.store.refused_controllers.add(leader)
        scenario.peers_unreachable = not peers_connected
        await curio.sleep(0.3)
        for job in jobs:
            assert await scenario.cancel(job, confirmer) == HTTPStatus.OK
        assert scenario.leader() == leader, "the old leader no longer leads"
        scenario.store.set_down(True)
        scenario.store.refused_controllers.clear()
        await further_fault(scenario, leader, confirmer)
        await curio.sleep(scenario.worker_settings.cancel_s + scenario.worker_settings.lease_s)
        assert scenario.store.down and len(scenario.rules.cancel_confirmed_at) == len(jobs)

    return run_scenario(act, monkeypatch, site, seed)


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize(
    "further_fault",
    [
        nothing,
        confirmer_ends,
        leader_ends,
        all_but_confirmer_restart,
        all_restart,
        confirmer_restarts_alone,
    ],
)
def test_cancelled_tasks_are_removed_in_time_during_a_store_outage(
    further_fault: FurtherFault, site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    scenario = cancel_before_outage(further_fault, monkeypatch, site)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.9 * scenario.worker_settings.cancel_s


@pytest.mark.parametrize("site", SITES)
def test_leader_after_the_outage_waits_for_heartbeats_before_it_releases(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The stored intents still name the tasks that were killed during the outage."""
    # Term and reason; by term, as the code of a stopped controller may run on in a simulation.
    reasons: list[tuple[int, str]] = []
    terms: list[int] = []
    scenarios: list[Scenario] = []
    release = ClusterState.release

    def record_release(self: ClusterState, machine: Any, reason: str, now: float) -> None:
        # Machines that do not exist any more are left out.
        if scenarios and machine.name in scenarios[0].cloud.workers:
            reasons.append((self.term, reason))
        release(self, machine, reason, now)

    async def end_outage(scenario: Scenario, leader: str, confirmer: str) -> None:
        scenarios.append(scenario)
        await scenario.stop(leader)
        await curio.sleep(1.1 * scenario.worker_settings.cancel_s)
        assert not scenario.busy_workers()
        scenario.store.set_down(False)
        new = await scenario.wait_for_new_leader(leader)
        terms.append(scenario.controllers[new].leader_term.term)
        occupied = [
            machine_state
            for machine_state in scenario.controllers[new].leader_term.scheduler.machines.values()
            if machine_state.attempts
        ]
        assert len(occupied) > 3, "the new leader must assume that the tasks may still run"
        await curio.sleep(4 * scenario.worker_settings.heartbeat_interval_s)
        scenario.store.set_down(True)

    monkeypatch.setattr(ClusterState, "release", record_release)
    assert_no_violations(cancel_before_outage(end_outage, monkeypatch, site))
    assert [
        reason_text
        for term, reason_text in reasons
        if term in terms and reason_text.startswith("can't stop")
    ] == []


@pytest.mark.parametrize("site", SITES)
def test_controller_that_confirmed_ends_the_tasks_without_its_peers(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The controllers can't reach each other: the confirming one ends the tasks itself."""
    scenario = cancel_before_outage(nothing, monkeypatch, site, peers_connected=False)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.7 * scenario.worker_settings.cancel_s


def lose_commands(worker: FakeWorker, until: float) -> None:
    worker.commands_lost_until = until


def lose_heartbeats(worker: FakeWorker, until: float) -> None:
    worker.heartbeats_lost_until = until


def hang(worker: FakeWorker, until: float) -> None:
    worker.hanging_until = until


@pytest.mark.parametrize("peers_connected", [True, False])
@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("fault", [lose_commands, lose_heartbeats, hang])
def test_machines_out_of_reach_are_released_and_healthy_ones_kept(
    fault: Callable[[FakeWorker, float], None],
    site: str,
    peers_connected: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A machine whose tasks may still run is released, even without the key-value store."""

    healthy: list[FakeWorker] = []

    def prepare(scenario: Scenario) -> None:
        busy = [worker for worker in scenario.cloud.workers.values() if worker.active_tasks()]
        assert len(busy) > 3
        healthy[:] = busy[2:]
        for worker in busy[:2]:
            fault(worker, scenario.clock.now + 4 * scenario.worker_settings.cancel_s)

    scenario = cancel_before_outage(
        nothing, monkeypatch, site, prepare=prepare, peers_connected=peers_connected
    )
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.8 * scenario.worker_settings.cancel_s
    released = [worker.name for worker in healthy if worker.terminated]
    assert released == [], "machines were released though they reported that their tasks ended"


@pytest.mark.parametrize("site", SITES)
def test_leader_that_could_not_load_still_ends_cancelled_tasks(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its fencing token voids the old leader's commands, so it must kill without a scheduler."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        confirmer = scenario.other_controllers(old)[0]
        jobs = await scenario.submit_running_jobs(4, confirmer)
        scenario.store.refused_controllers.add(old)
        await curio.sleep(1.0)
        for job in jobs:
            assert await scenario.cancel(job, confirmer) == HTTPStatus.OK
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
        new_term = scenario.controllers[elected[0]].leader_term
        assert not new_term.loaded
        await curio.sleep(scenario.worker_settings.cancel_s + scenario.worker_settings.lease_s)
        assert scenario.controllers[elected[0]].leader_term is new_term and not new_term.loaded

    scenario = run_scenario(act, monkeypatch, site)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.5 * scenario.worker_settings.cancel_s


def cancel_during_launch(monkeypatch: pytest.MonkeyPatch, seed: int, states: list[str]) -> Scenario:
    """Cancel jobs as soon as one of their tasks is in one of these states, in a store outage."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        confirmer = scenario.other_controllers(leader)[0]
        for _ in range(4):
            if states == ["written"]:
                # Hanging workers send no heartbeats whose responses could carry the launch.
                await curio.sleep(2 * scenario.worker_settings.heartbeat_interval_s)
                for worker in scenario.cloud.workers.values():
                    worker.hanging_until = scenario.clock.now + 1.0
            job = await scenario.submit(confirmer)
            scheduler = scenario.controllers[leader].leader_term.scheduler
            target_state = scenario.rng.choice(states)

            def state_reached(
                job: str = job, scheduler: Any = scheduler, target_state: str = target_state
            ) -> bool:
                known_job = scheduler.jobs.get(job)
                return known_job is not None and any(
                    attempt.state.value in (target_state, "pulling")
                    for attempt in known_job.attempts.values()
                )

            await scenario.wait_until(state_reached)
            scenario.store.refused_controllers.add(leader)
            assert await scenario.cancel(job, confirmer) == HTTPStatus.OK
            scenario.store.set_down(True)
            await curio.sleep(0.6 * scenario.worker_settings.cancel_s)
            scenario.store.set_down(False)
            scenario.store.refused_controllers.clear()
            await curio.sleep(2 * scenario.worker_settings.heartbeat_interval_s)
            new_leader = scenario.leader()
            assert new_leader is not None
            leader = new_leader
            confirmer = scenario.other_controllers(leader)[0]

    return run_scenario(act, monkeypatch, seed=seed)


@pytest.mark.parametrize("seed", range(1, 7))
@pytest.mark.parametrize("states", [["written"], ["intended", "ordered", "pulling"]])
def test_nothing_is_launched_after_its_cancellation_is_confirmed(
    seed: int, states: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The job is cancelled between intent and launch, or while the launch is in flight."""
    scenario = cancel_during_launch(monkeypatch, seed, states)
    assert_no_violations(scenario)
    # A launch already in flight may start its task before the kill arrives.
    assert scenario.longest_removal_s() < 3 * scenario.worker_settings.heartbeat_interval_s
    assert scenario.launched_after_confirmation == []


def test_scenario_catches_launches_that_are_not_checked(monkeypatch: pytest.MonkeyPatch) -> None:
    """The variant's leader goes on launching jobs that a peer reported as cancelled."""

    async def ignore(self: Any, job_id: str, at: float) -> None:
        pass

    monkeypatch.setattr(LeaderTerm, "on_job_cancelled", ignore)
    monkeypatch.setattr(
        LeaderTerm, "_may_launch", lambda self, now: self.context.lease_is_valid(now)
    )
    late = [
        cancel_during_launch(monkeypatch, seed, ["written"]).launched_after_confirmation
        for seed in range(6)
    ]
    assert any(late)


# -- broken variants: without a mechanism, one of the scenarios must fail -----------


def disable_enforcer(patch: pytest.MonkeyPatch) -> None:
    async def idle(self: Any) -> None:
        pass

    patch.setattr(CancellationEnforcer, "round", idle)


def disable_renewal_limit(patch: pytest.MonkeyPatch) -> None:
    """Renew leases for any time: the limit alone would end the tasks of most variants in time."""
    patch.setattr(LeaseRenewals, "are_allowed", lambda self: True)


@pytest.mark.parametrize(
    ("further_fault", "peers_connected"),
    [(confirmer_ends, True), (leader_ends, True), (nothing, False)],
)
def test_without_the_renewal_limit_the_other_mechanisms_end_the_tasks(
    further_fault: FurtherFault, peers_connected: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """So each of the variants below, which leave the limit out, fails for what it changes."""
    disable_renewal_limit(monkeypatch)
    assert not fails_on_some_seed(further_fault, monkeypatch, peers_connected)


def test_checker_catches_a_record_that_is_not_told(monkeypatch: pytest.MonkeyPatch) -> None:
    async def silent(self: Any, peer: str) -> None:
        pass

    monkeypatch.setattr(CancellationExchange, "_send_missing", silent)
    disable_renewal_limit(monkeypatch)
    assert fails_on_some_seed(confirmer_ends, monkeypatch)


def fails_on_some_seed(
    further_fault: FurtherFault, monkeypatch: pytest.MonkeyPatch, peers_connected: bool = True
) -> bool:
    """Return whether a cancelled task runs on with any of several seeds.

    The seed decides which controller a worker reports to; one that knows of the cancellation
    kills the task even in a broken variant.
    """
    for seed in range(1, 9):
        with monkeypatch.context() as scenario_patch:
            if (
                "ran_cancelled"
                in cancel_before_outage(
                    further_fault, scenario_patch, "hive", seed, peers_connected=peers_connected
                ).violations
            ):
                return True
    return False


def test_checker_catches_answers_without_kills(monkeypatch: pytest.MonkeyPatch) -> None:
    """The leader ends; the followers extend leases in the variant but send no kills."""
    disable_enforcer(monkeypatch)
    assert cancel_before_outage(leader_ends, monkeypatch, "hive").violations == []
    disable_renewal_limit(monkeypatch)
    assert cancel_before_outage(leader_ends, monkeypatch, "hive").violations == []
    monkeypatch.setattr(
        HeartbeatService,
        "_answer_locally",
        lambda self, heartbeat, term: Response(HTTPStatus.OK, Commands(term, [])),
    )
    assert fails_on_some_seed(leader_ends, monkeypatch)


def test_checker_catches_a_confirmer_that_does_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    disable_enforcer(monkeypatch)
    disable_renewal_limit(monkeypatch)
    assert fails_on_some_seed(nothing, monkeypatch, peers_connected=False)


def test_checker_catches_workers_kept_by_who_knows_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    disable_renewal_limit(monkeypatch)
    assert fails_on_some_seed(all_restart, monkeypatch)
