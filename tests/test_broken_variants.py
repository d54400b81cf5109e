"""The checker of the random days must catch a variant of the code that breaks a main rule."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import pytest

from tests.late_copies import accept_any_sequence
from tests.random_days import play
from tests.simulation.rules import LARGEST_GANG_TASKS
from topazhold.control import users as users_module
from topazhold.core import (
    array_placement,
    failover,
    machine_room,
    quota,
    records,
    replica_placement,
)
from topazhold.core.binding_reservations import BindingReservations
from topazhold.core.eviction import Eviction
from topazhold.core.failure_detection import FailureDetection
from topazhold.core.job_queue import JobQueue
from topazhold.core.jobs import Job
from topazhold.core.task_reconciliation import TaskReconciliation
from topazhold.core.worker_commands import WorkerCommands
from topazhold.io.http import Response
from topazhold.wire import messages as wire

Patch = Callable[[pytest.MonkeyPatch], None]


def ignore_predecessors_intents(patch: pytest.MonkeyPatch) -> None:
    """A new leader ignores its predecessor's intents."""
    patch.setattr(failover, "_adopt", lambda *args: None)
    patch.setattr(TaskReconciliation, "_on_orphan", lambda *args: None)


def replace_tasks_of_silent_machines(patch: pytest.MonkeyPatch) -> None:
    """Tasks of a silent machine are placed again without proof that they are gone."""

    def check_machine(self: FailureDetection, machine: Any, now: float) -> None:
        cluster = self._cluster
        if cluster.silence_s(machine, now) > 2 * cluster.heartbeat_interval_s:
            for attempt in list(machine.attempts.values()):
                cluster.remove_attempt(attempt, now)

    patch.setattr(FailureDetection, "check_machine", check_machine)


def ignore_quotas(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota.Usage, "allows", lambda *args, **kwargs: True)


def ignore_placement_constraints(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(machine_room, "placement_allowed", lambda *args: True)
    patch.setattr(BindingReservations, "_rejection_reason", lambda *args: None)
    patch.setattr(array_placement, "choose_shared_zone", lambda *args: None)
    patch.setattr(replica_placement, "choose_shared_zone", lambda *args: None)


def send_no_kills(patch: pytest.MonkeyPatch) -> None:
    """Cancelled jobs run on."""
    patch.setattr(WorkerCommands, "kills", lambda self, machine: [])
    patch.setattr(Eviction, "stop_ended_job", lambda self, job, now: None)


def lose_ended_jobs(patch: pytest.MonkeyPatch) -> None:
    """Records of ended jobs are never found again."""
    patch.setattr(records, "ended_key", lambda job: f"lost/{job}/{id(object())}")


def finish_job_with_first_task(patch: pytest.MonkeyPatch) -> None:
    """A job counts as complete once one task is."""
    patch.setattr(Job, "is_complete", property(lambda self: self.completed_count > 0))


def answer_pending_for_any_job(patch: pytest.MonkeyPatch) -> None:
    async def poll(self: Any, job_id: str) -> Response:
        return Response(HTTPStatus.OK, wire.job_status_body(job_id, wire.PENDING))

    patch.setattr(users_module.Users, "_poll", poll)


def report_done_jobs_as_aborted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(records, "ended_stage", lambda data: wire.ABORTED)


def refuse_status_of_some_jobs(patch: pytest.MonkeyPatch) -> None:
    """Status requests for a few jobs are always refused, all others are answered."""
    status_response = users_module.Users._status_response

    async def refuse_some(self: Any, job_id: str) -> Response | None:
        return (
            Response(HTTPStatus.SERVICE_UNAVAILABLE)
            if job_id.endswith("7")
            else await status_response(self, job_id)
        )

    patch.setattr(users_module.Users, "_status_response", refuse_some)


def exclude_from_queue(patch: pytest.MonkeyPatch, is_excluded: Callable[[Job], bool]) -> None:
    all_waiting_jobs = JobQueue.waiting_jobs
    patch.setattr(
        JobQueue,
        "waiting_jobs",
        lambda self, now: [job for job in all_waiting_jobs(self, now) if not is_excluded(job)],
    )


def starve_a_team(patch: pytest.MonkeyPatch) -> None:
    exclude_from_queue(patch, lambda job: job.spec.team == "blue")


def starve_a_class(patch: pytest.MonkeyPatch) -> None:
    exclude_from_queue(patch, lambda job: job.spec.job_class == "fill")


def starve_the_largest_gangs(patch: pytest.MonkeyPatch) -> None:
    exclude_from_queue(patch, lambda job: job.gang and job.spec.tasks == LARGEST_GANG_TASKS)


def starve_unconstrained_arrays(patch: pytest.MonkeyPatch) -> None:
    """Arrays without zone constraints are never placed.

    The checker can't judge whether there is capacity for arrays bound to zones. Starving all
    arrays that are not makes the result independent of the jobs that a day draws.
    """
    exclude_from_queue(
        patch, lambda job: not (job.gang or job.spec.same_zone or job.spec.spread_zones)
    )


VARIANTS: list[tuple[Patch, str, list[str]]] = [
    (ignore_predecessors_intents, "ran_twice", ["crash_leader", "hang", "machine_cut"]),
    (replace_tasks_of_silent_machines, "ran_twice", ["hang", "machine_cut", "zones_cut"]),
    (ignore_quotas, "quota", []),
    (ignore_placement_constraints, "wrong_place", []),
    (send_no_kills, "ran_cancelled", []),
    (lose_ended_jobs, "forgotten", []),
    (finish_job_with_first_task, "not_done", []),
    (answer_pending_for_any_job, "invented", []),
    (report_done_jobs_as_aborted, "went_back", []),
    (accept_any_sequence, "ran_twice", ["late_copies"]),
]
#: Variants whose violation shows only at the end of a day.
SLOW_VARIANTS: list[tuple[Patch, str]] = [
    (starve_a_team, "starved"),
    (starve_a_class, "starved"),
    (starve_the_largest_gangs, "starved"),
    (starve_unconstrained_arrays, "left_waiting"),
]


@pytest.mark.parametrize(
    ("patch", "rule", "kinds"), VARIANTS, ids=[patch.__name__ for patch, _, _ in VARIANTS]
)
def test_checker_catches(
    patch: Patch, rule: str, kinds: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    patch(monkeypatch)
    for seed in range(101, 109):
        simulation = play(seed, kinds, monkeypatch, jobs=25, trouble_s=50.0, calm_s=40.0)
        if rule in simulation.violations:
            return
    pytest.fail(f"the checker missed a variant that breaks {rule}")


@pytest.mark.parametrize(
    ("patch", "rule"), SLOW_VARIANTS, ids=[patch.__name__ for patch, _ in SLOW_VARIANTS]
)
def test_checker_catches_at_the_end_of_a_day(
    patch: Patch, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    patch(monkeypatch)
    for seed in (101, 102):
        with monkeypatch.context() as day_patch:
            simulation = play(seed, [], day_patch, jobs=25, trouble_s=20.0, calm_s=160.0)
        assert rule in simulation.violations, f"seed {seed}"


def test_checker_catches_a_job_whose_status_is_never_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The violation shows on every day on which such a job is not cancelled, and on two at least.

    Which jobs the users of a day cancel is drawn; a cancelled job has its final answer.
    """
    refuse_status_of_some_jobs(monkeypatch)
    days = 0
    for seed in range(101, 107):
        with monkeypatch.context() as day_patch:
            simulation = play(seed, [], day_patch, jobs=25, trouble_s=20.0, calm_s=160.0)
        if any(
            job.endswith("7")
            for job in simulation.rules.reported_stages.keys() - simulation.rules.cancel_requested
        ):
            days += 1
            assert "forgotten" in simulation.violations, f"seed {seed}"
        if days == 2:
            return
    pytest.fail("too few days had a job whose status is never answered")


def test_variants_cover_the_rules() -> None:
    assert {rule for _, rule, _ in VARIANTS} == {
        "ran_twice",
        "quota",
        "wrong_place",
        "ran_cancelled",
        "forgotten",
        "invented",
        "not_done",
        "went_back",
    }
