"""Arithmetic on amounts of CPUs, GPUs and memory."""

from __future__ import annotations

from topazhold.core.jobs import Resources

#: Amounts that differ by less are equal: sums of decimal fractions accumulate rounding errors.
AMOUNT_TOLERANCE = 1e-6

NO_RESOURCES: Resources = (0.0, 0.0, 0.0)


def fits(need: Resources, available: Resources) -> bool:
    """Return whether enough of every resource is available."""
    return (
        need[0] <= available[0] + AMOUNT_TOLERANCE
        and need[1] <= available[1] + AMOUNT_TOLERANCE
        and need[2] <= available[2] + AMOUNT_TOLERANCE
    )


def count_fitting(need: Resources, available: Resources, limit: int) -> int:
    """Return how many tasks of this size fit the available resources, up to `limit`."""
    # Unrolled for speed: called for each machine and waiting job in each scheduling round.
    count: float = limit
    if need[0] > AMOUNT_TOLERANCE:
        count = min(count, (available[0] + AMOUNT_TOLERANCE) // need[0])
    if need[1] > AMOUNT_TOLERANCE:
        count = min(count, (available[1] + AMOUNT_TOLERANCE) // need[1])
    if need[2] > AMOUNT_TOLERANCE:
        count = min(count, (available[2] + AMOUNT_TOLERANCE) // need[2])
    return max(0, int(count))


def add_resources(available: Resources, other: Resources, factor: float = 1.0) -> Resources:
    """Return the sum of `available` and `factor` times `other`."""
    return (
        available[0] + other[0] * factor,
        available[1] + other[1] * factor,
        available[2] + other[2] * factor,
    )
