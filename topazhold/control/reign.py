"""A reign: what the queen does besides answering requests."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import curio

from topazhold.control.booking import View
from topazhold.control.cloud import MOST_RELEASED, Cloud, CloudDown, NoCapacity
from topazhold.control.store import (
    DECISIONS,
    LEASES,
    TROUBLE,
    Conflict,
    Store,
    StoreDown,
    StoreUnknown,
    WatchLost,
)
from topazhold.core import records, recovery
from topazhold.core.holds import HOLD_PREFIX, HoldBook
from topazhold.core.jobs import Job, JobState, Run, RunState
from topazhold.core.leadership import QUEEN_KEY
from topazhold.core.machines import Machine
from topazhold.core.preemption import turn
from topazhold.core.realm import Realm
from topazhold.core.renting import MOST_RENTED, Ask
from topazhold.core.search import cut_summary
from topazhold.core.shelves import Shelf, Shelves
from topazhold.io.http import Client, NoAnswer, NotSent
from topazhold.settings import Operator, Settings, address
from topazhold.wire import messages as wire
from topazhold.wire.codec import BadMessage, convert, json_size, read
from topazhold.wire.messages import Breed, Call, Orders, Report

log = logging.getLogger(__name__)

#: Seconds between tries of whatever failed, as a share of the report period.
RETRY_REPORTS = 0.25
#: Shortest times between looks at the clocks of all, and between plans.
TICK_REPORTS = 0.1
PLAN_REPORTS = 0.06
#: Changes that a plan costs at the least, about.
PLAN_WRITES = 2
#: Time left to others after deciding, as a multiple of what it took.
DECIDING_PAUSE = 3.0
#: Waiting gangs and running counts told in the summary.
MOST_TOLD = 60
#: What values may take of a transaction, whose limit is 64 KiB in all.
TXN_BYTES = 48 * 1024
#: Machines of a zone named in its summary, for pivots.
MOST_NAMED = 40
#: Direct commands under way at once.
MOST_STRIKES = 16


class Deposed(Exception):
    """The reign is over."""


class Reign:
    """One reign from the election to its end."""

    def __init__(
        self, settings: Settings, operator: Operator, store: Store, cloud: Cloud,
        book: HoldBook, breeds: dict[str, Breed], crown: int, mark: int, rng: Random,
        now: float, tell: Callable[[tuple[Any, ...]], Awaitable[None]],
        dial: Callable[[tuple[str, int], int], Client],
        assured: Callable[[float], bool],
    ) -> None:  # fmt: skip
        self.node = settings.node_name
        self.crown = crown
        self.mark = mark
        self._store = store
        self._cloud = cloud
        self._breeds = breeds
        self._tell = tell
        self._dial = dial
        self._assured = assured
        self._zones = settings.cluster.zones
        self._operator = operator
        self.realm = Realm(settings, operator, crown, book, rng, now)
        self.realm.breeds = breeds
        self.loaded = False
        self._report_s = settings.cluster.workers.report_s
        self._retry_s = RETRY_REPORTS * self._report_s
        self._block_s = settings.cluster.workers.lease_s
        self._value_limit = int(settings.cluster.state.value_kb * 1024 * 0.9)
        self._txn_ops = settings.cluster.state.txn_ops
        self._wake = curio.Event()
        self._round = curio.Event()  # set, and replaced, at the end of a planning round
        self._sequence = 0
        self._asks = 0
        self._shelves = Shelves(self._value_limit)
        self._striking: set[str] = set()
        self._directs: dict[str, Client] = {}
        self._harvest: dict[str, int] = {}
        self._listed = False  # a machine list has come
        self._deposed = curio.Event()

    def token(self) -> str:
        self._sequence += 1
        return f"q{self.crown}-{self._sequence}"

    def _guards(self) -> list[tuple[str, int]]:
        return [(QUEEN_KEY, self.mark)]

    async def run(self) -> None:
        """Reign until cancelled or deposed."""
        start = await curio.clock()
        while True:
            try:
                await self._load()
                break
            except TROUBLE as exc:
                log.debug("take-over waits: %s", exc)
                await curio.sleep(self._retry_s)
        now = await curio.clock()
        log.info(
            "queen %s crown %d took over in %.2f s: %d jobs, %d machines",
            self.node, self.crown, now - start, len(self.realm.jobs), len(self.realm.machines),
        )  # fmt: skip
        self.loaded = True
        async with curio.TaskGroup(wait=any) as group:
            for loop in (
                self._until_deposed,
                self._plan_loop, self._watch_jobs, self._watch_holds, self._save_loop,
                self._list_loop, self._rent_loop, self._release_loop, self._summary_loop,
                self._strike_loop, self._watch_relays,
            ):  # fmt: skip
                await group.spawn(self._run_loop, loop)
        await self._close()
        if group.exception is not None:
            raise group.exception

    async def _run_loop(self, loop: Callable[[], Awaitable[None]]) -> None:
        try:
            await loop()
        except Deposed as exc:
            log.info("reign %d ends: %s", self.crown, exc)

    async def _until_deposed(self) -> None:
        await self._deposed.wait()

    async def _close(self) -> None:
        for client in self._directs.values():
            await client.close()

    # -- take-over -----------------------------------------------------------

    async def _load(self) -> None:
        """Read holds, jobs and intents before any decision."""
        while not self._breeds:
            await curio.sleep(0.1 * self._retry_s)
        realm = self.realm
        entries, self._harvest[HOLD_PREFIX] = await self._store.entries(HOLD_PREFIX, LEASES)
        realm.book.replace(
            {entry.key[len(HOLD_PREFIX):]: (entry.data, entry.mark) for entry in entries}
        )  # fmt: skip
        live, self._harvest[records.LIVE_PREFIX] = await self._store.entries(
            records.LIVE_PREFIX, LEASES
        )
        self._harvest[records.RELAY_PREFIX] = self._harvest[records.LIVE_PREFIX]
        clock, wall = await curio.clock(), time.time()
        jobs = []
        for entry in live:
            # One odd record must not keep all others from being seen.
            try:
                job = records.read_live(entry.data, entry.mark, wall, clock)
            except (BadMessage, ValueError, TypeError) as exc:
                log.error("%s unreadable: %s", entry.key, exc)
                continue
            if records.parts_of(job) > 1:
                await self._load_parts(job)
            jobs.append(job)
        ons, _ = await self._store.entries(records.ON_PREFIX, LEASES)
        # A take-over that was interrupted is begun anew, this with it: two shelves
        # of one name would overwrite each other's intents.
        self._shelves = Shelves(self._value_limit)
        intents: list[records.Intents] = []
        unreadable: list[str] = []
        for entry in ons:
            found, odd = records.read_on(entry.data)
            intents += found
            unreadable += odd
            names = [each.machine for each in found]
            self._shelves.found(entry.key[len(records.ON_PREFIX):], entry.mark, names)
        for job_id in recovery.missing_jobs([job.id for job in jobs], intents):
            over = await self._store.get(records.over_key(job_id), LEASES)
            if over is not None:
                try:
                    jobs.append(records.read_over(over.data, wall, clock))
                except (BadMessage, ValueError, TypeError) as exc:
                    log.error("%s unreadable: %s", over.key, exc)
        recovery.take_over(realm, jobs, intents, await curio.clock())
        for name in unreadable:
            # Anything may be on it: only its release proves otherwise.
            machine = realm.add_machine(name, "", False, "", await curio.clock())
            realm.release(machine, "its intents are unreadable", await curio.clock())

    async def _load_parts(self, job: Job) -> None:
        prefix = f"{records.PART_PREFIX}{job.id}/"
        parts, _ = await self._store.entries(prefix, LEASES)
        for entry in parts:
            job.load_part(int(entry.key[len(prefix):]), str(entry.data.get("done", "")))

    # -- events ----------------------------------------------------------------

    async def stir(self) -> None:
        """Something changed: plan soon."""
        await self._wake.set()

    async def plan_now(self, limit_s: float) -> None:
        """Let one round of planning pass, so that a report's answer can launch."""
        # An event, not a condition: a condition's lock was lost when two time
        # limits ended in one wait, and planning stood still for good.
        await self._wake.set()
        await curio.ignore_after(limit_s, self._round.wait)

    async def hear(self, rep: Report, direct: bool = False) -> tuple[Machine | None, list[Call]]:
        """A worker's report; the commands for its answer."""
        now = await curio.clock()
        machine = self.realm.report(rep, direct, now)
        if machine is None:
            return None, []
        if not direct and self.realm.wants_plan(machine, now):
            await self.plan_now(0.1 * self._report_s)
        else:
            await self._wake.set()
        if direct:
            return machine, []
        if (rep.flight, rep.tally) != (machine.flight, machine.tally):
            return machine, []  # a newer one was heard while this one waited
        now = await curio.clock()
        # Once the grant may have passed on, another may be queen: she knows of
        # the intents, but nothing new is to begin behind her back.
        return machine, self.realm.answer(machine, rep, now, self._assured(now))

    async def accepted(self, job: Job) -> None:
        if self.loaded:
            self.realm.add_job(job)
            await self._wake.set()

    async def _watch(self, prefix: str, apply: Callable[[str, Any, int], Awaitable[None]]) -> None:
        while True:
            try:
                page = await self._store.watch(prefix, self._harvest[prefix], self._block_s)
            except WatchLost:
                raise Deposed("changes were missed") from None
            except TROUBLE as exc:
                log.debug("watch %s: %s", prefix, exc)
                await curio.sleep(self._retry_s)
                continue
            for event in page.events:
                key, data, mark = wire.event_key(event)
                await apply(key[len(prefix):], data, mark)
            self._harvest[prefix] = max(self._harvest[prefix], page.harvest)
            if page.events:
                await self._wake.set()

    async def _watch_holds(self) -> None:
        async def apply(node: str, data: Any, mark: int) -> None:
            if data is None:
                self.realm.book.lapse(node, mark)
            else:
                self.realm.book.read(node, data, mark)

        await self._watch(HOLD_PREFIX, apply)

    async def _watch_relays(self) -> None:
        async def apply(node: str, data: Any, mark: int) -> None:
            if isinstance(data, dict) and data.get("crown") == self.crown:
                await self.relayed(data.get("reports", []))

        await self._watch(records.RELAY_PREFIX, apply)

    async def relayed(self, reports: Any) -> None:
        """Reports that a follower took in while this node can't be reached."""
        now = await curio.clock()
        for item in reports:
            try:
                rep = convert(item, Report)
            except BadMessage as exc:
                log.debug("relayed report unreadable: %s", exc)
                continue
            self.realm.report(rep, False, now, relayed=True)
        await self._wake.set()

    async def _watch_jobs(self) -> None:
        await self._watch(records.LIVE_PREFIX, self._job_changed)

    async def _job_changed(self, job_id: str, data: Any, mark: int) -> None:
        job = self.realm.jobs.get(job_id)
        if data is None:
            if job is not None and job.state is JobState.LIVE:
                await self._job_over(job_id)
        elif job is None:
            try:
                new = records.read_live(data, mark, time.time(), await curio.clock())
            except (BadMessage, ValueError, TypeError) as exc:
                log.error("job %s unreadable: %s", job_id, exc)
                return
            self.realm.add_job(new)
        else:
            job.mark = max(job.mark, mark)

    async def _job_over(self, job_id: str) -> None:
        """A live job's key is gone: find out how it ended."""
        while True:
            try:
                entry = await self._store.get(records.over_key(job_id), DECISIONS)
                break
            except TROUBLE:
                await curio.sleep(self._retry_s)
        now = await curio.clock()
        done = entry is not None and records.over_stage(entry.data) == wire.DONE
        at = now
        if entry is not None:
            at = now - max(0.0, time.time() - float(entry.data.get("at", time.time())))
        job = self.realm.jobs.get(job_id)
        self.realm.job_over(job_id, done, at, now)
        if job is not None:
            await self._drop_parts(job)

    async def _drop_parts(self, job: Job) -> None:
        """Done marks of a large job that is over are of no use any more."""
        keys = [records.part_key(job.id, part) for part in range(1, records.parts_of(job))]
        for start in range(0, len(keys), self._txn_ops):
            drops = [wire.drop(key) for key in keys[start: start + self._txn_ops]]
            try:
                await self._store.multi(self._guards(), drops, DECISIONS)
            except (*TROUBLE, Conflict) as exc:
                log.debug("parts of %s stay: %s", job.id, exc)
                return

    # -- planning --------------------------------------------------------------

    async def _plan_loop(self) -> None:
        ticked_at = -1e9
        while True:
            await curio.ignore_after(self._retry_s, self._wake.wait)
            self._wake.clear()
            busy = 0.0  # time spent on deciding, waits for the state service left out
            for _ in range(4):
                # A plan that can't be written now is made anew later, with more
                # of it in one transaction.
                await self._store.turn(DECISIONS, PLAN_WRITES)
                now = await curio.clock()
                if now - ticked_at > TICK_REPORTS * self._report_s:
                    ticked_at = now
                    self.realm.tick(now)
                runs = self.realm.plan(now)
                busy += time.monotonic() - now
                if not runs:
                    break
                await self._write_intents(runs)
            passed, self._round = self._round, curio.Event()
            await passed.set()
            # Every report wakes this loop. Without a pause that grows with the
            # cost of a round, a queen of many machines did nothing but plan.
            await curio.sleep(max(PLAN_REPORTS * self._report_s, busy * DECIDING_PAUSE))

    async def _write_intents(self, runs: list[Run]) -> None:
        """Commit the intents of a plan, a few machines at a time, before any launch."""
        machines = self.realm.machines
        by_shelf: dict[str, list[Run]] = {}
        for run in runs:
            machine = machines.get(run.machine)
            if machine is not None:
                by_shelf.setdefault(self._shelves.of(machine, machines).name, []).append(run)
        names = list(by_shelf)
        most = max(1, min(self._txn_ops // 2, int(TXN_BYTES // self._value_limit)))
        for start in range(0, len(names), most):
            batch = [run for name in names[start: start + most] for run in by_shelf[name]]
            await self._write_batch(batch)

    async def _write_batch(self, batch: list[Run]) -> None:
        realm = self.realm
        token = self.token()
        guards = self._guards()
        then = []
        shelves = {
            self._shelves.of(realm.machines[run.machine], realm.machines)
            for run in batch if run.machine in realm.machines
        }  # fmt: skip
        values = self._shelves.values(shelves, realm.machines, token)
        if not values:
            realm.intents_failed(batch, await curio.clock())
            return
        for name, (mark, value) in values.items():
            guards.append((records.on_key(name), mark))
            then.append(wire.put(records.on_key(name), value))
        for job in {run.job.id: run.job for run in batch}.values():
            # A job that was cancelled or finished in between launches nothing.
            guards.append((records.live_key(job.id), job.mark))
        guards = guards[: self._txn_ops * 4]
        while True:
            try:
                mark = await self._store.commit(
                    guards, then, DECISIONS, records.on_key(next(iter(values))), token,
                    give_up_s=self._block_s,
                )
                break
            except Conflict as exc:
                log.debug("intents not written, changed: %s", exc)
                realm.intents_failed(batch, await curio.clock())
                await self._repair(exc.keys)
                return
            except StoreDown as exc:
                log.debug("intents not written: %s", exc)
                realm.intents_failed(batch, await curio.clock())
                await curio.sleep(self._retry_s)
                return
            except (StoreUnknown, BadMessage):
                # Still open: nothing else may be planned for these tasks.
                continue
        for name in values:
            self._shelves.marked(name, mark)
        realm.intents_written(batch, await curio.clock())

    async def _repair(self, keys: list[str]) -> None:
        """Guards failed: learn what changed."""
        if QUEEN_KEY in keys:
            raise Deposed("the leadership mark has changed")
        for key in keys:
            try:
                if key.startswith(records.LIVE_PREFIX):
                    await self._reread_job(key[len(records.LIVE_PREFIX):])
                elif key.startswith(records.ON_PREFIX):
                    entry = await self._store.get(key, DECISIONS)
                    mark = entry.mark if entry is not None else 0
                    self._shelves.marked(key[len(records.ON_PREFIX):], mark)
            except TROUBLE as exc:
                log.debug("repair of %s: %s", key, exc)

    async def _reread_job(self, job_id: str) -> None:
        entry = await self._store.get(records.live_key(job_id), DECISIONS)
        if entry is None:
            await self._job_over(job_id)
        else:
            job = self.realm.jobs.get(job_id)
            if job is not None:
                job.mark = entry.mark

    # -- saving -----------------------------------------------------------------

    async def _save_loop(self) -> None:
        while True:
            await curio.sleep(min(0.25, self._retry_s))
            realm = self.realm
            while realm.finished:
                await self._finish(realm.finished[0])
                realm.finished.pop(0)
            now = await curio.clock()
            for job in list(realm.jobs.values()):
                if job.unsaved and job.state is JobState.LIVE and not job.complete:
                    if now - job.saved_at > self._block_s:
                        await self._save(job, now)

    async def _finish(self, job: Job) -> None:
        """Move a complete job to `over`; only then may anybody be told."""
        live, over = records.live_key(job.id), records.over_key(job.id)
        while job.state is JobState.LIVE:
            token = self.token()
            spec = records.live_value(job, token)["spec"]
            value = records.over_value(spec, wire.DONE, time.time(), token)
            try:
                await self._store.commit(
                    [*self._guards(), (live, job.mark), (over, 0)],
                    [wire.drop(live), wire.put(over, value)],
                    LEASES, over, token, give_up_s=self._block_s,
                )  # fmt: skip
            except Conflict as exc:
                await self._repair(exc.keys)
                if over in exc.keys:
                    await self._job_over(job.id)
                continue
            except TROUBLE as exc:
                log.debug("job %s not moved yet: %s", job.id, exc)
                await curio.sleep(self._retry_s)
                continue
            now = await curio.clock()
            self.realm.job_over(job.id, True, now, now)
            await self._drop_parts(job)

    async def _save(self, job: Job, now: float) -> None:
        """Save done marks; the workers' own record is cleared only after."""
        token = self.token()
        live = records.live_key(job.id)
        parts = sorted(job.unsaved)[: self._txn_ops - 1]
        then = [wire.put(live, records.live_value(job, token))]
        for part in parts:
            if part > 0:
                data = {"by": token, "done": job.part_text(part)}
                then.append(wire.put(records.part_key(job.id, part), data))
        counts = {part: job.part_text(part) for part in parts}
        try:
            job.mark = await self._store.commit(
                [*self._guards(), (live, job.mark)], then, DECISIONS, live, token,
                give_up_s=self._block_s,
            )
        except Conflict as exc:
            await self._repair(exc.keys)
            return
        except TROUBLE as exc:
            log.debug("job %s not saved: %s", job.id, exc)
            return
        job.saved_at = now
        for part, text in counts.items():
            if job.part_text(part) == text:
                job.unsaved.discard(part)

    # -- direct commands -----------------------------------------------------------

    async def _strike_loop(self) -> None:
        """Send kills directly; the next report's answer repeats them."""
        while True:
            await curio.sleep(0.05 * self._report_s)
            now = await curio.clock()
            for name in sorted(self.realm.strikes - self._striking):
                self.realm.strikes.discard(name)
                machine = self.realm.machines.get(name)
                if machine is None or machine.endpoint is None:
                    continue
                if len(self._striking) >= MOST_STRIKES:
                    self.realm.strikes.add(name)
                    break
                calls = self.realm.direct_calls(machine)
                if calls or self.realm.needs_herald(machine, now):
                    self._striking.add(name)
                    await curio.spawn(self._strike, machine, calls, daemon=True)

    async def _strike(self, machine: Machine, calls: list[Call]) -> None:
        try:
            await self.direct(machine, calls)
        except Deposed as exc:
            log.info("reign %d ends: %s", self.crown, exc)
            await self._deposed.set()
        finally:
            self._striking.discard(machine.name)

    async def direct(self, machine: Machine, calls: list[Call]) -> None:
        """POST /commands; whatever comes back is a report."""
        assert machine.endpoint is not None
        try:
            client = self._directs.get(machine.endpoint)
            if client is None:
                client = self._directs[machine.endpoint] = self._dial(
                    address(machine.endpoint), 1
                )
            orders = Orders(self.crown, calls, machine.flight)
            status, body = await client.ask("POST", wire.COMMANDS_PATH, orders, self._report_s)
            if status in (200, 409):
                rep = read(body, Report)
                if rep.crown > self.crown:
                    raise Deposed("a worker knows a higher crown")
                await self.hear(rep, direct=True)
        except (NotSent, NoAnswer, BadMessage, ValueError) as exc:
            log.debug("direct to %s: %s", machine.name, exc)

    # -- the cloud ------------------------------------------------------------------

    async def _list_loop(self) -> None:
        while True:
            asked = await curio.clock()
            try:
                boxes = await self._cloud.machines()
            except CloudDown as exc:
                log.debug("machine list: %s", exc)
            else:
                self.realm.listed(boxes, asked, await curio.clock())
                self._listed = True
            await curio.sleep(max(self._report_s, 0.5 * self.realm.lag_s))

    async def _rent_loop(self) -> None:
        while not self._listed:
            # A new queen knows too little of what she has.
            await curio.sleep(self._retry_s)
        if self.crown > 1:
            # What her predecessor rented last is not even listed yet.
            await curio.sleep(self.realm.lag_s)
        while True:
            now = await curio.clock()
            asks = self.realm.rent(now) if self._assured(now) else []
            for ask in asks:
                await self._rent(ask)
            more = sum(ask.count for ask in asks) >= MOST_RENTED
            await curio.sleep(self._retry_s if more else self._report_s)

    async def _rent(self, ask: Ask) -> None:
        self._asks += 1
        # The crown makes the name this reign's own: it is never used again.
        name = f"{self.node}-{self.crown}-{self._asks}"
        for _ in range(6):
            try:
                names = await self._cloud.rent(name, ask)
            except NoCapacity:
                self.realm.refusals.refused(
                    ask.breed, ask.zone, ask.spot, 4 * self._report_s, await curio.clock()
                )
                return
            except CloudDown as exc:
                log.debug("rental %s: %s", name, exc)
                await curio.sleep(self._report_s)
                continue
            now = await curio.clock()
            for box in names:
                self.realm.add_machine(box, ask.zone, ask.spot, ask.breed, now)
            kind = "spot" if ask.spot else "ordinary"
            log.info("rented %d of %d %s in %s", len(names), ask.count, kind, ask.zone)
            if len(names) < ask.count:
                self.realm.refusals.refused(
                    ask.breed, ask.zone, ask.spot, 4 * self._report_s, now
                )
            else:
                self.realm.refusals.granted(ask.breed, ask.zone, ask.spot)
            return

    async def _release_loop(self) -> None:
        while True:
            await curio.sleep(self._retry_s)
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
                self.realm.machine_gone(name, now)
                shelf = self._shelves.gone(name)
                if shelf is not None and shelf.mark:
                    stale.add(shelf)
            await self._wake.set()
            await self._tidy(stale)

    def _to_release(self, now: float) -> list[str]:
        """Names to release now.

        A queen who can't be sure to be queen must not take machines away that
        another may be using. Only a cancelled task has to go at any price.
        """
        names = sorted(self.realm.releases)
        if not self._assured(now):
            names = [name for name in names if self.realm.must_go(name)]
        return names[:MOST_RELEASED]

    async def _tidy(self, shelves: set[Shelf]) -> None:
        """Intents of machines that are gone; a new queen would find that out by herself."""
        values = self._shelves.values(shelves, self.realm.machines, self.token())
        for name, (mark, value) in values.items():
            key = records.on_key(name)
            change = wire.put(key, value) if value["boxes"] else wire.drop(key)
            try:
                done = await self._store.multi(
                    [*self._guards(), (key, mark)], [change], DECISIONS
                )
            except (*TROUBLE, Conflict) as exc:
                log.debug("intents on %s stay: %s", name, exc)
            else:
                self._shelves.marked(name, done if value["boxes"] else 0)

    # -- summaries --------------------------------------------------------------------

    def view(self, now: float) -> View:
        """The fleet for this node's own searches, fresh."""
        view = View()
        view.at = now
        view.crown = self.crown
        view.directory = self.realm.directory()
        largest = self.realm.largest_gang(now)
        view.caches = {zone: self.realm.offers(zone, now, largest) for zone in self._zones}
        return view

    def summary(self, now: float) -> dict[str, Any]:
        """What the other controllers are told: a value per zone, one for jobs."""
        realm = self.realm
        values: dict[str, Any] = {}
        largest = realm.largest_gang(now)
        directory = realm.directory()
        for zone in self._zones:
            cache = [offer.pack() for offer in realm.offers(zone, now, largest)]
            names = [name for name, of_zone in directory if of_zone == zone]
            values[zone] = {"cache": cache, "all": names[:MOST_NAMED]}
        waiting = [
            [job.id, job.node, *turn(job), realm.needs_hold(job)]
            for job in realm.waiting_gangs(now)[:MOST_TOLD]
        ]
        running: dict[str, int] = {}
        for job in realm.jobs.values():
            if job.state is JobState.LIVE and len(running) < MOST_TOLD:
                count = sum(run.state is RunState.RUNNING for run in job.runs.values())
                if count:
                    running[job.id] = count
        values[""] = {"crown": self.crown, "waiting": waiting, "running": running}
        return values

    async def _summary_loop(self) -> None:
        """Peers hear every report period; the state service has it as configured."""
        written_at = -1e9
        while True:
            now = await curio.clock()
            values = self.summary(now)
            await self._tell(("summary", self.crown, values))
            if now - written_at >= self._operator.summary_s:
                written_at = now
                limit = self._value_limit - 1024
                then = [wire.put(records.SUMMARY_PREFIX + "*", values[""])]
                for zone in self._zones:
                    cache = cut_summary(values[zone]["cache"], limit, json_size)
                    value = {**values[zone], "cache": cache}
                    then.append(wire.put(records.SUMMARY_PREFIX + zone, value))
                try:
                    await self._store.multi(self._guards(), then, DECISIONS)
                except Conflict as exc:
                    await self._repair(exc.keys)
                except TROUBLE as exc:
                    log.debug("summary not written: %s", exc)
            await curio.sleep(max(1.0, 0.5 * self._report_s))
