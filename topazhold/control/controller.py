"""The controller process: creates its components and serves until it is killed."""

from __future__ import annotations

import logging
import time
from http import HTTPStatus
from typing import Any

import curio

from topazhold.control.cancellation_enforcer import CancellationEnforcer
from topazhold.control.cancellation_exchange import CancellationExchange
from topazhold.control.controller_services import (
    ControllerServices,
    ControllerState,
    Dial,
    connect_services,
    initial_state,
)
from topazhold.control.follower_heartbeats import (
    FollowerHeartbeats,
    FollowerTiming,
    peer_expiry_s,
)
from topazhold.control.gang_reservations import GangReservations
from topazhold.control.heartbeat_forwarding import HeartbeatForwarding
from topazhold.control.heartbeat_service import HeartbeatService
from topazhold.control.leader_term import CurrentTerm, LeaderTerm
from topazhold.control.leadership_service import LeadershipService
from topazhold.control.lease_renewals import LeaseRenewals
from topazhold.control.live_jobs import LiveJobs
from topazhold.control.peer_announcer import PeerAnnouncer
from topazhold.control.peer_group import PeerGroup
from topazhold.control.peer_service import PeerMessageRecipients, PeerService
from topazhold.control.pending_gangs import PendingGangs
from topazhold.control.placement_search import PlacementSearch
from topazhold.control.users import Users, is_user_request
from topazhold.core.jobs import NO_OBJECTIVE, Job
from topazhold.io.client import Client
from topazhold.io.cpu_accounting import CpuAccounting, WorkCategory
from topazhold.io.http import Request, Response
from topazhold.io.peer_transport import PeerListener
from topazhold.io.server import Server
from topazhold.operator_settings import OperatorSettings
from topazhold.settings import Settings, parse_address
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: Maximum duration of a round of searches, as a share of the controller's lease.
SEARCH_ROUND_LEASE_SHARE = 0.1
#: Share of the sockets for incoming connections of workers, users and probes.
SERVER_SOCKET_SHARE = 0.8
#: Seconds after which an idle connection of a worker or user is closed.
IDLE_TIMEOUT_S = 120.0
#: Seconds after which an idle connection of a peer is closed.
PEER_IDLE_TIMEOUT_S = 60.0


class Controller:
    """A controller process.

    `settings` and `operator` don't change during its life. `dial` creates HTTP clients, and
    `cpu_accounting` records processor time by category of work.
    """

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        dial: Dial = Client,
        cpu_accounting: CpuAccounting | None = None,
    ) -> None:
        self.cpu_accounting = cpu_accounting if cpu_accounting is not None else CpuAccounting()
        self.settings = settings
        self.operator = operator
        self.services = connect_services(settings, operator, dial, self.cpu_accounting)
        self.state = initial_state(settings)
        self.peers = PeerGroup(settings.seeds)
        self._current = CurrentTerm()
        self.announcer = PeerAnnouncer(self.services, self.state, self.peers, self._current)
        self.reservations = GangReservations(
            settings, self.services.store, self.state.reservation_table, self.services.rng
        )
        self.pending_gangs = PendingGangs(
            settings,
            operator,
            self.reservations,
            self.services.rng,
            max_round_s=SEARCH_ROUND_LEASE_SHARE * self.services.controller_lease_s,
        )
        self.leadership_service = LeadershipService(
            self.services,
            self.state,
            self.peers,
            self.announcer,
            self._current,
            self.reservations.reset,
        )
        self._wire_background_parts()
        self._wire_request_handlers()

    def _wire_background_parts(self) -> None:
        """Create the components of forwarding, searches and replication of cancellations."""
        services, state, lease = self.services, self.state, self.leadership_service.lease
        self.follower_heartbeats = _create_follower_heartbeats(services, state)
        self.cancellation_exchange = CancellationExchange(
            self.settings.node_name,
            self.settings.cluster.workers.heartbeat_interval_s,
            state.cancellations,
            self.peers,
            self.follower_heartbeats.reaches_peers,
            self._current.on_job_cancelled,
        )
        self.placement_search = PlacementSearch(
            self.settings, self.operator, services.store, self.pending_gangs, self._current, lease
        )
        self.heartbeat_forwarding = HeartbeatForwarding(
            self.settings,
            services.store,
            state.leadership,
            self.follower_heartbeats,
            self.peers,
            lease,
        )

    def _wire_request_handlers(self) -> None:
        """Create the handlers of requests and peers' messages, and the cancellation enforcer."""
        services, state = self.services, self.state
        lease_renewals = LeaseRenewals(
            state.cancellations, self.settings.cluster, peer_expiry_s(services.controller_lease_s)
        )
        self.live_jobs = LiveJobs(
            services.store,
            state.cancellations,
            lease_renewals,
            self.cancellation_exchange.confirm,
            self.settings.cluster.workers.heartbeat_interval_s,
        )
        self.heartbeat_service = HeartbeatService(
            state,
            services.store,
            self.leadership_service,
            self.follower_heartbeats,
            lease_renewals,
            self.live_jobs,
        )
        self.peer_service = PeerService(
            state,
            self.leadership_service,
            PeerMessageRecipients(
                self.cancellation_exchange,
                self.follower_heartbeats,
                self.placement_search,
                self.announcer,
            ),
            services.store.health,
            services.controller_lease_s,
        )
        self.cancellation_enforcer = CancellationEnforcer(
            self.settings,
            services.cloud,
            services.dial,
            state,
            self.peer_service.is_handled_by_leader,
            self.announcer.announce_released,
        )
        self.users = Users(
            self.settings,
            services.store,
            services.catalog.machine_types,
            self._on_accepted,
            self._running_task_count,
            self.cancellation_exchange.confirm,
        )

    @property
    def leader_term(self) -> LeaderTerm | None:
        """The term that this controller leads, loaded or not; None on a follower."""
        return self._current.leader_term

    async def run(self) -> None:
        """Serve until killed; raises the exception that ended a component."""
        sockets = self.settings.cluster.limits.sockets
        public = Server(
            self.handle,
            int(sockets * SERVER_SOCKET_SHARE),
            idle_s=IDLE_TIMEOUT_S,
            is_limited=is_user_request,
            max_limited=int(sockets * self.operator.user_socket_share),
        )
        peers = PeerListener(self.peer_message, idle_s=PEER_IDLE_TIMEOUT_S)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(public.run, parse_address(self.settings.bind))
            await group.spawn(peers.run, parse_address(self.settings.peer_listen))
            for connection in self.peers.connections.values():
                await group.spawn(
                    self.cpu_accounting.run_in_category, WorkCategory.PEERS, connection.run
                )
            await group.spawn(
                self.cpu_accounting.loop,
                self.settings.cluster.workers.heartbeat_interval_s,
                log.info,
            )
            await group.spawn(self.run_background_loops)
            log.info("node %s serves %s", self.settings.node_name, self.settings.bind)
        if group.exception is not None:
            raise group.exception

    async def run_background_loops(self) -> None:
        """Run all background loops; raises the exception that ended one of them."""
        leadership = self.leadership_service
        async with curio.TaskGroup(wait=any) as group:
            for category, loop in (
                (WorkCategory.STATE, leadership.lease.loop),
                (WorkCategory.STATE, leadership.election.loop),
                (WorkCategory.OTHER, leadership.term_loop),
                (WorkCategory.CLOUD, self.services.catalog.loop),
                (WorkCategory.PEERS, self.announcer.loop),
                (WorkCategory.SEARCHES, self.placement_search.loop),
                (WorkCategory.PEERS, self.heartbeat_forwarding.loop),
                (WorkCategory.STATE, self.live_jobs.loop),
                (WorkCategory.OTHER, leadership.resign_loop),
                (WorkCategory.COMMANDS, self.cancellation_enforcer.loop),
            ):
                await group.spawn(self.cpu_accounting.run_in_category, category, loop)
        if group.exception is not None:
            raise group.exception

    async def handle(self, request: Request) -> Response:
        """Return the response to a request of a worker, a user or a health probe."""
        if request.path == wire.HEARTBEAT_PATH:
            self.cpu_accounting.set_category(WorkCategory.HEARTBEATS)
            if request.method != "POST":
                return Response(HTTPStatus.METHOD_NOT_ALLOWED)
            return await self.heartbeat_service.handle(request.body)
        if request.path == wire.HEALTH_PATH:
            self.cpu_accounting.set_category(WorkCategory.HEALTH)
            if request.method != "GET":
                return Response(HTTPStatus.METHOD_NOT_ALLOWED)
            return Response(
                HTTPStatus.OK
                if self._is_healthy(await curio.clock())
                else HTTPStatus.SERVICE_UNAVAILABLE
            )
        self.cpu_accounting.set_category(WorkCategory.USERS)
        response = await self.users.handle(request)
        return response if response is not None else Response(HTTPStatus.NOT_FOUND)

    async def peer_message(self, message: tuple[Any, ...]) -> None:
        """Handle a message of another controller; raises what `PeerService.handle` raises."""
        self.cpu_accounting.set_category(WorkCategory.PEERS)
        await self.peer_service.handle(message)

    def _is_healthy(self, now: float) -> bool:
        """Return whether the load balancer should send users here.

        If the store is down for all controllers, failing health checks would only add the load
        balancer's delays to the outage. A controller that alone can't reach it is unhealthy.
        """
        if not self.services.catalog.machine_types:
            return False
        store_available = self.services.store.health.is_available(now)
        return store_available or not self.follower_heartbeats.is_isolated(now)

    async def _on_accepted(self, job: Job) -> None:
        """Handle a job accepted here: schedule it as leader, and search machines for a gang."""
        if self._current.leader_term is not None:
            await self._current.leader_term.on_job_accepted(job)
        if job.gang:
            waits = self.settings.cluster.wait_objectives()
            job.wait_objective_s = waits.get(job.spec.job_class, (NO_OBJECTIVE, NO_OBJECTIVE))[0]
            await self.pending_gangs.add(job, await curio.clock())

    def _running_task_count(self, job_id: str) -> int:
        """Return the number of a job's running tasks; a follower uses the last summary."""
        if self._current.loaded_term is not None:
            job = self._current.loaded_term.scheduler.jobs.get(job_id)
            return job.running_count() if job is not None else 0
        return self.placement_search.cluster_view.running.get(job_id, 0)


def _create_follower_heartbeats(
    services: ControllerServices, state: ControllerState
) -> FollowerHeartbeats:
    settings = services.settings
    workers = settings.cluster.workers
    return FollowerHeartbeats(
        state.leadership,
        settings.domain,
        len(settings.seeds),
        FollowerTiming(services.controller_lease_s, workers.lease_s),
        time.monotonic(),
    )
