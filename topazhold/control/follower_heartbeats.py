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
SILENT_CONTROLLER_LEASES = 0.9
#: Such silences after which a peer's word counts no more.
QUIET_SILENCES = 2
#: Steady clocks drift apart by at most this share.
DRIFT = 0.002


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
        self._sent_ahead: dict[str, float] = {}  # workers sent ahead, and not back yet
        self._returned: dict[str, float] = {}  # those that found nobody
        self._has_way_out = False

    def end(self) -> None:
        """The controller is in touch again."""
        self._sent_ahead.clear()
        self._returned.clear()
        self._has_way_out = False

    def keeps(self, heartbeat: Heartbeat, now: float) -> bool:
        """Whether to answer a worker here; one that is sent ahead is expected back."""
        sent = self._sent_ahead.pop(heartbeat.machine, None)
        if sent is not None:
            self._returned[heartbeat.machine] = now
            self._has_way_out = False
        if heartbeat.machine in self._returned:
            # It went round and found nobody. It stays for a lease time.
            if now - self._returned[heartbeat.machine] < self._lease_s:
                return True
            del self._returned[heartbeat.machine]
        elif heartbeat.zone != self._zone or any(
            now - at > self._lease_s for at in self._sent_ahead.values()
        ):
            self._has_way_out = True
        if self._has_way_out:
            self._sent_ahead[heartbeat.machine] = now
            return False
        idle = not heartbeat.tasks
        if idle or not (self._sent_ahead or self._returned):
            # Those with nothing to lose go first; else one for all.
            self._sent_ahead[heartbeat.machine] = now
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
        peers: int,
        timing: FollowerTiming,
        now: float,
    ) -> None:
        lease_s = timing.lease_s
        self._leadership = leadership
        self._zone = zone
        self._peers = peers
        self._partitioned = PartitionedControllerPolicy(zone, lease_s)
        self._silence_s = SILENT_CONTROLLER_LEASES * timing.controller_lease_s
        self._lease_s = lease_s
        # A task that an answer keeps alive lives for a lease more. Until so long after
        # the last word of a peer, whatever was cancelled since is gone in time.
        self._max_silence_s = max(0.0, timing.cancel_s - lease_s * (1 + DRIFT))
        self._peers_enforce = False  # whether peers could end tasks that are kept here
        self._since = now
        self._last_ping_at: dict[str, float] = {}  # peers, by the time of their last ping
        self._served: dict[str, bool] = {}  # whether the store serves them
        self._silent: set[str] = set()  # machines whose heartbeats don't reach the leader
        self._sent_away: dict[str, float] = {}
        self._kept: dict[str, Heartbeat] = {}

    def on_ping(
        self,
        peer: str,
        served: bool,
        silent: Iterable[str] | None,
        now: float,
        enforces: bool = True,
    ) -> None:
        """A peer's ping; the leader's carries the machines whose heartbeats it lacks."""
        self._last_ping_at[peer] = now
        self._peers_enforce = enforces
        self._served[peer] = served
        if silent is not None:
            self._silent = set(silent)

    def reaches_peers(self, now: float) -> bool:
        """Whether any peer has pinged just now."""
        return any(now - at < self._silence_s for at in self._last_ping_at.values())

    def is_alone(self, now: float) -> bool:
        """Whether peers are served while this controller is not, or none can be reached."""
        fresh = [
            peer
            for peer, at in self._last_ping_at.items()
            if now - at < QUIET_SILENCES * self._silence_s
        ]
        return any(self._served[peer] for peer in fresh) or (bool(self._last_ping_at) and not fresh)

    def is_informed(self, now: float) -> bool:
        """Whether every confirmed cancellation is met though workers are kept here.

        Peers that ping tell of them. Those that are silent now, but knew
        where tasks are, release what they can't stop. Of others nothing is known, and
        workers are kept only for as long as `cancel_s` allows.
        """
        if self._peers == 0:
            return True
        last = max(self._last_ping_at.values(), default=self._since)
        return (
            now - last < QUIET_SILENCES * self._silence_s
            or self._peers_enforce
            or now - last < self._max_silence_s
        )

    def is_partitioned(self, served: bool, now: float) -> bool:
        """Whether this controller reaches neither the store nor any peer."""
        quiet_s = QUIET_SILENCES * self._silence_s
        lost = (
            self._peers > 0
            and not served
            and now - self._since > quiet_s
            and all(now - at > quiet_s for at in self._last_ping_at.values())
        )
        if not lost:
            self._partitioned.end()
        return lost

    def keeps_while_partitioned(self, heartbeat: Heartbeat, now: float) -> bool:
        """Whether to answer a worker here although nothing comes of it."""
        return heartbeat.fencing_token == self._leadership.term > 0 and self._partitioned.keeps(
            heartbeat, now
        )

    def is_leader_silent(self, now: float) -> bool:
        """Whether nothing has come from the leader for too long."""
        leader = self._leadership.leader
        return leader is not None and (
            now - self._last_ping_at.get(leader, self._since) > self._silence_s
        )

    def should_keep(self, heartbeat: Heartbeat, now: float) -> bool:
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
        if heartbeat.machine not in self._silent:
            self._sent_away.pop(heartbeat.machine, None)
            return False
        # The leader lives, but this worker's heartbeats don't reach it. It is sent to it once
        # per lease time, which it survives if the way is still closed.
        last = self._sent_away.setdefault(heartbeat.machine, now)
        if now - last < self._lease_s:
            return True
        self._sent_away[heartbeat.machine] = now
        return False

    def keep_for_forwarding(self, heartbeat: Heartbeat) -> None:
        """Forward it with the next; a late copy does not take a newer one's place."""
        kept = self._kept.get(heartbeat.machine)
        if kept is None or (heartbeat.incarnation, heartbeat.sequence) > (
            kept.incarnation,
            kept.sequence,
        ):
            self._kept[heartbeat.machine] = heartbeat

    def take_for_forwarding(self, limit: int) -> list[Any]:
        """Heartbeats to forward, as many as fit; the others follow next time.

        Those with ended tasks go first: the leader waits for them.
        """
        packed: list[Any] = []
        size = 0
        for machine_name in sorted(
            self._kept, key=lambda machine_name: not _has_ended_task(self._kept[machine_name])
        ):
            item = msgspec.to_builtins(self._kept[machine_name])
            of_item = json_size(item) + 1
            if of_item <= limit and size + of_item > limit:
                break
            del self._kept[machine_name]
            if of_item <= limit:  # one that fits no value only keeps its lease here
                size += of_item
                packed.append(item)
        return packed
