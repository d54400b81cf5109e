"""A simulated network that delays, duplicates and loses requests between named hosts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import curio

from tests.versions import Version
from topazhold.io.http import NoResponseError, RequestNotSentError
from topazhold.wire.codec import pack, unpack

Handler = Callable[[str, str, str, Any], Awaitable[tuple[int, Any]]]

#: Range of the latency of requests, responses and messages between controllers, in seconds.
MIN_DELAY_S = 0.001
MAX_DELAY_S = 0.01
#: Share of the lost and partitioned requests that are delivered late after all.
LATE_DELIVERY_SHARE = 0.5
#: A sender learns of a lost response after this share of its timeout.
LOST_RESPONSE_WAIT_SHARE = 0.5
#: Longer than any run: the delay of a request or response that never arrives.
NEVER_S = 1e9
#: Ranges of the seconds after which a late request is delivered, and a late transaction is
#: carried out.
LATE_DELIVERY_DELAY_S = (1.0, 40.0)
LATE_WRITE_DELAY_S = (2.0, 12.0)
#: Paths of the key-value store's transactions and of the cloud's operations.
TRANSACTIONS_PATH = "/multi"
CLOUD_OPERATIONS_PATH = "/machines"


@dataclass(frozen=True)
class Request:
    """A request on its way to a host."""

    handler: Handler
    source: str
    target: str
    method: str
    path: str
    body: bytes
    timeout_s: float

    @property
    def is_transaction(self) -> bool:
        """Return whether the request is a transaction of the key-value store."""
        return self.path == TRANSACTIONS_PATH

    @property
    def is_cloud_operation(self) -> bool:
        """Return whether the request tells the cloud to rent or release machines."""
        return self.method == "POST" and self.path.startswith(CLOUD_OPERATIONS_PATH)

    async def carry_out(self) -> tuple[int, Any]:
        """Pass the request to its target's handler and return the response."""
        return await self.handler(self.source, self.method, self.path, decode_body(self.body))

    async def time_out(self) -> None:
        """Wait for the timeout, then fail without a response."""
        await curio.sleep(self.timeout_s)
        raise NoResponseError(self.target)


class Network:
    """Delivers requests between named hosts, with delays, duplicates and losses."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.hosts: dict[str, Handler] = {}
        self.zones: dict[str, str] = {}  # by host, for partitions between zones
        self.cuts: set[frozenset[str]] = set()  # pairs of hosts or zones
        self.one_way_cuts: set[tuple[str, str]] = set()  # (source, target), hosts or zones
        self.delivers_cut_requests_late = False  # else requests that meet a cut fail at once
        self.loss_share = 0.0  # of requests; as many responses are lost
        self.max_extra_delay_s = 0.0  # added to the latency of requests
        self.duplicate_share = 0.0  # of heartbeats and POST requests of users
        self.late_operation_share = 0.0  # of cloud operations; the sender gets no response
        self.late_write_share = 0.0  # of transactions; the sender gets no response
        self.overtaken_writes = 0  # late transactions, carried out after newer ones of their sender
        self._timely_writes: dict[str, int] = {}  # transactions without added delay, by sender

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two hosts or their zones are cut off from each other."""
        return any(
            a != b and frozenset((a, b)) in self.cuts
            for a in self._names(one)
            for b in self._names(other)
        )

    def is_cut_one_way(self, source: str, target: str) -> bool:
        """Return whether messages from `source` to `target` are lost, whatever the reverse does."""
        return any(
            (a, b) in self.one_way_cuts for a in self._names(source) for b in self._names(target)
        )

    def _names(self, host: str) -> set[str]:
        """Return the names of a host and its zone."""
        return {host, self.zones.get(host, host)}

    async def request(
        self, source: str, target: str, method: str, path: str, message: Any, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the response.

        Raises:
            RequestNotSentError: the target can't be reached.
            NoResponseError: the request may have been, or may yet be, carried out.
        """
        body = pack(message) if message is not None else b""
        await curio.sleep(self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S + self.max_extra_delay_s))
        handler = self.hosts.get(target)
        if handler is None:
            raise RequestNotSentError(target)
        request = Request(handler, source, target, method, path, body, timeout_s)
        if self.is_cut(source, target):
            await self._fail_at_cut(request)
        if self.is_cut_one_way(source, target):
            await request.time_out()
        await self._maybe_delay(request)
        draw = self.rng.random()
        if draw < self.loss_share:
            if self.rng.random() < LATE_DELIVERY_SHARE:
                await self._schedule_late_delivery(request)
            await request.time_out()
        status, answer = await self._deliver(request)
        await curio.sleep(self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S))
        if self.is_cut_one_way(target, source):
            await request.time_out()
        if draw < 2 * self.loss_share or self.hosts.get(target) is not handler:
            await curio.sleep(timeout_s * LOST_RESPONSE_WAIT_SHARE)
            raise NoResponseError(target)
        return status, pack(answer) if answer is not None else b""

    async def maybe_duplicate(
        self, source: str, targets: list[str], method: str, path: str, message: Any
    ) -> None:
        """Deliver a duplicate to one of the targets with probability `duplicate_share`.

        It arrives between seconds and more than a worker's lease later.
        """
        if self.rng.random() < self.duplicate_share:
            target = self.rng.choice(targets)
            handler = self.hosts.get(target)
            if handler is not None:
                await self._schedule_late_delivery(
                    Request(handler, source, target, method, path, pack(message), 0.0)
                )

    async def _fail_at_cut(self, request: Request) -> None:
        """Fail a request that meets a cut: at once, or on timeout with late delivery of a share."""
        if not self.delivers_cut_requests_late:
            raise RequestNotSentError(request.target)
        if self.rng.random() < LATE_DELIVERY_SHARE:
            await self._schedule_late_delivery(request)
            await request.time_out()
        await curio.sleep(request.timeout_s)
        raise RequestNotSentError(request.target)

    async def _maybe_delay(self, request: Request) -> None:
        """Deliver a share of the transactions and cloud operations late, without a response."""
        if request.is_transaction:
            if self.rng.random() < self.late_write_share:
                await curio.spawn(self._write_late, request, daemon=True)
                await request.time_out()
            self._timely_writes[request.source] = self._timely_writes.get(request.source, 0) + 1
        if request.is_cloud_operation and self.rng.random() < self.late_operation_share:
            await self._schedule_late_delivery(request)
            await request.time_out()

    async def _deliver(self, request: Request) -> tuple[int, Any]:
        try:
            answer: tuple[int, Any] = await curio.timeout_after(
                request.timeout_s, request.carry_out
            )
        except curio.TaskTimeout:
            raise NoResponseError(request.target) from None
        return answer

    async def _schedule_late_delivery(self, request: Request) -> None:
        await curio.spawn(self._deliver_late, request, daemon=True)

    async def _deliver_late(self, request: Request) -> None:
        """Deliver a request after its sender has given up."""
        await curio.sleep(self.rng.uniform(*LATE_DELIVERY_DELAY_S))
        try:
            await request.carry_out()
        except RequestNotSentError:
            pass

    async def _write_late(self, request: Request) -> None:
        """Carry out a transaction seconds later, often after newer ones of its sender."""
        before = self._timely_writes.get(request.source, 0)
        await curio.sleep(self.rng.uniform(*LATE_WRITE_DELAY_S))
        await request.carry_out()
        self.overtaken_writes += self._timely_writes.get(request.source, 0) > before


def decode_body(body: bytes) -> Any:
    """Return the decoded body, or None if it is empty."""
    return unpack(body) if body else None


class FakeClient:
    """Stands in for a controller's HTTP client, and sends through the simulated network."""

    def __init__(
        self,
        network: Network,
        source: str,
        address: tuple[str, int],
        is_alive: Callable[[], bool],
        wait_while_paused: Callable[[str], Awaitable[None]],
        version: Version,
    ) -> None:
        self._not_sent_error = version.load("io.http", "RequestNotSentError")
        self._no_response_error = version.load("io.http", "NoResponseError")
        self._wait_while_paused = wait_while_paused
        self._network = network
        self._source = source
        self._target = f"{address[0]}:{address[1]}"
        self._is_alive = is_alive

    async def request(
        self, method: str, target: str, message: Any, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request; raises the error classes of the controller's version."""
        if not self._is_alive():
            await curio.sleep(NEVER_S)
        # A paused controller sends pending requests and reads responses only once it resumes.
        await self._wait_while_paused(self._source)
        try:
            return await self._network.request(
                self._source, self._target, method, target, message, timeout_s
            )
        except RequestNotSentError as exc:
            raise self._not_sent_error(str(exc)) from None
        except NoResponseError as exc:
            raise self._no_response_error(str(exc)) from None
        finally:
            await self._wait_while_paused(self._source)

    #: Production's name of the method.
    ask = request

    async def close(self) -> None:
        """Do nothing: there is no connection to close."""
