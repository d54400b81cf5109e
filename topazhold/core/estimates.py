"""Estimates of run times, corrected by those observed in a job's class, and of image fetches."""

from __future__ import annotations

import math

#: Largest factor by which the estimates of a class are raised or lowered.
MAX_CORRECTION = 3.0
#: Weight of a new observation in the moving average.
OBSERVATION_WEIGHT = 0.15
#: Share of the expected run time that is the least remaining time of a running task.
MIN_REMAINING_SHARE = 0.15

#: Least and largest ratio of a machine's fetch rate to that of its type.
SLOWEST_FETCH_RATIO = 2 / 3
FASTEST_FETCH_RATIO = 4 / 3


def fetch_s(image_gb: float, rate_gb_per_s: float) -> float:
    """Return the seconds that fetching images takes; 0 if the rate is 0, which means unknown."""
    return image_gb / rate_gb_per_s if rate_gb_per_s > 0 else 0.0


def longest_fetch_s(nominal_s: float) -> float:
    """Return the seconds that a fetch takes at the slowest rate of a machine of its type."""
    return nominal_s / SLOWEST_FETCH_RATIO


def shortest_fetch_s(nominal_s: float) -> float:
    """Return the seconds that a fetch takes at the fastest rate of a machine of its type."""
    return nominal_s / FASTEST_FETCH_RATIO


class Estimates:
    """A moving average of log(run time / estimate) per job class."""

    def __init__(self) -> None:
        self._log_ratio: dict[str, float] = {}

    def observe(self, job_class: str, estimated_s: float, actual_s: float) -> None:
        """Record the run time of a task; times that are not positive are ignored."""
        if estimated_s <= 0 or actual_s <= 0:
            return
        limit = math.log(MAX_CORRECTION)
        observed = max(-limit, min(limit, math.log(actual_s / estimated_s)))
        previous = self._log_ratio.get(job_class, 0.0)
        self._log_ratio[job_class] = previous + OBSERVATION_WEIGHT * (observed - previous)

    def correction(self, job_class: str) -> float:
        """Return the factor by which estimates of the class are multiplied."""
        return math.exp(self._log_ratio.get(job_class, 0.0))

    def corrected_run_s(self, job_class: str, estimated_s: float) -> float:
        """Return the corrected run time in seconds."""
        return estimated_s * self.correction(job_class)

    def remaining_s(self, job_class: str, estimated_s: float, elapsed_s: float) -> float:
        """Return the expected seconds until the end, never near 0: estimates can be exceeded."""
        expected_s = self.corrected_run_s(job_class, estimated_s)
        return max(expected_s - elapsed_s, MIN_REMAINING_SHARE * expected_s, 0.0)
