"""A small deployment in virtual time, with troubles and a checker of the rules."""

from __future__ import annotations

import math
from random import Random
from typing import Any

import curio

from tests.fakes.cloud import FakeCloud
from tests.fakes.controllers import make_settings, start_controller, stop_controller
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import Network
from tests.fakes.virtual_time import VirtualTime
from tests.fakes.worker import FakeTask, FakeWorker
from tests.versions import Version, is_leading, production
from topazhold.io.http import NoAnswer, NotSent
from topazhold.settings import LaterLimits
from topazhold.wire.codec import unpack

#: Troubles that cut connections.
CUTS = (
    "zones_cut",
    "node_cut",
    "node_off_state",
    "machine_cut",
    "leader_off_zone",
    "node_off_all_but_workers",
    "leader_off_all_but_workers",
)
STEP_S = 0.1
#: How long a question may go unanswered once troubles are over.
KNOWN_S = 75.0
#: How long a job may be left waiting then though there is room, and how often it is looked.
WAITING_S = 90.0
LOOK_S = 5.0
#: Tasks of the largest gangs, and how soon they must begin.
LARGEST = 4
BEGIN_S = 240.0
NAMES = ("hive-0", "hive-1", "hive-2")
ZONES = {"hive-0": "a", "hive-1": "b", "hive-2": "a"}


class World:
    """Everything around the controllers; `broken` lists the rules broken."""

    def __init__(self, clock: VirtualTime, seed: int, capacity: int = 9) -> None:
        self.clock = clock
        self.rng = Random(seed)
        self.net = Network(self.rng)
        self.names = list(NAMES)
        self.zones = ZONES
        self.node_settings = {
            name: make_settings(name, ZONES[name], [(o, ZONES[o]) for o in NAMES if o != name])
            for name in NAMES
        }
        self.settings = self.node_settings[NAMES[0]]
        self.nodes: dict[str, Any] = {}
        self.running: dict[str, Any] = {}
        self.state = FakeKeyValueStore(clock)
        self.cloud = FakeCloud(self, self.rng, capacity)
        self.state.on_change = self.cloud.orders.stored
        self.net.hosts[FakeKeyValueStore.HOST] = self.state.handle
        self.net.hosts[FakeCloud.HOST] = self.cloud.handle
        self.specs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.results: set[tuple[str, int]] = set()
        self.told: dict[str, str] = {}
        self.cancel_asked: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.broken: list[str] = []
        self.notes: list[str] = []
        self.starts = 0
        self.submitted_at: dict[str, float] = {}
        self.began_at: dict[str, float] = {}  # jobs, by the start of their first task
        self.answered_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}  # jobs, by when a user was first told of the end
        self.asking: set[str] = set()  # jobs whose users still ask
        self.calm_at: float | None = None
        self.could_start_since: dict[str, float] = {}
        self._looked_at = 0.0
        self.refusals: dict[int, int] = {}
        self.frozen: dict[str, float] = {}  # controllers that stand still, until when
        self.work_s = 0.0  # what each message, in or out, keeps a controller busy
        self.peers_refuse = False
        self.versions: dict[str, Version] = {}  # controllers of another version than the current
        self.peer_messages: dict[str, list[tuple[Any, ...]]] = {}  # by tag, the last ones
        self.services = 0.0  # share of the jobs that are services
        self.cancel_at_end = 0.0  # share of the jobs that end
        self.ending: list[str] = []
        self.cancelled_at_end = 0
        self.odd_answers: dict[str, set[int]] = {}

    async def thawed(self, name: str) -> None:
        """Wait while a controller stands still, or is busy with what came before; its
        clocks run on."""
        while self.clock.now < self.frozen.get(name, 0.0):
            await curio.sleep(self.frozen[name] - self.clock.now)
        if self.work_s:
            self.frozen[name] = self.clock.now + self.work_s

    def note(self, text: str) -> None:
        self.notes.append(f"{self.clock.now - 1000:8.2f} {text}")

    def violate(self, rule: str, text: str) -> None:
        self.broken.append(rule)
        self.note(f"BROKEN {rule}: {text}")

    def leaders(self) -> list[str]:
        """The controllers that have been elected; several while one does not know better."""
        return [name for name, node in self.nodes.items() if is_leading(node)]

    # -- what workers tell the world ---------------------------------------

    def launched(self, worker: FakeWorker, task_name: str) -> None:
        """A launch is carried out."""
        self.cloud.orders.launched(worker, task_name)

    def started(self, worker: FakeWorker, task: FakeTask) -> None:
        """A task has its image: the moment that the rules look at."""
        self.starts += 1
        self.began_at.setdefault(task.job, self.clock.now)
        task_name = task.task_name
        for other in self.cloud.workers.values():
            for there in other.present():
                if there is not task and there.task_name == task_name:
                    self.violate("ran_twice", f"{task_name} on {worker.name} and {other.name}")
        spec = task.spec
        self._check_place(worker, task)
        if not spec["drones"] and worker.spot:
            self.violate("wrong_place", f"{task_name} on a spot machine")

    def _check_place(self, worker: FakeWorker, task: FakeTask) -> None:
        spec = task.spec
        if spec.get("apiary") and worker.zone != spec["apiary"]:
            self.violate("wrong_place", f"{task.task_name} in {worker.zone}")
        zones: list[str] = []
        for other in self.cloud.workers.values():
            zones += [
                other.zone
                for there in other.present()
                if there.job == task.job and there is not task
            ]
        if spec["same_place"] and any(zone != worker.zone for zone in zones):
            self.violate("wrong_place", f"{task.task_name} not in its job's zone")
        if spec["scatter"] and zones.count(worker.zone) + 1 > (spec["frames"] + 1) // 2:
            self.violate("wrong_place", f"{task.task_name}: too many in {worker.zone}")

    def runs_for(self, task: FakeTask) -> float:
        """How long a task runs, once it runs; a replica does not end."""
        if task.spec["shape"] == "daemon":
            return math.inf
        return self.run_s[task.job]

    def peers(self, task: FakeTask) -> list[tuple[FakeWorker, FakeTask]]:
        return [
            (worker, there)
            for worker in self.cloud.workers.values()
            for there in worker.tasks.values()
            if there.job == task.job and there.attempt == task.attempt
        ]

    def gather(self, worker: FakeWorker, task: FakeTask) -> None:
        """A gang runs once all its tasks are there."""
        ready = [t for _, t in self.peers(task) if t.state == "gathering"]
        if len({t.index for t in ready}) == task.spec["frames"]:
            for owner, there in self.peers(task):
                if there.state == "gathering":
                    there.state = "running"
                    there.left = self.runs_for(task)
                    owner.changed = True
        elif self.clock.now - task.gathered_at > self.settings.cluster.workers.gang_wait_s:
            worker._end(task, "incomplete")

    def complete(self, worker: FakeWorker, task: FakeTask) -> None:
        self._complete(worker, task)
        if self.cancel_at_end and self.rng.random() < self.cancel_at_end:
            if all((task.job, i) in self.results for i in range(task.spec["frames"])):
                self.ending.append(task.job)

    async def cancel_ending(self) -> None:
        """Jobs are called off at the very moment at which they end."""
        while self.ending:
            job = self.ending.pop()
            self.cancel_asked.add(job)
            self.cancelled_at_end += 1
            await curio.spawn(self._cancel_once, job, daemon=True)

    async def _cancel_once(self, job: str) -> None:
        await curio.sleep(self.rng.choice([0.0, 0.1, 0.5, 1.0]))
        status, body = await self.ask("POST", f"/api/jobs/{job}/cancel", {}, 5.0)
        self.hear(job, status, body, False)

    def _complete(self, worker: FakeWorker, task: FakeTask) -> None:
        if task.spec["shape"] == "daemon":
            worker._end(task, "done")
            return
        if task.spec["shape"] != "gang":
            self.results.add((task.job, task.index))
            worker._end(task, "done")
            return
        running = [(w, t) for w, t in self.peers(task) if t.state == "running"]
        if len(running) == task.spec["frames"]:
            for owner, there in running:
                self.results.add((there.job, there.index))
                owner._end(there, "done")
        else:
            worker._end(task, "peers")

    # -- the checker ---------------------------------------------------------

    def check(self) -> None:
        """Rules that hold at every moment."""
        used: dict[str, float] = {}
        for worker in self.cloud.workers.values():
            for task in worker.present():
                used[task.spec["crew"]] = used.get(task.spec["crew"], 0.0) + task.spec["cards"]
                at = self.cancelled_at.get(task.job)
                cancel_s = self.settings.cluster.workers.cancel_s
                if at is not None and self.clock.now - at > cancel_s + 2 * STEP_S:
                    self.violate("ran_cancelled", f"{task.task_name} on {worker.name}")
        for team in self.settings.cluster.teams:
            if used.get(team.name, 0.0) > team.gpus_max + 1e-6:
                self.violate("quota", f"{team.name} uses {used[team.name]}")

    def check_known(self) -> None:
        """Once all troubles are over, every accepted job is answered for."""
        if self.calm_at is None:
            return
        for job in self.asking & self.told.keys():
            last = max(self.calm_at, self.answered_at.get(job, 0.0))
            if self.clock.now - last > KNOWN_S:
                self.violate("forgotten", f"{job}: no question answered for {KNOWN_S} s")
                self.asking.discard(job)

    def check_waiting(self) -> None:
        """Once all troubles are over, no job waits while there is room for it."""
        if self.calm_at is None or self.clock.now < self.calm_at:
            return
        if self.clock.now - self._looked_at < LOOK_S:
            return
        self._looked_at = self.clock.now
        there: set[tuple[str, int]] = set()
        used: dict[str, float] = {}
        for worker in self.cloud.workers.values():
            for task in worker.tasks.values():
                if task.state != "ended":
                    there.add((task.job, task.index))
                    team_name = task.spec["crew"]
                    used[team_name] = used.get(team_name, 0.0) + task.spec["cards"]
        for job in self.asking & self.told.keys():
            if self._could_start(job, there, used):
                since = self.could_start_since.setdefault(job, self.clock.now)
                if self.clock.now - since > WAITING_S:
                    self.violate("left_waiting", job)
                    self.could_start_since[job] = self.clock.now
            else:
                self.could_start_since.pop(job, None)

    def _could_start(self, job: str, there: set[tuple[str, int]], used: dict[str, float]) -> bool:
        """Whether a task of an array, or a whole gang, waits though there is room."""
        spec = self.specs[job]
        waiting = [
            index
            for index in range(spec["frames"])
            if (job, index) not in there and (job, index) not in self.results
        ]
        if not waiting or spec["lane"] == "broken" or self.told[job] in ("done", "aborted"):
            return False
        gang = spec["shape"] == "gang"
        if gang and len(waiting) < spec["frames"]:
            return False
        limit = next(t.gpus_max for t in self.settings.cluster.teams if t.name == spec["crew"])
        needed = len(waiting) if gang else 1
        if used.get(spec["crew"], 0.0) + needed * spec["cards"] > limit + 1e-6:
            return False
        slots: dict[str, int] = {}
        for worker in self.cloud.workers.values():
            if not worker.takes(spec):
                continue
            slots[worker.zone] = slots.get(worker.zone, 0) + worker.slots(spec)
        if not gang and (spec["same_place"] or spec["scatter"]):
            return False  # its other tasks may bind it to a zone
        if spec["scatter"]:
            half = (spec["frames"] + 1) // 2
            slots = {zone: min(half, count) for zone, count in slots.items()}
        found = max(slots.values(), default=0) if spec["same_place"] else sum(slots.values())
        return found >= needed

    def check_shares(self) -> None:
        """At a day's end: no class, team or largest size starves."""
        accepted = [job for job in self.told if job not in self.cancel_asked]
        groups: dict[str, list[str]] = {}
        for job in accepted:
            spec = self.specs[job]
            if spec["lane"] != "broken":
                groups.setdefault(f"class {spec['lane']}", []).append(job)
                groups.setdefault(f"team {spec['crew']}", []).append(job)
                if spec["shape"] == "gang" and spec["frames"] == LARGEST:
                    groups.setdefault("largest", []).append(job)
        for name, jobs in groups.items():
            served = [job for job in jobs if job in self.began_at]
            if name == "largest":
                served = [
                    job for job in served if self.began_at[job] - self.submitted_at[job] <= BEGIN_S
                ]
            if 2 * len(served) < len(jobs):
                self.violate("starved", f"{name}: {len(served)} of {len(jobs)}")

    def hear(
        self, job: str, status: int, body: Any, submitted: bool, sent: float | None = None
    ) -> None:
        """A user got an answer about a job. To a question that was `sent` before the user
        was told of its end, an older answer is no fault."""
        before = self.told.get(job)
        if sent is not None and sent < self.ended_at.get(job, 0.0):
            return
        if status in (200, 201):
            self.answered_at[job] = self.clock.now
        if status == 404 and before is not None:
            self.violate("forgotten", job)
        if submitted and status in (400, 422) and before is not None:
            self.violate("forgotten", f"{job} refused on repeat")
        if status not in (200, 201):
            return
        stage = body["stage"]
        if job not in self.specs:
            self.violate("invented", job)
            return
        if before in ("done", "aborted") and stage != before:
            self.violate("went_back", f"{job}: {before}, then {stage}")
        if stage == "aborted" and job not in self.cancel_asked:
            self.violate("went_back", f"{job} aborted by nobody")
        if stage == "done":
            tasks = self.specs[job]["frames"]
            if any((job, index) not in self.results for index in range(tasks)):
                self.violate("not_done", job)
        if stage == "aborted":
            self.cancelled_at.setdefault(job, self.clock.now)
        if before not in ("done", "aborted"):
            self.told[job] = stage
            if stage in ("done", "aborted"):
                self.ended_at[job] = self.clock.now

    # -- users -----------------------------------------------------------------

    def new_spec(self, number: int) -> dict[str, Any]:
        rng = self.rng
        gang = rng.random() < 0.4
        tasks = rng.choice([1, 2, 3, 4]) if gang else rng.choice([1, 3, 6, 12])
        gpus = rng.choice([1.0, 2.0])
        return {
            "id": f"wk-{number:06d}",
            "lane": rng.choice(["train", "fill"]),
            "crew": rng.choice(["red", "blue"]),
            "shape": "gang" if gang else "batch",
            "urgency": rng.choice(["urgent", "normal", "best_effort"]),
            "frames": tasks,
            "vcpus": 4.0,
            "cards": gpus,
            "ram_gb": 8.0,
            "comb": f"img-{rng.randrange(4)}",
            "image_gb": rng.uniform(1.0, 6.0),
            "breeds": rng.choice([None, ["b1", "b9"]]),
            "apiary": rng.choice([None, None, None, "a", "b"]),
            "same_place": rng.random() < 0.4,
            "scatter": False,
            "drones": rng.random() < 0.5,
            "forage_s": 8.0,
            "cap_s": rng.choice([0.0, 5.0]),
            "seal_s": 1.0,
            "bloom_s": None,
        }

    def service_fields(self) -> dict[str, Any]:
        """What a service has instead of an array's or a gang's fields."""
        return {
            "lane": "serve",
            "shape": "daemon",
            "urgency": "critical",
            "frames": self.rng.choice([2, 3, 4]),
            "vcpus": 1.0,
            "cards": self.rng.choice([0.0, 0.0, 1.0]),
            "ram_gb": 2.0,
            "image_gb": 1.0,
            "apiary": None,
            "same_place": False,
            "drones": False,
            "forage_s": 0.0,
            "cap_s": 0.0,
            "seal_s": 0.0,
        }

    async def ask(self, method: str, path: str, body: Any, timeout_s: float) -> tuple[int, Any]:
        up = [name for name in self.names if name in self.nodes]
        if not up:
            await curio.sleep(0.5)
            return 0, None
        name = self.rng.choice(up)
        try:
            status, data = await self.net.ask("user", name, method, path, body, timeout_s)
        except (NotSent, NoAnswer):
            return 0, None
        if method == "POST":
            # A repeat of a request that was carried out, up to a lease and more later.
            await self.net.copy("user", up, method, path, body)
        return status, unpack(data) if data else None

    async def user(self, number: int) -> None:
        """Submit a job until it is accepted, poll it, perhaps cancel it."""
        rng = self.rng
        spec = self.new_spec(number)
        if not spec["same_place"] and spec["apiary"] is None and rng.random() < 0.5:
            spec["scatter"] = True
        service = self.services > 0 and rng.random() < self.services
        if service:
            spec.update(self.service_fields())
        if rng.random() < 0.05:
            spec["lane"] = "broken"
        job = spec["id"]
        self.specs[job] = spec
        self.submitted_at[job] = self.clock.now
        self.asking.add(job)
        self.run_s[job] = 45.0 if rng.random() < 0.1 else rng.uniform(2.0, 15.0)
        cancel_at = self.clock.now + rng.uniform(1.0, 30.0) if rng.random() < 0.25 else None
        if spec["lane"] == "broken":
            cancel_at = self.clock.now + 25.0
        elif service:
            cancel_at = self.clock.now + rng.uniform(20.0, 120.0)
        accepted = False
        while self.told.get(job) not in ("done", "aborted"):
            if not accepted:
                status, body = await self.ask("POST", "/api/jobs", spec, 5.0)
                self.refusals[status] = self.refusals.get(status, 0) + 1
                self.hear(job, status, body, True)
                accepted = status in (200, 201)
                await curio.sleep(rng.uniform(0.5, 1.5))
                continue
            if cancel_at is not None and self.clock.now > cancel_at:
                self.cancel_asked.add(job)
                status, body = await self.ask("POST", f"/api/jobs/{job}/cancel", {}, 5.0)
            elif rng.random() < 0.05:
                status, body = await self.ask("POST", "/api/jobs", spec, 5.0)
            else:
                status, body = await self.ask("GET", f"/api/jobs/{job}", None, 2.0)
            self.hear(job, status, body, False)
            await curio.sleep(rng.uniform(0.5, 3.0))
        self.asking.discard(job)
        for _ in range(3):  # a final answer stays
            await curio.sleep(rng.uniform(1.0, 20.0))
            status, body = await self.ask("GET", f"/api/jobs/{job}", None, 2.0)
            self.hear(job, status, body, False)

    async def stranger(self) -> None:
        """Asks about jobs that nobody submitted."""
        while True:
            await curio.sleep(3.0)
            number = 900000 + self.rng.randrange(1000)
            status, body = await self.ask("GET", f"/api/jobs/wk-{number}", None, 2.0)
            self.hear(f"wk-{number}", status, body, False)

    async def odd_requests(self, for_s: float) -> None:
        """Repeats of unfinished jobs, cancels of jobs that are done, jobs that can't be."""
        end = self.clock.now + for_s
        number = 700000
        while self.clock.now < end:
            await curio.sleep(self.rng.uniform(0.2, 1.0))
            number += 1
            known = sorted(self.told)
            kind = self.rng.choice(["repeat", "odd_repeat", "cancel_done", "huge", "lacking"])
            if kind in ("huge", "lacking"):
                spec = self.new_spec(number)
                if kind == "huge":
                    spec["cards"] = 5.0
                else:
                    del spec[self.rng.choice(["crew", "frames", "cards", "seal_s", "drones"])]
                status, _ = await self.ask("POST", "/api/jobs", spec, 5.0)
                if status in (200, 201):
                    self.violate("invented", f"{kind} job {spec['id']} accepted")
            elif not known:
                continue
            else:
                job = self.rng.choice(known)
                if kind == "cancel_done" and self.told[job] != "done":
                    continue
                path = f"/api/jobs/{job}/cancel" if kind == "cancel_done" else "/api/jobs"
                spec = {} if kind == "cancel_done" else dict(self.specs[job])
                if kind == "odd_repeat":
                    spec.pop(self.rng.choice(["crew", "frames", "cards"]))
                status, body = await self.ask("POST", path, spec, 5.0)
                self.hear(job, status, body, kind != "cancel_done")
            self.odd_answers.setdefault(kind, set()).add(status)

    # -- troubles ----------------------------------------------------------------

    async def trouble(self, kinds: list[str]) -> None:
        """Troubles of the given kinds, one after another and overlapping."""
        rng = self.rng
        while True:
            await curio.sleep(rng.uniform(2.0, 10.0))
            await curio.spawn(self.happen, rng.choice(kinds), daemon=True)

    async def happen(self, kind: str) -> None:
        rng = self.rng
        self.note(f"trouble: {kind}")
        for_s = rng.uniform(3.0, 20.0)
        name = rng.choice(self.names)
        if kind == "crash":
            await self.crash([name])
        elif kind == "crash_all":
            await self.crash(list(self.nodes))
        elif kind == "roll":
            for each in self.names:
                await self.crash([each])
                await curio.sleep(2.0)
        elif kind == "crash_leader":
            await self.crash(self.leaders())
        elif kind == "crash_election":
            # Whoever is elected ends at once, and is back within a moment.
            for _ in range(3):
                await self.crash(
                    self.leaders(),
                    [0.02, 0.1, 0.3],
                )
                await curio.sleep(rng.uniform(0.0, 2.0))
        elif kind == "state_down":
            self.state.set_down(True)
            await curio.sleep(for_s)
            self.state.set_down(False)
        elif kind == "state_refused":
            self.state.refused.add(name)
            await curio.sleep(for_s)
            self.state.refused.discard(name)
        elif kind == "leader_refused":
            self.state.refused |= set(self.leaders())
            await curio.sleep(for_s)
            self.state.refused.clear()
        elif kind in CUTS:
            await self.cut(kind, name, for_s)
        elif kind == "odd_requests":
            await self.odd_requests(for_s)
        elif kind == "slow":
            # Leaders get more messages than they have time for; all else is late by less.
            self.work_s = rng.uniform(0.03, 0.08)
            await curio.sleep(2 * for_s)
            self.work_s = 0.0
        elif kind == "state_one_way":
            # The state service hears some controller, or it the service, and not both.
            leading = self.leaders()
            lost = {(rng.choice([*leading, name]), FakeKeyValueStore.HOST)}
            if rng.random() < 0.5:
                lost = {(b, a) for a, b in lost}
            self.net.lost |= lost
            await curio.sleep(2 * for_s)
            self.net.lost -= lost
        elif kind == "cloud_held":
            self.net.held_orders = 0.4
            await curio.sleep(for_s)
            self.net.held_orders = 0.0
        elif kind == "cancel_at_end":
            self.cancel_at_end = 0.3
            await curio.sleep(for_s)
            self.cancel_at_end = 0.0
        elif kind == "late_writes":
            self.net.late_writes = 0.2
            await curio.sleep(for_s)
            self.net.late_writes = 0.0
        elif kind == "refused_then_down":
            leading = self.leaders()
            self.state.refused |= set(leading)
            await curio.sleep(rng.uniform(0.2, 2.0))
            self.state.set_down(True)
            self.state.refused -= set(leading)
            await curio.sleep(1.2 * self.settings.cluster.workers.cancel_s)
            self.state.set_down(False)
        elif kind == "late_copies":
            self.net.copies = 0.3
            await curio.sleep(for_s)
            self.net.copies = 0.0
        elif kind in ("freeze", "freeze_leader"):
            leaders = self.leaders()
            if kind == "freeze_leader":
                name = leaders[0] if leaders else name
            self.frozen[name] = self.clock.now + for_s
        elif kind == "peers_refuse":
            self.peers_refuse = True
            await curio.sleep(for_s)
            self.peers_refuse = False
        elif kind == "state_slow":
            self.state.slow_s = 0.4
            await curio.sleep(for_s)
            self.state.slow_s = 0.0
        elif kind in ("mass_hang", "mass_die"):
            workers = [w for w in self.cloud.workers.values() if w.up]
            for worker in rng.sample(workers, len(workers) // 3):
                if kind == "mass_die":
                    worker.die()
                else:
                    worker.hanging_until = self.clock.now + for_s
        elif kind == "deaf_zone":
            zone = rng.choice("ab")
            for worker in self.cloud.workers.values():
                if worker.zone == zone:
                    worker.deaf_until = self.clock.now + for_s
        elif kind == "loss":
            self.net.loss = 0.1
            await curio.sleep(for_s)
            self.net.loss = 0.0
        elif kind == "replicas_end":
            self.end_replicas()
        elif kind == "cloud_down":
            self.cloud.down = True
            await curio.sleep(for_s)
            self.cloud.down = False
        else:
            self.hit_machines(kind, for_s)

    def end_replicas(self) -> None:
        """Some replicas end by themselves, with whatever cause."""
        for worker in self.cloud.workers.values():
            for task in worker.tasks.values():
                if task.spec.get("shape") == "daemon" and task.state == "running":
                    if self.rng.random() < 0.3:
                        worker._end(task, self.rng.choice(["done", "error"]))

    async def cut(self, kind: str, name: str, for_s: float) -> None:
        all_but_workers = (*self.names, FakeKeyValueStore.HOST)
        pairs = {
            "zones_cut": [("a", "b")],
            "node_cut": [(name, z) for z in ("a", "b")]
            + [
                (name, o)
                for o in (*self.names, "user", FakeKeyValueStore.HOST, FakeCloud.HOST)
                if o != name
            ],
            "node_off_state": [(name, FakeKeyValueStore.HOST)],
            "node_off_all_but_workers": [(name, o) for o in all_but_workers if o != name],
            "leader_off_all_but_workers": [
                (n, o)
                for n in self.leaders()
                for o in (*self.names, FakeKeyValueStore.HOST)
                if o != n
            ],
            "leader_off_zone": [(n, "b") for n in self.leaders()],
            "machine_cut": [
                (worker.host, n)
                for worker in list(self.cloud.workers.values())[:2]
                for n in self.names
            ],
        }[kind]
        self.net.holding = self.rng.random() < 0.5
        cuts = {frozenset(pair) for pair in pairs}
        self.net.cuts |= cuts
        await curio.sleep(for_s)
        self.net.cuts -= cuts

    def hit_machines(self, kind: str, for_s: float) -> None:
        workers = [w for w in self.cloud.workers.values() if w.up]
        for worker in self.rng.sample(workers, min(len(workers), self.rng.choice([1, 2]))):
            if kind == "hang":
                worker.hanging_until = self.clock.now + for_s
            elif kind == "deaf":
                worker.deaf_until = self.clock.now + 2 * for_s
            elif kind == "mute":
                worker.mute_until = self.clock.now + for_s
            elif kind == "blink":
                worker.new_session()
            elif kind == "notice":
                worker.gone_at = self.clock.now + self.rng.uniform(2.0, 10.0)
            elif kind == "taken":
                self.cloud.take(worker)
            elif kind == "sick":
                worker.sick = True

    async def crash(self, names: list[str], back_s: list[float] | None = None) -> None:
        for name in names:
            if name in self.nodes:
                await stop_controller(self, name)
        await curio.sleep(self.rng.choice(back_s or [0.05, 0.2, 1.0, 3.0]))
        for name in names:
            if name not in self.nodes:
                await start_controller(self, name)

    # -- the run -----------------------------------------------------------------

    async def steps(self) -> None:
        while True:
            await curio.sleep(STEP_S)
            for worker in list(self.cloud.workers.values()):
                worker.step(STEP_S)
            await self.cancel_ending()
            self.check()
            self.check_known()
            self.check_waiting()
            self.cloud.snapshot()

    async def upgrade(self, after_s: float, later: LaterLimits) -> None:
        """Controllers are replaced one after the other by ones of the current version.

        One that ends before its turn comes back as it was. Once all are new, services are
        asked for, and the state service lowers its limits.
        """
        await curio.sleep(after_s)
        for name in self.rng.sample(self.names, len(self.names)):
            self.versions.pop(name, None)
            await self.crash([name])
            self.note(f"{name} upgraded")
            await curio.sleep(self.rng.uniform(1.0, 8.0))
        self.services = 0.3
        await curio.sleep(self.rng.uniform(0.0, 5.0))
        self.note("limits lowered")
        self.state.lower(later)

    def run_production(self, later: LaterLimits) -> None:
        """All controllers are of the production version; they know what is to come."""
        self.versions = dict.fromkeys(self.names, production())
        self.cloud.orders.judges = False  # production records no orders
        for settings in self.node_settings.values():
            settings.cluster.state.next = later

    async def play(
        self,
        jobs: int,
        trouble_s: float,
        calm_s: float,
        kinds: list[str],
        later: LaterLimits | None = None,
    ) -> None:
        """A day: jobs come while things fail, then a calm time to finish in.

        With `later`, the production version serves at its beginning, and is upgraded.
        """
        if later is not None:
            self.run_production(later)
        for name in self.names:
            await start_controller(self, name)
        for number in range(self.cloud.capacity * 4 // 9):
            await self.cloud.add("ab"[number % 2], False)
        steps = await curio.spawn(self.steps, daemon=True)
        stranger = await curio.spawn(self.stranger, daemon=True)
        troubles = await curio.spawn(self.trouble, kinds, daemon=True) if kinds else None
        if later is not None:
            await curio.spawn(self.upgrade, 0.2 * trouble_s, later, daemon=True)
        users = []
        for number in range(jobs):
            users.append(await curio.spawn(self.user, number, daemon=True))
            await curio.sleep(self.rng.uniform(0.0, 2 * trouble_s / jobs))
        if troubles is not None:
            await troubles.cancel()
        self.note("calm")
        self.calm_at = self.clock.now + 40.0  # what is under way has ended by then
        end = self.clock.now + calm_s
        while self.clock.now < end and not all(user.terminated for user in users):
            await curio.sleep(1.0)
        for task in (steps, stranger, *users):
            await task.cancel()
        self.check_shares()
        for name in list(self.nodes):
            await stop_controller(self, name)

    def unfinished(self) -> list[str]:
        return [job for job in self.specs if self.told.get(job) not in ("done", "aborted")]
