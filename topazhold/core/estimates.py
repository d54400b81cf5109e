"""Run times: the owner's estimate, corrected by the observed ones of the job's class.

And the time that images take to be fetched.
"""

from __future__ import annotations

import math

#: A class may be corrected by this factor at the most, either way.
MAX_CORRECTION = 3.0
#: Weight of one more observed run time.
OBSERVATION_WEIGHT = 0.15
#: Share of the whole run time that a task is taken to need at least until its end.
MIN_REMAINING_SHARE = 0.15


def fetch_s(image_gb: float, rate_gb_per_s: float) -> float:
    """Seconds that the fetch of images takes; 0 if the rate is not known, which is given as 0."""
    return image_gb / rate_gb_per_s if rate_gb_per_s > 0 else 0.0


class Estimates:
    """Learns, per class, the ratio of run time to estimate."""

    def __init__(self) -> None:
        self._log_ratio: dict[str, float] = {}

    def observe(self, job_class: str, estimated_s: float, actual_s: float) -> None:
        """A task has run for `actual_s` seconds; times that are not positive are ignored."""
        if estimated_s <= 0 or actual_s <= 0:
            return
        limit = math.log(MAX_CORRECTION)
        observed = max(-limit, min(limit, math.log(actual_s / estimated_s)))
        previous = self._log_ratio.get(job_class, 0.0)
        self._log_ratio[job_class] = previous + OBSERVATION_WEIGHT * (observed - previous)

    def correction(self, job_class: str) -> float:
        """The factor by which estimates of the class are multiplied."""
        return math.exp(self._log_ratio.get(job_class, 0.0))

    def corrected_run_s(self, job_class: str, estimated_s: float) -> float:
        """The corrected run time in seconds."""
        return estimated_s * self.correction(job_class)

    def remaining_s(self, job_class: str, estimated_s: float, elapsed_s: float) -> float:
        """Seconds until the end, never near zero: a task may outlive its estimate."""
        expected_s = self.corrected_run_s(job_class, estimated_s)
        return max(expected_s - elapsed_s, MIN_REMAINING_SHARE * expected_s, 0.0)
