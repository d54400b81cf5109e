"""Scripted scenarios: a small simulated cluster whose jobs and faults are set by a test."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import curio
import pytest

from tests.fakes.controllers import start_controller, stop_controller
from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.fakes.worker import FakeTask, FakeWorker
from tests.job_specs import submission_fields
from tests.simulation.deployment import SETTLING_S, Simulation
from tests.simulation.rules import CHECK_INTERVAL_S
from tests.versions import fencing_token, has_loaded
from topazhold.io.http import NoResponseError, RequestNotSentError
from topazhold.wire.codec import unpack

#: Heartbeat interval, worker lease and cancellation deadline of each site, in seconds.
SITES = {"hive": (2.0, 13.0, 33.0), "maps": (4.0, 24.0, 49.0)}
#: Run time of a task that does not end within a scenario; also stands for the removal time
#: of a task that is still there.
LONG_RUN_S = 5000.0
#: Upper bound of the time a message is in flight.
MAX_MESSAGE_DELAY_S = 0.05
#: Interval between checks of a condition that a test waits for.
POLL_INTERVAL_S = 0.01
#: Timeout of a request that a test sends as a user.
REQUEST_TIMEOUT_S = 5.0


class Scenario(Simulation):
    """A simulation whose users and faults are driven by a test."""

    def __init__(self, clock: VirtualTime, seed: int, site: str) -> None:
        super().__init__(clock, seed, capacity=8)
        for settings in self.controller_settings.values():
            workers = settings.cluster.workers
            workers.heartbeat_interval_s, workers.lease_s, workers.cancel_s = SITES[site]
            settings.cluster.teams[0].gpus_max = settings.cluster.teams[1].gpus_max = 100.0
        self.worker_settings = self.settings.cluster.workers
        self.job_number = 0
        self.tasks_removed_at: dict[str, float] = {}  # by cancelled job: removal of its last task
        self.started_after_confirmation: list[str] = []  # tasks, by name
        self.launched_after_confirmation: list[str] = []  # tasks whose launch was sent after it
        self.background_users: list[Any] = []

    def task_launched(self, worker: FakeWorker, task_name: str) -> None:
        super().task_launched(worker, task_name)
        at = self.rules.cancel_confirmed_at.get(task_name.partition("/")[0])
        if at is not None and self.clock.now - at > MAX_MESSAGE_DELAY_S:
            self.launched_after_confirmation.append(task_name)

    def task_started(self, worker: FakeWorker, task: FakeTask) -> None:
        if task.job in self.rules.cancel_confirmed_at:
            self.started_after_confirmation.append(task.task_name)
        super().task_started(worker, task)

    def check_running_tasks(self) -> None:
        super().check_running_tasks()
        active_jobs = {
            task.job
            for worker in self.cloud.workers.values()
            for task in worker.tasks.values()
            if task.state != "ended"
        }
        for job in self.rules.cancel_confirmed_at:
            if job in active_jobs:
                self.tasks_removed_at.pop(job, None)
            else:
                self.tasks_removed_at.setdefault(job, self.clock.now)

    def longest_removal_s(self) -> float:
        """Return the longest time from a confirmed cancellation to the removal of the last task."""
        return max(
            self.tasks_removed_at.get(job, LONG_RUN_S) - at
            for job, at in self.rules.cancel_confirmed_at.items()
        )

    # -- actions and queries of a test -----------------------------------------------------

    async def start(self, machines: int = 6) -> None:
        """Start all controllers and `machines` machines, and wait for a leader."""
        for name in self.controller_names:
            await start_controller(self, name)
        for number in range(machines):
            await self.cloud.add("ab"[number % 2], False)
        await curio.spawn(self.run_steps, daemon=True)
        await self.wait_until(lambda: self.leader() is not None)

    async def wait_until(self, condition: Callable[[], Any], max_s: float = 60.0) -> None:
        """Wait until `condition` is true; fail the test after `max_s` seconds."""
        end = self.clock.now + max_s
        while not condition():
            assert self.clock.now < end, "timed out waiting for a condition"
            await curio.sleep(POLL_INTERVAL_S)

    def leader(self) -> str | None:
        """Return the loaded leader with the highest fencing token."""
        leading = [
            (fencing_token(controller), name)
            for name, controller in self.controllers.items()
            if has_loaded(controller)
        ]
        return max(leading)[1] if leading else None

    def other_controllers(self, name: str | None) -> list[str]:
        """Return the running controllers other than `name`."""
        return [
            other for other in self.controller_names if other != name and other in self.controllers
        ]

    def random_controller(self) -> str:
        """Return a random controller, which may be stopped."""
        return self.rng.choice(self.controller_names)

    def present_jobs(self) -> set[str]:
        """Return the jobs with a task that has started and not ended."""
        return {
            task.job for worker in self.cloud.workers.values() for task in worker.active_tasks()
        }

    async def submit(self, via: str, run_s: float = LONG_RUN_S, **changes: Any) -> str:
        """Submit a job through controller `via`, which must accept it, and return its id."""
        self.job_number += 1
        spec = {
            **self.users.draw_spec(self.job_number),
            "lane": "fill",
            "shape": "batch",
            "frames": 3,
            "cards": 1.0,
            "vcpus": 1.0,
            "ram_gb": 1.0,
            "image_gb": 1.0,
            "apiary": None,
            "same_place": False,
            "urgency": "normal",
            "drones": False,
            "cap_s": 0.0,
            "forage_s": run_s,
            **submission_fields(changes),
        }
        job = str(spec["id"])
        self.users.specs[job] = spec
        self.tasks.job_run_s[job] = run_s
        self.users.submitted_at[job] = self.clock.now
        status, body = await self.request(via, "POST", "/api/jobs", spec)
        self.rules.check_answer(job, status, body, True)
        assert status == HTTPStatus.CREATED, status
        return job

    async def submit_running_jobs(self, count: int, via: str, **changes: Any) -> list[str]:
        """Submit `count` jobs, wait until all their tasks run, and return the jobs' ids."""
        jobs = [await self.submit(via, **changes) for _ in range(count)]
        tasks = sum(self.users.specs[job]["frames"] for job in jobs)

        def all_running() -> bool:
            states = [
                task.state
                for worker in self.cloud.workers.values()
                for task in worker.tasks.values()
                if task.job in jobs
            ]
            return states.count("running") == tasks

        await self.wait_until(all_running, 120.0)
        return jobs

    async def request(self, via: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Send a request to controller `via`; the status is 0 if no answer arrives."""
        try:
            status, data = await self.network.request(
                "user", via, method, path, body, REQUEST_TIMEOUT_S
            )
        except (RequestNotSentError, NoResponseError):
            return 0, None
        return status, unpack(data) if data else None

    async def cancel(self, job: str, via: str) -> int:
        """Cancel a job through one controller; the rule checker checks the answer."""
        self.rules.cancel_requested.add(job)
        status, body = await self.request(via, "POST", f"/api/jobs/{job}/cancel", {})
        self.rules.check_answer(job, status, body, False)
        return status

    async def poll(self, job: str, via: str) -> tuple[int, Any]:
        """Query a job through one controller; the rule checker checks the answer."""
        sent = self.clock.now
        status, body = await self.request(via, "GET", f"/api/jobs/{job}", None)
        self.rules.check_answer(job, status, body, False, sent)
        return status, body

    async def stop(self, name: str) -> None:
        """Kill a controller."""
        await stop_controller(self, name)

    async def start_again(self, name: str, after_s: float = 0.0) -> None:
        """Start a controller after `after_s` seconds, unless it is running by then."""
        await curio.sleep(after_s)
        if name not in self.controllers:
            await start_controller(self, name)

    async def wait_for_new_leader(self, old_leader: str | None, max_s: float = 30.0) -> str:
        """Wait until a controller other than `old_leader` leads, and return it."""
        await self.wait_until(lambda: self.leader() not in (None, old_leader), max_s)
        new_leader = self.leader()
        assert new_leader is not None
        return new_leader

    def cut_off(self, one: str, others: list[str]) -> None:
        """Drop all messages between one host or zone and each of `others`."""
        self.network.cuts |= {frozenset((one, other)) for other in others if other != one}

    def busy_workers(self) -> list[FakeWorker]:
        """Return the workers with a task that has started and not ended."""
        return [worker for worker in self.cloud.workers.values() if worker.active_tasks()]

    # -- background users --------------------------------------------------

    async def run_users(self, jobs: int, duration_s: float) -> None:
        """Start users that submit, poll and cancel jobs, over about `duration_s` seconds.

        Each user goes on in the background until its job has ended.
        """
        for number in range(jobs):
            user = await curio.spawn(self.users.follow_job, 500000 + number, daemon=True)
            self.background_users.append(user)
            await curio.sleep(self.rng.uniform(0.0, 2 * duration_s / jobs))

    async def wait_for_all_users(self, max_s: float = 500.0) -> None:
        """Assert that, once the faults are over, every job ends and none starves."""
        self.rules.faults_over_at = self.clock.now + SETTLING_S
        await self.wait_until(lambda: all(user.terminated for user in self.background_users), max_s)
        assert not self.users.polled
        self.rules.check_starvation()


def run_scenario(
    act: Callable[[Scenario], Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
    site: str = "hive",
    seed: int = 1,
) -> Scenario:
    """Run `act` on a new scenario and return it; the caller checks the rules."""
    scenarios: list[Scenario] = []

    async def main(clock: VirtualTime) -> None:
        scenario = Scenario(clock, seed, site)
        scenarios.append(scenario)
        await act(scenario)
        await curio.sleep(2 * CHECK_INTERVAL_S)
        for name in list(scenario.controllers):
            await stop_controller(scenario, name)

    run_virtual(main, monkeypatch)
    return scenarios[0]


def assert_no_violations(scenario: Scenario) -> None:
    """Assert that no rule was violated; a failure shows the last notes of the run."""
    assert scenario.violations == [], "\n".join(scenario.notes[-40:])
