"""Names of machines that other controllers have released.

A machine with a task of a cancelled job is released also by a controller that can't record
it. Once the cloud has answered, that controller tells all others. A machine's name is never
used twice, so what was true once stays true.
"""

from __future__ import annotations

from collections.abc import Iterable

#: Machines remembered; the oldest are forgotten.
MAX_REMEMBERED_MACHINES = 5000


class ReleasedMachines:
    """Machines that are gone, as this controller was told; bounded."""

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def add(self, names: Iterable[str]) -> None:
        """Remember machines that are gone."""
        for name in names:
            self._names[name] = None
            if len(self._names) > MAX_REMEMBERED_MACHINES:
                del self._names[next(iter(self._names))]

    def names(self) -> list[str]:
        """All that are remembered, the oldest first."""
        return list(self._names)
