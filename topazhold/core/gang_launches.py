"""When the tasks of a starting gang are launched: slow image fetches first.

A task that has its image waits at most `gang_wait_s` for the others of its gang, so it is not
launched before the others will have their images within that time, even at the slowest rate.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from topazhold.core.estimates import longest_fetch_s, shortest_fetch_s
from topazhold.core.jobs import Job
from topazhold.core.machines import Machine
from topazhold.core.task_attempts import UNSENT, WITH_IMAGE, AttemptState, TaskAttempt


def hold_back_launches(
    job: Job, machines: Mapping[str, Machine], max_wait_s: float, now: float
) -> None:
    """Hold back each launch whose task might wait longer than `max_wait_s` for the others.

    The launch of the task that may get its image last is never held back, so the others
    follow as its fetch goes on.
    """
    unsent = [attempt for attempt in job.attempts.values() if attempt.state in UNSENT]
    if not unsent:
        return
    slowest_s = max(_longest_fetches(job, machines, now).values(), default=0.0)
    for attempt in unsent:
        machine = machines.get(attempt.machine)
        if machine is None:
            continue
        nominal_s = machine.fetch_s(job.spec.image, job.spec.image_gb)
        is_slowest = longest_fetch_s(nominal_s) >= slowest_s
        wait_s = slowest_s - shortest_fetch_s(nominal_s)
        attempt.hold_launch(not is_slowest and wait_s > max_wait_s, now)


def _longest_fetches(
    job: Job, machines: Mapping[str, Machine], now: float
) -> dict[tuple[str, AttemptState], float]:
    """Return the longest time, in seconds, until each task has its image.

    Tasks on one machine and in one state share a value.
    """
    longest: dict[tuple[str, AttemptState], float] = {}
    for attempt in job.attempts.values():
        key = (attempt.machine, attempt.state)
        machine = machines.get(attempt.machine)
        if machine is not None and key not in longest:
            longest[key] = _longest_remaining_fetch_s(attempt, machine, now)
    return longest


def _longest_remaining_fetch_s(attempt: TaskAttempt, machine: Machine, now: float) -> float:
    """Return the seconds until a task has its image, at the slowest rate of its machine."""
    spec = attempt.job.spec
    if attempt.state in WITH_IMAGE:
        return 0.0
    if attempt.state is not AttemptState.PULLING:
        return longest_fetch_s(machine.fetch_s(spec.image, spec.image_gb))
    total_s = longest_fetch_s(machine.pending_fetches_s(spec.image, spec.image_gb))
    return max(0.0, total_s - (now - attempt.state_since))


def is_fetch_overdue(attempt: TaskAttempt, machine: Machine, now: float, factor: float) -> bool:
    """Return whether a fetch takes more than `factor` times as long as at the slowest rate."""
    spec = attempt.job.spec
    pending_s = machine.pending_fetches_s(spec.image, spec.image_gb)
    limit_s = factor * longest_fetch_s(pending_s) if pending_s > 0 else math.inf
    return now - attempt.state_since > limit_s
