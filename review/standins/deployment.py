"""Stand-ins for the state service, the cloud and the workers, and the controllers' processes.

All of them listen on loopback addresses and use the real clock. The state service and the cloud
have a port for each controller, and each pair of controllers has a proxy between them, so that a
zone can be cut off from the others. The stand-ins follow the protocol page; where it is silent
they behave like sound services.
"""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from weakref import WeakKeyDictionary

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "target" / "deps"))

import cbor2  # noqa: E402

LOOPBACK = "127.0.0.1"
REPORT_TIMEOUT_S = 4.0
Answer = tuple[int, Any]
#: All processes that were started.
STARTED: list[subprocess.Popen[bytes]] = []
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


class CutOffError(Exception):
    """The request met a cut; its connection is reset."""


class NoAnswerError(Exception):
    """No answer to a request: the connection failed, or the time was over."""


class CannotRunError(Exception):
    """The case can't be judged: something that it needs did not come about."""


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self.note(text)
        print(f"{self.now:8.3f} {text}", flush=True)


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((LOOPBACK, 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


# -- HTTP ---------------------------------------------------------------------


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read the first line, the header fields and the body; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    fields: dict[str, str] = {}
    while (field := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return line.decode("latin-1").strip(), fields, body


Handler = Callable[[str, str, Any], Awaitable[Answer]]


async def serve_http(
    port: int, handler: Handler, refuses: Callable[[asyncio.StreamWriter], bool]
) -> asyncio.Server:
    """Serve CBOR over HTTP; `refuses` tells whether a connection is to be reset."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while not refuses(writer) and (message := await read_message(reader)) is not None:
                if refuses(writer):
                    break
                method, target, _ = message[0].split(" ", 2)
                status, answer = await handler(
                    method, target, cbor2.loads(message[2]) if message[2] else None
                )
                if refuses(writer):
                    break
                body = cbor2.dumps(answer)
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"Content-Type: application/cbor\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, CutOffError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, LOOPBACK, port)


async def request(
    port: int, method: str, target: str, message: Any, timeout_s: float
) -> tuple[int, dict[str, str], Any]:
    """Send one request on a connection of its own; return status, header fields and body."""

    async def exchange() -> tuple[int, dict[str, str], Any]:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        try:
            body = b"" if message is None else cbor2.dumps(message)
            writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: {LOOPBACK}:{port}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            answer = await read_message(reader)
            if answer is None:
                raise NoAnswerError("connection closed")
            status = int(answer[0].split(" ")[1])
            return status, answer[1], cbor2.loads(answer[2]) if answer[2] else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
        raise NoAnswerError(type(exc).__name__) from None


# -- the state service ----------------------------------------------------------


class StateService:
    """A key-value store with leases, conditional transactions and watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.data: dict[str, tuple[Any, int, int | None]] = {}  # value, mark, permit
        self.harvest = 0
        self.changes: list[tuple[int, str, Any]] = []  # harvest, key, value or None
        self.permits: dict[int, tuple[float, float]] = {}  # seconds to live, end
        self._last_permit = 0
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """End the permits whose time is over."""
        while True:
            await asyncio.sleep(0.02)
            for permit, (_, end) in list(self.permits.items()):
                if end < time.monotonic():
                    self._end(permit)

    def _end(self, permit: int) -> None:
        del self.permits[permit]
        keys = [key for key, (_, _, holder) in self.data.items() if holder == permit]
        self.harvest += bool(keys)
        for key in keys:
            del self.data[key]
            self._change(key, None)

    def _change(self, key: str, value: Any) -> None:
        self.changes.append((self.harvest, key, value))
        if key.startswith(("queen/", "over/", "live/", "on/")):
            self.record.note(f"state: {key} = {json.dumps(value)[:300]}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method: str, target: str, body: Any) -> Answer:
        path, _, query = target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/store":
            return self._list(args)
        if path.startswith("/store/"):
            key = path[len("/store/") :]
            if key not in self.data:
                return 404, {"harvest": self.harvest}
            value, mark, permit = self.data[key]
            return 200, {"key": key, "data": value, "mark": mark, "permit": permit}
        if path == "/multi":
            return self._multi(body)
        if path == "/watch":
            return await self._watch(args)
        if path == "/grants":
            self._last_permit += 1
            ttl_s = body["ttl_ms"] / 1000
            self.permits[self._last_permit] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"permit": self._last_permit}
        permit = int(path.split("/")[2])
        if permit not in self.permits:
            return 404, {}
        if method == "DELETE":
            self._end(permit)
        else:
            ttl_s = self.permits[permit][0]
            self.permits[permit] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {}

    def _list(self, args: dict[str, str]) -> Answer:
        most = min(1000, int(args.get("most", "1000")))
        keys = sorted(k for k in self.data if k.startswith(args["under"]) and k > args.get("from", ""))
        entries = [{"key": k, "data": self.data[k][0], "mark": self.data[k][1]} for k in keys[:most]]
        return 200, {"entries": entries, "truncated": len(keys) > most, "harvest": self.harvest}

    def _multi(self, body: Any) -> Answer:
        failed = [
            guard["key"]
            for guard in body["guards"]
            if self.data.get(guard["key"], (None, 0, None))[1] != guard["mark"]
        ]
        then = body.get("then", [])
        if any(each.get("permit") not in (None, *self.permits) for each in then):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "harvest": self.harvest}
        self.harvest += bool(then)
        for each in then:
            if "put" in each:
                self.data[each["put"]] = (each["data"], self.harvest, each.get("permit"))
                self._change(each["put"], each["data"])
            elif self.data.pop(each["drop"], None) is not None:
                self._change(each["drop"], None)
        return 200, {"harvest": self.harvest}

    async def _watch(self, args: dict[str, str]) -> Answer:
        since, under = int(args["from"]), args["under"]
        end = time.monotonic() + int(args.get("block_ms", "0")) / 1000
        while True:
            events = [
                {"put": key, "data": value, "mark": at}
                if value is not None
                else {"drop": key, "mark": at}
                for at, key, value in self.changes
                if at > since and key.startswith(under)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"harvest": self.harvest, "events": events}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


# -- workers --------------------------------------------------------------------


class Task:
    """A task attempt of an array, or of a gang (which starts once all its tasks have gathered)."""

    def __init__(self, name: str, attempt: int, spec: dict[str, Any]) -> None:
        self.name, self.attempt, self.spec = name, attempt, spec
        self.job, _, index = name.partition("/")
        self.index = int(index)
        self.stage = "pulling"
        self.cause: str | None = None
        self.kept = False
        self.left_s = 0.0  # of the fetch, the run or the save

    @property
    def on_machine(self) -> bool:
        """Whether it counts as on its machine: it has its image and has not ended."""
        return self.stage not in ("pulling", "ended")


class Worker:
    """One machine and its worker."""

    STEP_S = 0.05

    def __init__(self, platform: Platform, name: str, zone: str, drones: bool, port: int) -> None:
        self.platform, self.name, self.zone, self.drones, self.port = (
            platform, name, zone, drones, port,
        )
        self.rented_at = time.monotonic()
        self.flight, self.tally, self.crown = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.gone = False
        self.answered_at = time.monotonic()  # when the last answered report was sent
        self._target = int(name.rpartition("-")[2]) % len(platform.controllers)
        self._changed = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await serve_http(
            self.port,
            self.handle,
            lambda writer: self.gone
            or self.platform.cut_between(self.platform.owner_zone(writer), self.zone),
        )
        self.platform.spawn(self._report_loop())
        self.platform.spawn(self._step_loop())

    def remove(self) -> None:
        """The machine, and everything on it, is gone."""
        self.gone = True
        self.tasks.clear()
        if self._server is not None:
            self._server.close()

    def _report(self) -> dict[str, Any]:
        self.tally += 1
        frames = []
        for task in self.tasks.values():
            frame: dict[str, Any] = {"frame": task.name, "try": task.attempt, "stage": task.stage}
            if task.cause is not None:
                frame["cause"] = task.cause
            if task.kept:
                frame["kept"] = True
            frames.append(frame)
        return {
            "box": self.name, "endpoint": f"{LOOPBACK}:{self.port}",
            "breed": self.platform.site.machine["label"], "apiary": self.zone,
            "drones": self.drones, "flight": self.flight, "tally": self.tally,
            "crown": self.crown, "smoke_s": None, "frames": frames,
        }  # fmt: skip

    async def _report_loop(self) -> None:
        workers = self.platform.site.workers
        while not self.gone:
            pause_s = await self._send_report()
            end = time.monotonic() + pause_s
            soonest = time.monotonic() + min(0.5, pause_s)
            while time.monotonic() < end and not self.gone:
                if pause_s == workers["report_s"] and self._changed and time.monotonic() >= soonest:
                    break
                await asyncio.sleep(self.STEP_S)

    async def _send_report(self) -> float:
        """Send a report; return the seconds until the next one."""
        controllers = list(self.platform.controllers.values())
        controller = controllers[self._target % len(controllers)]
        self._changed = False
        flight, sent_at = self.flight, time.monotonic()
        try:
            if self.platform.cut_between(controller.zone, self.zone):
                raise NoAnswerError("cut off")
            status, _, answer = await request(
                controller.public, "POST", "/v1/report", self._report(), REPORT_TIMEOUT_S
            )
            if self.platform.cut_between(controller.zone, self.zone):
                raise NoAnswerError("cut off")
        except NoAnswerError:
            status, answer = 0, None
        if flight != self.flight:
            return 0.5
        if status == 200:
            if answer["crown"] >= self.crown:
                self.answered_at = sent_at
                self._accept(answer["crown"], answer["calls"], f"in a response of {controller.name}")
            return float(self.platform.site.workers["report_s"])
        names = [each.name for each in controllers]
        queen = answer.get("queen") if status == 421 and answer else None
        if queen in names and queen != controller.name:
            self._target = names.index(queen)
            return 0.1
        self._target += 1
        return 1.0

    def _accept(self, crown: int, calls: list[dict[str, Any]], source: str) -> None:
        self._changed |= crown > self.crown
        self.crown = max(self.crown, crown)
        for call in calls:
            self.platform.on_call(self, crown, call, source)
            key = (call["frame"], call["try"])
            task = self.tasks.get(key)
            if call["call"] == "launch" and task is None:
                self._launch(*key)
            elif call["call"] == "clear" and task is not None and task.stage == "ended":
                del self.tasks[key]
            elif call["call"] == "kill" and task is not None and task.stage != "ended":
                self._kill(task, float(call.get("settle_s") or 0.0))
            self._changed = True

    def _launch(self, name: str, attempt: int) -> None:
        spec = self.platform.jobs.get(name.partition("/")[0])
        task = self.tasks[(name, attempt)] = Task(name, attempt, spec or {})
        others = [each for each in self.tasks.values() if each is not task and each.stage != "ended"]
        machine = self.platform.site.machine
        if spec is None:
            self._finish(task, "unknown")
        elif any(each.name == name for each in others):
            self._finish(task, "busy")
        elif any(
            sum(each.spec[what] for each in others) + spec[what] > machine[what] + 1e-6
            for what in ("vcpus", "cards", "ram_gb")
        ):
            self._finish(task, "no_room")
        else:
            known = spec["comb"] in self.images
            task.left_s = 0.0 if known else spec["image_gb"] / machine["fetch_gb_per_s"]

    def _kill(self, task: Task, settle_s: float) -> None:
        saves = task.stage == "running" and task.spec["cap_s"] > 0
        if saves and settle_s >= task.spec["seal_s"]:
            task.stage, task.left_s = "flushing", task.spec["seal_s"]
        elif task.stage != "flushing" or settle_s == 0:
            self._finish(task, "stopped")

    def _finish(self, task: Task, cause: str, kept: bool = False) -> None:
        task.stage, task.cause, task.kept = "ended", cause, kept
        self._changed = True
        self.platform.record.note(f"{self.name}: {task.name} try {task.attempt} ended: {cause}")

    async def _step_loop(self) -> None:
        last = time.monotonic()
        while not self.gone:
            await asyncio.sleep(self.STEP_S)
            now = time.monotonic()
            step_s, last = now - last, now
            if now - self.answered_at > self.platform.site.workers["lease_s"]:
                self.platform.record.note(f"{self.name}: lease over, {len(self.tasks)} tasks killed")
                self.tasks.clear()
                self.flight += 1
                self.answered_at = now
                self._changed = True
            for task in list(self.tasks.values()):
                self._step(task, step_s)

    def _step(self, task: Task, step_s: float) -> None:
        if task.stage == "ended":
            return
        task.left_s -= step_s
        if task.stage == "pulling" and task.left_s <= 0:
            self.images.add(task.spec["comb"])
            gang = task.spec["shape"] == "gang"
            task.stage = "gathering" if gang else "running"
            task.left_s = task.spec["forage_s"]
            self._changed = True
            self.platform.on_start(self, task)
        elif task.stage == "gathering":
            task.left_s = task.spec["forage_s"]
            peers = self.platform.tasks_of(task.job, task.attempt)
            if len(peers) == task.spec["frames"] and all(p.on_machine for p in peers):
                for peer in peers:
                    peer.stage = "running"
                self._changed = True
        elif task.stage == "running" and task.left_s <= 0 and task.spec["shape"] != "daemon":
            self.platform.done.add(task.name)
            self._finish(task, "done")
        elif task.stage == "flushing" and task.left_s <= 0:
            self._finish(task, "stopped", kept=True)

    async def handle(self, method: str, target: str, body: Any) -> Answer:
        """Handle a request that a controller sent directly."""
        if target == "/commands":
            if "crown" not in body or "flight" not in body:
                return 400, {}
            if body["crown"] < self.crown or body["flight"] != self.flight:
                return 409, self._report()
            self._accept(body["crown"], body["calls"], "directly")
        return 200, self._report()


# -- the cloud ------------------------------------------------------------------


class Cloud:
    """Rents machines; lists them with a lag."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.down = False
        self._asks: dict[str, list[str]] = {}
        self._lists: list[tuple[float, list[dict[str, Any]]]] = []

    async def run(self) -> None:
        while True:
            now = time.monotonic()
            listed = [
                {
                    "id": worker.name, "endpoint": f"{LOOPBACK}:{worker.port}",
                    "breed": self.platform.site.machine["label"], "apiary": worker.zone,
                    "drones": worker.drones, "stage": "running", "age_s": now - worker.rented_at,
                }
                for worker in self.platform.workers.values()
            ]  # fmt: skip
            self._lists.append((now, listed))
            await asyncio.sleep(0.5)

    async def handle(self, method: str, target: str, body: Any) -> Answer:
        record, site = self.platform.record, self.platform.site
        if self.down:
            if method == "POST":
                record.note(f"cloud: refused, in an outage: {target} {json.dumps(body)}")
            return 503, {"error": "trouble"}
        if target == "/catalog":
            return 200, {"breeds": [site.machine]}
        if method == "GET":
            cutoff = time.monotonic() - site.list_lag_s
            known = [listed for at, listed in self._lists if at <= cutoff] or [self._lists[0][1]]
            return 200, {"boxes": known[-1], "truncated": False}
        if target == "/machines/release":
            record.note(f"cloud: releases {body['boxes']}")
            for name in body["boxes"]:
                worker = self.platform.workers.pop(name, None)
                if worker is not None:
                    worker.remove()
            return 200, {}
        ask = body["swarm_ask"]
        if ask in self._asks:
            return 200, {"boxes": self._asks[ask]}
        return 503, {"error": "no capacity"}


# -- controllers ------------------------------------------------------------------


class Controller:
    """One controller process with its ports."""

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.public, self.peers, self.state, self.cloud = free_ports(4)
        self.process: subprocess.Popen[bytes] | None = None


class Site:
    """The settings of a deployment."""

    def __init__(
        self, machine: dict[str, Any], workers: dict[str, float], state: dict[str, float],
        cloud_rps: float, list_lag_s: float, teams: dict[str, tuple[float, float]],
        objectives: list[tuple[str, str, float, float]], limits: dict[str, float],
    ) -> None:  # fmt: skip
        self.machine, self.workers, self.state = machine, workers, state
        self.cloud_rps, self.list_lag_s = cloud_rps, list_lag_s
        self.teams, self.objectives, self.limits = teams, objectives, limits


class Platform:
    """Everything around the controllers, and their processes."""

    def __init__(self, site: Site, controllers: list[tuple[str, str]], record: Record) -> None:
        self.site, self.record = site, record
        self.controllers = {name: Controller(name, zone) for name, zone in controllers}
        self.state = StateService(record)
        self.cloud = Cloud(self)
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict[str, Any]] = {}  # as users upload them
        self.done: set[str] = set()
        self.cut_zone: str | None = None
        self.calls: list[tuple[float, Worker, int, dict[str, Any], str]] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.max_files: int | None = None
        self._running: list[asyncio.Task[None]] = []
        self._links: list[asyncio.StreamWriter] = []
        self._zones: WeakKeyDictionary[asyncio.StreamWriter, str | None] = WeakKeyDictionary()

    def spawn(self, coroutine: Any) -> None:
        self._running.append(asyncio.create_task(coroutine))

    # -- cuts ---------------------------------------------------------------------

    def cut_between(self, zone: str | None, other: str | None) -> bool:
        """Whether the cut is between two zones; None is what belongs to no zone."""
        return self.cut_zone is not None and zone != other and self.cut_zone in (zone, other)

    def cut_off(self, zone: str | None) -> None:
        """Cut a zone off from everything; all connections that cross the cut are reset."""
        self.cut_zone = zone
        for writer in self._links:
            writer.close()
        self._links.clear()

    def owner_zone(self, writer: asyncio.StreamWriter) -> str | None:
        """Return the zone of the controller whose process opened a connection."""
        if writer not in self._zones:
            peer, here = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
            self._zones[writer] = self._find_owner(peer[1], here[1]) if peer and here else None
        return self._zones[writer]

    def _find_owner(self, port: int, server_port: int) -> str | None:
        local, remote = f"0100007F:{port:04X}", f"0100007F:{server_port:04X}"
        inode = None
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1] == local and fields[2] == remote:
                inode = fields[9]
        for controller in self.controllers.values():
            if controller.process is None or controller.process.poll() is not None:
                continue
            folder = Path(f"/proc/{controller.process.pid}/fd")
            for entry in folder.iterdir():
                try:
                    if os.readlink(entry) == f"socket:[{inode}]":
                        return controller.zone
                except OSError:
                    continue
        return None

    async def _serve_link(self, source: Controller, target: Controller, port: int) -> None:
        """Carry the messages of one controller to another one."""

        async def carry(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if self.cut_between(source.zone, target.zone):
                writer.close()
                return
            try:
                _, onward = await asyncio.open_connection(LOOPBACK, target.peers)
            except OSError:
                writer.close()
                return
            self._links += [writer, onward]
            try:
                while data := await reader.read(65536):
                    if self.cut_between(source.zone, target.zone):
                        break
                    onward.write(data)
                    await onward.drain()
            except OSError:
                pass
            finally:
                writer.close()
                onward.close()

        await asyncio.start_server(carry, LOOPBACK, port)

    # -- start and end --------------------------------------------------------------

    async def start(self) -> None:
        """Start the stand-ins and write the settings files."""
        self.spawn(self.state.run())
        self.spawn(self.cloud.run())
        for controller in self.controllers.values():
            def refuses(_: asyncio.StreamWriter, zone: str = controller.zone) -> bool:
                return self.cut_between(zone, None)

            await serve_http(controller.state, self.state.handle, refuses)
            await serve_http(controller.cloud, self.cloud.handle, refuses)
        for controller in self.controllers.values():
            await self._write_settings(controller)

    async def _write_settings(self, controller: Controller) -> None:
        lines = [
            f'node_name = "{controller.name}"', f'domain = "{controller.zone}"',
            f'bind = "{LOOPBACK}:{controller.public}"',
            f'peer_listen = "{LOOPBACK}:{controller.peers}"',
        ]  # fmt: skip
        others = [each for each in self.controllers.values() if each is not controller]
        for other, port in zip(others, free_ports(len(others)), strict=True):
            await self._serve_link(controller, other, port)
            lines += [
                "[[seeds]]", f'node_name = "{other.name}"', f'domain = "{other.zone}"',
                f'addr = "{LOOPBACK}:{port}"',
            ]  # fmt: skip
        site = self.site
        zones = sorted({each.zone for each in self.controllers.values()})
        lines += [
            "[outside]", f'cloud = "{LOOPBACK}:{controller.cloud}"',
            f'state = "{LOOPBACK}:{controller.state}"', "[cluster]",
            f"initial_size = {len(self.controllers)}", f"zones = {json.dumps(zones)}",
            "clock_error_ms = 25.0",
        ]  # fmt: skip
        for name, (gpus, most) in site.teams.items():
            lines += [
                "[[cluster.teams]]", f'name = "{name}"', "cpus = 0.0", "cpus_max = 0.0",
                f"gpus = {gpus}", f"gpus_max = {most}",
            ]  # fmt: skip
        for kind, lane, within_s, share in site.objectives:
            lines += [
                "[[cluster.objectives]]", f'kind = "{kind}"', f'class = "{lane}"',
                f"within_s = {within_s}", f"share = {share}",
            ]  # fmt: skip
        tables = (
            ("workers", site.workers), ("state", site.state),
            ("cloud", {"rps": site.cloud_rps, "list_lag_s": site.list_lag_s}),
            ("limits", site.limits),
        )  # fmt: skip
        for title, table in tables:
            lines += [f"[cluster.{title}]", *(f"{name} = {value}" for name, value in table.items())]
        (self.folder / f"{controller.name}.toml").write_text("\n".join(lines) + "\n")

    def start_controller(self, name: str) -> None:
        """Start a controller with the command of the deploy file."""
        controller = self.controllers[name]
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(self.folder / f"{name}.toml")]
        limits = self._set_limits if self.max_files is not None else None
        with (self.folder / f"{name}.log").open("ab") as log:
            controller.process = subprocess.Popen(
                command, cwd=ROOT, stderr=log, stdout=log, preexec_fn=limits,
                env={**os.environ, "LOG_LEVEL": "info"},
            )  # fmt: skip
        STARTED.append(controller.process)
        self.record.say(f"started controller {name} in {controller.zone}")

    def _set_limits(self) -> None:
        import resource

        assert self.max_files is not None
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_files, self.max_files))

    async def add_machine(self, zone: str) -> Worker:
        name = f"host-{len(self.workers):06d}"
        worker = self.workers[name] = Worker(self, name, zone, False, free_ports(1)[0])
        await worker.start()
        return worker

    def close(self) -> None:
        """End all processes that were started; add the controllers' logs to the record."""
        for controller in self.controllers.values():
            if controller.process is not None:
                controller.process.kill()
                controller.process.wait()
        for name in self.controllers:
            log = self.folder / f"{name}.log"
            if log.exists():
                text = log.read_text(errors="replace").splitlines()
                for line in text[-400:]:
                    self.record.note(f"log of {name}: {line[:400]}")
                log.unlink()
            (self.folder / f"{name}.toml").unlink(missing_ok=True)
        self.folder.rmdir()

    # -- what happens -----------------------------------------------------------------

    def leader(self) -> tuple[str, int] | None:
        """Return the holder of the leader key and its crown, as the state service has them."""
        entry = self.state.data.get("queen/now")
        return (entry[0]["node"], entry[0]["crown"]) if entry is not None else None

    def tasks_of(self, job: str, attempt: int | None = None) -> list[Task]:
        return [
            task
            for worker in self.workers.values()
            for task in worker.tasks.values()
            if task.job == job and task.stage != "ended" and attempt in (None, task.attempt)
        ]

    def on_start(self, worker: Worker, task: Task) -> None:
        self.record.note(f"{worker.name} ({worker.zone}): {task.name} try {task.attempt} started")

    def on_call(self, worker: Worker, crown: int, call: dict[str, Any], source: str) -> None:
        self.calls.append((self.record.now, worker, crown, call, source))
        self.record.note(f"{worker.name} ({worker.zone}): crown {crown}, {source}: {json.dumps(call)}")

    async def wait_for(self, condition: Callable[[], Any], what: str, max_s: float) -> None:
        end = time.monotonic() + max_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRunError(f"no {what} within {max_s} s")
            await asyncio.sleep(0.05)

    # -- users --------------------------------------------------------------------------

    async def submit(self, spec: dict[str, Any], controllers: list[str]) -> None:
        """Submit a job as the protocol page says; retried through the controllers given."""
        self.jobs[spec["id"]] = spec
        status = await self._repeat("POST", "/api/jobs", spec, controllers, (200, 201))
        self.record.say(f"user: submitted {spec['id']}: {status}")

    async def cancel(self, job: str, controllers: list[str]) -> float:
        """Cancel a job; return when its user was told that it is cancelled."""
        status = await self._repeat("POST", f"/api/jobs/{job}/cancel", None, controllers, (200,))
        self.record.say(f"user: cancelled {job}: {status}")
        return self.record.now

    async def _repeat(
        self, method: str, target: str, message: Any, names: list[str], good: tuple[int, ...]
    ) -> tuple[int, Any]:
        for attempt in range(40):
            controller = self.controllers[names[attempt % len(names)]]
            try:
                status, _, answer = await request(controller.public, method, target, message, 5.0)
                self.record.note(f"user: {method} {target} at {controller.name}: {status} {answer}")
                if status in good:
                    return status, answer
            except NoAnswerError as exc:
                self.record.note(f"user: {method} {target} at {controller.name}: {exc}")
            await asyncio.sleep(1.0)
        raise CannotRunError(f"{method} {target} was not accepted")


def job(number: int, **changes: Any) -> dict[str, Any]:
    """Return a submission: an array of one task, with `changes` applied."""
    return {
        "id": f"wk-{number:06d}", "lane": "scan-tiling", "crew": "kiosks", "shape": "batch",
        "urgency": "best_effort", "frames": 1, "vcpus": 6.0, "cards": 1.0, "ram_gb": 24.0,
        "comb": "img-00", "image_gb": 1.0, "breeds": None, "apiary": None, "same_place": False,
        "scatter": False, "drones": False, "forage_s": 600.0, "cap_s": 10.0, "seal_s": 2.0,
        "bloom_s": None, **changes,
    }  # fmt: skip


def run_case(
    folder: Path, play: Callable[[Record, bool], Awaitable[bool]], max_s: float = 110.0
) -> None:
    """Play a case and exit: with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"trouble: {'yes' if trouble else 'no'}")
    watchdog = threading.Timer(max_s + 5.0, _give_up, [record])
    watchdog.daemon = True
    watchdog.start()

    async def main() -> None:
        try:
            broken = await asyncio.wait_for(play(record, trouble), max_s)
        except (CannotRunError, TimeoutError) as exc:
            record.say(f"could not run: {type(exc).__name__}: {exc}")
            _exit(record, 2)
        except BaseException as exc:
            record.say(f"could not run: {type(exc).__name__}: {exc}")
            traceback.print_exc()
            _exit(record, 2)
        record.say("the rule was broken" if broken else "the rule held")
        _exit(record, int(broken))

    asyncio.run(main())


def _give_up(record: Record) -> None:
    record.say("could not run: out of time")
    _exit(record, 2)


def _exit(record: Record, status: int) -> None:
    """Exit at once, without waiting for the stand-ins' tasks; no process is left running."""
    for process in STARTED:
        if process.poll() is None:
            process.kill()
            process.wait()
    sys.stdout.flush()
    os._exit(status)
