"""A bounded set of recently added names, used to recognise stale messages."""

from __future__ import annotations

#: Removed machines or ended jobs to remember: more than can be removed, or end, while a message
#: about them is still in transit.
MAX_REMEMBERED = 20_000


class RecentNames:
    """The `MAX_REMEMBERED` most recently added names."""

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def add(self, name: str) -> None:
        """Add a name, and drop the oldest one if there are too many."""
        self._names[name] = None
        if len(self._names) > MAX_REMEMBERED:
            del self._names[next(iter(self._names))]

    def __contains__(self, name: str) -> bool:
        return name in self._names
