"""The cloud interface that cloud operations use, and its errors."""

from __future__ import annotations

from typing import Protocol

from topazhold.core.autoscaling import ScaleOutRequest


class CloudUnavailableError(Exception):
    """The cloud is unreachable, refuses a request for now, or its response is unusable."""


class CloudRequestRejectedError(CloudUnavailableError):
    """The cloud rejects the request as malformed; retrying it is of no use."""


class CloudCapacityError(Exception):
    """The cloud has no machines of the requested type, zone and price model (spot or on-demand)."""


class CloudRequests(Protocol):
    """Requests that change machines; all of them are idempotent."""

    async def wait_for_limits(self) -> None:
        """Wait until the rate limit allows a request, for a bounded time."""
        ...

    async def rent(self, name: str, request: ScaleOutRequest, /) -> list[str]:
        """Rent machines and return their names; repeating a request name returns the same ones.

        Raises CloudCapacityError, CloudRequestRejectedError or CloudUnavailableError.
        """
        ...

    async def release(self, names: list[str]) -> None:
        """Release machines and return once they are gone. Raises CloudUnavailableError."""
        ...
