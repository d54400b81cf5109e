"""A bounded memory of names, against messages that come late."""

from __future__ import annotations

#: Machines that are gone, and jobs that are over, remembered: more than are lost, or end,
#: while a message about them may be under way.
MAX_REMEMBERED = 20_000


class RecentNames:
    """The newest `MAX_REMEMBERED` of the names that were added."""

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def add(self, name: str) -> None:
        """Remember a name; the one added longest ago may be dropped for it."""
        self._names[name] = None
        if len(self._names) > MAX_REMEMBERED:
            del self._names[next(iter(self._names))]

    def __contains__(self, name: str) -> bool:
        return name in self._names
