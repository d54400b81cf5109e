"""Ends the tasks of cancelled jobs when no leader does.

A leader with a loaded term enforces the cancellations that it knows of. If no leader is known
to have received a cancellation, each controller that has it enforces it: it probes the workers,
sends kills with the fencing token that the worker reports, and releases machines on which a
task can't be shown to have ended. None of this needs the store.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Set
from http import HTTPStatus
from typing import Protocol

import curio

from topazhold.control.cloud import Cloud
from topazhold.control.controller_services import ControllerState, Dial
from topazhold.control.waiting_loops import wait_then_work
from topazhold.core.autoscaling import MAX_RELEASED_MACHINES
from topazhold.core.jobs import DISTANT_PAST
from topazhold.core.placement_hints import PlacementHint
from topazhold.interfaces.cloud import CloudUnavailableError
from topazhold.io.client import ClientPool
from topazhold.io.http import NoResponseError, RequestNotSentError
from topazhold.operations.scale_in import AnnounceReleased
from topazhold.settings import Settings, parse_address
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError, decode
from topazhold.wire.workers import Commands, Heartbeat

log = logging.getLogger(__name__)

#: Share of `cancel_s` for which no leader has handled a cancellation before this controller
#: starts to probe workers; an ordinary change of leader takes less.
PROBE_DELAY_SHARE = 0.1
#: Share of `cancel_s` after which a machine that may hold a cancelled task is probed again.
REPROBE_SHARE = 0.08
#: Age of a cancellation, as a share of `cancel_s`, from which on machines are released whose
#: tasks can't be shown to have ended.
RELEASE_DELAY_SHARE = 0.6
#: Share of `cancel_s` for which a cancellation must have been unhandled before a release, until
#: its age reaches `GRACE_END_SHARE`.
RELEASE_GRACE_SHARE = 0.2
GRACE_END_SHARE = 0.8
#: Age of a cancellation, as a share of `cancel_s`, from which on nothing is left to enforce.
ENFORCEMENT_END_SHARE = 1.25
#: Times that machines not known to hold such a task are probed: a launch may have been in flight
#: at the first.
FLEET_SWEEPS = 2
#: Maximum concurrent probes as a share of the sockets, and the minimum of that limit.
PROBE_SOCKET_SHARE = 1 / 32
MIN_CONCURRENT_PROBES = 4
#: Heartbeat intervals between two rounds.
ROUND_INTERVAL_HEARTBEATS = 0.2
#: Heartbeat intervals before a failed release is retried.
RELEASE_RETRY_HEARTBEATS = 0.25


class IsHandledByLeader(Protocol):
    """Returns whether a leader with a loaded term knows that the job is cancelled."""

    def __call__(self, job: str, now: float, /) -> bool: ...


class CancellationEnforcer:
    """Enforces, on one controller, the cancellations that no leader handles."""

    def __init__(
        self,
        settings: Settings,
        cloud: Cloud,
        dial: Dial,
        state: ControllerState,
        is_handled_by_leader: IsHandledByLeader,
        announce_released: AnnounceReleased,
    ) -> None:
        workers = settings.cluster.workers
        self._cancel_s = workers.cancel_s
        self._heartbeat_interval_s = workers.heartbeat_interval_s
        self._cancellations = state.cancellations
        self._placement_hints = state.placement_hints
        self._cloud = cloud
        self._is_handled_by_leader = is_handled_by_leader
        self._announce_released = announce_released
        self._max_concurrent_probes = max(
            MIN_CONCURRENT_PROBES, int(settings.cluster.limits.sockets * PROBE_SOCKET_SHARE)
        )
        self._probing: set[str] = set()
        self._clients = ClientPool(dial, self._max_concurrent_probes)
        self._unhandled_since: dict[str, float] = {}  # by job, monotonic clock
        self._listed_at = DISTANT_PAST
        self._releasing = False

    async def loop(self) -> None:
        """Run a round several times per heartbeat interval."""
        await wait_then_work(ROUND_INTERVAL_HEARTBEATS * self._heartbeat_interval_s, self.round)

    async def round(self) -> None:
        """Start the probes and the release that are due."""
        now = await curio.clock()
        ages = self.unhandled_cancellations(now)
        if not ages:
            return
        await self._refresh_machine_list(now)
        holders = self._placement_hints.machines_of(frozenset(ages))
        await self._release(
            [
                name
                for name, jobs in holders.items()
                if any(self._must_release(job, ages[job], now) for job in jobs)
            ]
        )
        for name in self._machines_to_probe(frozenset(ages), holders.keys(), now):
            hint = self._placement_hints.by_machine[name]
            hint.last_probed_at = now
            self._probing.add(name)
            await curio.spawn(self._probe, name, hint, daemon=True)

    def unhandled_cancellations(self, now: float) -> dict[str, float]:
        """Return the age, in seconds, of each cancellation that this controller has to enforce."""
        wall = time.time()
        ages = {
            job: wall - at
            for job, at in self._cancellations.cancelled_since(
                wall - ENFORCEMENT_END_SHARE * self._cancel_s
            )
            if not self._is_handled_by_leader(job, now)
        }
        self._unhandled_since = {job: self._unhandled_since.get(job, now) for job in ages}
        probe_delay_s = PROBE_DELAY_SHARE * self._cancel_s
        return {
            job: age
            for job, age in ages.items()
            if now - self._unhandled_since[job] > probe_delay_s
        }

    def _must_release(self, job: str, age: float, now: float) -> bool:
        """Return whether machines that may hold tasks of the job must be released.

        Just after a change of leader, the former leader's hints may name machines that the new
        leader is about to handle, so it waits for `RELEASE_GRACE_SHARE`.
        """
        grace_over = now - self._unhandled_since[job] > RELEASE_GRACE_SHARE * self._cancel_s
        deadline_passed = age > GRACE_END_SHARE * self._cancel_s
        return age > RELEASE_DELAY_SHARE * self._cancel_s and (grace_over or deadline_passed)

    def _machines_to_probe(self, jobs: frozenset[str], holders: Set[str], now: float) -> list[str]:
        """Return the machines to probe now, those that may hold a task of these jobs first.

        All others are probed `FLEET_SWEEPS` times after the latest of the cancellations became
        unhandled. The result is limited to the probes that may still be started.
        """
        reprobe_s = REPROBE_SHARE * self._cancel_s
        last_unhandled_at = max(self._unhandled_since[job] for job in jobs)
        sweep_times = [
            last_unhandled_at + (1 + n) * PROBE_DELAY_SHARE * self._cancel_s
            for n in range(FLEET_SWEEPS)
        ]
        due_holders: list[str] = []
        due_others: list[str] = []
        for name, hint in self._placement_hints.by_machine.items():
            if hint.endpoint is None or name in self._probing:
                continue
            if name in holders:
                if hint.last_probed_at < last_unhandled_at or now - hint.last_probed_at > reprobe_s:
                    due_holders.append(name)
            elif any(hint.last_probed_at < at <= now for at in sweep_times):
                due_others.append(name)
        return (due_holders + due_others)[: self._max_concurrent_probes - len(self._probing)]

    async def _refresh_machine_list(self, now: float) -> None:
        """Add machines that no leader has named: fetch the cloud's list if the last one is old."""
        if now - self._listed_at < PROBE_DELAY_SHARE * self._cancel_s:
            return
        self._listed_at = now
        await curio.spawn(self._fetch_machine_list, daemon=True)

    async def _fetch_machine_list(self) -> None:
        try:
            self._placement_hints.update_from_list(await self._cloud.machines())
        except CloudUnavailableError as exc:
            log.debug("machine list not read: %s", exc)

    async def _probe(self, name: str, hint: PlacementHint) -> None:
        """Ask a worker for its tasks, and kill those of cancelled jobs."""
        assert hint.endpoint is not None
        try:
            client = await self._clients.client_for(
                parse_address(hint.endpoint), len(self._probing)
            )
            status, body = await client.request(
                "GET", wire.STATUS_PATH, None, self._heartbeat_interval_s
            )
            if status != HTTPStatus.OK:
                return
            heartbeat = decode(body, Heartbeat)
            self._placement_hints.update_from_heartbeat(heartbeat)
            commands = self._cancellations.kill_commands(heartbeat)
            if not commands:
                return
            # Kills are safe from any controller, and workers accept a token equal to their own.
            message = Commands(heartbeat.fencing_token, commands, heartbeat.incarnation)
            log.info(
                "killing %d tasks of cancelled jobs on %s as no leader handles them",
                len(commands),
                name,
            )
            status, body = await client.request(
                "POST", wire.COMMANDS_PATH, message, self._heartbeat_interval_s
            )
            if status in (HTTPStatus.OK, HTTPStatus.CONFLICT):
                self._placement_hints.update_from_heartbeat(decode(body, Heartbeat))
        except (RequestNotSentError, NoResponseError, InvalidMessageError, ValueError) as exc:
            log.debug("probe of %s failed: %s", name, exc)
        finally:
            self._probing.discard(name)

    async def _release(self, names: list[str]) -> None:
        """Start a release of machines whose cancelled tasks can't be shown to have ended.

        Only these machines are released, never a whole zone.
        """
        if not names or self._releasing:
            return
        self._releasing = True
        await curio.spawn(self._release_now, sorted(names)[:MAX_RELEASED_MACHINES], daemon=True)

    async def _release_now(self, names: list[str]) -> None:
        try:
            log.info("releasing %d machines that may hold tasks of cancelled jobs", len(names))
            await self._cloud.release(names)
        except CloudUnavailableError as exc:
            log.debug("release failed: %s", exc)
            await curio.sleep(RELEASE_RETRY_HEARTBEATS * self._heartbeat_interval_s)
        else:
            for name in names:
                self._placement_hints.remove(name)
            await self._announce_released(names)
        finally:
            self._releasing = False
