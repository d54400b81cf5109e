"""Ends the tasks of cancelled jobs when no leader does.

A leader that has loaded sees to the cancellations that it knows of. Where none
can be seen to know one, each controller that does looks at the machines itself:
it asks for their state, sends kills with the token that the worker names, and
has a machine released on which a task can't be shown to be gone. All of it goes
without the store.
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
from topazhold.core.placement_hints import PlacementHint
from topazhold.interfaces.cloud import CloudUnavailableError
from topazhold.io.client import Clients
from topazhold.io.http import NoResponseError, RequestNotSentError
from topazhold.operations.scale_in import AnnounceReleased
from topazhold.settings import Settings, address
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError, read
from topazhold.wire.workers import Commands, Heartbeat

log = logging.getLogger(__name__)

#: Shares of `cancel_s`. A controller looks for itself once no leader has seen to a
#: cancellation for so long: an ordinary change of leader takes less. It looks again
#: where a task may be after so long.
PROBE_DELAY_SHARE = 0.1
REPROBE_SHARE = 0.08
#: After the confirmation, a task that can't be shown to be gone takes its machine with
#: it; a controller that has only just begun to look gives it some time more, up to a
#: last moment. Later than the end nothing is left to do.
RELEASE_DELAY_SHARE = 0.6
RELEASE_GRACE_SHARE = 0.2
GRACE_END_SHARE = 0.8
ENFORCEMENT_END_SHARE = 1.25
#: Machines that are not known to hold such a task are looked at so many times: a launch
#: may have been on its way at the first.
FLEET_SWEEPS = 2
#: Looks under way at once, as a share of the sockets, and at the least.
PROBE_SOCKET_SHARE = 1 / 32
MIN_CONCURRENT_PROBES = 4
#: Heartbeat intervals between two rounds, and before a release that failed is tried again.
ROUND_INTERVAL_HEARTBEATS = 0.2
RELEASE_RETRY_HEARTBEATS = 0.25


class IsHandledByLeader(Protocol):
    """Whether a leader with a loaded term knows that the job is cancelled, and sees to it."""

    def __call__(self, job: str, now: float, /) -> bool: ...


class CancellationEnforcer:
    """One controller's last word on cancelled jobs."""

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
        self._clients = Clients(dial, self._max_concurrent_probes)
        self._unhandled_since: dict[str, float] = {}  # jobs that no leader sees to, since when
        self._listed_at = -1e9
        self._releasing = False

    async def loop(self) -> None:
        """Look for what is left to this controller, a few times per heartbeat interval."""
        await wait_then_work(ROUND_INTERVAL_HEARTBEATS * self._heartbeat_interval_s, self.round)

    async def round(self) -> None:
        """Begin the looks and the release that are due."""
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
        """Cancelled jobs that are left to this controller, by their age in seconds."""
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
        """Whether a machine that may hold the job's task is to be released.

        Just after a change of leader the former one knows of machines that its successor is
        about to see to: it gives them time.
        """
        grace_over = now - self._unhandled_since[job] > RELEASE_GRACE_SHARE * self._cancel_s
        deadline_passed = age > GRACE_END_SHARE * self._cancel_s
        return age > RELEASE_DELAY_SHARE * self._cancel_s and (grace_over or deadline_passed)

    def _machines_to_probe(self, jobs: frozenset[str], holders: Set[str], now: float) -> list[str]:
        """Machines that may hold a task of these jobs first; no more than may be under way.

        Every machine is looked at some time after the last of the jobs was left to this
        controller, and once more.
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
        """Machines that no leader has named, from the cloud, off and on."""
        if now - self._listed_at < PROBE_DELAY_SHARE * self._cancel_s:
            return
        self._listed_at = now
        await curio.spawn(self._fetch_machine_list, daemon=True)

    async def _fetch_machine_list(self) -> None:
        try:
            self._placement_hints.update_from_list(await self._cloud.machines())
        except CloudUnavailableError as exc:
            log.debug("machine list: %s", exc)

    async def _probe(self, name: str, hint: PlacementHint) -> None:
        """Ask a worker what it has, and kill what it must not have."""
        assert hint.endpoint is not None
        try:
            client = await self._clients.client_for(address(hint.endpoint), len(self._probing))
            status, body = await client.ask(
                "GET", wire.STATUS_PATH, None, self._heartbeat_interval_s
            )
            if status != HTTPStatus.OK:
                return
            heartbeat = read(body, Heartbeat)
            self._placement_hints.update_from_heartbeat(heartbeat)
            commands = self._cancellations.kill_commands(heartbeat)
            if not commands:
                return
            # Kills are safe from anybody, and a token equal to the worker's is accepted.
            message = Commands(heartbeat.fencing_token, commands, heartbeat.incarnation)
            log.info("%d tasks of cancelled jobs on %s killed from here", len(commands), name)
            status, body = await client.ask(
                "POST", wire.COMMANDS_PATH, message, self._heartbeat_interval_s
            )
            if status in (HTTPStatus.OK, HTTPStatus.CONFLICT):
                self._placement_hints.update_from_heartbeat(read(body, Heartbeat))
        except (RequestNotSentError, NoResponseError, InvalidMessageError, ValueError) as exc:
            log.debug("look at %s: %s", name, exc)
        finally:
            self._probing.discard(name)

    async def _release(self, names: list[str]) -> None:
        """Machines with a task that nobody can show to be gone: only those, never a zone."""
        if not names or self._releasing:
            return
        self._releasing = True
        await curio.spawn(self._release_now, sorted(names)[:MAX_RELEASED_MACHINES], daemon=True)

    async def _release_now(self, names: list[str]) -> None:
        try:
            log.info("%d machines with tasks of cancelled jobs released from here", len(names))
            await self._cloud.release(names)
        except CloudUnavailableError as exc:
            log.debug("release: %s", exc)
            await curio.sleep(RELEASE_RETRY_HEARTBEATS * self._heartbeat_interval_s)
        else:
            for name in names:
                self._placement_hints.remove(name)
            await self._announce_released(names)
        finally:
            self._releasing = False
