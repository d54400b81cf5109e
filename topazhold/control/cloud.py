"""Client of the cloud: catalog, rentals, releases and the machine list."""

from __future__ import annotations

from http import HTTPStatus

import curio

from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.interfaces.cloud import (
    CloudCapacityError,
    CloudRequestRejectedError,
    CloudUnavailableError,
)
from topazhold.io.client import Client
from topazhold.io.http import NoResponseError, RequestNotSentError
from topazhold.io.rate_limit import TokenBucket
from topazhold.wire import messages as wire
from topazhold.wire.cloud import ListedMachine, MachineType
from topazhold.wire.codec import InvalidMessageError, decode

#: Maximum machines in a page of the machine list.
PAGE_MACHINES = 500
#: Maximum seconds that a request waits for the rate limit.
MAX_RATE_WAIT_S = 1.0


class Cloud:
    """Client for one controller, within its rate limit; every request is idempotent."""

    def __init__(self, client: Client, rps: float, timeout_s: float) -> None:
        self._client = client
        self._bucket = TokenBucket(rps)
        self._timeout_s = timeout_s

    async def wait_for_limits(self) -> None:
        """Wait until the rate limit allows a request, for at most `MAX_RATE_WAIT_S` seconds."""
        wait_s = self._bucket.wait_s(await curio.clock())
        if wait_s > 0:
            await curio.sleep(min(MAX_RATE_WAIT_S, wait_s))

    async def _send(self, method: str, target: str, message: object) -> tuple[int, bytes]:
        now = await curio.clock()
        if not self._bucket.take(now):
            raise CloudUnavailableError("request limit")
        try:
            return await self._client.request(method, target, message, self._timeout_s)
        except (RequestNotSentError, NoResponseError) as exc:
            raise CloudUnavailableError(str(exc)) from None

    async def catalog(self) -> list[MachineType]:
        """Return the machine types with their current prices; raises CloudUnavailableError."""
        status, body = await self._send("GET", wire.CATALOG_PATH, None)
        if status != HTTPStatus.OK:
            raise CloudUnavailableError(f"status {status}")
        try:
            return decode(body, wire.Catalog).machine_types
        except InvalidMessageError as exc:
            raise CloudUnavailableError(f"catalog: {exc}") from None

    async def rent(self, name: str, request: ScaleOutRequest) -> list[str]:
        """Rent machines; repeating a request name returns the same machines.

        Raises CloudCapacityError, CloudRequestRejectedError or CloudUnavailableError.
        """
        body = wire.scale_out_body(
            name, request.machine_type, request.zone, request.spot, request.count
        )
        status, response = await self._send("POST", wire.MACHINES_PATH, body)
        if status == HTTPStatus.SERVICE_UNAVAILABLE and b"no capacity" in response:
            raise CloudCapacityError
        if status == HTTPStatus.BAD_REQUEST:
            raise CloudRequestRejectedError(f"status {status}")
        if status != HTTPStatus.OK:
            raise CloudUnavailableError(f"status {status}")
        try:
            return decode(response, wire.ScaleOutResponse).machines
        except InvalidMessageError as exc:
            raise CloudUnavailableError(f"rental: {exc}") from None

    async def release(self, names: list[str]) -> None:
        """Release machines; return only once they no longer exist. Raises CloudUnavailableError."""
        status, _ = await self._send("POST", wire.RELEASE_PATH, wire.release_body(names))
        if status != HTTPStatus.OK:
            raise CloudUnavailableError(f"status {status}")

    async def machines(self) -> list[ListedMachine]:
        """Return the machine list, which lags behind the fleet; raises CloudUnavailableError."""
        listed: list[ListedMachine] = []
        last_id: str | None = None
        while True:
            status, body = await self._send(
                "GET", wire.machine_list_target(last_id, PAGE_MACHINES), None
            )
            if status != HTTPStatus.OK:
                raise CloudUnavailableError(f"status {status}")
            try:
                page = decode(body, wire.MachinePage)
            except InvalidMessageError as exc:
                raise CloudUnavailableError(f"list: {exc}") from None
            listed += page.machines
            if not page.truncated or not page.machines:
                return listed
            last_id = page.machines[-1].id
