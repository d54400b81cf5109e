"""How soon jobs are to start: their classes' objectives, and ageing against starvation."""

from __future__ import annotations

import math

from topazhold.core.jobs import Job

#: A gang of one is aged once it has waited for this share of its class's longest objective
#: for a start, or of the longest wait that the operators allow; by urgency.
AGEING_SHARES = (0.1, 0.2, 0.8, 1.0)
#: GPUs are kept free for classes that are to start within so many heartbeat intervals.
RESERVE_HEARTBEATS = 4.0


class StartObjectives:
    """Waits that are aimed at for the start of jobs, in seconds.

    Owns `wait_objectives`: by job class, the shortest and the longest objective for a start.
    """

    def __init__(
        self,
        wait_objectives: dict[str, tuple[float, float]],
        longest_wait_s: float,
        heartbeat_interval_s: float,
    ) -> None:
        self.wait_objectives = wait_objectives
        self._longest_wait_s = longest_wait_s
        shortest_objective_s = min(
            (shortest_wait_s for shortest_wait_s, _ in wait_objectives.values()), default=math.inf
        )
        # Where preempted work has left well before, nothing need be kept free.
        self.keeps_reserve = shortest_objective_s < RESERVE_HEARTBEATS * heartbeat_interval_s

    def shortest_s(self, job: Job) -> float | None:
        """The strictest objective for the start of a job of this class; None if it has none."""
        objective = self.wait_objectives.get(job.spec.job_class)
        return objective[0] if objective is not None else None

    def ageing_threshold_s(self, job: Job) -> float:
        """How long, in seconds, a gang waits like any other before it is aged.

        The larger it is, the more seldom its capacity comes free by chance, and the sooner
        it has to be preferred.
        """
        _, longest_wait_s = self.wait_objectives.get(
            job.spec.job_class, (0.0, self._longest_wait_s)
        )
        longest_wait_s = min(longest_wait_s, self._longest_wait_s)
        return AGEING_SHARES[job.urgency_level] * longest_wait_s / math.sqrt(job.spec.tasks)
