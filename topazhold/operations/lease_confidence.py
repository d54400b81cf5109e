"""Whether a leader may rely on its lease at this moment.

A process can be stopped for any time between two of its instructions. What it knew before is
then old, and its lease may have expired. Every check of the clocks that comes later than it
should shows such a pause; until the leadership has been looked up since, nothing is decided.

Times named `now` are of the monotonic clock, `wall` of the time of day, both in seconds.
"""

from __future__ import annotations

from enum import Enum

#: Initial time of the last pause on the monotonic clock, in seconds: further back than any limit.
NO_PAUSE_YET_S = -1e9


class LeaseConfidence(Enum):
    """What a leader may assume of its leadership."""

    CONFIRMED = "confirmed"
    DOUBTED = "doubted"  # the leadership has to be looked up first
    LOST = "lost"  # another leader was seen


class LeaseConfidenceTracker:
    """Follows the clocks and the lease of one leader.

    A gap of more than `max_gap_s` seconds between two checks is taken for a pause.
    """

    def __init__(self, max_gap_s: float, now: float, wall: float) -> None:
        self._max_gap_s = max_gap_s
        self._checked_at = now
        self._clock_offset = wall - now
        self._state = LeaseConfidence.CONFIRMED
        self.paused_at = NO_PAUSE_YET_S  # when the last pause was noticed
        self.pauses = 0

    def begin(self, now: float, wall: float) -> None:
        """The term is loaded, however long that took: doubted until it is looked up."""
        self._checked_at = now
        self._clock_offset = wall - now
        self._state = LeaseConfidence.DOUBTED

    def check(self, now: float, wall: float, lease_is_valid: bool) -> LeaseConfidence:
        """Check the clocks; `lease_is_valid`: nobody else can be leader yet.

        The monotonic clock may stand still while a machine is suspended; the time of day then
        jumps against it. A time of day set back says nothing and is taken as it is.
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
        """The leadership was looked up by a request sent at `requested_at`, and is held."""
        if self._state is LeaseConfidence.DOUBTED and requested_at >= self.paused_at:
            self._state = LeaseConfidence.CONFIRMED

    def mark_lost(self) -> None:
        """The leadership is lost; there is no way back in this term."""
        self._state = LeaseConfidence.LOST
