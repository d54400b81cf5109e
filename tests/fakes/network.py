"""A network that delivers requests between named hosts, late, twice or not at all."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import curio

from tests.versions import Version
from topazhold.io.http import NoAnswer, NotSent
from topazhold.wire.codec import pack, unpack

Handler = Callable[[str, str, str, Any], Awaitable[tuple[int, Any]]]


class Network:
    """Delivers requests between named hosts, late, twice or not at all."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.hosts: dict[str, Handler] = {}
        self.cuts: set[frozenset[str]] = set()
        self.lost: set[tuple[str, str]] = set()  # (from, to): what goes that way is lost
        self.holding = False  # cuts keep requests and deliver them late
        self.loss = 0.0
        self.delay_s = 0.0  # a request takes up to so much longer
        self.copies = 0.0  # share of workers' reports that arrive once more, late
        self.places: dict[str, str] = {}  # host -> zone, for cuts between zones
        self.held_orders = 0.0  # share of orders to the cloud that are carried out much later
        self.late_writes = 0.0  # share of transactions without an answer, carried out late
        self.overtaken = 0  # late transactions carried out after a newer one of their sender
        self.late_applied = 0  # of those, the ones that changed something
        self._written: dict[str, int] = {}  # sender -> transactions carried out in time

    def cut(self, one: str, other: str) -> bool:
        for a in {one, self.places.get(one, one)}:
            for b in {other, self.places.get(other, other)}:
                if a != b and frozenset((a, b)) in self.cuts:
                    return True
        return False

    def loses(self, source: str, target: str) -> bool:
        """Whether what goes from one host to another is lost, the other way round or not."""
        ends = {source, self.places.get(source, source)}, {target, self.places.get(target, target)}
        return any((a, b) in self.lost for a in ends[0] for b in ends[1])

    async def ask(
        self, source: str, target: str, method: str, path: str, message: Any, timeout_s: float
    ) -> tuple[int, bytes]:
        body = pack(message) if message is not None else b""
        await curio.sleep(self.rng.uniform(0.001, 0.01 + self.delay_s))
        handler = self.hosts.get(target)
        if handler is None:
            raise NotSent(target)
        if self.cut(source, target):
            if self.holding and self.rng.random() < 0.5:
                await curio.spawn(self._late, handler, source, method, path, body, daemon=True)
                await curio.sleep(timeout_s)
                raise NoAnswer(target)
            if not self.holding:
                raise NotSent(target)
            await curio.sleep(timeout_s)
            raise NotSent(target)
        if self.loses(source, target):
            await curio.sleep(timeout_s)
            raise NoAnswer(target)
        if path == "/multi":
            if self.rng.random() < self.late_writes:
                await curio.spawn(self._late_write, handler, source, path, body, daemon=True)
                await curio.sleep(timeout_s)
                raise NoAnswer(target)
            self._written[source] = self._written.get(source, 0) + 1
        if method == "POST" and path.startswith("/machines"):
            if self.rng.random() < self.held_orders:
                await curio.spawn(self._late, handler, source, method, path, body, daemon=True)
                await curio.sleep(timeout_s)
                raise NoAnswer(target)
        lost = self.rng.random()
        if lost < self.loss:
            if self.rng.random() < 0.5:
                await curio.spawn(self._late, handler, source, method, path, body, daemon=True)
            await curio.sleep(timeout_s)
            raise NoAnswer(target)
        try:
            status, answer = await curio.timeout_after(
                timeout_s, handler, source, method, path, read_body(body)
            )
        except curio.TaskTimeout:
            raise NoAnswer(target) from None
        await curio.sleep(self.rng.uniform(0.001, 0.01))
        if self.loses(target, source):
            await curio.sleep(timeout_s)
            raise NoAnswer(target)
        if lost < 2 * self.loss or self.hosts.get(target) is not handler:
            await curio.sleep(timeout_s * 0.5)
            raise NoAnswer(target)
        return status, pack(answer) if answer is not None else b""

    async def copy(
        self, source: str, targets: list[str], method: str, path: str, message: Any
    ) -> None:
        """Perhaps a copy that arrives seconds to well over a lease later, anywhere."""
        if self.rng.random() < self.copies:
            handler = self.hosts.get(self.rng.choice(targets))
            if handler is not None:
                await curio.spawn(
                    self._late, handler, source, method, path, pack(message), daemon=True
                )

    async def _late_write(self, handler: Handler, source: str, path: str, body: bytes) -> None:
        """A transaction that is carried out 2 to 12 s later, often after newer ones."""
        before = self._written.get(source, 0)
        await curio.sleep(self.rng.uniform(2.0, 12.0))
        status, _ = await handler(source, "POST", path, read_body(body))
        if self._written.get(source, 0) > before:
            self.overtaken += 1
            self.late_applied += status == 200

    async def _late(
        self, handler: Handler, source: str, method: str, path: str, body: bytes
    ) -> None:
        """A copy that arrives when its sender has long given up."""
        await curio.sleep(self.rng.uniform(1.0, 40.0))
        try:
            await handler(source, method, path, read_body(body))
        except NotSent:
            pass


def read_body(body: bytes) -> Any:
    return unpack(body) if body else None


class FakeClient:
    """Stands in for the pooled HTTP client."""

    def __init__(
        self,
        net: Network,
        source: str,
        address: tuple[str, int],
        alive: Callable[[], bool],
        thawed: Callable[[str], Awaitable[None]],
        version: Version,
    ) -> None:
        self._not_sent = version.load("io.http", "NotSent")
        self._no_answer = version.load("io.http", "NoAnswer")
        self._thawed = thawed
        self._net = net
        self._source = source
        self._target = f"{address[0]}:{address[1]}"
        self._alive = alive

    async def ask(
        self, method: str, target: str, message: Any, timeout_s: float
    ) -> tuple[int, bytes]:
        if not self._alive():
            await curio.sleep(1e9)
        # What a frozen controller was about to send leaves once it goes on, and what
        # came in between is read only then.
        await self._thawed(self._source)
        try:
            return await self._net.ask(
                self._source, self._target, method, target, message, timeout_s
            )
        except NotSent as exc:
            raise self._not_sent(str(exc)) from None
        except NoAnswer as exc:
            raise self._no_answer(str(exc)) from None
        finally:
            await self._thawed(self._source)

    async def close(self) -> None:
        pass
