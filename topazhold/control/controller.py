"""One controller: its servers, its lease, its part in elections."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from random import Random
from typing import Any

import curio

from topazhold.control.cancellation_enforcer import CancellationEnforcer
from topazhold.control.cancellation_exchange import CancellationExchange
from topazhold.control.cloud import Cloud, CloudUnavailableError
from topazhold.control.election import ControllerLease, Election, lease_time_s
from topazhold.control.follower_heartbeats import SILENT_CONTROLLER_LEASES, FollowerHeartbeats
from topazhold.control.gang_reservations import ClusterView, GangReservations
from topazhold.control.heartbeat_forwarding import HeartbeatForwarding
from topazhold.control.key_value_store import KeyValueStore
from topazhold.control.leader_term import LeaderTerm
from topazhold.control.peer_messages import (
    CANCELLED,
    PING,
    PLACED,
    RECEIPT,
    RELAY,
    RELEASED,
    SUMMARY,
    Cancelled,
    Ping,
    Placed,
    Receipt,
    Relay,
    Released,
    Summary,
)
from topazhold.control.placement_search import PlacementSearch
from topazhold.control.users import Users, users_request
from topazhold.core.cancellations import Cancellations
from topazhold.core.jobs import NO_OBJECTIVE, Job
from topazhold.core.leadership import Leadership
from topazhold.core.placement_hints import PlacementHints
from topazhold.core.reservations import ReservationTable
from topazhold.core.zone_summary import pack_names, unpack_names
from topazhold.io.client import Client
from topazhold.io.cpu_accounting import CpuAccounting, WorkCategory
from topazhold.io.http import Request, Response
from topazhold.io.peer_transport import PeerConnection, PeerListener, encode
from topazhold.io.server import Server
from topazhold.operations.released_machines import ReleasedMachines
from topazhold.operator_settings import Operator
from topazhold.settings import Settings, address
from topazhold.wire import messages as wire
from topazhold.wire.cloud import MachineType
from topazhold.wire.codec import InvalidMessageError, read
from topazhold.wire.workers import Commands, Heartbeat

log = logging.getLogger(__name__)

#: The most time that a round of searches takes, as a share of a lease's.
ROUND_CONTROLLER_LEASES = 0.1
#: The catalog's prices move slowly.
CATALOG_HEARTBEATS = 60
#: Share of the sockets for those who connect to this node.
SERVED_SHARE = 0.8


class Controller:
    """A controller process."""

    def __init__(
        self,
        settings: Settings,
        operator: Operator,
        dial: Callable[[tuple[str, int], int], Client] = Client,
        cpu_accounting: CpuAccounting | None = None,
    ) -> None:
        cluster = settings.cluster
        self.cpu_accounting = cpu_accounting if cpu_accounting is not None else CpuAccounting()
        self.settings = settings
        self.operator = operator
        self.name = settings.node_name
        self.heartbeat_interval_s = cluster.workers.heartbeat_interval_s
        self.controller_lease_s = lease_time_s(settings)
        self.rng = Random(f"{self.name}:{time.time_ns()}")
        self._dial = dial
        state = address(settings.outside.state)
        self.store = KeyValueStore(
            dial(state, 6),
            dial(state, 4),
            cluster.state,
            timeout_s=0.4 * self.controller_lease_s,
        )
        self.cloud = Cloud(
            dial(address(settings.outside.cloud), 2), cluster.cloud.rps, timeout_s=5.0
        )
        self.leadership = Leadership(self.name)
        self.reservation_table = ReservationTable(self.name)
        self.machine_types: dict[str, MachineType] = {}
        self.cluster_view = ClusterView()
        self.gang_reservations = GangReservations(
            settings,
            operator,
            self.store,
            self.reservation_table,
            self.rng,
            max_round_s=ROUND_CONTROLLER_LEASES * self.controller_lease_s,
        )
        workers = cluster.workers
        self.cancellations = Cancellations(
            f"{self.name}-{time.time_ns():x}", workers.cancel_s, workers.lease_s
        )
        self.placement_hints = PlacementHints()
        self.released = ReleasedMachines()
        self.cancellation_enforcer = CancellationEnforcer(
            settings,
            self.cancellations,
            self.placement_hints,
            self.cloud,
            dial,
            self._has_owner,
            self._announce_released,
        )
        self._leader_loaded: tuple[str, float] = ("", -1e9)  # whose ping said so, when
        self._peer_incarnations: dict[str, str] = {}
        self.follower_heartbeats = FollowerHeartbeats(
            self.leadership,
            settings.domain,
            len(settings.seeds),
            self.controller_lease_s,
            workers.lease_s,
            time.monotonic(),
            workers.cancel_s,
        )
        self.leader_term: LeaderTerm | None = None
        self._changed = curio.Event()  # of the lease or the leadership
        self.lease = ControllerLease(
            self.store,
            self.controller_lease_s,
            self.gang_reservations.reset,
            self._end_term,
            self._changed.set,
        )
        self.election = Election(
            self.store,
            self.leadership,
            self.lease,
            self.controller_lease_s,
            self._begin_term,
            self._end_term,
        )
        self.peer_connections = {
            seed.node_name: PeerConnection(address(seed.addr), 0.5) for seed in settings.seeds
        }
        self.cancellation_exchange = CancellationExchange(
            self.name,
            self.heartbeat_interval_s,
            self.cancellations,
            self.peer_connections,
            self.follower_heartbeats.reaches_peers,
            self._notify_leader_term,
        )
        self.users = Users(
            settings,
            self.store,
            self.machine_types,
            self._accepted,
            self._running_count,
            self.cancellation_exchange.confirm,
        )
        self.placement_search = PlacementSearch(
            settings,
            operator,
            self.store,
            self.gang_reservations,
            self.cluster_view,
            lambda: self.leader_term,
            lambda: self.lease.id,
        )
        self.heartbeat_forwarding = HeartbeatForwarding(
            settings,
            self.store,
            self.leadership,
            self.follower_heartbeats,
            self.peer_connections,
            lambda: self.lease.id,
        )
        self._share(False)

    def _share(self, is_leader: bool) -> None:
        """The leader needs most of the state service's limits."""
        nodes = 1 + len(self.peer_connections)
        if nodes == 1:
            self.store.set_share(1.0)
        else:
            # The shares add up to more than the whole: the nodes are seldom
            # busy at once, and what is too much the service itself refuses.
            self.store.set_share(0.85 if is_leader else max(0.35, 1.0 / nodes))

    async def run(self) -> None:
        """Serve until killed."""
        sockets = self.settings.cluster.limits.sockets
        public = Server(
            self.handle,
            int(sockets * SERVED_SHARE),
            idle_s=120.0,
            is_limited=users_request,
            max_limited=int(sockets * self.operator.user_socket_share),
        )
        peers = PeerListener(self.peer_message, idle_s=60.0)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(public.run, address(self.settings.bind))
            await group.spawn(peers.run, address(self.settings.peer_listen))
            for connection in self.peer_connections.values():
                await group.spawn(
                    self.cpu_accounting.run_in_category, WorkCategory.PEERS, connection.run
                )
            await group.spawn(self.cpu_accounting.loop, self.heartbeat_interval_s, log.info)
            await group.spawn(self.work)
            log.info("node %s serves %s", self.name, self.settings.bind)
        if group.exception is not None:
            raise group.exception

    async def work(self) -> None:
        """All that goes on besides answering requests."""
        async with curio.TaskGroup(wait=any) as group:
            for category, loop in (
                (WorkCategory.STATE, self.lease.loop),
                (WorkCategory.STATE, self.election.loop),
                (WorkCategory.OTHER, self._leader_term_loop),
                (WorkCategory.CLOUD, self._catalog_loop),
                (WorkCategory.PEERS, self._ping_loop),
                (WorkCategory.SEARCHES, self.placement_search.loop),
                (WorkCategory.PEERS, self.heartbeat_forwarding.loop),
                (WorkCategory.OTHER, self._resign_loop),
                (WorkCategory.COMMANDS, self.cancellation_enforcer.loop),
            ):
                await group.spawn(self.cpu_accounting.run_in_category, category, loop)
        if group.exception is not None:
            raise group.exception

    # -- requests ----------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        if request.path == wire.HEARTBEAT_PATH:
            self.cpu_accounting.enter(WorkCategory.HEARTBEATS)
            if request.method != "POST":
                return Response(405)
            return await self._heartbeat(request.body)
        if request.path == wire.HEALTH_PATH:
            self.cpu_accounting.enter(WorkCategory.HEALTH)
            if request.method != "GET":
                return Response(405)
            return Response(200 if self._healthy(await curio.clock()) else 503)
        self.cpu_accounting.enter(WorkCategory.USERS)
        answer = await self.users.handle(request)
        return answer if answer is not None else Response(404)

    def _served(self, now: float) -> bool:
        """Whether the state service answers this node, a hiccup aside."""
        return self.store.answers(now)

    def _healthy(self, now: float) -> bool:
        """Whether requests can be taken here.

        In an outage of the state service for all, going unhealthy would only
        add the load balancer's pauses to it. A node that alone can't reach it
        sends users elsewhere.
        """
        if not self.machine_types:
            return False
        return self._served(now) or not self.follower_heartbeats.alone(now)

    async def _heartbeat(self, body: bytes) -> Response:
        try:
            heartbeat = read(body, Heartbeat)
        except InvalidMessageError as exc:
            log.debug("heartbeat refused: %s", exc)
            return Response(400)
        lead = self.leadership
        leader_term = self.leader_term
        if heartbeat.fencing_token > lead.term:
            # A worker knows a term that this node does not: whoever thinks
            # to be leader here is not any more.
            lead.term = heartbeat.fencing_token
            if leader_term is not None:
                await self._end_term("a worker knows a higher term")
            lead.leader = None
            return Response(421, wire.redirect(None))
        now = await curio.clock()
        if self.follower_heartbeats.isolated(self._served(now), now):
            # Nothing that this node hears reaches anybody: not even a leader may
            # hold workers here, once its lease may have passed on.
            if not self.lease.lease_is_valid(now):
                if not (
                    self._informed(now) and self.follower_heartbeats.keeps_isolated(heartbeat, now)
                ):
                    return Response(421, wire.redirect(None))
        if leader_term is None or not lead.is_leader:
            if self._informed(now) and self.follower_heartbeats.keeps(heartbeat, now):
                self.follower_heartbeats.keep(heartbeat)
                return self._answer_locally(heartbeat, lead.term)
            leader = lead.leader if lead.leader != self.name else None
            return Response(421, wire.redirect(leader))
        if not leader_term.loaded:
            if not self._informed(now):
                return Response(421, wire.redirect(None))
            return self._answer_locally(heartbeat, leader_term.term)
        _, commands = await leader_term.on_heartbeat(heartbeat)
        if self.leader_term is not leader_term:
            return Response(421, wire.redirect(None))
        return Response(200, Commands(leader_term.term, commands))

    def _informed(self, now: float) -> bool:
        """Whether a 200 from here keeps no task alive past the end of its `cancel_s`."""
        return self.cancellations.informed and self.follower_heartbeats.informed(now)

    def _answer_locally(self, heartbeat: Heartbeat, term: int) -> Response:
        """A 200 without a scheduler: nothing but the kills that the record asks for."""
        self.placement_hints.update_from_heartbeat(heartbeat)
        commands = self.cancellations.kills(heartbeat)
        if commands:
            log.info(
                "%d tasks of cancelled jobs on %s killed in an answer",
                len(commands),
                heartbeat.machine,
            )
        return Response(200, Commands(term, commands))

    # -- cancellations -------------------------------------------------------

    def _has_owner(self, job: str, now: float) -> bool:
        """Whether a leader that has loaded sees to a cancellation."""
        if self.leader_term is not None and self.leader_term.loaded:
            return True
        leader, at = self._leader_loaded
        quiet = now - at > 2 * SILENT_CONTROLLER_LEASES * self.controller_lease_s
        return not quiet and self.cancellations.peer_has(leader, job)

    async def _notify_leader_term(self, job: str, at: float) -> None:
        """A job is cancelled: the term that this controller leads, if any, is to know."""
        if self.leader_term is not None:
            await self.leader_term.cancelled(job, at)

    # -- work accepted here ----------------------------------------------------

    async def _accepted(self, job: Job) -> None:
        if self.leader_term is not None:
            await self.leader_term.accepted(job)
        if job.gang:
            waits = self.settings.cluster.wait_objectives()
            job.wait_objective_s = waits.get(job.spec.job_class, (NO_OBJECTIVE, NO_OBJECTIVE))[0]
            await self.gang_reservations.accepted(job, await curio.clock())

    def _running_count(self, job_id: str) -> int:
        if self.leader_term is not None and self.leader_term.loaded:
            job = self.leader_term.scheduler.jobs.get(job_id)
            return job.running_count() if job is not None else 0
        return self.cluster_view.running.get(job_id, 0)

    # -- the term ------------------------------------------------------------

    async def _begin_term(self, term: int, revision: int) -> None:
        """Begin a term."""
        self._share(True)
        self.leader_term = LeaderTerm(
            self.settings,
            self.operator,
            self.store,
            self.cloud,
            self.reservation_table,
            self.machine_types,
            term,
            revision,
            self.rng,
            await curio.clock(),
            self._broadcast,
            self._dial,
            self.lease.lease_is_valid,
            self.cancellations,
            self.cpu_accounting,
            self.controller_lease_s,
            self.released,
            self._announce_released,
        )
        await self._changed.set()
        await self._ping()

    async def _end_term(self, reason: str) -> None:
        """End this node's term, if there is one."""
        if self.leader_term is None:
            return
        log.info("node %s is leader no more: %s", self.name, reason)
        self.leadership.become_follower()
        if self.leader_term.loaded:
            self.placement_hints.update_from_leader(
                self.leader_term.term, self.leader_term.placed()
            )
        self.leader_term = None
        self._share(False)
        await self._changed.set()

    async def _leader_term_loop(self) -> None:
        """Run the term's loops for as long as it lasts."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            leader_term = self.leader_term
            if leader_term is None:
                continue
            task = await curio.spawn(leader_term.run)
            while self.leader_term is leader_term and not task.terminated:
                await curio.ignore_after(0.25 * self.controller_lease_s, self._changed.wait)
                self._changed.clear()
            await task.cancel()
            if self.leader_term is leader_term:
                await self._end_term("its loops ended")
                await self.lease.drop()

    # -- peers ---------------------------------------------------------------

    async def _broadcast(self, message: tuple[Any, ...]) -> None:
        frame = encode(message)
        for connection in self.peer_connections.values():
            await connection.send(frame)

    async def _ping(self) -> None:
        lead = self.leadership
        silent: list[str] | None = None
        if self.leader_term is not None and self.leader_term.loaded:
            silent = pack_names(
                self.leader_term.scheduler.machines_without_heartbeat(await curio.clock())
            )
        served = self.store.failing_since is None
        cancellations = self.cancellations
        enforces = silent is not None or bool(self.placement_hints.places)
        await self._broadcast(
            Ping(
                PING,
                self.name,
                lead.term,
                lead.leader or "",
                silent,
                served,
                enforces,
                [cancellations.incarnation, cancellations.last, cancellations.informed],
                cancellations.receipts(),
            )
        )

    async def _ping_loop(self) -> None:
        while True:
            await self._ping()
            await curio.sleep(0.25 * self.controller_lease_s)

    async def peer_message(self, message: tuple[Any, ...]) -> None:
        """A message of another controller: hints only."""
        self.cpu_accounting.enter(WorkCategory.PEERS)
        tag = message[0]
        if tag == PING:
            await self._on_ping(Ping(*message))
        elif tag == CANCELLED:
            await self.cancellation_exchange.on_cancellations(Cancelled(*message))
        elif tag == RECEIPT:
            receipt = Receipt(*message)
            await self.cancellation_exchange.on_receipt(
                str(receipt.node), str(receipt.incarnation), int(receipt.upto)
            )
        elif tag == RELEASED:
            await self._on_released(Released(*message).machines)
        elif tag == PLACED:
            placed = Placed(*message)
            if self.leader_term is None or not self.leader_term.loaded:
                self.placement_hints.update_from_leader(int(placed.term), placed.items)
        elif tag == RELAY:
            relay = Relay(*message)
            if self.leader_term is not None and self.leader_term.term == int(relay.term):
                await self.leader_term.forwarded(relay.heartbeats)
        elif tag == SUMMARY:
            summary = Summary(*message)
            if int(summary.term) >= self.leadership.term and self.leader_term is None:
                self.placement_search.read_summary(summary.values, await curio.clock())

    async def _on_ping(self, ping: Ping) -> None:
        """A peer lives; what it knows of the leader and of cancellations."""
        peer = str(ping.node)
        from_leader = ping.silent is not None and ping.node == ping.leader
        now = await curio.clock()
        self.follower_heartbeats.heard(
            peer,
            bool(ping.served),
            unpack_names(ping.silent) if from_leader else None,
            now,
            bool(ping.enforces),
        )
        if from_leader:
            self._leader_loaded = (peer, now)
        await self._level(peer, ping.record, ping.receipts)
        if ping.leader and int(ping.term) >= self.leadership.term:
            if self.leadership.learn(str(ping.leader), int(ping.term)):
                await self._end_term("a peer follows a later leader")

    async def _announce_released(self, machines: list[str]) -> None:
        """The cloud has confirmed a release that is not recorded: the others must know."""
        await self._broadcast(Released(RELEASED, self.name, machines))
        await self._on_released(machines)

    async def _on_released(self, machines: list[str]) -> None:
        names = [str(name) for name in machines]
        self.released.add(names)
        for name in names:
            self.placement_hints.gone(name)
        if self.leader_term is not None:
            await self.leader_term.released(names)

    async def _level(self, peer: str, record: Any, receipts: Any) -> None:
        """Compare the records of cancellations with a peer's."""
        incarnation, last, informed = record
        if informed and self.cancellations.level_with(peer, str(incarnation), int(last)):
            self.cancellations.informed = True
        if self._peer_incarnations.get(peer) != incarnation:
            self._peer_incarnations[peer] = str(incarnation)
            if self.leader_term is not None:
                self.leader_term.resend_all()
        of_incarnation, upto = receipts.get(self.name, ("", -1))
        await self.cancellation_exchange.on_receipt(peer, str(of_incarnation), int(upto))

    async def _resign_loop(self) -> None:
        """A leader that hardly hears any worker, while others do, makes room."""
        lease_s = self.settings.cluster.workers.lease_s
        while True:
            await curio.sleep(0.5 * self.controller_lease_s)
            leader_term = self.leader_term
            now = await curio.clock()
            if (
                leader_term is None
                or not leader_term.loaded
                or not leader_term.scheduler.is_partitioned_from_workers(now)
            ):
                continue
            log.info("node %s hears too few of the workers that others hear", self.name)
            self.election.bar(now + 2 * lease_s)
            await self._end_term("cut from the workers")
            await self.lease.drop()

    # -- the catalog -------------------------------------------------------------

    async def _catalog_loop(self) -> None:
        while True:
            try:
                machine_types = await self.cloud.catalog()
                self.machine_types.update(
                    {machine_type.name: machine_type for machine_type in machine_types}
                )
                await curio.sleep(CATALOG_HEARTBEATS * self.heartbeat_interval_s)
            except CloudUnavailableError as exc:
                log.debug("catalog: %s", exc)
                await curio.sleep(max(1.0, 0.5 * self.heartbeat_interval_s))
