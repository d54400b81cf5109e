"""The fleet itself: the machine list, rentals, returns."""

from __future__ import annotations

import logging

import curio

from topazhold.control.cloud import MOST_RELEASED, Cloud, CloudDown, NoCapacity
from topazhold.control.intents import Intents
from topazhold.control.term_context import TermContext
from topazhold.core.intent_shards import IntentShard
from topazhold.core.renting import MOST_RENTED, Ask

log = logging.getLogger(__name__)


class FleetManager:
    """Rents, lists and releases machines."""

    def __init__(self, context: TermContext, cloud: Cloud, intents: Intents) -> None:
        self._context = context
        self._cloud = cloud
        self._intents = intents
        self._asks = 0
        self._listed = False  # a machine list has come

    async def list_loop(self) -> None:
        while True:
            asked = await curio.clock()
            try:
                listed = await self._cloud.machines()
            except CloudDown as exc:
                log.debug("machine list: %s", exc)
            else:
                self._context.scheduler.listed(listed, asked, await curio.clock())
                self._listed = True
            await curio.sleep(max(self._context.report_s, 0.5 * self._context.scheduler.lag_s))

    async def rent_loop(self) -> None:
        while not self._listed:
            # A new leader knows too little of what it has.
            await curio.sleep(self._context.retry_s)
        if self._context.term > 1:
            # What its predecessor rented last is not even listed yet.
            await curio.sleep(self._context.scheduler.lag_s)
        while True:
            now = await curio.clock()
            asks = self._context.scheduler.rent(now) if self._context.assured(now) else []
            for ask in asks:
                await self._rent(ask)
            more = sum(ask.count for ask in asks) >= MOST_RENTED
            await curio.sleep(self._context.retry_s if more else self._context.report_s)

    async def _rent(self, ask: Ask) -> None:
        self._asks += 1
        # The number makes the name this term's own: it is never used again.
        name = f"{self._context.node}-{self._context.term}-{self._asks}"
        for _ in range(6):
            try:
                names = await self._cloud.rent(name, ask)
            except NoCapacity:
                self._context.scheduler.refusals.refused(
                    ask.machine_type,
                    ask.zone,
                    ask.spot,
                    4 * self._context.report_s,
                    await curio.clock(),
                )
                return
            except CloudDown as exc:
                log.debug("rental %s: %s", name, exc)
                await curio.sleep(self._context.report_s)
                continue
            now = await curio.clock()
            for rented in names:
                self._context.scheduler.add_machine(
                    rented, ask.zone, ask.spot, ask.machine_type, now
                )
            kind = "spot" if ask.spot else "ordinary"
            log.info("rented %d of %d %s in %s", len(names), ask.count, kind, ask.zone)
            if len(names) < ask.count:
                self._context.scheduler.refusals.refused(
                    ask.machine_type, ask.zone, ask.spot, 4 * self._context.report_s, now
                )
            else:
                self._context.scheduler.refusals.granted(ask.machine_type, ask.zone, ask.spot)
            return

    async def release_loop(self) -> None:
        while True:
            await curio.sleep(self._context.retry_s)
            names = self._to_release(await curio.clock())
            if not names:
                continue
            try:
                await self._cloud.release(names)
            except CloudDown as exc:
                log.debug("release: %s", exc)
                continue
            now = await curio.clock()
            stale: set[IntentShard] = set()
            for name in names:
                self._context.scheduler.machine_gone(name, now)
                shard = self._context.shards.gone(name)
                if shard is not None and shard.revision:
                    stale.add(shard)
            await self._context.request_plan()
            await self._intents.tidy(stale)

    def _to_release(self, now: float) -> list[str]:
        """Names to release now.

        A leader who can't be sure to be leader must not take machines away that
        another may be using. Only a cancelled task has to go at any price.
        """
        scheduler = self._context.scheduler
        # More than fit into a request wait for the next: cancelled tasks' machines
        # go first, or `cancel_s` would pass while others are given back.
        must = sorted(name for name in scheduler.releases if scheduler.must_go(name))
        if not self._context.assured(now):
            return must[:MOST_RELEASED]
        rest = sorted(scheduler.releases.keys() - set(must))
        return (must + rest)[:MOST_RELEASED]
