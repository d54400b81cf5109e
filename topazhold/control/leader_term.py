"""A term: what the leader does besides answering requests."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import curio

from topazhold.control.cloud import Cloud
from topazhold.control.direct_commands import DirectCommands
from topazhold.control.failover import load
from topazhold.control.gang_reservations import ClusterView
from topazhold.control.intents import Intents
from topazhold.control.job_persistence import JobPersistence
from topazhold.control.key_value_store import (
    DECISION_PRIORITY,
    STORE_ERRORS,
    KeyValueStore,
    WatchCompactedError,
)
from topazhold.control.summaries import SummaryPublisher
from topazhold.control.term_context import LeadershipLostError, TermContext
from topazhold.core import records
from topazhold.core.cancellations import Cancellations
from topazhold.core.jobs import Job, JobState
from topazhold.core.machines import Machine
from topazhold.core.reservations import RESERVATION_PREFIX, ReservationTable
from topazhold.core.scheduler import Scheduler
from topazhold.io.client import Client
from topazhold.io.cpu_accounting import CpuAccounting, WorkCategory
from topazhold.operations.failover import load_operations
from topazhold.operations.released_machines import ReleasedMachines
from topazhold.operations.term_operations import OperationSettings, TermOperations
from topazhold.operator_settings import Operator
from topazhold.settings import Settings
from topazhold.wire import messages as wire
from topazhold.wire.cloud import MachineType
from topazhold.wire.codec import InvalidMessageError, convert
from topazhold.wire.workers import Command, Heartbeat

log = logging.getLogger(__name__)

#: Shortest times between looks at the clocks of all, and between plans.
TICK_HEARTBEATS = 0.1
#: Without a look for so long, planning is taken to be stuck.
STUCK_HEARTBEATS = 0.5
PLAN_HEARTBEATS = 0.06
#: Changes that a plan costs at the least, about.
PLAN_WRITES = 2
#: Time left to others after deciding, as a multiple of what it took.
DECIDING_PAUSE = 3.0


class LeaderTerm:
    """One term from the election to its end."""

    def __init__(
        self,
        settings: Settings,
        operator: Operator,
        store: KeyValueStore,
        cloud: Cloud,
        reservation_table: ReservationTable,
        machine_types: dict[str, MachineType],
        term: int,
        revision: int,
        rng: Random,
        now: float,
        broadcast: Callable[[tuple[Any, ...]], Awaitable[None]],
        dial: Callable[[tuple[str, int], int], Client],
        lease_is_valid: Callable[[float], bool],
        cancellations: Cancellations,
        cpu_accounting: CpuAccounting,
        controller_lease_s: float,
        released: ReleasedMachines,
        announce_released: Callable[[list[str]], Awaitable[None]],
    ) -> None:
        self._cpu_accounting = cpu_accounting
        self.term = term
        self._machine_types = machine_types
        self.scheduler = Scheduler(settings, operator, term, reservation_table, rng, now)
        self.scheduler.machine_types = machine_types
        self.loaded = False
        self.context = context = TermContext(
            settings, store, self.scheduler, term, revision, lease_is_valid, cancellations
        )
        self._intents = Intents(context)
        self.job_persistence = JobPersistence(context)
        self._released = released
        self.operations = TermOperations(
            context,
            cloud,
            self._intents,
            OperationSettings.of(settings, operator, controller_lease_s),
            now,
            announce_released,
        )
        self._direct_commands = DirectCommands(
            context, settings.cluster.limits.sockets, dial, self._on_direct_heartbeat
        )
        self._summaries = SummaryPublisher(context, operator.summary_s, broadcast)
        self._round = curio.Event()  # set, and replaced, at the end of a planning round
        self._seen_revisions: dict[str, int] = {}
        self._ticked_at = -1e9
        self._planned_at = -1e9

    async def run(self) -> None:
        """Term until cancelled or deposed."""
        start = await curio.clock()
        while True:
            try:
                operations = await load_operations(self.context)
                self._seen_revisions = await load(self.context, self._machine_types)
                break
            except STORE_ERRORS as exc:
                log.debug("take-over waits: %s", exc)
                await curio.sleep(self.context.retry_s)
        await self.operations.rebuild(operations, self._released.names())
        now = await curio.clock()
        log.info(
            "leader %s term %d took over in %.2f s: %d jobs, %d machines",
            self.context.node,
            self.term,
            now - start,
            len(self.scheduler.jobs),
            len(self.scheduler.machines),
        )
        await self.context.learn_cancellations()
        self.context.cancellations.informed = True
        self.loaded = True
        async with curio.TaskGroup(wait=any) as group:
            for category, loop in (
                (WorkCategory.COMMANDS, self._direct_commands.superseded.wait),
                (WorkCategory.COMMANDS, self._direct_commands.loop),
                (WorkCategory.PLANNING, self._plan_loop),
                (WorkCategory.PLANNING, self._tick_loop),
                (WorkCategory.STATE, self._watch_jobs),
                (WorkCategory.STATE, self._watch_reservations),
                (WorkCategory.STATE, self._watch_relays),
                (WorkCategory.STATE, self.job_persistence.loop),
                (WorkCategory.SUMMARIES, self._summaries.loop),
                *((WorkCategory.CLOUD, loop) for loop in self.operations.loops()),
            ):
                await group.spawn(self._run_loop, category, loop)
        await self._direct_commands.close()
        self.operations.log_totals()
        if group.exception is not None:
            raise group.exception

    async def _run_loop(self, category: WorkCategory, loop: Callable[[], Awaitable[Any]]) -> None:
        try:
            await self._cpu_accounting.run_in_category(category, loop)
        except LeadershipLostError as exc:
            log.info("term %d ends: %s", self.term, exc)

    def cluster_view(self, now: float) -> ClusterView:
        """The fleet for this node's own searches, fresh."""
        return self._summaries.cluster_view(now)

    async def released(self, machines: list[str]) -> None:
        """Another controller's release of these machines was answered."""
        if self.loaded:
            await self.operations.scale_in.released_by_peer(machines, await curio.clock())

    async def cancelled(self, job_id: str, at: float) -> None:
        """A user was told that the job is cancelled, by this controller or a peer."""
        if self.loaded:
            await self.context.cancelled(job_id, at)

    def placed(self) -> list[list[Any]]:
        """Where tasks may be, for whoever has no scheduler."""
        return self._summaries.placed()

    def resend_all(self) -> None:
        """A peer has just started: it knows of no machine."""
        self._summaries.resend_all()

    async def request_plan(self) -> None:
        """Something changed: plan soon."""
        await self.context.request_plan()

    # -- events ----------------------------------------------------------------

    async def plan_now(self, limit_s: float) -> None:
        """Let one round of planning pass, so that a heartbeat's answer can launch."""
        # An event, not a condition: a condition's lock was lost when two time
        # limits ended in one wait, and planning stood still for good.
        await self.context.request_plan()
        await curio.ignore_after(limit_s, self._round.wait)

    async def on_heartbeat(
        self, heartbeat: Heartbeat, direct: bool = False
    ) -> tuple[Machine | None, list[Command]]:
        """A worker's heartbeat; the commands for its answer."""
        now = await curio.clock()
        before = self.scheduler.changes
        machine = self.scheduler.on_heartbeat(heartbeat, direct, now)
        if self.scheduler.changes != before:
            await self.context.request_plan()
        if machine is None or direct:
            return machine, []
        if self._plan_is_due(now) and self.scheduler.wants_plan(machine, now):
            await self.plan_now(0.1 * self.context.heartbeat_interval_s)
        if (heartbeat.incarnation, heartbeat.sequence) != (machine.incarnation, machine.sequence):
            return machine, []  # a newer one was heard while this one waited
        now = await curio.clock()
        # Once the lease may have passed on, another may be leader: it knows of
        # the intents, but nothing new is to begin behind its back.
        return machine, self.scheduler.answer(machine, heartbeat, now, self._may_launch(now))

    def _plan_is_due(self, now: float) -> bool:
        """Whether a round of planning may find more than the last one did.

        Every report used to wake the planning loop. Most change nothing that a plan
        depends on, and a leader made twice as many rounds as there was reason for.
        """
        return self.context.wake.is_set() or now - self._planned_at > self.context.retry_s

    def _may_launch(self, now: float) -> bool:
        """While the state service does not answer, nobody can know what was cancelled."""
        return self.context.lease_is_valid(now) and self.context.store.answers(now)

    async def _on_direct_heartbeat(self, heartbeat: Heartbeat) -> None:
        await self.on_heartbeat(heartbeat, direct=True)

    async def accepted(self, job: Job) -> None:
        if self.loaded:
            self.scheduler.add_job(job)
            await self.context.request_plan()

    async def _watch(self, prefix: str, apply: Callable[[str, Any, int], Awaitable[None]]) -> None:
        while True:
            try:
                page = await self.context.store.watch(
                    prefix, self._seen_revisions[prefix], self.context.block_s
                )
            except WatchCompactedError:
                raise LeadershipLostError("changes were missed") from None
            except STORE_ERRORS as exc:
                log.debug("watch %s: %s", prefix, exc)
                await curio.sleep(self.context.retry_s)
                continue
            for event in page.events:
                key, data, revision = wire.event_key(event)
                await apply(key[len(prefix) :], data, revision)
            self._seen_revisions[prefix] = max(self._seen_revisions[prefix], page.revision)
            if page.events:
                await self.context.request_plan()

    async def _watch_reservations(self) -> None:
        async def apply(node: str, data: Any, revision: int) -> None:
            if data is None:
                self.scheduler.reservation_table.expire(node, revision)
            else:
                self.scheduler.reservation_table.read(node, data, revision)

        await self._watch(RESERVATION_PREFIX, apply)

    async def _watch_relays(self) -> None:
        async def apply(node: str, data: Any, revision: int) -> None:
            if isinstance(data, dict) and data.get("crown") == self.term:
                await self.forwarded(data.get("reports", []))

        await self._watch(records.RELAY_PREFIX, apply)

    async def forwarded(self, heartbeats: Any) -> None:
        """Reports that a follower took in while this node can't be reached."""
        now = await curio.clock()
        before = self.scheduler.changes
        for item in heartbeats:
            try:
                heartbeat = convert(item, Heartbeat)
            except InvalidMessageError as exc:
                log.debug("forwarded heartbeat unreadable: %s", exc)
                continue
            self.scheduler.on_heartbeat(heartbeat, False, now, forwarded=True)
        if self.scheduler.changes != before:
            await self.context.request_plan()

    async def _watch_jobs(self) -> None:
        await self._watch(records.LIVE_PREFIX, self._job_changed)

    async def _job_changed(self, job_id: str, data: Any, revision: int) -> None:
        job = self.scheduler.jobs.get(job_id)
        if data is None:
            # Of one that it has seen complete, `JobPersistence.finish` finds out.
            if job is not None and job.state is JobState.LIVE and not job.complete:
                await self.context.on_job_ended(job_id)
        elif job is None:
            try:
                new = records.read_live(data, revision, time.time(), await curio.clock())
            except (InvalidMessageError, ValueError, TypeError) as exc:
                log.error("job %s unreadable: %s", job_id, exc)
                return
            self.scheduler.add_job(new)
        else:
            job.revision = max(job.revision, revision)

    # -- planning --------------------------------------------------------------

    def _tick(self, now: float) -> None:
        self._ticked_at = now
        self.scheduler.tick(now)

    async def _tick_loop(self) -> None:
        """Time passes also while a plan waits for the state service.

        A transaction without an answer is waited for without end, and with it waited
        what has to happen in time: kills of cancelled jobs, and releases.
        """
        while True:
            await curio.sleep(self.context.retry_s)
            now = await curio.clock()
            if now - self._ticked_at > STUCK_HEARTBEATS * self.context.heartbeat_interval_s:
                before = self.scheduler.changes
                self._tick(now)
                if self.scheduler.changes != before:
                    await self.context.request_plan()

    async def _plan_loop(self) -> None:
        while True:
            await curio.ignore_after(self.context.retry_s, self.context.wake.wait)
            self.context.wake.clear()
            busy = 0.0  # time spent on deciding, waits for the state service left out
            for _ in range(4):
                # A plan that can't be written now is made anew later, with more
                # of it in one transaction.
                await self.context.store.wait_for_limits(DECISION_PRIORITY, PLAN_WRITES)
                now = await curio.clock()
                if now - self._ticked_at > TICK_HEARTBEATS * self.context.heartbeat_interval_s:
                    self._tick(now)
                self._planned_at = now
                attempts = self.scheduler.plan(now)
                busy += time.monotonic() - now
                if not attempts:
                    break
                await self._intents.write(attempts)
            passed, self._round = self._round, curio.Event()
            await passed.set()
            # Something changes all the time. Without a pause that grows with the cost
            # of a round, a leader of many machines did nothing but plan.
            await curio.sleep(
                max(PLAN_HEARTBEATS * self.context.heartbeat_interval_s, busy * DECIDING_PAUSE)
            )
