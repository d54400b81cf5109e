"""Start objectives of job classes, and ageing of gangs against starvation."""

from __future__ import annotations

import math

from topazhold.core.jobs import Job

#: By urgency level: the share of its class's longest start objective, or of the longest wait that
#: the operators allow if that is shorter, after which a gang of one task is aged.
AGEING_SHARES = (0.1, 0.2, 0.8, 1.0)
#: Heartbeat intervals; GPUs are kept free if a class has a start objective shorter than this.
RESERVE_HEARTBEATS = 4.0


class StartObjectives:
    """Target waits before jobs start, in seconds.

    Owns `wait_objectives`: by job class, the shortest and the longest start objective.
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
        # With longer objectives, preemption frees capacity in time and no reserve is needed.
        self.keeps_reserve = shortest_objective_s < RESERVE_HEARTBEATS * heartbeat_interval_s

    def shortest_s(self, job: Job) -> float | None:
        """Return the strictest start objective of the job's class; None if it has none."""
        objective = self.wait_objectives.get(job.spec.job_class)
        return objective[0] if objective is not None else None

    def ageing_threshold_s(self, job: Job) -> float:
        """Return the seconds that a gang waits before it is aged.

        Capacity for a larger gang becomes free by chance less often, so it is aged earlier.
        """
        _, longest_wait_s = self.wait_objectives.get(
            job.spec.job_class, (0.0, self._longest_wait_s)
        )
        longest_wait_s = min(longest_wait_s, self._longest_wait_s)
        return AGEING_SHARES[job.urgency_level] * longest_wait_s / math.sqrt(job.spec.tasks)
