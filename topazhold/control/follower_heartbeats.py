"""Decides which workers a follower serves itself instead of redirecting them to the leader.

A follower normally redirects workers to the leader. If they can't reach the leader, or there
is none, a redirect would cost them their leases and so their tasks. The follower then responds
with the known term and no commands except kills, and forwards their heartbeats.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from topazhold.core.leadership import Leadership
from topazhold.wire import messages as wire
from topazhold.wire.codec import json_size
from topazhold.wire.workers import Heartbeat

#: A peer without pings for this share of a controller's lease counts as silent.
SILENCE_LEASE_SHARE = 0.9
#: Multiple of that time after which a peer's last ping is no longer used.
PEER_EXPIRY_SILENCES = 2


def peer_expiry_s(controller_lease_s: float) -> float:
    """Return the seconds after which a peer's last ping is no longer used."""
    return PEER_EXPIRY_SILENCES * SILENCE_LEASE_SHARE * controller_lease_s


def _has_ended_task(heartbeat: Heartbeat) -> bool:
    return any(task.state == wire.ENDED for task in heartbeat.tasks)


class PartitionedControllerPolicy:
    """Decides which workers to serve on a controller that reaches neither the store nor a peer.

    Its responses renew leases, but the leader gets no heartbeats from here. If only this
    controller is partitioned, each worker is better served by another one. If its whole zone
    is, a redirected worker finds no controller and loses its lease while it tries them all.
    The zone is not partitioned if workers of other zones arrive here, or if a worker that was
    redirected as a probe does not return within a lease.
    """

    def __init__(self, zone: str, lease_s: float) -> None:
        self._zone = zone
        self._lease_s = lease_s
        self._probes: dict[str, float] = {}  # redirected workers that have not returned, and when
        self._returned_at: dict[str, float] = {}  # workers that found no other controller
        self._can_reach_others = False

    def reset(self) -> None:
        """Forget all observations: the controller is connected again."""
        self._probes.clear()
        self._returned_at.clear()
        self._can_reach_others = False

    def should_serve(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether to serve a worker here; False redirects it as a probe."""
        probed_at = self._probes.pop(heartbeat.machine, None)
        if probed_at is not None:
            self._returned_at[heartbeat.machine] = now
            self._can_reach_others = False
        if heartbeat.machine in self._returned_at:
            # It tried the other controllers without success: serve it for one lease.
            if now - self._returned_at[heartbeat.machine] < self._lease_s:
                return True
            del self._returned_at[heartbeat.machine]
        elif heartbeat.zone != self._zone or any(
            now - at > self._lease_s for at in self._probes.values()
        ):
            self._can_reach_others = True
        if self._can_reach_others:
            self._probes[heartbeat.machine] = now
            return False
        is_idle = not heartbeat.tasks
        if is_idle or not (self._probes or self._returned_at):
            # Redirect idle workers, which lose nothing, or a single busy one as a probe.
            self._probes[heartbeat.machine] = now
            return False
        return True


class FollowerTiming(NamedTuple):
    """Times, in seconds, that limit for how long a follower serves workers."""

    controller_lease_s: float  # a controller's lease
    lease_s: float  # a worker's lease


class FollowerHeartbeats:
    """Decides which workers to serve here, and queues their heartbeats for the leader."""

    def __init__(
        self,
        leadership: Leadership,
        zone: str,
        peer_count: int,
        timing: FollowerTiming,
        now: float,
    ) -> None:
        lease_s = timing.lease_s
        self._leadership = leadership
        self._zone = zone
        self._peer_count = peer_count
        self._partition_policy = PartitionedControllerPolicy(zone, lease_s)
        self._silence_threshold_s = SILENCE_LEASE_SHARE * timing.controller_lease_s
        self._peer_expiry_s = peer_expiry_s(timing.controller_lease_s)
        self._lease_s = lease_s
        self._started_at = now
        self._last_ping_at: dict[str, float] = {}  # by peer
        self._store_available: dict[str, bool] = {}  # by peer, as of its last ping
        self._silent_machines: set[str] = set()  # according to the leader
        self._redirected_at: dict[str, float] = {}
        self._queued: dict[str, Heartbeat] = {}

    def on_ping(
        self,
        peer: str,
        store_available: bool,
        silent_machines: Iterable[str] | None,
        now: float,
    ) -> None:
        """Record a peer's ping; the leader's lists the machines without heartbeats."""
        self._last_ping_at[peer] = now
        self._store_available[peer] = store_available
        if silent_machines is not None:
            self._silent_machines = set(silent_machines)

    def reaches_peers(self, now: float) -> bool:
        """Return whether any peer has pinged recently."""
        return any(now - at < self._silence_threshold_s for at in self._last_ping_at.values())

    def is_isolated(self, now: float) -> bool:
        """Return whether only this controller has lost the store; callers know that it has.

        True if a reachable peer has access to the store, or if no peer pings any more. Unlike
        `is_partitioned`, this may be true while peers are reachable. The isolated failures of
        `core/failure_detection.py` are failures of machines, not of controllers.
        """
        reachable = [
            peer for peer, at in self._last_ping_at.items() if now - at < self._peer_expiry_s
        ]
        return any(self._store_available[peer] for peer in reachable) or (
            bool(self._last_ping_at) and not reachable
        )

    def is_partitioned(self, store_available: bool, now: float) -> bool:
        """Return whether this controller reaches neither the store nor any peer."""
        is_partitioned = (
            self._peer_count > 0
            and not store_available
            and now - self._started_at > self._peer_expiry_s
            and all(now - at > self._peer_expiry_s for at in self._last_ping_at.values())
        )
        if not is_partitioned:
            self._partition_policy.reset()
        return is_partitioned

    def should_serve_while_partitioned(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether to serve a worker although its heartbeat can't be forwarded."""
        return (
            heartbeat.fencing_token == self._leadership.term > 0
            and self._partition_policy.should_serve(heartbeat, now)
        )

    def is_leader_silent(self, now: float) -> bool:
        """Return whether there is a leader and it has not pinged for too long."""
        leader = self._leadership.leader
        return leader is not None and (
            now - self._last_ping_at.get(leader, self._started_at) > self._silence_threshold_s
        )

    def should_serve(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether to serve this worker here instead of redirecting it to the leader."""
        leadership = self._leadership
        if leadership.term == 0 or heartbeat.fencing_token != leadership.term:
            return False
        if (
            leadership.leader is None
            or leadership.leader == leadership.node
            or self.is_leader_silent(now)
        ):
            return True
        if heartbeat.machine not in self._silent_machines:
            self._redirected_at.pop(heartbeat.machine, None)
            return False
        # The leader is alive but gets no heartbeats from this worker. Redirect the worker once
        # per lease; its lease survives one attempt that fails.
        redirected_at = self._redirected_at.setdefault(heartbeat.machine, now)
        if now - redirected_at < self._lease_s:
            return True
        self._redirected_at[heartbeat.machine] = now
        return False

    def queue_for_forwarding(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat for the leader; it replaces an older one of its machine only."""
        queued = self._queued.get(heartbeat.machine)
        if queued is None or (heartbeat.incarnation, heartbeat.sequence) > (
            queued.incarnation,
            queued.sequence,
        ):
            self._queued[heartbeat.machine] = heartbeat

    def take_for_forwarding(self, max_bytes: int) -> list[Any]:
        """Remove and return packed heartbeats of at most `max_bytes` in total.

        Those with ended tasks come first, since the leader waits for them.
        """
        packed: list[Any] = []
        packed_bytes = 0
        for machine_name in sorted(
            self._queued, key=lambda machine_name: not _has_ended_task(self._queued[machine_name])
        ):
            item = msgspec.to_builtins(self._queued[machine_name])
            item_bytes = json_size(item) + 1
            if item_bytes <= max_bytes and packed_bytes + item_bytes > max_bytes:
                break
            del self._queued[machine_name]
            if item_bytes <= max_bytes:  # a larger one is dropped; it has renewed its lease
                packed_bytes += item_bytes
                packed.append(item)
        return packed
