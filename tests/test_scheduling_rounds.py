"""When a round of planning is worth its while: only after something that it depends on."""

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


def stops(harness: SchedulerHarness) -> list[tuple[str, int, float | None]]:
    """All tasks on machines, with the grace of those that were told to stop."""
    return sorted(
        (attempt.task_name, attempt.attempt_number, attempt.stop_grace_s)
        for machine in harness.scheduler.machines.values()
        for attempt in machine.attempts.values()
    )


class Day:
    """Random events at a scheduler, one at a time."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.harness = SchedulerHarness(machines=6)
        self.serial = 0
        self.number = 0
        self.silent: str | None = None  # a machine that does not report by itself

    def new_job(self) -> None:
        self.number += 1
        rng = self.rng
        spec = make_spec(
            self.number,
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
        """A hold, as its controller would write it."""
        scheduler = self.harness.scheduler
        job = scheduler.jobs[job_id]
        self.serial += 1
        slots: dict[str, int] = {}
        for _ in range(job.spec.tasks):
            name = self.rng.choice(list(scheduler.machines))
            slots[name] = slots.get(name, 0) + 1
        self.harness.reserve(job, slots, self.serial)
        scheduler.changes += 1  # as the watch of the holds tells

    def book_again(self) -> None:
        scheduler = self.harness.scheduler
        gangs = [
            job.id
            for job in scheduler.jobs.values()
            if job.gang and scheduler.needs_reservation(job)
        ]
        if gangs:
            self.reserve(self.rng.choice(gangs))

    def progress(self) -> None:
        """A worker's tasks move on, and it reports."""
        name = self.rng.choice(list(self.harness.scheduler.machines))
        for task_name in self.harness.tasks[name].values():
            if self.rng.random() < 0.6:
                task_name.state, task_name.cause = {
                    "pulling": ("gathering", None),
                    "gathering": ("running", None),
                    "running": self.rng.choice((("running", None), ("ended", "done"))),
                }.get(task_name.state, (task_name.state, task_name.cause))
        self.harness.heartbeat(name)

    def report(self) -> None:
        self.harness.heartbeat(self.rng.choice(list(self.harness.scheduler.machines)))

    def begin_incarnation(self) -> None:
        name = self.rng.choice(list(self.harness.scheduler.machines))
        self.harness.tasks[name].clear()
        incarnation = self.harness.scheduler.machines[name].incarnation + 1
        self.harness.heartbeat(name, incarnation=incarnation)

    def newcomer(self) -> None:
        """A machine reports for the first time."""
        count = len(self.harness.scheduler.machines)
        if count < 12:
            self.harness.heartbeat(f"host-{count}", zone=self.rng.choice("ab"))

    def comes_back(self) -> None:
        """A machine that was silent for a while reports, another one falls silent."""
        if self.silent is not None:
            self.harness.heartbeat(self.silent)
        self.silent = self.rng.choice(list(self.harness.scheduler.machines))

    def cancel(self) -> None:
        live = [j.id for j in self.harness.scheduler.jobs.values() if j.state is JobState.LIVE]
        if live:
            now = self.harness.now
            self.harness.scheduler.on_job_ended(self.rng.choice(live), False, now, now)

    def tick(self) -> None:
        self.harness.scheduler.tick(self.harness.now)

    def event(self) -> str:
        often = ("new_job", "book_again", "progress", "progress", "report", "report", "tick")
        seldom = ("begin_incarnation", "cancel", "newcomer", "comes_back")
        kind = self.rng.choice((*often, *seldom))
        getattr(self, kind)()
        return kind

    def settle(self) -> None:
        """Plan until nothing more is found at this time."""
        while self.harness.plan_and_commit():
            pass

    def later(self) -> None:
        """A part of a heartbeat interval, within which every machine reports."""
        self.harness.now += (
            self.rng.uniform(0.05, 1.0) * self.harness.scheduler.heartbeat_interval_s
        )
        for name in list(self.harness.scheduler.machines):
            if name != self.silent:
                self.harness.heartbeat(name)
        self.tick()


@pytest.mark.parametrize("seed", range(8))
def test_a_round_finds_nothing_more_until_the_count_of_changes_moves(seed: int) -> None:
    """Seen to fail without the count of new jobs, of tasks that are gone, and of gangs that
    change their state."""
    day = Day(seed)
    skipped = planned = 0
    for _ in range(400):
        if day.rng.random() < 0.4:
            day.later()
        day.settle()
        counted, before = day.harness.scheduler.changes, stops(day.harness)
        kind = day.event()
        if day.harness.scheduler.changes != counted:
            planned += 1
            continue
        skipped += 1
        assert stops(day.harness) == before, kind
        assert day.harness.scheduler.plan(day.harness.now) == [], f"{kind} was not counted"
        assert stops(day.harness) == before, f"{kind} was not counted"
    assert skipped > 100 and planned > 50
    assert day.serial > 10, "hardly a gang was booked"


def test_heartbeats_that_say_nothing_new_are_not_counted() -> None:
    """However many machines report, an unchanged fleet gives no reason to plan."""
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
        counted = harness.scheduler.changes
        for _ in range(5):
            harness.now += harness.scheduler.heartbeat_interval_s
            harness.all_heartbeats()
        assert harness.scheduler.changes == counted


def test_machines_that_come_back_or_are_about_to_leave_are_counted() -> None:
    """Seen to fail without the look at what a report changes of its machine."""
    harness = SchedulerHarness(machines=2)
    counted = harness.scheduler.changes
    harness.now += 4 * harness.scheduler.heartbeat_interval_s
    harness.heartbeat("host-0")
    assert harness.scheduler.changes > counted, "it was silent, and takes work again"
    counted = harness.scheduler.changes
    harness.heartbeat("host-0", notice_s=20.0)
    assert harness.scheduler.changes > counted, "it takes no more work"


@pytest.mark.parametrize("seed", range(8))
def test_what_a_round_remembers_changes_no_decision(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The same day with every hold checked and every array's room looked for anew."""

    class Forgetful(set[object]):
        def add(self, kind: object) -> None:
            pass

    def play(forgets: bool) -> tuple[list[object], int]:
        looks = 0
        with monkeypatch.context() as patch:
            if forgets:
                patch.setattr(BindingReservations, "_is_check_due", lambda *args: True)
            fault = BindingReservations._rejection_reason

            def counted(self: BindingReservations, *args: Any) -> str | None:
                nonlocal looks
                looks += 1
                return fault(self, *args)

            patch.setattr(BindingReservations, "_rejection_reason", counted)
            survey = SchedulingRounds._survey

            def forget(self: SchedulingRounds, *args: Any) -> FleetSurvey:
                found = survey(self, *args)
                found.unplaceable_requests = Forgetful()
                return found

            if forgets:
                patch.setattr(SchedulingRounds, "_survey", forget)
            day = Day(seed)
            story: list[object] = []
            for _ in range(300):
                if day.rng.random() < 0.4:
                    day.later()
                day.settle()
                story.append((day.event(), stops(day.harness)))
            return story, looks

    remembered, few = play(forgets=False)
    anew, many = play(forgets=True)
    assert remembered == anew
    assert few <= many
