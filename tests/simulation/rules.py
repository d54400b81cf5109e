"""The rules that must hold under every fault, checked at each step and each answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from tests.fakes.worker import FakeTask, FakeWorker

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

#: Seconds between two steps of a simulation.
CHECK_INTERVAL_S = 0.1
#: Longest time without a successful answer about a job once the faults are over.
MAX_UNANSWERED_S = 75.0
#: Longest time for which a job may wait despite free capacity once the faults are over, and the
#: interval between checks of that.
MAX_WAITING_S = 90.0
WAITING_CHECK_INTERVAL_S = 5.0
#: Tasks of the largest gangs, and the time within which they must start.
LARGEST_GANG_TASKS = 4
MAX_LARGEST_GANG_WAIT_S = 240.0
FINAL_STAGES = ("done", "aborted")
#: Tolerance for rounding errors of summed resources.
EPSILON = 1e-6


class RuleChecker:
    """Checks the tasks on the machines and the answers to users against the rules."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.reported_stages: dict[str, str] = {}  # last stage reported to users, by job
        self.end_reported_at: dict[str, float] = {}  # time of the first report of a job's end
        self.last_answer_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.cancel_confirmed_at: dict[str, float] = {}
        self.faults_over_at: float | None = None  # no fault is active from this time on
        self._placeable_since: dict[str, float] = {}
        self._waiting_checked_at = 0.0

    def end_is_reported(self, job: str) -> bool:
        """Return whether a user has been told that a job is done or aborted."""
        return self.reported_stages.get(job) in FINAL_STAGES

    # -- tasks on machines -------------------------------------------------------

    def check_start(self, worker: FakeWorker, task: FakeTask) -> None:
        """Check that a starting task does not run elsewhere, and that its machine is allowed."""
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
        """Check that no task outlives its job's cancellation and no team exceeds its limit."""
        simulation = self._simulation
        used_gpus: dict[str, float] = {}
        for worker in simulation.cloud.workers.values():
            for task in worker.active_tasks():
                team = task.spec["crew"]
                used_gpus[team] = used_gpus.get(team, 0.0) + task.spec["cards"]
                self._check_cancelled(worker, task)
        for team in simulation.settings.cluster.teams:
            # A limit of 0 means that the team has no limit.
            if team.gpus_max and used_gpus.get(team.name, 0.0) > team.gpus_max + EPSILON:
                simulation.record_violation("quota", f"{team.name} uses {used_gpus[team.name]}")

    def _check_cancelled(self, worker: FakeWorker, task: FakeTask) -> None:
        simulation = self._simulation
        confirmed_at = self.cancel_confirmed_at.get(task.job)
        max_s = simulation.settings.cluster.workers.cancel_s + 2 * CHECK_INTERVAL_S
        if confirmed_at is not None and simulation.clock.now - confirmed_at > max_s:
            simulation.record_violation("ran_cancelled", f"{task.task_name} on {worker.name}")

    # -- answers to users --------------------------------------------------------

    def check_answer(
        self, job: str, status: int, body: Any, is_submission: bool, sent_at: float | None = None
    ) -> None:
        """Check an answer to a user about a job.

        An answer to a request sent before the user was told of the job's end may be outdated;
        it is ignored if `sent_at` shows that.
        """
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
        """Check that requests about every accepted job are answered once the faults are over."""
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

    # -- waiting jobs ------------------------------------------------------------

    def check_waiting(self) -> None:
        """Check that no job waits despite free capacity once the faults are over."""
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
        """Return all unended tasks on machines, and the GPUs that they use per team."""
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
        """Return whether an array task or a complete gang waits despite free capacity."""
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
            return False  # the job's other tasks may restrict it to a zone
        return self._free_slots(spec) >= needed

    def _is_within_limit(
        self, spec: dict[str, Any], needed: int, used_gpus: dict[str, float]
    ) -> bool:
        """Return whether `needed` more tasks stay within their team's limit."""
        teams = self._simulation.settings.cluster.teams
        limit = next(team.gpus_max for team in teams if team.name == spec["crew"])
        used = used_gpus.get(spec["crew"], 0.0)
        return not limit or used + needed * spec["cards"] <= limit + EPSILON

    def _free_slots(self, spec: dict[str, Any]) -> int:
        """Return how many tasks of a job fit on the machines under its zone constraints."""
        slots: dict[str, int] = {}
        for worker in self._simulation.cloud.workers.values():
            if worker.accepts(spec):
                slots[worker.zone] = slots.get(worker.zone, 0) + worker.free_slots(spec)
        if spec["scatter"]:
            half = (spec["frames"] + 1) // 2
            slots = {zone: min(half, count) for zone, count in slots.items()}
        return max(slots.values(), default=0) if spec["same_place"] else sum(slots.values())

    def check_starvation(self) -> None:
        """Check that at least half of the jobs per class and team and of the largest gangs ran."""
        for name, jobs in self._service_groups().items():
            served = [job for job in jobs if self._was_served(job, name == "largest")]
            if 2 * len(served) < len(jobs):
                self._simulation.record_violation(
                    "starved", f"{name}: {len(served)} of {len(jobs)}"
                )

    def _service_groups(self) -> dict[str, list[str]]:
        """Return the accepted jobs that should run, by class, by team, and the largest gangs."""
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
        """Return whether a job has started, and in time if it is one of the largest gangs."""
        simulation = self._simulation
        first_start_at = simulation.tasks.first_start_at.get(job)
        if first_start_at is None or not is_largest_gang:
            return first_start_at is not None
        return first_start_at - simulation.users.submitted_at[job] <= MAX_LARGEST_GANG_WAIT_S
