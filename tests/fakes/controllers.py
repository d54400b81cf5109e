"""Settings and simulated processes of controllers of the current and production versions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import curio
import msgspec

from tests.fakes.cloud import FakeCloud
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import FakeClient
from tests.fakes.peer_link import PeerLink
from tests.versions import CURRENT, member
from topazhold.settings import Settings
from topazhold.wire.codec import pack

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation


def make_settings(name: str, zone: str, others: list[tuple[str, str]]) -> Settings:
    """Return a controller's settings: two zones, two teams, short intervals.

    `others` are the names and zones of the other controllers.
    """
    return msgspec.convert(
        {
            "node_name": name,
            "domain": zone,
            "bind": f"{name}:80",
            "peer_listen": f"{name}:81",
            "seeds": [{"node_name": o, "domain": z, "addr": f"{o}:81"} for o, z in others],
            "outside": {"cloud": FakeCloud.HOST, "state": FakeKeyValueStore.HOST},
            "cluster": {
                "zones": ["a", "b"],
                "teams": [
                    {"name": "red", "gpus": 8.0, "gpus_max": 20.0},
                    {"name": "blue", "gpus": 4.0, "gpus_max": 12.0},
                ],
                "workers": {
                    "report_s": 1.0,
                    "lease_s": 10.0,
                    "gang_wait_s": 20.0,
                    "gang_peer_s": 4.0,
                    "cancel_s": 20.0,
                },
                "state": {"rps": 400.0, "write_rps": 200.0, "value_kb": 8.0, "txn_ops": 8},
                "cloud": {"rps": 20.0, "list_lag_s": 2.0},
                "limits": {"cpu_share": 0.5, "mem_mb": 100.0, "sockets": 100},
            },
        },
        Settings,
    )


def create_controller(simulation: Simulation, name: str, process: dict[str, bool]) -> Any:
    """Create a controller of the version that is installed under its name, without starting it.

    `process["running"]` is set to False when its process is killed; its clients then send
    nothing more.
    """
    version = simulation.versions.get(name, CURRENT)
    settings = version.settings(simulation.controller_settings[name])

    def dial(address: tuple[str, int], keep: int) -> Any:
        return FakeClient(
            simulation.network,
            name,
            address,
            lambda: process["running"],
            simulation.wait_while_paused,
            version,
        )

    operator = version.load("settings", "OperatorSettings")()
    controller = version.load("control.controller", "Controller")(settings, operator, dial)
    member(controller, "services.rng").seed(simulation.rng.random())
    member(controller, "peers.connections").update(
        {
            other: PeerLink(simulation, name, other)
            for other in simulation.controller_names
            if other != name
        }
    )
    return controller


async def start_controller(simulation: Simulation, name: str) -> None:
    """Start a controller process, as the platform does after an exit."""
    process = {"running": True}
    controller = create_controller(simulation, name, process)
    request_kind = simulation.versions.get(name, CURRENT).load("io.http", "Request")
    host = simulation.controller_settings[name].bind

    async def handle(source: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        data = pack(body) if body is not None else b""
        await simulation.wait_while_paused(name)
        answer = await member(controller, "handle")(request_kind(method, path, data))
        await simulation.wait_while_paused(name)
        return member(answer, "status"), member(answer, "body")

    task = await curio.spawn(member(controller, "run_background_loops"), daemon=True)
    simulation.controllers[name] = controller
    simulation.processes[name] = (task, process)
    simulation.network.hosts[host] = handle
    simulation.network.hosts[name] = handle
    simulation.network.zones[name] = simulation.zones[name]


async def stop_controller(simulation: Simulation, name: str) -> None:
    """Kill a controller process without a clean shutdown; its memory is lost."""
    task, process = simulation.processes.pop(name)
    process["running"] = False
    settings = simulation.controller_settings[name]
    simulation.network.hosts.pop(settings.bind, None)
    simulation.network.hosts.pop(name, None)
    simulation.controllers.pop(name, None)
    await task.cancel(blocking=False)
