"""How long a job's failures keep it from one machine, or from all of them."""

from __future__ import annotations

from dataclasses import dataclass

#: Maximum number of times that a pause doubles.
MAX_PAUSE_DOUBLINGS = 5
#: Seconds; longest pause. No job may wait for 90 s beside a machine with room for it.
MAX_PAUSE_S = 60.0


def failure_pause_s(base_s: float, earlier_failures: int) -> float:
    """Return the pause in seconds after a failure, which doubles with each earlier one."""
    return min(base_s * 2.0 ** min(earlier_failures, MAX_PAUSE_DOUBLINGS), MAX_PAUSE_S)


@dataclass(slots=True)
class MachineFailures:
    """The failures of one job on one machine; times are on the monotonic clock."""

    count: int = 0  # of failures since the last success, those during a pause not included
    last_at: float = 0.0
    avoided_until: float = 0.0

    def record(self, now: float) -> None:
        """Record a failure; tasks that were started before a pause count as one."""
        self.last_at = now
        if now >= self.avoided_until:
            self.count += 1

    def pause(self, base_s: float, now: float) -> None:
        """Have the job avoid the machine from now on, unless it does already."""
        if now >= self.avoided_until:
            self.avoided_until = now + failure_pause_s(base_s, self.count - 1)
