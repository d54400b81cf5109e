"""Decides whether a leader may rely on its lease.

A process can be paused for any time between two instructions. Its state is then stale and its
lease may have expired. A clock check that comes late reveals such a pause; no operation is
decided until the leader key has been read again.

Times are in seconds: `now` of the monotonic clock, `wall` of the wall clock.
"""

from __future__ import annotations

from enum import Enum

#: `paused_at` before the first pause, in seconds: long before any monotonic time.
NO_PAUSE_YET_S = -1e9


class LeaseConfidence(Enum):
    """The confidence of a leader in its leadership."""

    CONFIRMED = "confirmed"
    DOUBTED = "doubted"  # the leader key has to be read first
    LOST = "lost"  # the leader key is absent or has another revision


class LeaseConfidenceTracker:
    """Tracks the clocks and the lease of one leader.

    A gap of more than `max_gap_s` seconds between two checks counts as a pause.
    """

    def __init__(self, max_gap_s: float, now: float, wall: float) -> None:
        self._max_gap_s = max_gap_s
        self._checked_at = now
        self._clock_offset = wall - now
        self._state = LeaseConfidence.CONFIRMED
        self.paused_at = NO_PAUSE_YET_S  # monotonic time at which the last pause was detected
        self.pauses = 0

    def begin(self, now: float, wall: float) -> None:
        """Start the checks; loading may have taken long, so the leadership is in doubt at first."""
        self._checked_at = now
        self._clock_offset = wall - now
        self._state = LeaseConfidence.DOUBTED

    def check(self, now: float, wall: float, lease_is_valid: bool) -> LeaseConfidence:
        """Check the clocks for a pause; `lease_is_valid` if the lease rules out another leader.

        The monotonic clock may stop while the machine is suspended; the wall clock then jumps
        ahead of it. A wall clock that is set back is ignored: that does not indicate a pause.
        """
        gap = now - self._checked_at
        jump = (wall - now) - self._clock_offset
        self._checked_at = now
        self._clock_offset = wall - now
        if self._state is LeaseConfidence.LOST:
            return self._state
        if gap > self._max_gap_s or jump > self._max_gap_s:
            self._pause(now)
        elif not lease_is_valid:
            self._state = LeaseConfidence.DOUBTED
        return self._state

    def _pause(self, now: float) -> None:
        self.paused_at = now
        self.pauses += 1
        self._state = LeaseConfidence.DOUBTED

    def confirm(self, requested_at: float) -> None:
        """Note that a read of the leader key, sent at `requested_at`, confirmed the leadership."""
        if self._state is LeaseConfidence.DOUBTED and requested_at >= self.paused_at:
            self._state = LeaseConfidence.CONFIRMED

    def mark_lost(self) -> None:
        """Mark the leadership as lost, which is final for this term."""
        self._state = LeaseConfidence.LOST
