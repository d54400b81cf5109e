"""The users' HTTP API: submit, poll and cancel jobs."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from http import HTTPStatus
from typing import Any, Protocol

import curio
import msgspec

from topazhold.control.key_value_store import KeyValueStore
from topazhold.core import autoscaling, records
from topazhold.core.jobs import Job
from topazhold.core.quota import team_limit_allows
from topazhold.interfaces.store import USER_PRIORITY, Precondition
from topazhold.interfaces.store_errors import (
    KeyValueStoreError,
    OutcomeUnknownError,
    PreconditionFailedError,
)
from topazhold.io.http import Request, Response
from topazhold.settings import Settings, Team
from topazhold.wire import messages as wire
from topazhold.wire.cloud import MachineType
from topazhold.wire.codec import InvalidMessageError, convert, json_size, unpack
from topazhold.wire.jobs import JobSpec

log = logging.getLogger(__name__)

#: Maximum final stages of jobs that are cached in memory.
MAX_FINAL_STAGES = 5000
#: Maximum concurrent user requests; further ones are refused immediately.
MAX_CONCURRENT_REQUESTS = 24
#: Maximum seconds to find out the outcome of a write; users wait 5 s for a submission.
OUTCOME_TIMEOUT_S = 3.0
#: Seconds in Retry-After while the store is unavailable.
OUTAGE_RETRY_AFTER_S = 2.0
#: Minimum seconds in Retry-After, and the value where the necessary wait is unknown.
MIN_RETRY_AFTER_S = 1.0
#: Attempts at a cancellation before the user is asked to retry.
MAX_CANCEL_ATTEMPTS = 8


class OnAccepted(Protocol):
    """Called once a job is stored, before its user gets the response."""

    async def __call__(self, job: Job, /) -> None: ...


class CountRunning(Protocol):
    """Returns the number of running tasks of a job, as far as this controller knows."""

    def __call__(self, job_id: str, /) -> int: ...


class ConfirmCancellation(Protocol):
    """Called with the wall-clock time of a cancellation before a user gets a response about it."""

    async def __call__(self, job_id: str, at: float, /) -> None: ...


def is_user_request(request: Request) -> bool:
    """Return whether a request is a user's, not a worker's or a health probe's."""
    return request.path.startswith(wire.JOBS_PATH)


class Users:
    """Handles user requests, on leaders and followers alike."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStore,
        machine_types: dict[str, MachineType],
        on_accepted: OnAccepted,
        count_running: CountRunning,
        confirm_cancellation: ConfirmCancellation,
    ) -> None:
        self._node = settings.node_name
        self._teams = {team.name: team for team in settings.cluster.teams}
        self._value_limit = settings.cluster.key_value_store.lasting_value_bytes
        self._store = store
        self._machine_types = machine_types
        self._on_accepted = on_accepted
        self._count_running = count_running
        self._confirm_cancellation = confirm_cancellation
        self._final_stages: OrderedDict[str, str] = OrderedDict()
        self._requests_in_progress = 0
        self._sequence = 0
        self._incarnation = f"{self._node}-{time.time_ns():x}"

    async def handle(self, request: Request) -> Response | None:
        """Return the response to a user request, or None if the path is not part of the API."""
        path = request.path
        if path != wire.JOBS_PATH and not path.startswith(wire.JOBS_PATH + "/"):
            return None
        rest = path[len(wire.JOBS_PATH) + 1 :]
        cancel = rest.endswith(wire.CANCEL_SUFFIX)
        job_id = rest[: -len(wire.CANCEL_SUFFIX)] if cancel else rest
        allowed_method = "POST" if cancel or not rest else "GET"
        if "/" in job_id:
            return Response(HTTPStatus.NOT_FOUND)
        if request.method != allowed_method:
            return Response(HTTPStatus.METHOD_NOT_ALLOWED)
        if rest and not wire.valid_job_id(job_id):
            return Response(HTTPStatus.NOT_FOUND)
        if self._requests_in_progress >= MAX_CONCURRENT_REQUESTS:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=await self._retry_after_s())
        self._requests_in_progress += 1
        try:
            if not rest:
                return await self._submit(request.body)
            return await (self._cancel(job_id) if cancel else self._poll(job_id))
        except OutcomeUnknownError:
            return Response(HTTPStatus.GATEWAY_TIMEOUT, retry_after=OUTAGE_RETRY_AFTER_S)
        except KeyValueStoreError as exc:
            log.debug("user request refused: %s", exc)
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=await self._retry_after_s())
        finally:
            self._requests_in_progress -= 1

    async def _retry_after_s(self) -> float:
        """Return the seconds for Retry-After: fixed in an outage, else the rate limit's."""
        if self._store.health.failing_since is not None:
            return OUTAGE_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, await self._store.wait_s(USER_PRIORITY, 1))

    def _token(self) -> str:
        self._sequence += 1
        return f"{self._incarnation}-{self._sequence}"

    def _cache_final_stage(self, job_id: str, stage: str) -> None:
        self._final_stages[job_id] = stage
        if len(self._final_stages) > MAX_FINAL_STAGES:
            self._final_stages.popitem(last=False)

    # -- submit ------------------------------------------------------------

    async def _submit(self, body: bytes) -> Response:
        try:
            raw = unpack(body)
        except InvalidMessageError:
            return Response(HTTPStatus.BAD_REQUEST)
        job_id = raw.get("id") if isinstance(raw, dict) else None
        if not isinstance(job_id, str) or not wire.valid_job_id(job_id):
            return Response(HTTPStatus.BAD_REQUEST)
        status, spec, reason = self._validate(raw)
        if status == HTTPStatus.CREATED and spec is not None:
            return await self._store_job(spec)
        # A repeated submission of an accepted job is answered with the job's state, even if its
        # body would be rejected now.
        existing = await self._status_response(job_id)
        if existing is None:
            log.info("job %s refused: %d, %s", job_id, status, reason)
        return existing or Response(
            status,
            retry_after=MIN_RETRY_AFTER_S if status == HTTPStatus.SERVICE_UNAVAILABLE else None,
        )

    async def _store_job(self, spec: JobSpec) -> Response:
        """Store a new job; only then may its user get a success response."""
        job = Job(spec, await curio.clock(), time.time(), self._node)
        token = self._token()
        value = records.live_value(job, token)
        if json_size(value) + records.max_bitmap_size(spec) > self._value_limit:
            return Response(HTTPStatus.BAD_REQUEST)
        key = records.live_key(job.id)
        preconditions = [Precondition(key, 0), Precondition(records.ended_key(job.id), 0)]
        try:
            job.revision = await self._store.commit(
                preconditions, [wire.put(key, value)], USER_PRIORITY, key, token, OUTCOME_TIMEOUT_S
            )
        except PreconditionFailedError:
            existing = await self._status_response(job.id)
            return existing or Response(
                HTTPStatus.SERVICE_UNAVAILABLE, retry_after=MIN_RETRY_AFTER_S
            )
        log.info(
            "job %s accepted: %s, %s %s of %d for %s",
            job.id,
            spec.job_class,
            spec.urgency,
            spec.shape,
            spec.tasks,
            spec.team,
        )
        await self._on_accepted(job)
        return Response(HTTPStatus.CREATED, wire.job_status_body(job.id, wire.PENDING))

    def _validate(self, raw: dict[str, Any]) -> tuple[int, JobSpec | None, str]:
        """Return the status for a new job, its specification if valid, and the reason if not."""
        try:
            spec = convert(raw, JobSpec)
        except InvalidMessageError as exc:
            return HTTPStatus.BAD_REQUEST, None, str(exc)
        fault = spec.invalid_field()
        if fault is not None:
            return HTTPStatus.BAD_REQUEST, None, f"bad {fault}"
        if not self._machine_types:
            return HTTPStatus.SERVICE_UNAVAILABLE, None, "machine types not known yet"
        if spec.machine_types is not None:
            # Drop types that the cloud does not offer; this bounds the size of the stored list.
            offered = sorted(set(spec.machine_types) & self._machine_types.keys())
            spec = msgspec.structs.replace(spec, machine_types=offered)
        team = self._teams.get(spec.team)
        if team is None or not self._team_allows(team, spec):
            return HTTPStatus.UNPROCESSABLE_ENTITY, None, "unknown team, or more than its limit"
        if not autoscaling.fits_some_type(spec, self._machine_types.values()):
            return HTTPStatus.UNPROCESSABLE_ENTITY, None, "fits no allowed machine type"
        return HTTPStatus.CREATED, spec, ""

    @staticmethod
    def _team_allows(team: Team, spec: JobSpec) -> bool:
        tasks = spec.tasks if spec.needs_full_quota else 1
        return team_limit_allows(team, spec.cpus * tasks, spec.gpus * tasks)

    # -- poll --------------------------------------------------------------

    async def _status_response(self, job_id: str) -> Response | None:
        """Return the response with the job's current state, or None if it was never submitted."""
        final = self._final_stages.get(job_id)
        if final is not None:
            return Response(HTTPStatus.OK, wire.job_status_body(job_id, final))
        entry = await self._store.get(records.live_key(job_id))
        if entry is not None:
            running = self._count_running(job_id)
            stage = wire.RUNNING if running else wire.PENDING
            done = records.completed_count(entry.data)
            return Response(HTTPStatus.OK, wire.job_status_body(job_id, stage, done, running))
        # A job moves from its live key to its over key in one transaction, so reading the
        # live key first can't miss it.
        entry = await self._store.get(records.ended_key(job_id))
        if entry is None:
            return None
        stage = records.ended_stage(entry.data)
        if stage == wire.ABORTED:
            await self._confirm_cancellation(job_id, records.ended_at(entry.data, time.time()))
        self._cache_final_stage(job_id, stage)
        return Response(HTTPStatus.OK, wire.job_status_body(job_id, stage))

    async def _poll(self, job_id: str) -> Response:
        return await self._status_response(job_id) or Response(HTTPStatus.NOT_FOUND)

    # -- cancel ------------------------------------------------------------

    async def _cancel(self, job_id: str) -> Response:
        final = self._final_stages.get(job_id)
        if final is not None:
            return Response(HTTPStatus.OK, wire.job_status_body(job_id, final))
        live, over = records.live_key(job_id), records.ended_key(job_id)
        for _ in range(MAX_CANCEL_ATTEMPTS):
            entry = await self._store.get(live)
            if entry is None:
                return await self._poll(job_id)
            token = self._token()
            at = time.time()
            value = records.ended_value(entry.data["spec"], wire.ABORTED, at, token)
            try:
                await self._store.commit(
                    [Precondition(live, entry.revision), Precondition(over, 0)],
                    [wire.delete(live), wire.put(over, value)],
                    USER_PRIORITY,
                    over,
                    token,
                    OUTCOME_TIMEOUT_S,
                )
            except PreconditionFailedError:
                continue  # the leader saved progress, or another cancellation was committed first
            await self._confirm_cancellation(job_id, at)
            self._cache_final_stage(job_id, wire.ABORTED)
            log.info("job %s aborted by its user", job_id)
            return Response(HTTPStatus.OK, wire.job_status_body(job_id, wire.ABORTED))
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=MIN_RETRY_AFTER_S)
