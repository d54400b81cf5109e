"""Intents: what may come to be on a machine is written before any launch."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import curio

from topazhold.control.office import TXN_BYTES, Office
from topazhold.control.store import DECISIONS, TROUBLE, Conflict, StoreDown, StoreUnknown
from topazhold.core import records
from topazhold.core.jobs import Run
from topazhold.core.shelves import Shelf
from topazhold.wire import messages as wire
from topazhold.wire.codec import BadMessage

log = logging.getLogger(__name__)

#: Guards that a transaction takes, per change.
GUARDS_PER_OP = 4


class Intents:
    """Writes plans, and takes what is gone out of the records."""

    def __init__(self, office: Office) -> None:
        self._office = office
        self._most_values = max(1, min(office.txn_ops // 2, TXN_BYTES // office.value_limit))

    async def write(self, runs: list[Run]) -> None:
        """Commit the intents of a plan, a few machines at a time, before any launch."""
        for batch in self._batches(runs):
            await self._write_batch(batch)

    def _batches(self, runs: list[Run]) -> Iterator[list[Run]]:
        """The plan in parts, each with no more puts and guards than a transaction takes.

        A guard is never left out: without its `live/` mark a job that was cancelled
        in between would be launched. So many small jobs make more transactions.
        """
        office = self._office
        machines = office.realm.machines
        by_shelf: dict[str, list[Run]] = {}
        for run in runs:
            machine = machines.get(run.machine)
            if machine is not None:
                by_shelf.setdefault(office.shelves.of(machine, machines).name, []).append(run)
        # The leader's own mark, and one for every value that may be put.
        most_jobs = GUARDS_PER_OP * office.txn_ops - len(office.guards()) - office.txn_ops
        batch: list[Run] = []
        shelves: set[str] = set()
        jobs: set[str] = set()
        for shelf, of_shelf in by_shelf.items():
            for run in of_shelf:
                full = run.job.id not in jobs and len(jobs) >= most_jobs
                if full or (shelf not in shelves and len(shelves) >= self._most_values):
                    yield batch
                    batch, shelves, jobs = [], set(), set()
                batch.append(run)
                shelves.add(shelf)
                jobs.add(run.job.id)
        if batch:
            yield batch

    async def _write_batch(self, batch: list[Run]) -> None:
        realm = self._office.realm
        token = self._office.token()
        shelves = {
            self._office.shelves.of(realm.machines[run.machine], realm.machines)
            for run in batch
            if run.machine in realm.machines
        }
        values = self._office.shelves.values(shelves, realm.machines, token)
        if not values:
            realm.intents_failed(batch, await curio.clock())
            return
        if len(values) > self._most_values and len(batch) > 1:
            # Shelves that were too full have given machines to new ones.
            if not await self._write_apart():
                realm.intents_failed(batch, await curio.clock())
                await curio.sleep(self._office.retry_s)
                return
            half = len(batch) // 2
            await self._write_batch(batch[:half])
            await self._write_batch(batch[half:])
            return
        guards = self._office.guards()
        then = []
        for name, (mark, value) in values.items():
            guards.append((records.on_key(name), mark))
            then.append(wire.put(records.on_key(name), value))
        for job in {run.job.id: run.job for run in batch}.values():
            # A job that was cancelled or finished in between launches nothing.
            guards.append((records.live_key(job.id), job.mark))
        while True:
            try:
                mark = await self._office.store.commit(
                    guards,
                    then,
                    DECISIONS,
                    records.on_key(next(iter(values))),
                    token,
                    give_up_s=self._office.block_s,
                )
                break
            except Conflict as exc:
                log.debug("intents not written, changed: %s", exc)
                realm.intents_failed(batch, await curio.clock())
                await self._office.repair(exc.keys)
                return
            except StoreDown as exc:
                log.debug("intents not written: %s", exc)
                realm.intents_failed(batch, await curio.clock())
                await curio.sleep(self._office.retry_s)
                return
            except (StoreUnknown, BadMessage):
                # Still open: nothing else may be planned for these tasks.
                continue
        for name in values:
            self._office.shelves.marked(name, mark)
        realm.intents_written(batch, await curio.clock())

    async def _write_apart(self) -> bool:
        """Shelves that took machines over, by themselves; their old shelves still name them.

        False if the state service does not take them now.
        """
        office = self._office
        for shelf in office.shelves.unwritten():
            value = office.shelves.value(shelf, office.realm.machines, office.token())
            try:
                mark = await office.store.multi(
                    [*office.guards(), (records.on_key(shelf.name), shelf.mark)],
                    [wire.put(records.on_key(shelf.name), value)],
                    DECISIONS,
                )
            except Conflict as exc:
                await office.repair(exc.keys)
            except TROUBLE as exc:
                log.debug("shelf %s not written apart: %s", shelf.name, exc)
                return False
            else:
                office.shelves.marked(shelf.name, mark)
        return True

    async def tidy(self, shelves: set[Shelf]) -> None:
        """Intents of machines that are gone; a new leader would find that out by herself."""
        office = self._office
        values = office.shelves.values(shelves, office.realm.machines, office.token())
        for name, (mark, value) in values.items():
            key = records.on_key(name)
            change = wire.put(key, value) if value["boxes"] else wire.drop(key)
            try:
                done = await self._office.store.multi(
                    [*self._office.guards(), (key, mark)], [change], DECISIONS
                )
            except (*TROUBLE, Conflict) as exc:
                log.debug("intents on %s stay: %s", name, exc)
            else:
                self._office.shelves.marked(name, done if value["boxes"] else 0)
