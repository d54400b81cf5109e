"""Backoff of scale-out requests after refusals for lack of capacity."""

from __future__ import annotations

from typing import NamedTuple

#: Longest backoff, as a multiple of the first one.
MAX_BACKOFF_FACTOR = 4
#: Growth of the backoff with each consecutive refusal.
BACKOFF_MULTIPLIER = 2


class _Backoff(NamedTuple):
    """The time until which nothing is requested, and the duration from its start, in seconds."""

    until: float
    duration_s: float


_NO_BACKOFF = _Backoff(0.0, 0.0)


class CapacityBackoff:
    """Backoffs by machine type, zone and spot, started when the cloud has no capacity."""

    def __init__(self) -> None:
        self._backoffs: dict[tuple[str, str, bool], _Backoff] = {}

    def on_refused(
        self, machine_type: str, zone: str, spot: bool, base_s: float, now: float
    ) -> None:
        """Back off for `base_s` seconds, and twice as long after each consecutive refusal."""
        key = (machine_type, zone, spot)
        last_duration_s = self._backoffs.get(key, _NO_BACKOFF).duration_s
        duration_s = min(
            max(base_s, last_duration_s * BACKOFF_MULTIPLIER), base_s * MAX_BACKOFF_FACTOR
        )
        self._backoffs[key] = _Backoff(now + duration_s, duration_s)

    def on_granted(self, machine_type: str, zone: str, spot: bool) -> None:
        """End the backoff, since the cloud has granted machines."""
        self._backoffs.pop((machine_type, zone, spot), None)

    def may_request(self, machine_type: str, zone: str, spot: bool, now: float) -> bool:
        """Return whether no backoff is in effect."""
        return self._backoffs.get((machine_type, zone, spot), _NO_BACKOFF).until <= now
