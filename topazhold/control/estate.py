"""The fleet itself: the machine list, rentals, returns."""

from __future__ import annotations

import logging

import curio

from topazhold.control.cloud import MOST_RELEASED, Cloud, CloudDown, NoCapacity
from topazhold.control.intents import Intents
from topazhold.control.office import Office
from topazhold.core.renting import MOST_RENTED, Ask
from topazhold.core.shelves import Shelf

log = logging.getLogger(__name__)


class Estate:
    """Rents, lists and releases machines."""

    def __init__(self, office: Office, cloud: Cloud, intents: Intents) -> None:
        self._office = office
        self._cloud = cloud
        self._intents = intents
        self._asks = 0
        self._listed = False  # a machine list has come

    async def list_loop(self) -> None:
        while True:
            asked = await curio.clock()
            try:
                boxes = await self._cloud.machines()
            except CloudDown as exc:
                log.debug("machine list: %s", exc)
            else:
                self._office.realm.listed(boxes, asked, await curio.clock())
                self._listed = True
            await curio.sleep(max(self._office.report_s, 0.5 * self._office.realm.lag_s))

    async def rent_loop(self) -> None:
        while not self._listed:
            # A new leader knows too little of what she has.
            await curio.sleep(self._office.retry_s)
        if self._office.term > 1:
            # What her predecessor rented last is not even listed yet.
            await curio.sleep(self._office.realm.lag_s)
        while True:
            now = await curio.clock()
            asks = self._office.realm.rent(now) if self._office.assured(now) else []
            for ask in asks:
                await self._rent(ask)
            more = sum(ask.count for ask in asks) >= MOST_RENTED
            await curio.sleep(self._office.retry_s if more else self._office.report_s)

    async def _rent(self, ask: Ask) -> None:
        self._asks += 1
        # The number makes the name this term's own: it is never used again.
        name = f"{self._office.node}-{self._office.term}-{self._asks}"
        for _ in range(6):
            try:
                names = await self._cloud.rent(name, ask)
            except NoCapacity:
                self._office.realm.refusals.refused(
                    ask.breed, ask.zone, ask.spot, 4 * self._office.report_s, await curio.clock()
                )
                return
            except CloudDown as exc:
                log.debug("rental %s: %s", name, exc)
                await curio.sleep(self._office.report_s)
                continue
            now = await curio.clock()
            for box in names:
                self._office.realm.add_machine(box, ask.zone, ask.spot, ask.breed, now)
            kind = "spot" if ask.spot else "ordinary"
            log.info("rented %d of %d %s in %s", len(names), ask.count, kind, ask.zone)
            if len(names) < ask.count:
                self._office.realm.refusals.refused(
                    ask.breed, ask.zone, ask.spot, 4 * self._office.report_s, now
                )
            else:
                self._office.realm.refusals.granted(ask.breed, ask.zone, ask.spot)
            return

    async def release_loop(self) -> None:
        while True:
            await curio.sleep(self._office.retry_s)
            names = self._to_release(await curio.clock())
            if not names:
                continue
            try:
                await self._cloud.release(names)
            except CloudDown as exc:
                log.debug("release: %s", exc)
                continue
            now = await curio.clock()
            stale: set[Shelf] = set()
            for name in names:
                self._office.realm.machine_gone(name, now)
                shelf = self._office.shelves.gone(name)
                if shelf is not None and shelf.mark:
                    stale.add(shelf)
            await self._office.stir()
            await self._intents.tidy(stale)

    def _to_release(self, now: float) -> list[str]:
        """Names to release now.

        A leader who can't be sure to be leader must not take machines away that
        another may be using. Only a cancelled task has to go at any price.
        """
        realm = self._office.realm
        # More than fit into a request wait for the next: cancelled tasks' machines
        # go first, or `cancel_s` would pass while others are given back.
        must = sorted(name for name in realm.releases if realm.must_go(name))
        if not self._office.assured(now):
            return must[:MOST_RELEASED]
        rest = sorted(realm.releases.keys() - set(must))
        return (must + rest)[:MOST_RELEASED]
