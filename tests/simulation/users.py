"""Simulated users, who submit, poll and cancel jobs, and send unusual requests."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import curio

from tests.fakes.worker import FakeTask
from topazhold.io.http import NoResponseError, RequestNotSentError
from topazhold.wire.codec import unpack

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

SUBMIT_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
#: Stands for the status of a request without a response.
NO_RESPONSE = 0
#: Shares of the drawn jobs: gangs (the others are arrays), jobs that must stay in one zone or
#: may use spot machines, zone-independent jobs that spread over the zones, jobs whose tasks
#: all fail, long jobs, and jobs that are cancelled.
GANG_SHARE = 0.4
SAME_ZONE_SHARE = 0.4
SPOT_SHARE = 0.5
SPREAD_SHARE = 0.5
BROKEN_SHARE = 0.05
LONG_RUN_SHARE = 0.1
CANCEL_SHARE = 0.25
#: Run time of long jobs, and the range of the others' run times.
LONG_RUN_S = 45.0
RUN_S = (2.0, 15.0)
#: Ranges of the seconds from the first submission of a job or a service to its cancellation.
CANCEL_AFTER_S = (1.0, 30.0)
SERVICE_CANCEL_AFTER_S = (20.0, 120.0)
#: Jobs whose tasks all fail are cancelled after this time, since they would never end.
BROKEN_CANCEL_AFTER_S = 25.0
#: Share of the polls of an accepted job that are replaced by a repeated submission.
REPEAT_SHARE = 0.05
#: Polls after a final answer, to check that it stays the same.
POLLS_AFTER_END = 3
#: First numbers of jobs that are never submitted, and of jobs of unusual requests.
UNKNOWN_JOB_NUMBER = 900_000
UNUSUAL_JOB_NUMBER = 700_000
#: GPUs of a task that does not fit on any machine.
TOO_MANY_GPUS = 5.0
REQUIRED_FIELDS = ["crew", "frames", "cards", "seal_s", "drones"]
FIELDS_LEFT_OUT_OF_REPEATS = ["crew", "frames", "cards"]
UNUSUAL_REQUESTS = ["repeat", "odd_repeat", "cancel_done", "huge", "lacking"]


class Users:
    """Sends the requests of all users and passes the answers to the checker."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._rng = simulation.rng
        self.specs: dict[str, dict[str, Any]] = {}
        self.submitted_at: dict[str, float] = {}
        self.polled: set[str] = set()  # jobs whose users still send requests
        self.service_share = 0.0  # share of services among the jobs
        self.cancel_at_end_share = 0.0  # share of jobs that are cancelled as they end
        self.cancelled_at_end = 0
        self.unusual_answers: dict[str, set[int]] = {}  # statuses of answers, by kind of request
        self._ending_jobs: list[str] = []

    # -- jobs --------------------------------------------------------------------

    def draw_spec(self, number: int) -> dict[str, Any]:
        """Draw a gang or an array, as the body of a submission."""
        rng = self._rng
        gang = rng.random() < GANG_SHARE
        tasks = rng.choice([1, 2, 3, 4]) if gang else rng.choice([1, 3, 6, 12])
        gpus = rng.choice([1.0, 2.0])
        return {
            "id": f"wk-{number:06d}",
            "lane": rng.choice(["train", "fill"]),
            "crew": rng.choice(["red", "blue"]),
            "shape": "gang" if gang else "batch",
            "urgency": rng.choice(["urgent", "normal", "best_effort"]),
            "frames": tasks,
            "vcpus": 4.0,
            "cards": gpus,
            "ram_gb": 8.0,
            "comb": f"img-{rng.randrange(4)}",
            "image_gb": rng.uniform(1.0, 6.0),
            "breeds": rng.choice([None, ["b1", "b9"]]),
            "apiary": rng.choice([None, None, None, "a", "b"]),
            "same_place": rng.random() < SAME_ZONE_SHARE,
            "scatter": False,
            "drones": rng.random() < SPOT_SHARE,
            "forage_s": 8.0,
            "cap_s": rng.choice([0.0, 5.0]),
            "seal_s": 1.0,
            "bloom_s": None,
        }

    def draw_service_fields(self) -> dict[str, Any]:
        """Draw the fields that turn the spec of a gang or an array into a service's."""
        return {
            "lane": "serve",
            "shape": "daemon",
            "urgency": "critical",
            "frames": self._rng.choice([2, 3, 4]),
            "vcpus": 1.0,
            "cards": self._rng.choice([0.0, 0.0, 1.0]),
            "ram_gb": 2.0,
            "image_gb": 1.0,
            "apiary": None,
            "same_place": False,
            "drones": False,
            "forage_s": 0.0,
            "cap_s": 0.0,
            "seal_s": 0.0,
        }

    def _draw_job(self, number: int) -> tuple[dict[str, Any], float | None]:
        """Draw the job that a user submits now, and the time of its cancellation or None."""
        rng, now = self._rng, self._simulation.clock.now
        spec = self.draw_spec(number)
        if not spec["same_place"] and spec["apiary"] is None and rng.random() < SPREAD_SHARE:
            spec["scatter"] = True
        service = self.service_share > 0 and rng.random() < self.service_share
        if service:
            spec.update(self.draw_service_fields())
        if rng.random() < BROKEN_SHARE:
            spec["lane"] = "broken"
        job = spec["id"]
        self.specs[job] = spec
        self.submitted_at[job] = now
        self.polled.add(job)
        long_run = rng.random() < LONG_RUN_SHARE
        self._simulation.tasks.job_run_s[job] = LONG_RUN_S if long_run else rng.uniform(*RUN_S)
        cancel_at = now + rng.uniform(*CANCEL_AFTER_S) if rng.random() < CANCEL_SHARE else None
        if spec["lane"] == "broken":
            cancel_at = now + BROKEN_CANCEL_AFTER_S
        elif service:
            cancel_at = now + rng.uniform(*SERVICE_CANCEL_AFTER_S)
        return spec, cancel_at

    # -- requests ----------------------------------------------------------------

    async def request(self, method: str, path: str, body: Any, timeout_s: float) -> tuple[int, Any]:
        """Send a request to a running controller; return `NO_RESPONSE` if there is no response."""
        simulation = self._simulation
        up = [name for name in simulation.controller_names if name in simulation.controllers]
        if not up:
            await curio.sleep(0.5)
            return NO_RESPONSE, None
        name = self._rng.choice(up)
        try:
            status, data = await simulation.network.request(
                "user", name, method, path, body, timeout_s
            )
        except (RequestNotSentError, NoResponseError):
            return NO_RESPONSE, None
        if method == "POST":
            # A duplicate may arrive after the request was carried out, even after a lease period.
            await simulation.network.maybe_duplicate("user", up, method, path, body)
        return status, unpack(data) if data else None

    async def _submit(self, spec: dict[str, Any]) -> int:
        status, body = await self.request("POST", "/api/jobs", spec, SUBMIT_TIMEOUT_S)
        self._simulation.rules.check_answer(spec["id"], status, body, True)
        return status

    async def _poll(self, job: str) -> None:
        status, body = await self.request("GET", f"/api/jobs/{job}", None, POLL_TIMEOUT_S)
        self._simulation.rules.check_answer(job, status, body, False)

    async def _cancel(self, job: str) -> None:
        status, body = await self.request("POST", f"/api/jobs/{job}/cancel", {}, SUBMIT_TIMEOUT_S)
        self._simulation.rules.check_answer(job, status, body, False)

    async def _repeat(self, spec: dict[str, Any]) -> None:
        """Submit an accepted job again."""
        status, body = await self.request("POST", "/api/jobs", spec, SUBMIT_TIMEOUT_S)
        self._simulation.rules.check_answer(spec["id"], status, body, False)

    # -- behaviour ---------------------------------------------------------------

    async def follow_job(self, number: int) -> None:
        """Submit a job until it is accepted, then poll it until it ends, and perhaps cancel it."""
        rules, rng = self._simulation.rules, self._rng
        spec, cancel_at = self._draw_job(number)
        job = spec["id"]
        accepted = False
        while not rules.end_is_reported(job):
            if not accepted:
                accepted = await self._submit(spec) in (HTTPStatus.OK, HTTPStatus.CREATED)
                await curio.sleep(rng.uniform(0.5, 1.5))
                continue
            if cancel_at is not None and self._simulation.clock.now > cancel_at:
                rules.cancel_requested.add(job)
                await self._cancel(job)
            elif rng.random() < REPEAT_SHARE:
                await self._repeat(spec)
            else:
                await self._poll(job)
            await curio.sleep(rng.uniform(0.5, 3.0))
        self.polled.discard(job)
        for _ in range(POLLS_AFTER_END):
            await curio.sleep(rng.uniform(1.0, 20.0))
            await self._poll(job)

    def on_task_completed(self, task: FakeTask) -> None:
        """Draw whether the user cancels the job if this was its last task."""
        if self.cancel_at_end_share and self._rng.random() < self.cancel_at_end_share:
            if self._simulation.tasks.job_is_complete(task):
                self._ending_jobs.append(task.job)

    async def cancel_ending_jobs(self) -> None:
        """Cancel the drawn jobs that have ended in this step."""
        while self._ending_jobs:
            job = self._ending_jobs.pop()
            self._simulation.rules.cancel_requested.add(job)
            self.cancelled_at_end += 1
            await curio.spawn(self._cancel_soon, job, daemon=True)

    async def _cancel_soon(self, job: str) -> None:
        await curio.sleep(self._rng.choice([0.0, 0.1, 0.5, 1.0]))
        await self._cancel(job)

    async def poll_unknown_jobs(self) -> None:
        """Poll jobs that were never submitted, until cancelled."""
        while True:
            await curio.sleep(3.0)
            await self._poll(f"wk-{UNKNOWN_JOB_NUMBER + self._rng.randrange(1000)}")

    async def send_unusual_requests(self, for_s: float) -> None:
        """Send repeated and incomplete submissions, late cancellations and impossible jobs."""
        end = self._simulation.clock.now + for_s
        number = UNUSUAL_JOB_NUMBER
        while self._simulation.clock.now < end:
            await curio.sleep(self._rng.uniform(0.2, 1.0))
            number += 1
            known = sorted(self._simulation.rules.reported_stages)
            kind = self._rng.choice(UNUSUAL_REQUESTS)
            if kind in ("huge", "lacking"):
                status: int | None = await self._submit_impossible(kind, number)
            elif known:
                status = await self._send_unusual_request(kind, self._rng.choice(known))
            else:
                continue
            if status is not None:
                self.unusual_answers.setdefault(kind, set()).add(status)

    async def _submit_impossible(self, kind: str, number: int) -> int:
        """Submit a job that fits on no machine, or one that lacks a required field."""
        spec = self.draw_spec(number)
        if kind == "huge":
            spec["cards"] = TOO_MANY_GPUS
        else:
            del spec[self._rng.choice(REQUIRED_FIELDS)]
        status, _ = await self.request("POST", "/api/jobs", spec, SUBMIT_TIMEOUT_S)
        if status in (HTTPStatus.OK, HTTPStatus.CREATED):
            self._simulation.record_violation("invented", f"{kind} job {spec['id']} accepted")
        return status

    async def _send_unusual_request(self, kind: str, job: str) -> int | None:
        """Repeat a submission, perhaps with a field left out, or cancel a job that is done.

        Return the status, or None without a request if the job to cancel is not done.
        """
        rules = self._simulation.rules
        cancel = kind == "cancel_done"
        if cancel and rules.reported_stages[job] != "done":
            return None
        path = f"/api/jobs/{job}/cancel" if cancel else "/api/jobs"
        spec = {} if cancel else dict(self.specs[job])
        if kind == "odd_repeat":
            spec.pop(self._rng.choice(FIELDS_LEFT_OUT_OF_REPEATS))
        status, body = await self.request("POST", path, spec, SUBMIT_TIMEOUT_S)
        rules.check_answer(job, status, body, not cancel)
        return status
