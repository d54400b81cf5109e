"""One term of a leader: the components that exist from its election to the end of the term."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from topazhold.control.cluster_view import ClusterView
from topazhold.control.controller_services import ControllerServices, ControllerState
from topazhold.control.direct_commands import DirectCommands
from topazhold.control.election import ControllerLease, ElectionResult
from topazhold.control.failover import load_state
from topazhold.control.intents import Intents
from topazhold.control.job_persistence import JobPersistence
from topazhold.control.machine_list import MachineList
from topazhold.control.peer_group import Broadcast
from topazhold.control.planning_loop import PlanningLoop
from topazhold.control.summaries import SummaryPublisher
from topazhold.control.term_context import TermContext
from topazhold.control.term_watches import TermWatches
from topazhold.core.jobs import Job
from topazhold.core.machines import Machine
from topazhold.core.scheduler import Scheduler
from topazhold.interfaces.store_errors import KeyValueStoreError
from topazhold.interfaces.term import LeadershipLostError
from topazhold.io.cpu_accounting import WorkCategory
from topazhold.operations.failover import load_operations
from topazhold.operations.scale_in import AnnounceReleased
from topazhold.operations.term_operations import (
    OperationServices,
    OperationSettings,
    TermOperations,
)
from topazhold.wire.codec import InvalidMessageError, convert
from topazhold.wire.workers import Command, Heartbeat

log = logging.getLogger(__name__)

#: Longest wait of a heartbeat's response for a planning round, in heartbeat intervals; the response
#: can then carry the launches of that round.
MAX_PLAN_WAIT_HEARTBEATS = 0.1

#: A loop of a term and the category that its processor time is accounted to.
TermLoop = tuple[WorkCategory, Callable[[], Awaitable[Any]]]


class LeaderTerm:
    """A term from election to end: the scheduler and the loops that act on it."""

    def __init__(
        self,
        services: ControllerServices,
        state: ControllerState,
        announce_released: AnnounceReleased,
        broadcast: Broadcast,
        lease: ControllerLease,
        election: ElectionResult,
    ) -> None:
        """Create a term that begins at `election.elected_at`."""
        settings, operator = services.settings, services.operator
        self.term = election.term
        self.loaded = False  # whether all state was read; no decision is made before
        self._cpu_accounting = services.cpu_accounting
        self._released = state.released
        self._machine_types = services.catalog.machine_types
        self.scheduler = _create_scheduler(services, state, election)
        self.context = context = TermContext(
            settings, services.store, self.scheduler, election, lease.is_valid, state.cancellations
        )
        self._intents = Intents(context)
        self.job_persistence = JobPersistence(context)
        self._machine_list = MachineList(context, services.cloud)
        self.operations = TermOperations(
            context,
            OperationServices(
                services.cloud, self._intents, self._machine_list.list_received, announce_released
            ),
            OperationSettings.from_settings(settings, operator, services.controller_lease_s),
            election.elected_at,
        )
        self._direct_commands = DirectCommands(
            context, settings.cluster.limits.sockets, services.dial, self._on_direct_heartbeat
        )
        self._summaries = SummaryPublisher(
            context, operator.summary_s, broadcast, self.operations.operation_log.refused
        )
        self._watches = TermWatches(context, self.on_forwarded_heartbeats)
        self._planning = PlanningLoop(context, self._intents)

    async def run(self) -> None:
        """Fail over, then run the term's loops until cancelled or the first of them ends.

        A loop ends when it finds that the term is over. Any other error of a loop is raised.
        """
        await self._fail_over()
        async with curio.TaskGroup(wait=any) as group:
            for category, loop in self._loops():
                await group.spawn(self._run_loop, category, loop)
        await self._direct_commands.close()
        self.operations.log_totals()
        if group.exception is not None:
            raise group.exception

    async def _fail_over(self) -> None:
        """Load the state that earlier terms left; no decision is made before."""
        start = await curio.clock()
        while True:
            try:
                open_operations = await load_operations(self.context)
                self._watches.start_from(await load_state(self.context, self._machine_types))
                break
            except KeyValueStoreError as exc:
                log.debug("failover interrupted, to be retried: %s", exc)
                await curio.sleep(self.context.retry_s)
        await self.operations.rebuild(open_operations, self._released.names())
        log.info(
            "leader %s term %d took over in %.2f s: %d jobs, %d machines",
            self.context.node,
            self.term,
            await curio.clock() - start,
            len(self.scheduler.jobs),
            len(self.scheduler.machines),
        )
        await self.context.apply_known_cancellations()
        self.context.cancellations.informed = True
        self.loaded = True

    def _loops(self) -> tuple[TermLoop, ...]:
        return (
            (WorkCategory.COMMANDS, self._direct_commands.superseded.wait),
            (WorkCategory.COMMANDS, self._direct_commands.loop),
            (WorkCategory.PLANNING, self._planning.plan_loop),
            (WorkCategory.PLANNING, self._planning.tick_loop),
            (WorkCategory.STATE, self._watches.jobs_loop),
            (WorkCategory.STATE, self._watches.reservations_loop),
            (WorkCategory.STATE, self._watches.forwarded_loop),
            (WorkCategory.STATE, self.job_persistence.loop),
            (WorkCategory.SUMMARIES, self._summaries.loop),
            (WorkCategory.CLOUD, self._machine_list.loop),
            *((WorkCategory.CLOUD, loop) for loop in self.operations.loops()),
        )

    async def _run_loop(self, category: WorkCategory, loop: Callable[[], Awaitable[Any]]) -> None:
        try:
            await self._cpu_accounting.run_in_category(category, loop)
        except LeadershipLostError as exc:
            log.info("term %d ends: %s", self.term, exc)

    # -- heartbeats --------------------------------------------------------------

    async def on_heartbeat(
        self, heartbeat: Heartbeat, direct: bool = False
    ) -> tuple[Machine | None, list[Command]]:
        """Process a worker's heartbeat; return its machine and the commands for the response.

        `direct` marks the response to a direct command, which gets no commands. A heartbeat that
        was overtaken by a newer one, or is of a machine that is unknown or about to be released,
        gets only kills of cancelled jobs: its response renews the lease all the same.
        """
        now = await curio.clock()
        changes_before = self.scheduler.changes
        machine = self.scheduler.on_heartbeat(heartbeat, direct, now)
        if self.scheduler.changes != changes_before:
            await self.context.request_plan()
        if direct:
            return machine, []
        if machine is None:
            return None, self.context.cancellations.kill_commands(heartbeat)
        if self._planning.is_due(now) and self.scheduler.could_place_on(machine, now):
            await self._planning.wait_for_round(
                MAX_PLAN_WAIT_HEARTBEATS * self.context.heartbeat_interval_s
            )
        if (heartbeat.incarnation, heartbeat.sequence) != (machine.incarnation, machine.sequence):
            # Overtaken by a newer heartbeat during the wait.
            return machine, self.context.cancellations.kill_commands(heartbeat)
        now = await curio.clock()
        # Once the lease may have ended, another controller may lead. It knows the stored
        # intents, but this controller must not launch anything more.
        return machine, self.scheduler.response_commands(
            machine, heartbeat, now, self._may_launch(now)
        )

    def _may_launch(self, now: float) -> bool:
        """Return whether launches are allowed now.

        While the store does not answer, a cancellation may have gone unnoticed.
        """
        return self.context.lease_is_valid(now) and self.context.store.health.is_available(now)

    async def _on_direct_heartbeat(self, heartbeat: Heartbeat) -> None:
        await self.on_heartbeat(heartbeat, direct=True)

    async def on_forwarded_heartbeats(self, heartbeats: Any) -> None:
        """Process packed heartbeats of workers that could reach only a follower."""
        now = await curio.clock()
        changes_before = self.scheduler.changes
        for item in heartbeats:
            try:
                heartbeat = convert(item, Heartbeat)
            except InvalidMessageError as exc:
                log.debug("invalid forwarded heartbeat: %s", exc)
                continue
            self.scheduler.on_heartbeat(heartbeat, False, now, forwarded=True)
        if self.scheduler.changes != changes_before:
            await self.context.request_plan()

    # -- events from users and peers ---------------------------------------------

    async def on_job_accepted(self, job: Job) -> None:
        """Add a job that this controller accepted from a user."""
        if self.loaded:
            self.scheduler.add_job(job)
            await self.context.request_plan()

    async def on_job_cancelled(self, job_id: str, at: float) -> None:
        """Apply a cancellation that this controller or a peer confirmed to a user.

        `at` is the wall-clock time of the confirmation.
        """
        if self.loaded:
            await self.context.on_job_cancelled(job_id, at)

    async def on_peer_release(self, machines: list[str]) -> None:
        """Remove machines whose release the cloud has confirmed to this controller or a peer."""
        if self.loaded:
            await self.operations.scale_in.released_by_peer(machines, await curio.clock())

    async def request_plan(self) -> None:
        """Request a planning round after a change."""
        await self.context.request_plan()

    # -- views for other parts of the controller and for peers -------------------

    def cluster_view(self, now: float) -> ClusterView:
        """Return a current view of the fleet for this controller's own searches."""
        return self._summaries.cluster_view(now)

    def placements(self) -> list[list[Any]]:
        """Return where tasks may run, for controllers that have no scheduler."""
        return self._summaries.placements()

    def resend_placements(self) -> None:
        """Send all placements again, for a peer that has just started and knows no machine."""
        self._summaries.resend_placements()


def _create_scheduler(
    services: ControllerServices, state: ControllerState, election: ElectionResult
) -> Scheduler:
    scheduler = Scheduler(
        services.settings,
        services.operator,
        election.term,
        state.reservation_table,
        services.rng,
        election.elected_at,
    )
    scheduler.machine_types = services.catalog.machine_types
    return scheduler


class CurrentTerm:
    """The term that this controller leads, if any.

    Only `LeadershipService` changes it; other parts of the controller read it.
    """

    def __init__(self) -> None:
        self.leader_term: LeaderTerm | None = None

    @property
    def loaded_term(self) -> LeaderTerm | None:
        """The term, once all its state has been loaded."""
        term = self.leader_term
        return term if term is not None and term.loaded else None

    async def on_job_cancelled(self, job_id: str, at: float) -> None:
        """Pass a cancellation, with its wall-clock time, to the term, if there is one."""
        if self.leader_term is not None:
            await self.leader_term.on_job_cancelled(job_id, at)
