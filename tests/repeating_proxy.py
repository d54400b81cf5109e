"""A proxy on loopback that forwards HTTP requests and repeats earlier ones."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from random import Random

import curio

from topazhold.io.client import Client
from topazhold.io.http import NoResponseError, Request, RequestNotSentError, Response
from topazhold.io.server import Server
from topazhold.wire.codec import unpack

#: Timeout of a forwarded request, in seconds.
FORWARD_TIMEOUT_S = 4.0
MAX_CONNECTIONS = 500
MAX_REPEATED_AT_ONCE = 20


@dataclass(frozen=True)
class CarriedRequest:
    """A request that was forwarded and answered."""

    method: str
    path: str
    body: bytes


class RepeatingProxy:
    """Forwards the requests that arrive at one port to another one, and records them."""

    def __init__(self, host: str, port: int, target_port: int) -> None:
        self._host = host
        self.port = port
        self._client = Client((host, target_port), MAX_CONNECTIONS)
        self._repeating_client = Client((host, target_port), MAX_CONNECTIONS)
        self.carried: list[CarriedRequest] = []
        self.repeated = 0

    async def run(self) -> None:
        """Serve until cancelled."""
        await Server(self._forward, MAX_CONNECTIONS, idle_s=60.0).run((self._host, self.port))

    async def _forward(self, request: Request) -> Response:
        path = request.path + (f"?{request.query}" if request.query else "")
        body = unpack(request.body) if request.body else None
        try:
            status, answer = await self._client.request(
                request.method, path, body, FORWARD_TIMEOUT_S
            )
        except (NoResponseError, RequestNotSentError):
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, close=True)
        self.carried.append(CarriedRequest(request.method, path, request.body))
        return Response(status, unpack(answer) if answer else None)

    async def repeat(self, path: str, count: int, rng: Random) -> None:
        """Send up to `count` drawn earlier requests again, in any order; answers are dropped."""
        candidates = [carried for carried in self.carried if carried.path == path]
        drawn = rng.sample(candidates, min(count, len(candidates)))
        for first in range(0, len(drawn), MAX_REPEATED_AT_ONCE):
            async with curio.TaskGroup() as group:
                for carried in drawn[first : first + MAX_REPEATED_AT_ONCE]:
                    await group.spawn(self._repeat, carried)

    async def _repeat(self, carried: CarriedRequest) -> None:
        try:
            await self._repeating_client.request(
                carried.method, carried.path, unpack(carried.body), FORWARD_TIMEOUT_S
            )
        except (NoResponseError, RequestNotSentError):
            return
        self.repeated += 1
