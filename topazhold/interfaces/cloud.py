"""Access to the cloud, as far as cloud operations use it, and how its requests fail."""

from __future__ import annotations

from typing import Protocol

from topazhold.core.autoscaling import ScaleOutRequest


class CloudUnavailableError(Exception):
    """No use could be made of the cloud just now."""


class CloudRequestRejectedError(CloudUnavailableError):
    """The cloud calls the request malformed; it need not be repeated."""


class CloudCapacityError(Exception):
    """Nothing to rent of that type, zone and kind."""


class CloudRequests(Protocol):
    """Requests that change machines; every one can be repeated as it is."""

    async def wait_for_limits(self) -> None:
        """Let time pass until the rate allows a request, within bounds."""
        ...

    async def rent(self, name: str, request: ScaleOutRequest, /) -> list[str]:
        """Request machines; repeating the name gives the same ones.

        Raises CloudCapacityError, CloudRequestRejectedError or CloudUnavailableError.
        """
        ...

    async def release(self, names: list[str]) -> None:
        """Release machines; returns once they are gone. Raises CloudUnavailableError."""
        ...
