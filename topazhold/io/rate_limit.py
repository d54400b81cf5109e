"""A token bucket that keeps a node within its share of a service's limit."""

from __future__ import annotations


class TokenBucket:
    """Refills at `rate`, holds `rate` times `burst_s` at most."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self._rate = rate
        self._size = max(1.0, rate * burst_s)
        self._level = self._size
        self._at: float | None = None

    def set_rate(self, rate: float, burst_s: float = 1.0) -> None:
        self._rate = rate
        self._size = max(1.0, rate * burst_s)
        self._level = min(self._level, self._size)

    def _refill(self, now: float) -> None:
        if self._at is not None:
            self._level = min(self._size, self._level + (now - self._at) * self._rate)
        self._at = now

    def take(self, now: float, amount: float = 1.0, reserve: float = 0.0) -> bool:
        """Take if at least the share `reserve` of the bucket stays behind."""
        self._refill(now)
        if self._level - amount < reserve * self._size and self._level < self._size:
            return False
        self._level -= amount
        return True

    def wait_s(self, now: float, amount: float = 1.0, reserve: float = 0.0) -> float:
        """How long until `take` will succeed."""
        self._refill(now)
        need = min(self._size, amount + reserve * self._size) - self._level
        return max(0.0, need / self._rate)
