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
LOOK_SHARE = 0.1
AGAIN_SHARE = 0.08
#: After the confirmation, a task that can't be shown to be gone takes its machine with
#: it; a controller that has only just begun to look gives it some time more, up to a
#: last moment. Later than the end nothing is left to do.
RELEASE_SHARE = 0.6
GRACE_SHARE = 0.2
LAST_SHARE = 0.8
END_SHARE = 1.25
#: Machines that are not known to hold such a task are looked at so many times: a launch
#: may have been on its way at the first.
SWEEPS = 2
#: Looks under way at once, as a share of the sockets, and at the least.
LOOKING_SHARE = 1 / 32
MIN_LOOKS = 4
#: Heartbeat intervals between two rounds, and before a release that failed is tried again.
ROUND_HEARTBEATS = 0.2
RELEASE_RETRY_HEARTBEATS = 0.25


class LeaderHandles(Protocol):
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
        leader_handles: LeaderHandles,
        announce_released: AnnounceReleased,
    ) -> None:
        workers = settings.cluster.workers
        self._cancel_s = workers.cancel_s
        self._heartbeat_interval_s = workers.heartbeat_interval_s
        self._cancellations = state.cancellations
        self._placement_hints = state.placement_hints
        self._cloud = cloud
        self._leader_handles = leader_handles
        self._announce_released = announce_released
        self._max_looks = max(MIN_LOOKS, int(settings.cluster.limits.sockets * LOOKING_SHARE))
        self._looking: set[str] = set()
        self._clients = Clients(dial, self._max_looks)
        self._left_since: dict[str, float] = {}  # jobs that no leader sees to, since when
        self._listed_at = -1e9
        self._releasing = False

    async def loop(self) -> None:
        """Look for what is left to this controller, a few times per heartbeat interval."""
        await wait_then_work(ROUND_HEARTBEATS * self._heartbeat_interval_s, self.round)

    async def round(self) -> None:
        """Begin the looks and the release that are due."""
        now = await curio.clock()
        ages = self.left_to_this_controller(now)
        if not ages:
            return
        await self._list(now)
        holders = self._placement_hints.machines_of(frozenset(ages))
        await self._release(
            [
                name
                for name, jobs in holders.items()
                if any(self._must_release(job, ages[job], now) for job in jobs)
            ]
        )
        for name in self._machines_to_look_at(frozenset(ages), holders.keys(), now):
            place = self._placement_hints.by_machine[name]
            place.last_probed_at = now
            self._looking.add(name)
            await curio.spawn(self._look, name, place, daemon=True)

    def left_to_this_controller(self, now: float) -> dict[str, float]:
        """Cancelled jobs that are left to this controller, by their age in seconds."""
        wall = time.time()
        ages = {
            job: wall - at
            for job, at in self._cancellations.cancelled_since(wall - END_SHARE * self._cancel_s)
            if not self._leader_handles(job, now)
        }
        self._left_since = {job: self._left_since.get(job, now) for job in ages}
        look_s = LOOK_SHARE * self._cancel_s
        return {job: age for job, age in ages.items() if now - self._left_since[job] > look_s}

    def _must_release(self, job: str, age: float, now: float) -> bool:
        """Whether a machine that may hold the job's task is to be released.

        Just after a change of leader the former one knows of machines that its successor is
        about to see to: it gives them time.
        """
        looked = now - self._left_since[job] > GRACE_SHARE * self._cancel_s
        late = age > LAST_SHARE * self._cancel_s
        return age > RELEASE_SHARE * self._cancel_s and (looked or late)

    def _machines_to_look_at(
        self, jobs: frozenset[str], holders: Set[str], now: float
    ) -> list[str]:
        """Machines that may hold a task of these jobs first; no more than may be under way.

        Every machine is looked at some time after the last of the jobs was left to this
        controller, and once more.
        """
        again_s = AGAIN_SHARE * self._cancel_s
        newest = max(self._left_since[job] for job in jobs)
        sweeps = [newest + (1 + n) * LOOK_SHARE * self._cancel_s for n in range(SWEEPS)]
        first: list[str] = []
        others: list[str] = []
        for name, place in self._placement_hints.by_machine.items():
            if place.endpoint is None or name in self._looking:
                continue
            if name in holders:
                if place.last_probed_at < newest or now - place.last_probed_at > again_s:
                    first.append(name)
            elif any(place.last_probed_at < at <= now for at in sweeps):
                others.append(name)
        return (first + others)[: self._max_looks - len(self._looking)]

    async def _list(self, now: float) -> None:
        """Machines that no leader has named, from the cloud, off and on."""
        if now - self._listed_at < LOOK_SHARE * self._cancel_s:
            return
        self._listed_at = now
        await curio.spawn(self._read_list, daemon=True)

    async def _read_list(self) -> None:
        try:
            self._placement_hints.update_from_list(await self._cloud.machines())
        except CloudUnavailableError as exc:
            log.debug("machine list: %s", exc)

    async def _look(self, name: str, place: PlacementHint) -> None:
        """Ask a worker what it has, and kill what it must not have."""
        assert place.endpoint is not None
        try:
            client = await self._clients.client_for(address(place.endpoint), len(self._looking))
            status, body = await client.ask(
                "GET", wire.STATUS_PATH, None, self._heartbeat_interval_s
            )
            if status != 200:
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
            if status in (200, 409):
                self._placement_hints.update_from_heartbeat(read(body, Heartbeat))
        except (RequestNotSentError, NoResponseError, InvalidMessageError, ValueError) as exc:
            log.debug("look at %s: %s", name, exc)
        finally:
            self._looking.discard(name)

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
