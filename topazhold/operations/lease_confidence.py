"""Whether a holder may take itself for the holder at this moment.

A process can be stopped for any time between two of its instructions. What it knew before is
then old, and its lease may have passed on. Every look at the clocks that comes later than it
should shows such a pause; until the leadership has been looked up since, nothing is decided.
"""

from __future__ import annotations

from enum import Enum


class LeaseConfidence(Enum):
    """What a holder may assume of itself."""

    CONFIRMED = "confirmed"
    DOUBTED = "doubted"  # look the leadership up first
    LOST = "lost"  # another holder was seen


class LeaseConfidenceTracker:
    """Follows the clocks and the lease of one holder."""

    def __init__(self, longest_gap_s: float, now: float, wall: float) -> None:
        self._longest_gap_s = longest_gap_s
        self._looked_at = now
        self._clock_difference = wall - now
        self._state = LeaseConfidence.CONFIRMED
        self.paused_at = -1e9  # when the last pause was noticed
        self.pauses = 0

    def begin(self, now: float, wall: float) -> None:
        """The term is loaded, which may have taken long: the first order is confirmed first."""
        self._looked_at = now
        self._clock_difference = wall - now
        self._state = LeaseConfidence.DOUBTED

    def look(self, now: float, wall: float, lease_is_valid: bool) -> LeaseConfidence:
        """Look at the clocks; `assured`: the lease can't have passed on.

        The steady clock may stand still while a machine is suspended; the time of day then
        jumps against it. A time of day set back says nothing and is taken as it is.
        """
        gap = now - self._looked_at
        jump = (wall - now) - self._clock_difference
        self._looked_at = now
        self._clock_difference = wall - now
        if self._state is LeaseConfidence.LOST:
            return self._state
        if gap > self._longest_gap_s or jump > self._longest_gap_s:
            self._pause(now)
        elif not lease_is_valid:
            self._state = LeaseConfidence.DOUBTED
        return self._state

    def _pause(self, now: float) -> None:
        self.paused_at = now
        self.pauses += 1
        self._state = LeaseConfidence.DOUBTED

    def confirm(self, asked_at: float) -> None:
        """The leadership was looked up by a request sent at `asked_at`, and is held."""
        if self._state is LeaseConfidence.DOUBTED and asked_at >= self.paused_at:
            self._state = LeaseConfidence.CONFIRMED

    def lose(self) -> None:
        """The leadership is not held any more; there is no way back in this term."""
        self._state = LeaseConfidence.LOST
