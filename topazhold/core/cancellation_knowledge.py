"""Until when a controller knows all confirmed cancellations.

A cancellation is committed to the key-value store, then recorded and sent to all peers, and only
then confirmed to its user. So a controller knows all cancellations confirmed up to a time if it
has read the store after that time, if a peer that knew them has sent it its whole record, or if
every peer has sent it all that it had confirmed itself. Being in contact with some peers is not
enough: they may be cut off from the others as well.

All times are wall-clock times, so that a message that was held up on its way counts with the age
that it has.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from topazhold.core.jobs import DISTANT_PAST


class StoreRefusals(NamedTuple):
    """A time in which the store answered every request of a controller with a refusal."""

    since: float
    until: float


class _PeerCoverage:
    """Until when the cancellations that a peer has confirmed itself are known here."""

    __slots__ = ("incarnation", "first_sent_at", "sent_at", "is_continuous", "until")

    def __init__(self) -> None:
        self.incarnation = ""
        self.first_sent_at = DISTANT_PAST  # of the first message of the incarnation
        self.sent_at = DISTANT_PAST  # of the last one
        #: Whether an earlier process of the peer can't have confirmed anything unknown here.
        self.is_continuous = False
        self.until = DISTANT_PAST


class CancellationKnowledge:
    """Combines what the store and the peers tell to one time, `known_until`.

    A peer's process knows only its own confirmations, not those of the process before it. A
    restart within `max_gap_s` of the last message is bridged: whatever the earlier process
    confirmed while it was heard has reached another controller first.
    """

    def __init__(
        self, peers: Iterable[str] = (), max_gap_s: float = 0.0, clock_error_s: float = 0.0
    ) -> None:
        self._max_gap_s = max_gap_s
        self._clock_error_s = clock_error_s  # greatest difference between two wall clocks
        self._known_until = DISTANT_PAST
        self._coverage = {peer: _PeerCoverage() for peer in peers}

    def known_until(self, now: float) -> float:
        """Return the time up to which every confirmed cancellation is recorded here."""
        return self._known_until if self._coverage else now

    def advance(self, until: float) -> None:
        """Note that every cancellation confirmed up to `until` is recorded here."""
        if until > self._known_until:
            self._known_until = until
            self._combine_peers()

    def on_peer_record(
        self, peer: str, incarnation: str, sent_at: float, known_until: float
    ) -> None:
        """Note that a peer's whole record, as of `sent_at`, has arrived.

        The peer itself knew all cancellations up to `known_until`.
        """
        coverage = self._coverage.get(peer)
        if coverage is None:
            return
        self.advance(known_until)
        if coverage.incarnation != incarnation:
            if sent_at <= coverage.sent_at:
                return  # a late message of an earlier process
            coverage.is_continuous = sent_at - coverage.until <= self._max_gap_s
            coverage.incarnation, coverage.first_sent_at = incarnation, sent_at
        coverage.sent_at = max(coverage.sent_at, sent_at)
        self._combine_peers()

    def on_shared_refusals(self, own: StoreRefusals, of_peer: StoreRefusals) -> None:
        """Note that the store has refused this controller and a peer at the same time.

        It refuses either a single controller or all of them, so nobody can commit a cancellation
        while it refuses two. What was known when that began stays complete.
        """
        since = max(own.since, of_peer.since) + self._clock_error_s
        if self._known_until >= since:
            self.advance(min(own.until, of_peer.until))

    def _combine_peers(self) -> None:
        """Advance to the time up to which the confirmations of every single peer are known."""
        for coverage in self._coverage.values():
            if self._known_until >= coverage.first_sent_at:
                coverage.is_continuous = True
            if coverage.is_continuous:
                coverage.until = coverage.sent_at
        known_of_all = min(
            (coverage.until for coverage in self._coverage.values()), default=DISTANT_PAST
        )
        self._known_until = max(self._known_until, known_of_all)
