"""A token bucket that keeps a controller within its share of a service's rate limit."""

from __future__ import annotations


class TokenBucket:
    """Refills at `rate` tokens per second, up to a capacity of `burst_s` seconds' worth.

    The capacity is at least one token. `now` is a monotonic time in seconds.
    """

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self._rate = rate
        self._capacity = max(1.0, rate * burst_s)
        self._tokens = self._capacity
        self._refilled_at: float | None = None

    def set_rate(self, rate: float, burst_s: float = 1.0) -> None:
        """Change the rate; tokens beyond the new capacity are discarded."""
        self._rate = rate
        self._capacity = max(1.0, rate * burst_s)
        self._tokens = min(self._tokens, self._capacity)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            self._tokens = min(
                self._capacity, self._tokens + (now - self._refilled_at) * self._rate
            )
        self._refilled_at = now

    def take(self, now: float, amount: float = 1.0, reserve: float = 0.0) -> bool:
        """Take tokens and return True, unless less than `reserve` of the capacity would remain.

        A full bucket always grants the request.
        """
        self._refill(now)
        if self._tokens - amount < reserve * self._capacity and self._tokens < self._capacity:
            return False
        self._tokens -= amount
        return True

    def wait_s(self, now: float, amount: float = 1.0, reserve: float = 0.0) -> float:
        """Return the seconds until `take` will succeed."""
        self._refill(now)
        missing = min(self._capacity, amount + reserve * self._capacity) - self._tokens
        return max(0.0, missing / self._rate)
