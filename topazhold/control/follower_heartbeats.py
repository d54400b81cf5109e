"""What a follower does for workers that the leader can't reach.

A follower sends workers to the leader. When it is cut from them, or there is
none just now, that would cost them their leases and so their tasks. It then
answers with the known term and no commands, and forwards their heartbeats.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from topazhold.core.leadership import Leadership
from topazhold.wire import messages as wire
from topazhold.wire.codec import json_size
from topazhold.wire.workers import Heartbeat

#: A leader that has been silent for this share of a controller's lease can't be reached.
SILENCE_LEASE_SHARE = 0.9
#: Such silences after which a peer's word counts no more.
PEER_EXPIRY_SILENCES = 2
#: Steady clocks drift apart by at most this share.
MAX_CLOCK_DRIFT_SHARE = 0.002


def _has_ended_task(heartbeat: Heartbeat) -> bool:
    return any(task.state == wire.ENDED for task in heartbeat.tasks)


class PartitionedControllerPolicy:
    """Which workers a controller keeps that is cut from all but its workers.

    Its answers keep their tasks alive and lead nowhere else. If only it
    is cut, every worker is better off with another one. If its whole zone is,
    a worker sent away finds nobody, and loses its lease on the way round.
    Workers of other zones that arrive here, or one sent ahead that does not
    come back, show which it is.
    """

    def __init__(self, zone: str, lease_s: float) -> None:
        self._zone = zone
        self._lease_s = lease_s
        self._probes: dict[str, float] = {}  # workers sent ahead, and not back yet
        self._returned_at: dict[str, float] = {}  # those that found nobody
        self._can_reach_others = False

    def reset(self) -> None:
        """The controller is in touch again."""
        self._probes.clear()
        self._returned_at.clear()
        self._can_reach_others = False

    def should_serve(self, heartbeat: Heartbeat, now: float) -> bool:
        """Whether to answer a worker here; one that is sent ahead is expected back."""
        probed_at = self._probes.pop(heartbeat.machine, None)
        if probed_at is not None:
            self._returned_at[heartbeat.machine] = now
            self._can_reach_others = False
        if heartbeat.machine in self._returned_at:
            # It went round and found nobody. It stays for a lease time.
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
            # Those with nothing to lose go first; else one for all.
            self._probes[heartbeat.machine] = now
            return False
        return True


class FollowerTiming(NamedTuple):
    """The times, in seconds, by which a follower decides for how long to keep workers."""

    controller_lease_s: float  # a controller's lease
    lease_s: float  # a worker's lease
    cancel_s: float = math.inf  # in which a cancelled job's tasks must be gone


class FollowerHeartbeats:
    """Decides which workers to keep here, and collects their heartbeats."""

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
        self._lease_s = lease_s
        # A task that an answer keeps alive lives for a lease more. Until so long after
        # the last word of a peer, whatever was cancelled since is gone in time.
        self._max_silence_s = max(0.0, timing.cancel_s - lease_s * (1 + MAX_CLOCK_DRIFT_SHARE))
        self._peers_can_enforce = False  # whether peers could end tasks that are kept here
        self._started_at = now
        self._last_ping_at: dict[str, float] = {}  # peers, by the time of their last ping
        self._store_available: dict[str, bool] = {}  # whether the store serves them
        self._silent_machines: set[str] = set()  # machines whose heartbeats don't reach the leader
        self._redirected_at: dict[str, float] = {}
        self._queued: dict[str, Heartbeat] = {}

    def on_ping(
        self,
        peer: str,
        store_available: bool,
        silent_machines: Iterable[str] | None,
        now: float,
        can_enforce: bool = True,
    ) -> None:
        """A peer's ping; the leader's carries the machines whose heartbeats it lacks."""
        self._last_ping_at[peer] = now
        self._peers_can_enforce = can_enforce
        self._store_available[peer] = store_available
        if silent_machines is not None:
            self._silent_machines = set(silent_machines)

    def reaches_peers(self, now: float) -> bool:
        """Whether any peer has pinged just now."""
        return any(now - at < self._silence_threshold_s for at in self._last_ping_at.values())

    def is_isolated(self, now: float) -> bool:
        """Whether peers are served while this controller is not, or none can be reached."""
        reachable = [
            peer
            for peer, at in self._last_ping_at.items()
            if now - at < PEER_EXPIRY_SILENCES * self._silence_threshold_s
        ]
        return any(self._store_available[peer] for peer in reachable) or (
            bool(self._last_ping_at) and not reachable
        )

    def can_enforce_cancellations(self, now: float) -> bool:
        """Whether every confirmed cancellation is met though workers are kept here.

        Peers that ping tell of them. Those that are silent now, but knew
        where tasks are, release what they can't stop. Of others nothing is known, and
        workers are kept only for as long as `cancel_s` allows.
        """
        if self._peer_count == 0:
            return True
        last_ping_at = max(self._last_ping_at.values(), default=self._started_at)
        return (
            now - last_ping_at < PEER_EXPIRY_SILENCES * self._silence_threshold_s
            or self._peers_can_enforce
            or now - last_ping_at < self._max_silence_s
        )

    def is_partitioned(self, store_available: bool, now: float) -> bool:
        """Whether this controller reaches neither the store nor any peer."""
        peer_expiry_s = PEER_EXPIRY_SILENCES * self._silence_threshold_s
        is_partitioned = (
            self._peer_count > 0
            and not store_available
            and now - self._started_at > peer_expiry_s
            and all(now - at > peer_expiry_s for at in self._last_ping_at.values())
        )
        if not is_partitioned:
            self._partition_policy.reset()
        return is_partitioned

    def should_serve_while_partitioned(self, heartbeat: Heartbeat, now: float) -> bool:
        """Whether to answer a worker here although nothing comes of it."""
        return (
            heartbeat.fencing_token == self._leadership.term > 0
            and self._partition_policy.should_serve(heartbeat, now)
        )

    def is_leader_silent(self, now: float) -> bool:
        """Whether nothing has come from the leader for too long."""
        leader = self._leadership.leader
        return leader is not None and (
            now - self._last_ping_at.get(leader, self._started_at) > self._silence_threshold_s
        )

    def should_serve(self, heartbeat: Heartbeat, now: float) -> bool:
        """Whether to answer this worker here instead of sending it to the leader."""
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
        # The leader lives, but this worker's heartbeats don't reach it. It is sent to it once
        # per lease time, which it survives if the way is still closed.
        redirected_at = self._redirected_at.setdefault(heartbeat.machine, now)
        if now - redirected_at < self._lease_s:
            return True
        self._redirected_at[heartbeat.machine] = now
        return False

    def queue_for_forwarding(self, heartbeat: Heartbeat) -> None:
        """Forward it with the next; a late copy does not take a newer one's place."""
        queued = self._queued.get(heartbeat.machine)
        if queued is None or (heartbeat.incarnation, heartbeat.sequence) > (
            queued.incarnation,
            queued.sequence,
        ):
            self._queued[heartbeat.machine] = heartbeat

    def take_for_forwarding(self, max_bytes: int) -> list[Any]:
        """Heartbeats to forward, as many as fit; the others follow next time.

        Those with ended tasks go first: the leader waits for them.
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
            if item_bytes <= max_bytes:  # one that fits no value only keeps its lease here
                packed_bytes += item_bytes
                packed.append(item)
        return packed
