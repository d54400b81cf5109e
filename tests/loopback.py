"""Runs real controller processes on 127.0.0.1 against the fakes, which listen on sockets.

Each controller has its own ports for the key-value store and the cloud, so that the fakes can
tell which controller sent a request. Time is real; scenarios wait for events.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import curio

from tests.fakes.cloud import FakeCloud
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import Network
from tests.fakes.virtual_time import VirtualTime
from tests.simulation.deployment import CONTROLLER_NAMES, ZONES, Simulation
from topazhold.core.leadership import LEADER_KEY
from topazhold.io.client import Client
from topazhold.io.http import NoResponseError, Request, RequestNotSentError, Response
from topazhold.io.server import Server
from topazhold.settings import Settings
from topazhold.wire.codec import unpack

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
#: Heartbeat interval, worker lease and cancellation deadline.
HEARTBEAT_INTERVAL_S, LEASE_S, CANCEL_S = 0.25, 4.0, 8.0
#: Timeout of an awaited event.
EVENT_TIMEOUT_S = 40.0
#: Interval between checks of a condition that a scenario waits for.
POLL_INTERVAL_S = 0.02

SETTINGS_TEMPLATE = """
node_name = "{name}"
domain = "{zone}"
bind = "127.0.0.1:{public}"
peer_listen = "127.0.0.1:{peers}"
{seeds}
[outside]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[cluster]
zones = ["a", "b"]
teams = [
{teams}
]
state = {{ rps = 1000.0, write_rps = 500.0, value_kb = 8.0, txn_ops = 8 }}
cloud = {{ rps = 50.0, list_lag_s = 0.5 }}
limits = {{ cpu_share = 1.0, mem_mb = 200.0, sockets = 300 }}

[cluster.workers]
report_s = {heartbeat_interval_s}
lease_s = {lease_s}
cancel_s = {cancel_s}
gang_wait_s = 20.0
gang_peer_s = 4.0
"""
TEAM_TEMPLATE = '    {{ name = "{name}", gpus = {gpus}, gpus_max = {gpus_max} }},'
SEED_TEMPLATE = '[[seeds]]\nnode_name = "{name}"\ndomain = "{zone}"\naddr = "127.0.0.1:{peers}"\n'


class MonotonicTime(VirtualTime):
    """The monotonic clock, for fakes that expect a virtual one."""

    def __init__(self) -> None:
        pass

    @property
    def now(self) -> float:  # type: ignore[override]
        return time.monotonic()


def free_port() -> int:
    """Return a TCP port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


class SocketNetwork(Network):
    """A network that sends requests to controllers over TCP."""

    def __init__(self, rng: Any, ports: dict[str, dict[str, int]]) -> None:
        super().__init__(rng)
        self.clients = {
            name: Client((LOOPBACK, controller_ports["public"]), 8)
            for name, controller_ports in ports.items()
        }

    async def request(
        self, source: str, target: str, method: str, path: str, message: Any, timeout_s: float
    ) -> tuple[int, bytes]:
        return await self.clients[target].request(method, path, message, timeout_s)


class SocketCloud(FakeCloud):
    """A fake cloud whose workers each listen on a port of their own."""

    async def add(self, zone: str, spot: bool, boots: bool = True) -> str:
        name = await super().add(zone, spot, boots)
        worker = self.workers[name]
        port = free_port()
        worker.host = f"{LOOPBACK}:{port}"
        await curio.spawn(serve, port, lambda: worker.handle, "controller", daemon=True)
        return name


async def serve(port: int, handler: Callable[[], Any], source: str) -> None:
    """Serve a fake's handler over HTTP; `source` is the sender that the fake is told."""

    async def handle(request: Request) -> Response:
        path = request.path + (f"?{request.query}" if request.query else "")
        body = unpack(request.body) if request.body else None
        try:
            status, answer = await handler()(source, request.method, path, body)
        except (NoResponseError, RequestNotSentError):
            await curio.sleep(EVENT_TIMEOUT_S)  # longer than the client's timeout
            return Response(HTTPStatus.SERVICE_UNAVAILABLE)
        return Response(status, answer)

    await Server(handle, 500, idle_s=60.0).run((LOOPBACK, port))


class LoopbackSimulation(Simulation):
    """Three real controller processes, with the store, cloud, workers and users simulated."""

    def __init__(self, seed: int, folder: Path, operator: str, capacity: int = 9) -> None:
        self.ports = {
            name: {purpose: free_port() for purpose in ("public", "peers", "state", "cloud")}
            for name in CONTROLLER_NAMES
        }
        super().__init__(MonotonicTime(), seed, capacity)
        self.network = SocketNetwork(self.rng, self.ports)
        self.cloud = SocketCloud(self, self.rng, capacity)
        self.store.on_change = self._on_store_change
        self.network.hosts[FakeKeyValueStore.HOST] = self.store.handle
        self.network.hosts[FakeCloud.HOST] = self.cloud.handle
        self.settings: Settings = self.controller_settings[CONTROLLER_NAMES[0]]
        self.settings.cluster.workers.heartbeat_interval_s = HEARTBEAT_INTERVAL_S
        self.settings.cluster.workers.lease_s = LEASE_S
        self.settings.cluster.workers.cancel_s = CANCEL_S
        self.settings.cluster.cloud.list_lag_s = 0.5
        self.folder = folder
        self.program = ["run.py"]  # arguments of the interpreter that start a controller
        (folder / "operator.textproto").write_text(operator)
        self.elections: list[tuple[float, str]] = []

    def _on_store_change(self, key: str, data: Any) -> None:
        self.cloud.operations.on_stored(key, data)
        if key == LEADER_KEY:
            self.elections.append((self.clock.now, data["node"]))

    def leader(self) -> str | None:
        """Return the holder of the leader key."""
        value = self.store.data.get(LEADER_KEY)
        return value[0]["node"] if value is not None else None

    # -- processes -------------------------------------------------------------

    def write_settings(self, name: str) -> Path:
        """Write the settings file of a controller and return its path."""
        path = self.folder / f"{name}.toml"
        seeds = "".join(
            SEED_TEMPLATE.format(name=other, zone=ZONES[other], peers=self.ports[other]["peers"])
            for other in CONTROLLER_NAMES
            if other != name
        )
        teams = "\n".join(
            TEAM_TEMPLATE.format(name=team.name, gpus=team.gpus, gpus_max=team.gpus_max)
            for team in self.settings.cluster.teams
        )
        path.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                zone=ZONES[name],
                seeds=seeds,
                teams=teams,
                heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
                lease_s=LEASE_S,
                cancel_s=CANCEL_S,
                **self.ports[name],
            )
        )
        return path

    def start_process(self, name: str) -> None:
        """Start a controller process; its log is appended to a file."""
        command = [sys.executable, *self.program, "--config", str(self.write_settings(name))]
        command += ["--operator", str(self.folder / "operator.textproto")]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.controllers[name] = subprocess.Popen(command, cwd=ROOT, stderr=log)

    def pause(self, name: str) -> None:
        os.kill(self.controllers[name].pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        os.kill(self.controllers[name].pid, signal.SIGCONT)

    def kill_all(self) -> None:
        for process in self.controllers.values():
            process.kill()
            process.wait()

    def read_log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    # -- scenario steps -----------------------------------------------------------------

    async def start(self, machines: int) -> None:
        """Start the fakes, the machines and the controllers, and wait for a leader."""
        for name, ports in self.ports.items():
            for host in (FakeKeyValueStore.HOST, FakeCloud.HOST):
                port = ports["state" if host == FakeKeyValueStore.HOST else "cloud"]
                handler = self._current_handler(host)
                await curio.spawn(serve, port, handler, name, daemon=True)
        await curio.spawn(self.run_steps, daemon=True)
        for number in range(machines):
            await self.cloud.add("ab"[number % 2], False)
        for name in self.controller_names:
            self.start_process(name)
        await self.wait_until(lambda: self.leader() is not None)

    def _current_handler(self, host: str) -> Callable[[], Any]:
        return lambda: self.network.hosts[host]

    async def wait_until(
        self,
        condition: Callable[[], Any],
        event: str = "a condition",
        max_s: float = EVENT_TIMEOUT_S,
    ) -> None:
        """Wait until `condition` is true; the timeout only ends a scenario that hangs."""
        end = self.clock.now + max_s
        while not condition():
            assert self.clock.now < end, f"timed out waiting for {event}"
            await curio.sleep(POLL_INTERVAL_S)


def run_loopback_scenario(
    act: Callable[[Any], Awaitable[None]],
    folder: Path,
    seed: int = 1,
    operator: str = "record_orders: true\n",
    kind: type[LoopbackSimulation] = LoopbackSimulation,
) -> LoopbackSimulation:
    """Run a scenario with real processes, which are killed even if it fails.

    `act` gets a simulation of the class `kind`.
    """
    simulations: list[LoopbackSimulation] = []

    async def main() -> None:
        simulation = kind(seed, folder, operator)
        simulations.append(simulation)
        try:
            await act(simulation)
        finally:
            simulation.kill_all()
            await curio.sleep(0.2)  # lets the last connections close before the curio kernel stops

    curio.run(main)
    return simulations[0]
