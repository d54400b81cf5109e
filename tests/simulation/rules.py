"""The rules that hold under every fault, checked at each step and at each answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from tests.fakes.worker import FakeTask, FakeWorker

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

CHECK_INTERVAL_S = 0.1
#: How long a question may go unanswered once the faults are over.
MAX_UNANSWERED_S = 75.0
#: How long a job may be left waiting then though there is room, and how often it is looked.
MAX_WAITING_S = 90.0
WAITING_CHECK_INTERVAL_S = 5.0
#: Tasks of the largest gangs, and how soon they must begin.
LARGEST_GANG_TASKS = 4
MAX_LARGEST_GANG_WAIT_S = 240.0
FINAL_STAGES = ("done", "aborted")
#: Rounding of resources that were added up.
EPSILON = 1e-6


class RuleChecker:
    """Judges what runs on the machines, and what users are told."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.reported_stages: dict[str, str] = {}  # what users were told last, by job
        self.end_reported_at: dict[str, float] = {}  # by when a user was first told of the end
        self.last_answer_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.cancel_confirmed_at: dict[str, float] = {}
        self.faults_over_at: float | None = None  # from then on all faults are over
        self._placeable_since: dict[str, float] = {}
        self._waiting_checked_at = 0.0

    def end_is_reported(self, job: str) -> bool:
        """Whether a user was told that a job is done or aborted."""
        return self.reported_stages.get(job) in FINAL_STAGES

    # -- tasks on machines -------------------------------------------------------

    def check_start(self, worker: FakeWorker, task: FakeTask) -> None:
        """A task starts: no other copy of it runs, and the machine is one that it may have."""
        simulation = self._simulation
        for other in simulation.cloud.workers.values():
            for present in other.active_tasks():
                if present is not task and present.task_name == task.task_name:
                    simulation.record_violation(
                        "ran_twice", f"{task.task_name} on {worker.name} and {other.name}"
                    )
        self._check_zone(worker, task)
        if not task.spec["drones"] and worker.spot:
            simulation.record_violation("wrong_place", f"{task.task_name} on a spot machine")

    def _check_zone(self, worker: FakeWorker, task: FakeTask) -> None:
        simulation, spec = self._simulation, task.spec
        if spec.get("apiary") and worker.zone != spec["apiary"]:
            simulation.record_violation("wrong_place", f"{task.task_name} in {worker.zone}")
        zones = [
            other.zone
            for other in simulation.cloud.workers.values()
            for present in other.active_tasks()
            if present.job == task.job and present is not task
        ]
        if spec["same_place"] and any(zone != worker.zone for zone in zones):
            simulation.record_violation("wrong_place", f"{task.task_name} not in its job's zone")
        if spec["scatter"] and zones.count(worker.zone) + 1 > (spec["frames"] + 1) // 2:
            simulation.record_violation(
                "wrong_place", f"{task.task_name}: too many in {worker.zone}"
            )

    def check_running_tasks(self) -> None:
        """No task outlives its job's cancellation, and no team is above its limit."""
        simulation = self._simulation
        used_gpus: dict[str, float] = {}
        for worker in simulation.cloud.workers.values():
            for task in worker.active_tasks():
                team = task.spec["crew"]
                used_gpus[team] = used_gpus.get(team, 0.0) + task.spec["cards"]
                self._check_cancelled(worker, task)
        for team in simulation.settings.cluster.teams:
            # A limit of 0 means none.
            if team.gpus_max and used_gpus.get(team.name, 0.0) > team.gpus_max + EPSILON:
                simulation.record_violation("quota", f"{team.name} uses {used_gpus[team.name]}")

    def _check_cancelled(self, worker: FakeWorker, task: FakeTask) -> None:
        simulation = self._simulation
        confirmed_at = self.cancel_confirmed_at.get(task.job)
        max_s = simulation.settings.cluster.workers.cancel_s + 2 * CHECK_INTERVAL_S
        if confirmed_at is not None and simulation.clock.now - confirmed_at > max_s:
            simulation.record_violation("ran_cancelled", f"{task.task_name} on {worker.name}")

    # -- what users are told -----------------------------------------------------

    def check_answer(
        self, job: str, status: int, body: Any, is_submission: bool, sent_at: float | None = None
    ) -> None:
        """A user got an answer about a job. To a question that was `sent_at` before the user
        was told of its end, an older answer is no fault."""
        if sent_at is not None and sent_at < self.end_reported_at.get(job, 0.0):
            return
        known = job in self.reported_stages
        if status in (HTTPStatus.OK, HTTPStatus.CREATED):
            self.last_answer_at[job] = self._simulation.clock.now
        if status == HTTPStatus.NOT_FOUND and known:
            self._simulation.record_violation("forgotten", job)
        if (
            is_submission
            and status in (HTTPStatus.BAD_REQUEST, HTTPStatus.UNPROCESSABLE_ENTITY)
            and known
        ):
            self._simulation.record_violation("forgotten", f"{job} refused on repeat")
        if status not in (HTTPStatus.OK, HTTPStatus.CREATED):
            return
        if job not in self._simulation.users.specs:
            self._simulation.record_violation("invented", job)
            return
        self._check_stage(job, body["stage"])
        self._record_stage(job, body["stage"])

    def _check_stage(self, job: str, stage: str) -> None:
        simulation = self._simulation
        before = self.reported_stages.get(job)
        if before in FINAL_STAGES and stage != before:
            simulation.record_violation("went_back", f"{job}: {before}, then {stage}")
        if stage == "aborted" and job not in self.cancel_requested:
            simulation.record_violation("went_back", f"{job} aborted by nobody")
        if stage == "done":
            tasks = simulation.users.specs[job]["frames"]
            if any((job, index) not in simulation.tasks.completed for index in range(tasks)):
                simulation.record_violation("not_done", job)

    def _record_stage(self, job: str, stage: str) -> None:
        now = self._simulation.clock.now
        if stage == "aborted":
            self.cancel_confirmed_at.setdefault(job, now)
        if not self.end_is_reported(job):
            self.reported_stages[job] = stage
            if stage in FINAL_STAGES:
                self.end_reported_at[job] = now

    def check_answered(self) -> None:
        """Once all faults are over, every accepted job is answered for."""
        if self.faults_over_at is None:
            return
        simulation = self._simulation
        for job in simulation.users.polled & self.reported_stages.keys():
            last = max(self.faults_over_at, self.last_answer_at.get(job, 0.0))
            if simulation.clock.now - last > MAX_UNANSWERED_S:
                simulation.record_violation(
                    "forgotten", f"{job}: no question answered for {MAX_UNANSWERED_S} s"
                )
                simulation.users.polled.discard(job)

    # -- jobs that wait ----------------------------------------------------------

    def check_waiting(self) -> None:
        """Once all faults are over, no job waits while there is room for it."""
        simulation, now = self._simulation, self._simulation.clock.now
        if self.faults_over_at is None or now < self.faults_over_at:
            return
        if now - self._waiting_checked_at < WAITING_CHECK_INTERVAL_S:
            return
        self._waiting_checked_at = now
        placed, used_gpus = self._placed_tasks()
        for job in simulation.users.polled & self.reported_stages.keys():
            if self._is_placeable(job, placed, used_gpus):
                since = self._placeable_since.setdefault(job, now)
                if now - since > MAX_WAITING_S:
                    simulation.record_violation("left_waiting", job)
                    self._placeable_since[job] = now
            else:
                self._placeable_since.pop(job, None)

    def _placed_tasks(self) -> tuple[set[tuple[str, int]], dict[str, float]]:
        """All tasks on machines, and the GPUs that each team uses with them."""
        placed: set[tuple[str, int]] = set()
        used_gpus: dict[str, float] = {}
        for worker in self._simulation.cloud.workers.values():
            for task in worker.tasks.values():
                if task.state != "ended":
                    placed.add((task.job, task.index))
                    team = task.spec["crew"]
                    used_gpus[team] = used_gpus.get(team, 0.0) + task.spec["cards"]
        return placed, used_gpus

    def _is_placeable(
        self, job: str, placed: set[tuple[str, int]], used_gpus: dict[str, float]
    ) -> bool:
        """Whether a task of an array, or a whole gang, waits though there is room."""
        spec = self._simulation.users.specs[job]
        completed = self._simulation.tasks.completed
        waiting = [
            index
            for index in range(spec["frames"])
            if (job, index) not in placed and (job, index) not in completed
        ]
        if not waiting or spec["lane"] == "broken" or self.end_is_reported(job):
            return False
        is_gang = spec["shape"] == "gang"
        if is_gang and len(waiting) < spec["frames"]:
            return False
        needed = len(waiting) if is_gang else 1
        if not self._is_within_limit(spec, needed, used_gpus):
            return False
        if not is_gang and (spec["same_place"] or spec["scatter"]):
            return False  # its other tasks may bind it to a zone
        return self._free_slots(spec) >= needed

    def _is_within_limit(
        self, spec: dict[str, Any], needed: int, used_gpus: dict[str, float]
    ) -> bool:
        """Whether so many more tasks stay within their team's limit."""
        teams = self._simulation.settings.cluster.teams
        limit = next(team.gpus_max for team in teams if team.name == spec["crew"])
        used = used_gpus.get(spec["crew"], 0.0)
        return not limit or used + needed * spec["cards"] <= limit + EPSILON

    def _free_slots(self, spec: dict[str, Any]) -> int:
        """How many tasks of a job the machines have room for, where its tasks may be together."""
        slots: dict[str, int] = {}
        for worker in self._simulation.cloud.workers.values():
            if worker.accepts(spec):
                slots[worker.zone] = slots.get(worker.zone, 0) + worker.free_slots(spec)
        if spec["scatter"]:
            half = (spec["frames"] + 1) // 2
            slots = {zone: min(half, count) for zone, count in slots.items()}
        return max(slots.values(), default=0) if spec["same_place"] else sum(slots.values())

    def check_starvation(self) -> None:
        """At a day's end: of each class, team and largest size, half was served or more."""
        for name, jobs in self._service_groups().items():
            served = [job for job in jobs if self._was_served(job, name == "largest")]
            if 2 * len(served) < len(jobs):
                self._simulation.record_violation(
                    "starved", f"{name}: {len(served)} of {len(jobs)}"
                )

    def _service_groups(self) -> dict[str, list[str]]:
        """The accepted jobs that should be served, by class, by team, and the largest gangs."""
        groups: dict[str, list[str]] = {}
        for job in self.reported_stages:
            spec = self._simulation.users.specs[job]
            if job in self.cancel_requested or spec["lane"] == "broken":
                continue
            groups.setdefault(f"class {spec['lane']}", []).append(job)
            groups.setdefault(f"team {spec['crew']}", []).append(job)
            if spec["shape"] == "gang" and spec["frames"] == LARGEST_GANG_TASKS:
                groups.setdefault("largest", []).append(job)
        return groups

    def _was_served(self, job: str, is_largest_gang: bool) -> bool:
        """Whether a job has begun, and as early as the largest gangs must if `is_largest_gang`."""
        simulation = self._simulation
        first_start_at = simulation.tasks.first_start_at.get(job)
        if first_start_at is None or not is_largest_gang:
            return first_start_at is not None
        return first_start_at - simulation.users.submitted_at[job] <= MAX_LARGEST_GANG_WAIT_S
