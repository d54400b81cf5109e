"""A network that delivers requests between named hosts, late, twice or not at all."""

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

#: Seconds that a request, a response or a message between controllers takes.
MIN_DELAY_S = 0.001
MAX_DELAY_S = 0.01
#: Share of the lost and the cut-off requests that are nevertheless delivered, late.
LATE_DELIVERY_SHARE = 0.5
#: A sender learns of a lost response after this share of its timeout.
LOST_RESPONSE_WAIT_SHARE = 0.5
#: Longer than any run: for a request that is never answered.
NEVER_S = 1e9
#: How late a copy of a request may arrive, and a transaction without an answer be carried out.
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
        """Whether it goes to the key-value store to change something."""
        return self.path == TRANSACTIONS_PATH

    @property
    def is_cloud_operation(self) -> bool:
        """Whether it tells the cloud to rent or to release machines."""
        return self.method == "POST" and self.path.startswith(CLOUD_OPERATIONS_PATH)

    async def carry_out(self) -> tuple[int, Any]:
        """Hand it to its host."""
        return await self.handler(self.source, self.method, self.path, decode_body(self.body))

    async def time_out(self) -> None:
        """Nothing comes back."""
        await curio.sleep(self.timeout_s)
        raise NoResponseError(self.target)


class Network:
    """Delivers requests between named hosts, late, twice or not at all."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.hosts: dict[str, Handler] = {}
        self.zones: dict[str, str] = {}  # by host, for cuts between zones
        self.cuts: set[frozenset[str]] = set()
        self.one_way_cuts: set[tuple[str, str]] = set()  # (from, to)
        self.delivers_cut_requests_late = False  # cuts keep requests and deliver them late
        self.loss_share = 0.0
        self.max_extra_delay_s = 0.0  # a request takes up to so much longer
        self.duplicate_share = 0.0  # share of workers' reports that arrive once more, late
        self.late_operation_share = 0.0  # of operations of the cloud, without an answer
        self.late_write_share = 0.0  # of transactions, without an answer
        self.overtaken_writes = 0  # late ones carried out after a newer one of their sender
        self._timely_writes: dict[str, int] = {}  # transactions carried out in time, by sender

    def is_cut(self, one: str, other: str) -> bool:
        """Whether nothing passes between two hosts, by themselves or by their zones."""
        return any(
            a != b and frozenset((a, b)) in self.cuts
            for a in self._names(one)
            for b in self._names(other)
        )

    def is_cut_one_way(self, source: str, target: str) -> bool:
        """Whether what goes from one host to another is lost, the other way round or not."""
        return any(
            (a, b) in self.one_way_cuts for a in self._names(source) for b in self._names(target)
        )

    def _names(self, host: str) -> set[str]:
        """A host's name and its zone's."""
        return {host, self.zones.get(host, host)}

    async def request(
        self, source: str, target: str, method: str, path: str, message: Any, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request and wait for the answer; NotSent or NoAnswer if there is none."""
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
        """Perhaps a copy that arrives seconds to well over a lease later, anywhere."""
        if self.rng.random() < self.duplicate_share:
            target = self.rng.choice(targets)
            handler = self.hosts.get(target)
            if handler is not None:
                await self._schedule_late_delivery(
                    Request(handler, source, target, method, path, pack(message), 0.0)
                )

    async def _fail_at_cut(self, request: Request) -> None:
        """It comes to a cut: refused at once, or kept, and perhaps delivered late."""
        if not self.delivers_cut_requests_late:
            raise RequestNotSentError(request.target)
        if self.rng.random() < LATE_DELIVERY_SHARE:
            await self._schedule_late_delivery(request)
            await request.time_out()
        await curio.sleep(request.timeout_s)
        raise RequestNotSentError(request.target)

    async def _maybe_delay(self, request: Request) -> None:
        """A share of transactions and of operations of the cloud is carried out late."""
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
        """A copy that arrives when its sender has long given up."""
        await curio.sleep(self.rng.uniform(*LATE_DELIVERY_DELAY_S))
        try:
            await request.carry_out()
        except RequestNotSentError:
            pass

    async def _write_late(self, request: Request) -> None:
        """A transaction that is carried out seconds later, often after newer ones."""
        before = self._timely_writes.get(request.source, 0)
        await curio.sleep(self.rng.uniform(*LATE_WRITE_DELAY_S))
        await request.carry_out()
        self.overtaken_writes += self._timely_writes.get(request.source, 0) > before


def decode_body(body: bytes) -> Any:
    """What a body says; None if it is empty."""
    return unpack(body) if body else None


class FakeClient:
    """A controller's pooled HTTP client, which sends through the network."""

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

    async def ask(
        self, method: str, target: str, message: Any, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request; errors are those of the controller's version."""
        if not self._is_alive():
            await curio.sleep(NEVER_S)
        # What a paused controller was about to send leaves once it goes on, and what
        # came in between is read only then.
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

    async def close(self) -> None:
        """Nothing is open."""
