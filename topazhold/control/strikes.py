"""Direct commands to workers; the next report's answer repeats them."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from topazhold.control.office import Deposed, Office
from topazhold.core.machines import Machine
from topazhold.io.client import Client, Clients
from topazhold.io.http import NoAnswer, NotSent
from topazhold.settings import address
from topazhold.wire import messages as wire
from topazhold.wire.codec import BadMessage, read
from topazhold.wire.messages import Call, Orders, Report

log = logging.getLogger(__name__)

#: Direct commands under way at once, and idle connections kept for them, as shares
#: of the sockets.
STRIKING_SHARE = 1 / 32
KEPT_SHARE = 1 / 16
#: Of those under way, the share that may wait for workers that are silent.
SILENT_SHARE = 0.5


class Strikes:
    """Sends kills, rings and announcements directly."""

    def __init__(
        self,
        office: Office,
        sockets: int,
        dial: Callable[[tuple[str, int], int], Client],
        hear: Callable[[Report], Awaitable[Any]],
    ) -> None:
        self._most = max(4, int(sockets * STRIKING_SHARE))
        self._most_silent = max(1, int(self._most * SILENT_SHARE))
        self._clients = Clients(dial, max(4, int(sockets * KEPT_SHARE)))
        self._office = office
        self._hear = hear
        self._striking: dict[str, bool] = {}  # under way; whether the worker is silent
        self.deposed = curio.Event()

    async def close(self) -> None:
        await self._clients.close()

    async def loop(self) -> None:
        """Send kills directly; the next report's answer repeats them."""
        while True:
            await curio.sleep(0.05 * self._office.report_s)
            await self.round()

    async def round(self) -> None:
        """Send what is due, the living and cancelled work first.

        In order of name, dead machines kept every place for a report period each,
        and the kills for cancelled jobs and the new term came to the living late.
        """
        realm = self._office.realm
        now = await curio.clock()
        due = [name for name in realm.strikes if name not in self._striking]
        silent = sum(self._striking.values())
        for machine in realm.strike_order(due, now):
            if len(self._striking) >= self._most:
                return
            is_silent = not realm.fresh(machine, now)
            if is_silent and silent >= self._most_silent:
                return  # the living come first in this order
            realm.strikes.discard(machine.name)
            calls = realm.direct_calls(machine)
            if calls or realm.needs_announcing(machine, now):
                silent += is_silent
                machine.struck_at = now
                self._striking[machine.name] = is_silent
                await curio.spawn(self._strike, machine, calls, daemon=True)

    async def _strike(self, machine: Machine, calls: list[Call]) -> None:
        try:
            await self.direct(machine, calls)
        except Deposed as exc:
            log.info("term %d ends: %s", self._office.term, exc)
            await self.deposed.set()
        finally:
            del self._striking[machine.name]

    async def direct(self, machine: Machine, calls: list[Call]) -> None:
        """POST /commands; whatever comes back is a report."""
        assert machine.endpoint is not None
        try:
            client = await self._clients.at(address(machine.endpoint), len(self._striking))
            orders = Orders(self._office.term, calls, machine.flight)
            status, body = await client.ask(
                "POST", wire.COMMANDS_PATH, orders, self._office.report_s
            )
            if status in (200, 409):
                rep = read(body, Report)
                if rep.term > self._office.term:
                    raise Deposed("a worker knows a higher term")
                await self._hear(rep)
        except (NotSent, NoAnswer, BadMessage, ValueError) as exc:
            log.debug("direct to %s: %s", machine.name, exc)
