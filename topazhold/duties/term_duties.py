"""All duties of one term: their holder, their orders, and the loops that carry them out."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import curio

from topazhold.control.cloud import Cloud
from topazhold.control.intents import Intents
from topazhold.control.machine_list import MachineList
from topazhold.control.term_context import TermContext
from topazhold.duties.book import OrderBook
from topazhold.duties.cleaning import CleanupDuty
from topazhold.duties.holder import DutyHolder
from topazhold.duties.inheritance import inherit
from topazhold.duties.orders import ReturnOrder
from topazhold.duties.renting import RentDuty
from topazhold.duties.returning import AnnounceReleased, ReturnDuty
from topazhold.settings import Operator, Settings
from topazhold.wire.messages import Entry

log = logging.getLogger(__name__)

#: A return's record is kept for as long as a list, or a late heartbeat, may still name the
#: machine: so many lags of the list and leases of the workers.
KEEP_LAGS = 4.0
KEEP_LEASES = 2.0


class TermDuties:
    """What the leader of one term does in the world outside, by orders."""

    def __init__(
        self,
        context: TermContext,
        cloud: Cloud,
        intents: Intents,
        settings: Settings,
        operator: Operator,
        controller_lease_s: float,
        now: float,
        announce_released: AnnounceReleased,
    ) -> None:
        workers = settings.cluster.workers
        keep_s = KEEP_LAGS * settings.cluster.cloud.list_lag_s + KEEP_LEASES * workers.lease_s
        self._context = context
        self.book = OrderBook(
            context.node, context.term, context.value_limit, keep_s, operator.record_orders
        )
        self.holder = DutyHolder(context, self.book, controller_lease_s, now)
        self._machine_list = MachineList(context, cloud)
        self.returning = ReturnDuty(context, self.holder, cloud, intents, announce_released)
        self._renting = RentDuty(context, self.holder, cloud, self._machine_list.listed)
        self._cleaning = CleanupDuty(context, self.holder)
        context.clean_up = self._cleaning.on_job_ended

    async def take_over(self, entries: list[Entry], released: list[str]) -> None:
        """Complete what earlier terms left open; `released` machines are known to be gone."""
        now = await curio.clock()
        self.holder.begin(now)
        inherit(self._context.scheduler, self.book, entries, now)
        await self.returning.released_by_peer(released, now)
        if self.book.counters.inherited:
            returns = sum(isinstance(order, ReturnOrder) for order in self.book.open_orders())
            log.info(
                "term %d takes over %d orders, %d of them returns",
                self._context.term,
                self.book.counters.inherited,
                returns,
            )

    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """What goes on while the term lasts."""
        return (
            self._machine_list.loop,
            self._renting.loop,
            self.returning.loop,
            self._cleaning.loop,
            self.holder.close_loop,
            self.holder.watch_clocks,
        )

    def log_totals(self) -> None:
        """One line about all orders of the term."""
        counters = self.book.counters
        log.info(
            "orders of term %d: %d decided, %d taken over, %d superseded, %d forced, "
            "%d requests, %d of them again, %d confirmed, %d closed, %d records unreadable",
            self._context.term,
            counters.decided,
            counters.inherited,
            counters.superseded,
            counters.forced,
            counters.sends,
            counters.repeats,
            counters.confirmed,
            counters.closed,
            counters.unreadable,
        )
