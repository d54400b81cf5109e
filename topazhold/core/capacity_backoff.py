"""Where the cloud had no capacity, and when it may be requested there again."""

from __future__ import annotations

from typing import NamedTuple

#: The longest pause after refusals, in first pauses.
MAX_BACKOFF_FACTOR = 4


class _Pause(NamedTuple):
    """Until when nothing is requested, and how long that was from its start, in seconds."""

    until: float
    length_s: float


_NO_PAUSE = _Pause(0.0, 0.0)


class CapacityBackoff:
    """Where the cloud had no capacity, and until when not to request it again."""

    def __init__(self) -> None:
        self._pauses: dict[tuple[str, str, bool], _Pause] = {}

    def on_refused(
        self, machine_type: str, zone: str, spot: bool, base_s: float, now: float
    ) -> None:
        """The cloud had none: pause for `base_s` seconds, twice as long at each further time."""
        key = (machine_type, zone, spot)
        last_s = self._pauses.get(key, _NO_PAUSE).length_s
        length_s = min(max(base_s, last_s * 2), base_s * MAX_BACKOFF_FACTOR)
        self._pauses[key] = _Pause(now + length_s, length_s)

    def on_granted(self, machine_type: str, zone: str, spot: bool) -> None:
        """The cloud has given machines: no pause any more."""
        self._pauses.pop((machine_type, zone, spot), None)

    def may_request(self, machine_type: str, zone: str, spot: bool, now: float) -> bool:
        """Whether no pause is on."""
        return self._pauses.get((machine_type, zone, spot), _NO_PAUSE).until <= now
