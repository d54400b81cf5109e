"""Run times: the owner's estimate, corrected by what its class has shown."""

from __future__ import annotations

import math

#: A class may be corrected by this factor at the most, either way.
BOUND = 3.0
#: Weight of one more observed run.
LEARNING = 0.15


class Estimates:
    """Learns, per class, the ratio of run time to estimate."""

    def __init__(self) -> None:
        self._log_ratio: dict[str, float] = {}

    def learn(self, job_class: str, estimated_s: float, actual_s: float) -> None:
        if estimated_s <= 0 or actual_s <= 0:
            return
        limit = math.log(BOUND)
        seen = max(-limit, min(limit, math.log(actual_s / estimated_s)))
        old = self._log_ratio.get(job_class, 0.0)
        self._log_ratio[job_class] = old + LEARNING * (seen - old)

    def correction(self, job_class: str) -> float:
        return math.exp(self._log_ratio.get(job_class, 0.0))

    def run_s(self, job_class: str, estimated_s: float) -> float:
        return estimated_s * self.correction(job_class)

    def remaining_s(self, job_class: str, estimated_s: float, elapsed_s: float) -> float:
        """Never near zero: a task that outlives its estimate has some way to go."""
        whole = self.run_s(job_class, estimated_s)
        return max(whole - elapsed_s, 0.15 * whole, 0.0)
