"""Names of machines that other controllers have released.

A controller releases a machine with a task of a cancelled job even if it cannot record the
release. Once the cloud has confirmed it, the controller informs all others. Machine names are
never reused, so an entry never becomes wrong.
"""

from __future__ import annotations

from collections.abc import Iterable

#: Maximum machine names kept; the oldest are dropped.
MAX_REMEMBERED_MACHINES = 5000


class ReleasedMachines:
    """A bounded set of the machines that other controllers have reported as released."""

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def add(self, names: Iterable[str]) -> None:
        """Add machines that are gone."""
        for name in names:
            self._names[name] = None
            if len(self._names) > MAX_REMEMBERED_MACHINES:
                del self._names[next(iter(self._names))]

    def names(self) -> list[str]:
        """Return all names, the oldest first."""
        return list(self._names)
