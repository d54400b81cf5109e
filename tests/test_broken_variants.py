"""The checker of the random days must catch a broken variant of each main rule."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.random_days import play
from tests.simulation.rules import LARGEST_GANG_TASKS
from topazhold.control import users as users_module
from topazhold.core import (
    array_placement,
    binding_reservations,
    failover,
    quota,
    records,
    replica_placement,
)
from topazhold.core.binding_reservations import BindingReservations
from topazhold.core.eviction import Eviction
from topazhold.core.failure_detection import FailureDetection
from topazhold.core.job_queue import JobQueue
from topazhold.core.jobs import Job
from topazhold.core.scheduler import Scheduler
from topazhold.core.task_reconciliation import TaskReconciliation
from topazhold.core.worker_commands import WorkerCommands
from topazhold.io.http import Response
from topazhold.wire import messages as wire

Patch = Callable[[pytest.MonkeyPatch], None]


def forget_intents(patch: pytest.MonkeyPatch) -> None:
    """A new leader that does not believe in its predecessor's intents."""
    patch.setattr(failover, "_adopt", lambda *args: None)
    patch.setattr(TaskReconciliation, "_on_orphan", lambda *args: None)


def trust_silence(patch: pytest.MonkeyPatch) -> None:
    """Tasks of a silent machine are placed again without proof."""

    def check_machine(self: FailureDetection, machine: Any, now: float) -> None:
        cluster = self._cluster
        if cluster.silence_s(machine, now) > 2 * cluster.heartbeat_interval_s:
            for run in list(machine.attempts.values()):
                cluster.remove_attempt(run, now)

    patch.setattr(FailureDetection, "check_machine", check_machine)


def no_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota.Usage, "allows", lambda *args, **kwargs: True)


def any_place(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(binding_reservations, "placement_allowed", lambda *args: True)
    patch.setattr(array_placement, "placement_allowed", lambda *args: True)
    patch.setattr(BindingReservations, "_rejection_reason", lambda *args: None)
    patch.setattr(array_placement, "choose_shared_zone", lambda *args: None)
    patch.setattr(replica_placement, "choose_shared_zone", lambda *args: None)


def no_kills(patch: pytest.MonkeyPatch) -> None:
    """Cancelled jobs run on."""
    patch.setattr(WorkerCommands, "kills", lambda self, machine: [])
    patch.setattr(Eviction, "stop_ended_job", lambda self, job, now: None)


def forget_over(patch: pytest.MonkeyPatch) -> None:
    """Jobs that are over are not found any more."""
    patch.setattr(records, "ended_key", lambda job: f"lost/{job}/{id(object())}")


def early_done(patch: pytest.MonkeyPatch) -> None:
    """One task done passes for the whole job."""
    patch.setattr(Job, "is_complete", property(lambda self: self.completed_count > 0))


def invent(patch: pytest.MonkeyPatch) -> None:
    async def poll(self: Any, job_id: str) -> Response:
        return Response(200, wire.job_status_body(job_id, wire.PENDING))

    patch.setattr(users_module.Users, "_poll", poll)


def done_turns_aborted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(records, "ended_stage", lambda data: wire.ABORTED)


def no_answer_for_one(patch: pytest.MonkeyPatch) -> None:
    """The questions about a few jobs are never answered, all others are."""
    state = users_module.Users._status_response

    async def hidden(self: Any, job_id: str) -> Response | None:
        return Response(503) if job_id.endswith("7") else await state(self, job_id)

    patch.setattr(users_module.Users, "_status_response", hidden)


def starve(patch: pytest.MonkeyPatch, left_out: Callable[[Job], bool]) -> None:
    waiting = JobQueue.waiting_jobs
    patch.setattr(
        JobQueue,
        "waiting_jobs",
        lambda self, now: [job for job in waiting(self, now) if not left_out(job)],
    )


def starve_a_team(patch: pytest.MonkeyPatch) -> None:
    starve(patch, lambda job: job.spec.team == "blue")


def starve_a_class(patch: pytest.MonkeyPatch) -> None:
    starve(patch, lambda job: job.spec.job_class == "fill")


def starve_the_largest(patch: pytest.MonkeyPatch) -> None:
    starve(patch, lambda job: job.gang and job.spec.tasks == LARGEST_GANG_TASKS)


def leave_some_waiting(patch: pytest.MonkeyPatch) -> None:
    """Some arrays; of those that are bound to zones the checker can't judge whether there
    is room, so which jobs these days draw must not decide whether it sees any."""
    starve(patch, lambda job: not (job.gang or job.spec.same_zone or job.spec.spread_zones))


def believe_late_copies(patch: pytest.MonkeyPatch) -> None:
    """An older report counts like a new one."""
    report = Scheduler.on_heartbeat

    def heard(self: Scheduler, heartbeat: Any, *args: Any, **kwargs: Any) -> Any:
        machine = self.machines.get(heartbeat.machine)
        if machine is not None:
            machine.sequence = -1
        return report(self, heartbeat, *args, **kwargs)

    patch.setattr(Scheduler, "on_heartbeat", heard)


VARIANTS: list[tuple[Patch, str, list[str]]] = [
    (forget_intents, "ran_twice", ["crash_leader", "hang", "machine_cut"]),
    (trust_silence, "ran_twice", ["hang", "machine_cut", "zones_cut"]),
    (no_limit, "quota", []),
    (any_place, "wrong_place", []),
    (no_kills, "ran_cancelled", []),
    (forget_over, "forgotten", []),
    (early_done, "not_done", []),
    (invent, "invented", []),
    (done_turns_aborted, "went_back", []),
    (believe_late_copies, "ran_twice", ["late_copies"]),
]
#: What shows only at a day's end.
SLOW_VARIANTS: list[tuple[Patch, str]] = [
    (starve_a_team, "starved"),
    (starve_a_class, "starved"),
    (starve_the_largest, "starved"),
    (leave_some_waiting, "left_waiting"),
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
def test_checker_catches_at_the_days_end(
    patch: Patch, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    patch(monkeypatch)
    for seed in (101, 102):
        with monkeypatch.context() as of_day:
            simulation = play(seed, [], of_day, jobs=25, trouble_s=20.0, calm_s=160.0)
        assert rule in simulation.violations, f"seed {seed}"


def test_checker_catches_a_job_that_nobody_answers_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """On every day on which the user of such a job does not cancel it, and on two at least.

    Which jobs a day's users cancel is drawn; a cancelled one has its final answer.
    """
    no_answer_for_one(monkeypatch)
    days = 0
    for seed in range(101, 107):
        with monkeypatch.context() as of_day:
            simulation = play(seed, [], of_day, jobs=25, trouble_s=20.0, calm_s=160.0)
        if any(
            job.endswith("7")
            for job in simulation.rules.reported_stages.keys() - simulation.rules.cancel_requested
        ):
            days += 1
            assert "forgotten" in simulation.violations, f"seed {seed}"
        if days == 2:
            return
    pytest.fail("too few days had a job that is not answered for")


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
