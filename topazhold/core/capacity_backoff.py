"""Where the cloud had no capacity, and when it may be requested there again."""

from __future__ import annotations

from typing import NamedTuple

#: The longest pause after refusals, in first pauses.
MAX_BACKOFF_FACTOR = 4
#: Growth of the backoff with each further refusal.
BACKOFF_MULTIPLIER = 2


class _Backoff(NamedTuple):
    """Until when nothing is requested, and how long that was from its start, in seconds."""

    until: float
    duration_s: float


_NO_BACKOFF = _Backoff(0.0, 0.0)


class CapacityBackoff:
    """Where the cloud had no capacity, and until when not to request it again."""

    def __init__(self) -> None:
        self._backoffs: dict[tuple[str, str, bool], _Backoff] = {}

    def on_refused(
        self, machine_type: str, zone: str, spot: bool, base_s: float, now: float
    ) -> None:
        """The cloud had none: pause for `base_s` seconds, twice as long at each further time."""
        key = (machine_type, zone, spot)
        last_duration_s = self._backoffs.get(key, _NO_BACKOFF).duration_s
        duration_s = min(
            max(base_s, last_duration_s * BACKOFF_MULTIPLIER), base_s * MAX_BACKOFF_FACTOR
        )
        self._backoffs[key] = _Backoff(now + duration_s, duration_s)

    def on_granted(self, machine_type: str, zone: str, spot: bool) -> None:
        """The cloud has given machines: no pause any more."""
        self._backoffs.pop((machine_type, zone, spot), None)

    def may_request(self, machine_type: str, zone: str, spot: bool, now: float) -> bool:
        """Whether no pause is on."""
        return self._backoffs.get((machine_type, zone, spot), _NO_BACKOFF).until <= now
