"""Machines that another controller says it has released.

Machines with tasks of cancelled jobs are released also by controllers that can't record it.
They tell all others once the cloud has answered. A machine's name is never used twice, so
what was true once stays true.
"""

from __future__ import annotations

from collections.abc import Iterable

#: Machines remembered; the oldest are forgotten.
MAX_REMEMBERED = 5000


class ReleasedMachines:
    """Names of machines that are gone, as this controller was told."""

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def add(self, names: Iterable[str]) -> None:
        """Remember machines that are gone."""
        for name in names:
            self._names[name] = None
            if len(self._names) > MAX_REMEMBERED:
                del self._names[next(iter(self._names))]

    def names(self) -> list[str]:
        """All that are remembered."""
        return list(self._names)
