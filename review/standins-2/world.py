"""Stand-ins for the state service, the cloud, the workers and the users, in one process.

They follow the users' protocol page. The controllers are started beside them as separate
processes, with the command of the deploy file, on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import atexit
import itertools
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "target" / "deps"))

try:
    import cbor2  # noqa: E402
except ImportError:
    print("target/deps has no cbor2: run the build of the deploy file first")
    sys.exit(2)

LOOPBACK = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
EPSILON = 1e-6
#: Seconds that a run may take at most.
LIMIT_S = 120.0
Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Answer]]


class CouldNotRunError(Exception):
    """The case could not be carried out."""


def held_port() -> tuple[socket.socket, int]:
    """Return a socket that is bound to a free port of the loopback address, and the port."""
    sock = socket.socket()
    sock.bind((LOOPBACK, 0))
    return sock, int(sock.getsockname()[1])


def controller_ports(count: int) -> list[int]:
    """Return free ports below those that systems give to connections, apart for each process.

    A controller binds its ports itself, so they can't be held until then. Runs at the same time
    must not get the same ones: they would talk to each other.
    """
    ports = []
    first = 10_000 + os.getpid() % 1000 * 20
    for port in itertools.chain(range(first, 30_000), range(10_000, first)):
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CouldNotRunError("no free ports")


# -- HTTP --------------------------------------------------------------------------------------


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message; return its first line, its headers and its body."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    return head[0], headers, body


async def serve(sock: socket.socket, handler: Handler) -> asyncio.AbstractServer:
    """Serve HTTP/1.1 with CBOR bodies on a socket that is bound to a loopback port."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                path, _, query = target.partition("?")
                args = dict(part.split("=", 1) for part in query.split("&") if part)
                body = cbor2.loads(message[2]) if message[2] else None
                status, answer = await handler(method, path, args, body)
                data = cbor2.dumps(answer)
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/cbor\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, sock=sock, backlog=256)


async def ask(
    port: int, method: str, path: str, message: Any, timeout_s: float
) -> tuple[int, Any] | None:
    """Send a request to a loopback port; return status and answer, or None without a response."""

    async def exchange() -> tuple[int, Any] | None:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        try:
            data = b"" if message is None else cbor2.dumps(message)
            head = f"{method} {path} HTTP/1.1\r\nHost: {LOOPBACK}:{port}\r\n"
            head += f"Content-Type: application/cbor\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            answer = await read_message(reader)
            if answer is None:
                return None
            return int(answer[0].split(" ")[1]), cbor2.loads(answer[2]) if answer[2] else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class Bucket:
    """A rate limit with bursts worth `burst_s` seconds."""

    def __init__(self, rate: float, burst_s: float) -> None:
        self.rate, self.size = rate, rate * burst_s
        self.tokens, self.at = self.size, time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        """Count a request; return whether the limit allows it."""
        now = time.monotonic()
        self.tokens = min(self.size, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if amount > self.tokens:
            return False
        self.tokens -= amount
        return True


# -- state service -----------------------------------------------------------------------------


class Store:
    """The state service."""

    def __init__(self, limits: dict[str, float]) -> None:
        self.limits = limits
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 100
        self.leases: dict[int, list[float]] = {}  # [time to live, end]
        self.last_lease = 0
        self.changes: list[tuple[int, str, Any]] = []
        self.down = False
        self.refused: set[str] = set()
        self.requests = Bucket(limits["rps"], 1.0)
        self.writes = Bucket(limits["write_rps"], 1.0)
        self.changed = asyncio.Event()

    def wake(self) -> None:
        """Wake the open watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; after it every lease has its full time again."""
        if self.down and not down:
            for lease in self.leases.values():
                lease[1] = time.monotonic() + lease[0]
        self.down = down

    async def expire(self) -> None:
        """End leases that were not renewed in time."""
        while True:
            await asyncio.sleep(0.02)
            if not self.down:
                for number, (_, end) in list(self.leases.items()):
                    if time.monotonic() > end:
                        self.end_lease(number)

    def end_lease(self, number: int) -> None:
        """End a lease and remove the keys attached to it."""
        del self.leases[number]
        for key in [key for key, (_, _, lease) in self.data.items() if lease == number]:
            self.revision += 1
            del self.data[key]
            self.changes.append((self.revision, key, None))
        self.wake()

    def handler(self, node: str) -> Handler:
        """Return the handler of one controller's requests."""

        async def handle(method: str, path: str, args: dict[str, str], body: Any) -> Answer:
            if self.down or node in self.refused:
                return 503, {}
            if not self.requests.take():
                return 429, {}
            if path == "/watch":
                return await self.watch(node, args)
            if path == "/store":
                return self.list(args)
            if path.startswith("/store/"):
                return self.get(path[len("/store/") :])
            if path == "/multi":
                return self.transact(body)
            return self.lease(method, path, body)

        return handle

    def get(self, key: str) -> Answer:
        """Answer a read of one key."""
        if key not in self.data:
            return 404, {"harvest": self.revision}
        data, mark, permit = self.data[key]
        return 200, {"key": key, "data": data, "mark": mark, "permit": permit}

    def list(self, args: dict[str, str]) -> Answer:
        """Answer a listing."""
        after, most = args.get("from", ""), min(1000, int(args.get("most", 1000)))
        keys = sorted(k for k in self.data if k.startswith(args["under"]) and k > after)
        page, size = [], 0
        for key in keys[:most]:
            entry = {"key": key, "data": self.data[key][0], "mark": self.data[key][1]}
            size += len(json.dumps(entry))
            if page and size > 512 * 1024:
                break
            page.append(entry)
        return 200, {
            "entries": page,
            "truncated": len(page) < len(keys),
            "harvest": self.revision,
        }

    def transact(self, body: Any) -> Answer:
        """Answer a transaction."""
        changes, guards = body.get("then") or [], body.get("guards") or []
        if not self.writes.take(len(changes)):
            return 429, {}
        large = any(
            "put" in each
            and len(json.dumps(each["data"], separators=(",", ":"), ensure_ascii=False).encode())
            > self.limits["value_kb"] * 1024
            for each in changes
        )
        if (
            large
            or len(changes) > self.limits["txn_ops"]
            or len(guards) > 4 * self.limits["txn_ops"]
            or len(json.dumps(body, separators=(",", ":"), ensure_ascii=False)) > 64 * 1024
        ):
            return 400, {"error": "too large"}
        failed = [
            each["key"]
            for each in guards
            if self.data.get(each["key"], (None, 0, None))[1] != each["mark"]
        ]
        if failed:
            return 409, {"failed": failed, "harvest": self.revision}
        if any(each.get("permit") not in (None, *self.leases) for each in changes):
            return 400, {"error": "no such lease"}
        if changes:
            self.revision += 1
        for each in changes:
            if "put" in each:
                self.data[each["put"]] = (each["data"], self.revision, each.get("permit"))
                self.changes.append((self.revision, each["put"], each["data"]))
            elif self.data.pop(each["drop"], None) is not None:
                self.changes.append((self.revision, each["drop"], None))
        del self.changes[:-10_000]
        self.wake()
        return 200, {"harvest": self.revision}

    def lease(self, method: str, path: str, body: Any) -> Answer:
        """Answer a request about a lease."""
        now = time.monotonic()
        if path == "/grants":
            self.last_lease += 1
            ttl_s = body["ttl_ms"] / 1000
            self.leases[self.last_lease] = [ttl_s, now + ttl_s]
            return 200, {"permit": self.last_lease}
        number = int(path.split("/")[2])
        if number not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(number)
        else:
            self.leases[number][1] = now + self.leases[number][0]
        return 200, {}

    async def watch(self, node: str, args: dict[str, str]) -> Answer:
        """Answer a watch; it stays open, without changes, while its controller is refused."""
        since, end = int(args["from"]), time.monotonic() + int(args.get("block_ms", 0)) / 1000
        while True:
            hidden = self.down or node in self.refused
            if not hidden:
                if len(self.changes) >= 10_000 and since < self.changes[0][0] - 1:
                    return 410, {}
                events = [
                    {"drop": key, "mark": at}
                    if data is None
                    else {"put": key, "data": data, "mark": at}
                    for at, key, data in self.changes
                    if at > since and key.startswith(args["under"])
                ]
                if events:
                    return 200, {"harvest": self.revision, "events": events}
            left = end - time.monotonic()
            if left <= 0:
                return 200, {"harvest": since if hidden else self.revision, "events": []}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass


# -- workers -----------------------------------------------------------------------------------


class Task:
    """An attempt at a task on a worker."""

    def __init__(self, frame: str, number: int, spec: dict[str, Any] | None) -> None:
        self.frame, self.number, self.spec = frame, number, spec
        self.job, _, index = frame.partition("/")
        self.index = int(index)
        self.stage, self.cause, self.kept = "pulling", None, False
        self.left = 0.0  # seconds to run, or to save
        self.since = time.monotonic()

    @property
    def on_machine(self) -> bool:
        """Whether the task is on its machine: it has its image and has not ended."""
        return self.stage not in ("pulling", "ended")


class Worker:
    """A machine and its worker."""

    def __init__(self, world: World, name: str, zone: str, spot: bool, boot_s: float) -> None:
        self.world, self.name, self.zone, self.spot = world, name, zone, spot
        self.sock, self.port = held_port()
        self.rented_at = time.monotonic()
        self.boot_s = boot_s
        self.fetch = float(world.breed["fetch_gb_per_s"])  # this machine's own rate
        self.sick = False
        self.up = self.gone = False
        self.flight, self.tally, self.crown = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: dict[str, float] = {}
        self.fetched: dict[str, float] = {}  # GB of the images that are being fetched
        self.renewed_at = 0.0
        self.changed = asyncio.Event()
        self.node = world.rng.choice(world.names)
        self.largest_report = 0

    def start(self) -> None:
        """Begin to boot."""
        self.jobs = [asyncio.create_task(each()) for each in (self.run, self.advance)]

    async def run(self) -> None:
        """Boot, then report until the machine is gone."""
        await asyncio.sleep(self.boot_s)
        self.server = await serve(self.sock, self.handle)
        self.up, self.renewed_at = True, time.monotonic()
        self.world.note(f"{self.name} is up in {self.zone}, fetches {self.fetch:.3f} GB/s")
        while not self.gone:
            pause_s = await self.report()
            if pause_s is not None:
                await asyncio.sleep(pause_s)
                continue
            report_s = self.world.workers["report_s"] * self.world.rng.uniform(0.75, 1.25)
            began = time.monotonic()
            try:
                await asyncio.wait_for(self.changed.wait(), report_s)
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, min(0.5, report_s) - (time.monotonic() - began)))

    def describe(self) -> dict[str, Any]:
        """Return a report."""
        self.tally += 1
        frames = []
        for task in self.tasks.values():
            item = {"frame": task.frame, "try": task.number, "stage": task.stage}
            if task.cause:
                item["cause"] = task.cause
            if task.kept:
                item["kept"] = True
            frames.append(item)
        return {
            "box": self.name,
            "endpoint": f"{LOOPBACK}:{self.port}",
            "breed": self.world.breed["label"],
            "apiary": self.zone,
            "drones": self.spot,
            "flight": self.flight,
            "tally": self.tally,
            "crown": self.crown,
            "smoke_s": None,
            "frames": frames,
        }

    async def report(self) -> float | None:
        """Send a report; return the pause before the next one, None for the usual one."""
        self.changed.clear()
        flight, sent, names = self.flight, time.monotonic(), self.world.names
        report = self.describe()
        self.largest_report = max(
            self.largest_report, len(json.dumps(report, separators=(",", ":")))
        )
        answer = await ask(self.world.ports[self.node]["bind"], "POST", "/v1/report", report, 4.0)
        if self.gone or flight != self.flight:
            return 0.5
        status, body = answer if answer is not None else (0, None)
        if status == 200:
            if body.get("crown", -1) >= self.crown:
                self.take_token(body["crown"])
                self.renewed_at = sent
                self.carry_out(body.get("calls") or [])
            return None
        queen = body.get("queen") if status == 421 and isinstance(body, dict) else None
        if queen in names and queen != self.node:
            self.node = queen
            return self.world.rng.uniform(0.0, 0.5)
        if status not in (0, 421):
            self.world.note(f"{self.name}: {self.node} answered {status} to a report")
        self.node = names[(names.index(self.node) + 1) % len(names)]
        return 1.0

    def take_token(self, crown: int) -> None:
        """Store a higher token."""
        if crown > self.crown:
            self.crown = crown
            self.changed.set()

    async def handle(self, method: str, path: str, args: dict[str, str], body: Any) -> Answer:
        """Answer a direct request of a controller."""
        if self.gone:
            await asyncio.sleep(3600)
        if path == "/commands":
            if "crown" not in body or "flight" not in body:
                return 400, {}
            if body["crown"] < self.crown or body["flight"] != self.flight:
                return 409, self.describe()
            self.take_token(body["crown"])
            self.carry_out(body.get("calls") or [])
        return 200, self.describe()

    def carry_out(self, calls: list[dict[str, Any]]) -> None:
        """Execute commands in order."""
        for call in calls:
            key = (call["frame"], call["try"])
            task = self.tasks.get(key)
            if call["call"] == "launch":
                if task is None:
                    self.launch(*key)
            elif call["call"] == "clear":
                if task is not None and task.stage == "ended":
                    del self.tasks[key]
                    self.changed.set()
            elif task is not None and task.stage != "ended":
                self.kill(task, float(call.get("settle_s") or 0.0))

    def launch(self, frame: str, number: int) -> None:
        """Begin an attempt, or refuse it."""
        spec = self.world.specs.get(frame.partition("/")[0])
        task = Task(frame, number, spec)
        others = [each for each in self.tasks.values() if each.stage != "ended"]
        self.tasks[frame, number] = task
        self.changed.set()
        if self.world.verbose:
            self.world.note(f"{self.name}: launch {frame} attempt {number}")
        self.world.launches.setdefault(task.job, []).append(time.monotonic())
        if spec is None:
            self.end(task, "unknown")
        elif any(each.frame == frame for each in others):
            self.end(task, "busy")
        elif any(
            sum(each.spec[name] for each in others) + spec[name] > self.world.breed[name] + EPSILON
            for name in ("vcpus", "cards", "ram_gb")
        ):
            self.end(task, "no_room")

    def kill(self, task: Task, settle_s: float) -> None:
        """Stop a task, which saves its progress if it can."""
        saves = task.stage == "running" and task.spec["cap_s"] > 0
        if task.stage == "flushing":
            if settle_s == 0:
                self.end(task, "stopped")
        elif saves and settle_s >= task.spec["seal_s"]:
            self.world.save_progress(task, True)
            task.stage, task.left = "flushing", task.spec["seal_s"]
            self.changed.set()
        else:
            self.end(task, "stopped")

    def end(self, task: Task, cause: str) -> None:
        """End a task."""
        if self.world.verbose or cause not in ("done",):
            self.world.note(
                f"{self.name}: {task.frame} attempt {task.number} ends while {task.stage}: {cause}"
            )
        task.stage, task.cause = "ended", cause
        self.changed.set()

    async def advance(self) -> None:
        """Advance all tasks, and end the session when the lease has run out."""
        last = time.monotonic()
        while not self.gone:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            step_s, last = now - last, now
            if not self.up:
                continue
            if now - self.renewed_at > self.world.workers["lease_s"]:
                left = [task.frame for task in self.tasks.values() if task.stage != "ended"]
                self.world.note(
                    f"{self.name}: lease ran out, session {self.flight} ends; {len(left)} tasks"
                    f" killed: {', '.join(sorted(left)[:4])}"
                )
                self.world.on_session_end(self)
                self.tasks.clear()
                self.fetched.clear()
                self.flight += 1
                self.renewed_at = now
                self.changed.set()
                continue
            self.fetch_images(step_s)
            for task in list(self.tasks.values()):
                self.world.step(self, task, step_s)

    def fetch_images(self, step_s: float) -> None:
        """Fetch the images that tasks wait for, one after another; give the others up."""
        wanted: dict[str, float] = {}
        for task in self.tasks.values():
            if task.stage == "pulling" and task.spec["comb"] not in self.images:
                wanted[task.spec["comb"]] = task.spec["image_gb"]
        for image in [each for each in self.fetched if each not in wanted]:
            self.world.note(
                f"{self.name}: gives up the fetch of {image} at {self.fetched.pop(image):.1f} GB"
            )
        if wanted:
            image = next(iter(wanted))
            got = self.fetched[image] = self.fetched.get(image, 0.0) + step_s * self.fetch
            if got >= wanted[image]:
                del self.fetched[image]
                self.images[image] = wanted[image]
                self.world.note(f"{self.name}: has image {image}")


# -- cloud -------------------------------------------------------------------------------------


class Cloud:
    """The cloud; `capacity` is the number of machines by (zone, spot)."""

    def __init__(self, world: World, capacity: dict[tuple[str, bool], int]) -> None:
        self.world, self.capacity = world, capacity
        self.machines: dict[str, Worker] = {}
        self.answered: dict[str, list[str]] = {}
        self.rentals: list[tuple[float, str]] = []
        self.history: list[tuple[float, list[dict[str, Any]]]] = []
        self.bucket = Bucket(world.cluster["cloud"]["rps"], 2.0)
        self.number = 230
        self.boot_s: Callable[[], float] = lambda: world.rng.uniform(1.0, 2.0)
        self.on_machine: Callable[[Worker], None] = lambda worker: None

    def add(self, zone: str, spot: bool) -> str:
        """Add a machine, which then boots."""
        self.number += 1
        name = f"host-{self.number:06d}"
        worker = self.machines[name] = Worker(self.world, name, zone, spot, self.boot_s())
        self.on_machine(worker)
        worker.start()
        return name

    async def remember(self) -> None:
        """Keep the past lists, since a list lags."""
        while True:
            now = time.monotonic()
            boxes = [
                {
                    "id": name,
                    "endpoint": f"{LOOPBACK}:{worker.port}",
                    "breed": self.world.breed["label"],
                    "apiary": worker.zone,
                    "drones": worker.spot,
                    "stage": "running" if worker.up else "starting",
                    "age_s": now - worker.rented_at,
                }
                for name, worker in sorted(self.machines.items())
            ]
            self.history.append((now, boxes))
            del self.history[:-400]
            await asyncio.sleep(0.25)

    async def handle(self, method: str, path: str, args: dict[str, str], body: Any) -> Answer:
        """Answer a controller."""
        if not self.bucket.take():
            return 429, {}
        await asyncio.sleep(0.15)
        if path == "/catalog":
            return 200, {"breeds": [self.world.breed]}
        if path == "/machines/release":
            for name in body["boxes"]:
                worker = self.machines.pop(name, None)
                if worker is not None:
                    self.world.note(f"cloud: {name} is released")
                    worker.gone = True
            return 200, {}
        if method == "POST":
            return self.rent(body)
        lag_s = self.world.cluster["cloud"]["list_lag_s"] * self.world.rng.uniform(0.5, 1.0)
        at = time.monotonic() - lag_s
        boxes = next((each for when, each in reversed(self.history) if when <= at), [])
        boxes = [each for each in boxes if each["id"] > args.get("from", "")]
        most = min(500, int(args.get("most", 500)))
        return 200, {"boxes": boxes[:most], "truncated": len(boxes) > most}

    def rent(self, body: Any) -> Answer:
        """Answer a rental."""
        if body["swarm_ask"] in self.answered:
            return 200, {"boxes": self.answered[body["swarm_ask"]]}
        kind = (body["apiary"], bool(body["drones"]))
        used = sum((each.zone, each.spot) == kind for each in self.machines.values())
        count = min(50, int(body["count"]), self.capacity.get(kind, 0) - used)
        self.rentals.append((time.monotonic(), f"{body['count']} in {kind[0]}, spot {kind[1]}"))
        self.world.note(f"cloud: asked for {self.rentals[-1][1]}; grants {max(0, count)}")
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [self.add(*kind) for _ in range(count)]
        self.answered[body["swarm_ask"]] = names
        return 200, {"boxes": names}


# -- the whole ---------------------------------------------------------------------------------


class World:
    """The stand-ins and the controllers of one run.

    `site` has `zones` (of the controllers), `cluster` (settings) and `breed` (the machine type).
    """

    def __init__(self, folder: Path, site: dict[str, Any], seed: int = 1) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder, self.site, self.rng = folder, site, random.Random(seed)
        self.cluster, self.breed = site["cluster"], site["breed"]
        self.workers = self.cluster["workers"]
        self.names = [f"hive-{number}" for number in range(len(site["zones"]))]
        own = iter(controller_ports(2 * len(self.names)))
        self.ports = {name: {"bind": next(own), "peers": next(own)} for name in self.names}
        self.socks: dict[tuple[str, str], socket.socket] = {}
        for name in self.names:
            for use in ("state", "cloud"):
                self.socks[name, use], self.ports[name][use] = held_port()
        self.began = time.monotonic()
        self.verbose = True
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.temporary = Path(tempfile.mkdtemp(prefix="topazhold-review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.specs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.launches: dict[str, list[float]] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.completed: set[str] = set()
        self.progress: dict[str, float] = {}
        self.broken: list[str] = []
        self.store = Store(self.cluster["state"])
        self.cloud = Cloud(self, dict(site["capacity"]))
        self.turn = 0
        atexit.register(self.close)

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self.record.write(f"{self.now:8.2f} {text}\n")
        self.record.flush()

    def break_rule(self, text: str) -> None:
        """Record a broken rule."""
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    # -- tasks ---------------------------------------------------------------------------------

    def members(self, task: Task) -> list[tuple[Worker, Task]]:
        """Return the tasks of a gang's attempt, with their workers."""
        return [
            (worker, each)
            for worker in self.cloud.machines.values()
            for each in worker.tasks.values()
            if each.job == task.job and each.number == task.number
        ]

    def step(self, worker: Worker, task: Task, step_s: float) -> None:
        """Advance a task."""
        spec = task.spec
        if task.stage == "pulling":
            if spec["comb"] in worker.images:
                self.begin(worker, task)
        elif task.stage == "gathering":
            members = self.members(task)
            ready = [each for _, each in members if each.stage == "gathering"]
            if len({each.index for each in ready}) == spec["frames"]:
                for owner, each in members:
                    if each.stage == "gathering":
                        each.stage, each.left = "running", self.left_s(each)
                        owner.changed.set()
                self.note(f"gang {task.job} attempt {task.number} runs")
            elif time.monotonic() - task.since > self.workers["gang_wait_s"]:
                worker.end(task, "incomplete")
        elif task.stage == "running":
            task.left -= step_s
            if spec["shape"] == "gang":
                running = [each for each in self.members(task) if each[1].stage == "running"]
                if len(running) < spec["frames"]:
                    worker.end(task, "peers")
                elif task.left <= 0:
                    for owner, each in running:
                        self.completed.add(each.frame)
                        owner.end(each, "done")
            elif task.left <= 0:
                self.completed.add(task.frame)
                worker.end(task, "done")
        elif task.stage == "flushing":
            task.left -= step_s
            if task.left <= 0:
                task.kept = True
                worker.end(task, "stopped")

    def begin(self, worker: Worker, task: Task) -> None:
        """Start a task, which has its image now."""
        for other in self.cloud.machines.values():
            for each in other.tasks.values():
                if each is not task and each.frame == task.frame and each.on_machine:
                    self.break_rule(f"ran_twice: {task.frame} on {worker.name} and {other.name}")
        self.starts.append((time.monotonic(), task.frame, task.number, worker.name))
        if self.verbose:
            self.note(f"{worker.name}: {task.frame} attempt {task.number} starts")
        task.since = time.monotonic()
        worker.changed.set()
        if worker.sick:
            worker.end(task, "error")
        elif task.frame in self.completed:
            worker.end(task, "done")
        elif task.spec["shape"] == "gang":
            task.stage = "gathering"
        else:
            task.stage, task.left = "running", self.left_s(task)

    def left_s(self, task: Task) -> float:
        """Return the seconds that a task has still to run."""
        return self.run_s[task.job] - self.progress.get(self.unit(task), 0.0)

    @staticmethod
    def unit(task: Task) -> str:
        """Return what progress is kept for: a gang, or a task of an array."""
        return task.job if task.spec["shape"] == "gang" else task.frame

    def save_progress(self, task: Task, exact: bool) -> None:
        """Keep the progress of a task, all of it or up to its last checkpoint."""
        cap_s = task.spec["cap_s"]
        if cap_s > 0 and task.stage == "running":
            done = self.run_s[task.job] - task.left
            kept = done if exact else done - done % cap_s
            unit = self.unit(task)
            self.progress[unit] = max(self.progress.get(unit, 0.0), kept)

    def on_session_end(self, worker: Worker) -> None:
        """Keep the checkpoints of the tasks that end with a worker's session."""
        for task in worker.tasks.values():
            self.save_progress(task, False)

    # -- users ---------------------------------------------------------------------------------

    async def user(
        self, method: str, path: str, message: Any, timeout_s: float, node: str | None = None
    ) -> Answer | None:
        """Send a user's request to a node, to each in turn if none is named."""
        if node is None:
            self.turn += 1
            node = self.names[self.turn % len(self.names)]
        answer = await ask(self.ports[node]["bind"], method, path, message, timeout_s)
        self.note(f"user: {method} {path} at {node}: {answer if answer else 'no answer'}")
        return answer

    async def submit(self, spec: dict[str, Any], run_s: float) -> int:
        """Submit a job as a user does, and return the status that ended the retries."""
        self.specs[spec["id"]], self.run_s[spec["id"]] = spec, run_s
        self.note(f"user: submits {spec}")
        end = time.monotonic() + 60.0
        while time.monotonic() < end:
            answer = await self.user("POST", "/api/jobs", spec, 5.0)
            if answer is not None and answer[0] in (200, 201, 400, 422):
                return answer[0]
            await asyncio.sleep(1.0)
        return 0

    async def stage(self, job: str) -> str | None:
        """Ask once for a job's stage."""
        answer = await self.user("GET", f"/api/jobs/{job}", None, 2.0)
        return answer[1]["stage"] if answer is not None and answer[0] == 200 else None

    async def wait_done(self, job: str, max_s: float, every_s: float = 2.0) -> bool:
        """Poll a job until it is done; return whether it was in time."""
        end = time.monotonic() + max_s
        while time.monotonic() < end:
            if await self.stage(job) == "done":
                return True
            await asyncio.sleep(every_s)
        return False

    # -- controllers ---------------------------------------------------------------------------

    def settings(self, name: str) -> str:
        """Return a controller's settings file."""
        zones, ports = dict(zip(self.names, self.site["zones"], strict=True)), self.ports
        lines = [
            f'node_name = "{name}"',
            f'domain = "{zones[name]}"',
            f'bind = "{LOOPBACK}:{ports[name]["bind"]}"',
            f'peer_listen = "{LOOPBACK}:{ports[name]["peers"]}"',
        ]
        for other in self.names:
            if other != name:
                address = f"{LOOPBACK}:{self.peer_port(name, other)}"
                lines += ["[[seeds]]", f'node_name = "{other}"', f'domain = "{zones[other]}"']
                lines.append(f'addr = "{address}"')
        lines += [
            "[outside]",
            f'cloud = "{LOOPBACK}:{ports[name]["cloud"]}"',
            f'state = "{LOOPBACK}:{ports[name]["state"]}"',
            "[cluster]",
            f"initial_size = {len(self.names)}",
            f"zones = {json.dumps(sorted(set(self.site['zones'])))}",
            f"clock_error_ms = {self.cluster['clock_error_ms']}",
        ]
        for team in self.cluster["teams"]:
            lines += ["[[cluster.teams]]", *(f"{k} = {json.dumps(v)}" for k, v in team.items())]
        for aim in self.cluster["objectives"]:
            lines += ["[[cluster.objectives]]", *(f"{k} = {json.dumps(v)}" for k, v in aim.items())]
        for part in ("workers", "state", "cloud", "limits"):
            lines.append(f"[cluster.{part}]")
            lines += [f"{key} = {value}" for key, value in self.cluster[part].items()]
        return "\n".join(lines) + "\n"

    def peer_port(self, source: str, target: str) -> int:
        """Return the port at which a controller reaches another one."""
        return self.ports[target]["peers"]

    def start_controller(self, name: str) -> None:
        """Start a controller with the command of the deploy file."""
        path = self.temporary / f"{name}.toml"
        path.write_text(self.settings(name))
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(path)]
        with (self.temporary / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.note(f"{name} started")

    def log_lines(self, *texts: str) -> list[str]:
        """Return the lines of the controllers' logs that contain one of some texts."""
        return sorted(
            f"{line} ({name})"
            for name in self.names
            if (self.temporary / f"{name}.log").exists()
            for line in (self.temporary / f"{name}.log").read_text(errors="replace").splitlines()
            if any(text in line for text in texts)
        )

    def leader(self) -> str | None:
        """Return the holder of the leader's key."""
        entry = self.store.data.get("queen/now")
        return entry[0]["node"] if entry is not None else None

    async def start(self) -> None:
        """Start the stand-ins and the controllers, and wait until users are served."""
        self.background = [
            asyncio.create_task(self.store.expire()),
            asyncio.create_task(self.cloud.remember()),
        ]
        self.servers = []
        for name in self.names:
            self.servers.append(await serve(self.socks[name, "state"], self.store.handler(name)))
            self.servers.append(await serve(self.socks[name, "cloud"], self.cloud.handle))
        for name in self.names:
            self.start_controller(name)
        await self.wait_healthy()

    async def wait_synced(self, machines: list[Worker]) -> None:
        """Wait until the leader has had two reports of each machine that knows its token."""
        end = time.monotonic() + 20.0
        while not all(worker.crown for worker in machines):
            if time.monotonic() > end:
                raise CouldNotRunError("the machines got no token")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.5 * self.workers["report_s"])

    async def wait_healthy(self) -> None:
        """Wait until all controllers are healthy and one of them leads."""
        end = time.monotonic() + 20.0
        for name in self.names:
            while True:
                answer = await ask(self.ports[name]["bind"], "GET", "/healthz", None, 1.0)
                if answer is not None and answer[0] == 200 and self.leader() is not None:
                    break
                if time.monotonic() > end:
                    raise CouldNotRunError(f"{name} did not become healthy")
                await asyncio.sleep(0.2)
        self.note(f"all controllers are healthy, {self.leader()} leads")

    def close(self) -> None:
        """End all processes of this run and remove its temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep and self.temporary.exists():
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(
    folder: Path, site: dict[str, Any], act: Callable[[World], Awaitable[None]], seed: int = 1
) -> None:
    """Run a case and exit: 1 if a rule was broken, 0 if it held, 2 if the case couldn't run."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    world = World(folder, site, seed)
    watchdog = threading.Timer(LIMIT_S - 2.0, finish, (world, COULD_NOT_RUN))
    watchdog.daemon = True
    watchdog.start()

    async def main() -> None:
        try:
            await world.start()
            await act(world)
        except (CouldNotRunError, OSError) as exc:
            world.note(f"could not run: {type(exc).__name__}: {exc}")
            finish(world, COULD_NOT_RUN)
        for name, process in world.processes.items():
            if process.poll() is not None:
                world.break_rule(f"controller {name} ended with status {process.returncode}")
        # The tasks of the stand-ins are not waited for.
        finish(world, BROKEN if world.broken else HELD)

    try:
        asyncio.run(main())
    finally:
        finish(world, COULD_NOT_RUN)


def finish(world: World, status: int) -> None:
    """End all processes of a run, write its result, and exit."""
    world.close()
    word = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[status]
    world.note(f"result: {word}; trouble {'on' if world.trouble else 'off'}")
    reason = f": {world.broken[0]}" if status == BROKEN else ""
    print(f"{world.folder.name}: {word}{reason}", flush=True)
    os._exit(status)
