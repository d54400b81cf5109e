"""A scheduling round is needed only after a change that its result depends on."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core.binding_reservations import BindingReservations
from topazhold.core.fleet_survey import FleetSurvey
from topazhold.core.jobs import JobState
from topazhold.core.scheduling_round import SchedulingRounds
from topazhold.core.task_attempts import TaskAttempt


def attempts_with_grace(harness: SchedulerHarness) -> list[tuple[str, int, float | None]]:
    """Return the attempts on all machines, with the grace period of those being stopped."""
    return sorted(
        (attempt.task_name, attempt.attempt_number, attempt.stop_grace_s)
        for machine in harness.scheduler.machines.values()
        for attempt in machine.attempts.values()
    )


class RandomEvents:
    """Applies random events to a scheduler, one at a time."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.harness = SchedulerHarness(machines=6)
        self.reservation_serial = 0
        self.job_count = 0
        self.silent_machine: str | None = None  # sends no heartbeats when time advances

    def new_job(self) -> None:
        self.job_count += 1
        rng = self.rng
        spec = make_spec(
            self.job_count,
            shape=rng.choice(("gang", "batch", "batch")),
            tasks=rng.choice((1, 1, 2, 4)),
            gpus=rng.choice((1.0, 2.0, 4.0)),
            team=rng.choice(("red", "blue")),
            urgency=rng.choice(("urgent", "normal", "best_effort")),
            same_zone=False,
        )
        job = self.harness.add_job(spec)
        if job.gang:
            self.reserve(job.id)

    def reserve(self, job_id: str) -> None:
        """Reserve random machines for a gang, as the job's controller would."""
        scheduler = self.harness.scheduler
        job = scheduler.jobs[job_id]
        self.reservation_serial += 1
        slots: dict[str, int] = {}
        for _ in range(job.spec.tasks):
            name = self.rng.choice(list(scheduler.machines))
            slots[name] = slots.get(name, 0) + 1
        self.harness.reserve(job, slots, self.reservation_serial)
        scheduler.changes += 1  # the watch of the reservations counts this

    def renew_reservation(self) -> None:
        scheduler = self.harness.scheduler
        gangs = [
            job.id
            for job in scheduler.jobs.values()
            if job.gang and scheduler.needs_reservation(job)
        ]
        if gangs:
            self.reserve(self.rng.choice(gangs))

    def progress(self) -> None:
        """Advance some tasks of a worker, and send its heartbeat."""
        name = self.rng.choice(list(self.harness.scheduler.machines))
        for task in self.harness.tasks[name].values():
            if self.rng.random() < 0.6:
                task.state, task.cause = {
                    "pulling": ("gathering", None),
                    "gathering": ("running", None),
                    "running": self.rng.choice((("running", None), ("ended", "done"))),
                }.get(task.state, (task.state, task.cause))
        self.harness.heartbeat(name)

    def report(self) -> None:
        self.harness.heartbeat(self.rng.choice(list(self.harness.scheduler.machines)))

    def begin_incarnation(self) -> None:
        name = self.rng.choice(list(self.harness.scheduler.machines))
        self.harness.tasks[name].clear()
        incarnation = self.harness.scheduler.machines[name].incarnation + 1
        self.harness.heartbeat(name, incarnation=incarnation)

    def add_machine(self) -> None:
        """Send the first heartbeat of a new machine, up to 12 machines."""
        count = len(self.harness.scheduler.machines)
        if count < 12:
            self.harness.heartbeat(f"host-{count}", zone=self.rng.choice("ab"))

    def silence_another_machine(self) -> None:
        """Send a heartbeat of the silent machine, and silence another one."""
        if self.silent_machine is not None:
            self.harness.heartbeat(self.silent_machine)
        self.silent_machine = self.rng.choice(list(self.harness.scheduler.machines))

    def cancel(self) -> None:
        live_jobs = [j.id for j in self.harness.scheduler.jobs.values() if j.state is JobState.LIVE]
        if live_jobs:
            now = self.harness.now
            self.harness.scheduler.on_job_ended(self.rng.choice(live_jobs), False, now, now)

    def tick(self) -> None:
        self.harness.scheduler.tick(self.harness.now)

    def apply_random_event(self) -> str:
        frequent = (
            "new_job",
            "renew_reservation",
            "progress",
            "progress",
            "report",
            "report",
            "tick",
        )
        rare = ("begin_incarnation", "cancel", "add_machine", "silence_another_machine")
        kind = self.rng.choice((*frequent, *rare))
        getattr(self, kind)()
        return kind

    def plan_until_stable(self) -> None:
        """Plan and commit until a round places nothing more."""
        while self.harness.plan_and_commit():
            pass

    def advance_time(self) -> None:
        """Advance by part of a heartbeat interval, with a heartbeat of every machine not silent."""
        self.harness.now += (
            self.rng.uniform(0.05, 1.0) * self.harness.scheduler.heartbeat_interval_s
        )
        for name in list(self.harness.scheduler.machines):
            if name != self.silent_machine:
                self.harness.heartbeat(name)
        self.tick()


@pytest.mark.parametrize("seed", range(8))
def test_rounds_place_nothing_until_the_change_counter_moves(seed: int) -> None:
    """Guards against skipping a round that would place or preempt something.

    Fails if new jobs, tasks that are gone or gangs that change state are not counted.
    """
    events = RandomEvents(seed)
    skipped = planned = 0
    for _ in range(400):
        if events.rng.random() < 0.4:
            events.advance_time()
        events.plan_until_stable()
        changes_before, attempts_before = (
            events.harness.scheduler.changes,
            attempts_with_grace(events.harness),
        )
        kind = events.apply_random_event()
        if events.harness.scheduler.changes != changes_before:
            planned += 1
            continue
        skipped += 1
        assert attempts_with_grace(events.harness) == attempts_before, kind
        assert events.harness.scheduler.plan(events.harness.now) == [], f"{kind} was not counted"
        assert attempts_with_grace(events.harness) == attempts_before, f"{kind} was not counted"
    assert skipped > 100 and planned > 50
    assert events.reservation_serial > 10, "too few gangs were reserved"


def test_heartbeats_without_changes_are_not_counted() -> None:
    """Guards against planning after every heartbeat, however many machines send one."""
    for machines in (6, 60):
        harness = SchedulerHarness(machines)
        harness.add_job(make_spec(1, shape="batch", tasks=2, gpus=4.0))
        planned: list[TaskAttempt] = harness.plan_and_commit()
        assert len(planned) == 2
        for stage in ("pulling", "running"):
            harness.all_heartbeats()
            for attempt in planned:
                harness.set_task_states(attempt.machine, stage)
        harness.all_heartbeats()
        changes_before = harness.scheduler.changes
        for _ in range(5):
            harness.now += harness.scheduler.heartbeat_interval_s
            harness.all_heartbeats()
        assert harness.scheduler.changes == changes_before


def test_machines_that_return_or_get_a_notice_are_counted_as_changes() -> None:
    """Fails if the changes that a heartbeat makes to its machine are not counted."""
    harness = SchedulerHarness(machines=2)
    changes_before = harness.scheduler.changes
    harness.now += 4 * harness.scheduler.heartbeat_interval_s
    harness.heartbeat("host-0")
    assert harness.scheduler.changes > changes_before, "a machine that was silent takes tasks again"
    changes_before = harness.scheduler.changes
    harness.heartbeat("host-0", notice_s=20.0)
    assert harness.scheduler.changes > changes_before, "a machine under notice takes no more tasks"


@pytest.mark.parametrize("seed", range(8))
def test_caches_of_scheduling_rounds_change_no_decision(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Compares the same events with and without the caches.

    Without them, every reservation is checked and every array searched for in each round.
    """

    class AlwaysEmptySet(set[object]):
        def add(self, item: object) -> None:
            pass

    def run_events(without_caches: bool) -> tuple[list[object], int]:
        checks = 0
        with monkeypatch.context() as patch:
            if without_caches:
                patch.setattr(BindingReservations, "_is_check_due", lambda *args: True)
            rejection_reason = BindingReservations._rejection_reason

            def counted(self: BindingReservations, *args: Any) -> str | None:
                nonlocal checks
                checks += 1
                return rejection_reason(self, *args)

            patch.setattr(BindingReservations, "_rejection_reason", counted)
            survey = SchedulingRounds._survey

            def survey_without_cache(self: SchedulingRounds, *args: Any) -> FleetSurvey:
                fleet_survey = survey(self, *args)
                fleet_survey.unplaceable_requests = AlwaysEmptySet()
                return fleet_survey

            if without_caches:
                patch.setattr(SchedulingRounds, "_survey", survey_without_cache)
            events = RandomEvents(seed)
            history: list[object] = []
            for _ in range(300):
                if events.rng.random() < 0.4:
                    events.advance_time()
                events.plan_until_stable()
                history.append((events.apply_random_event(), attempts_with_grace(events.harness)))
            return history, checks

    cached_history, cached_checks = run_events(without_caches=False)
    uncached_history, uncached_checks = run_events(without_caches=True)
    assert cached_history == uncached_history
    assert cached_checks <= uncached_checks
