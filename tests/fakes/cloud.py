"""A fake of the cloud, which rents out machines and takes them back."""

from __future__ import annotations

from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING, Any

import curio

from tests.cloud_operation_history import CloudOperationHistory
from tests.fakes.worker import FakeWorker

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

Response = tuple[int, Any]

#: Seconds for which past machine lists are retained.
MACHINE_LIST_HISTORY_S = 12.0
#: Seconds that the cloud takes to release machines.
RELEASE_DELAY_S = 0.2
#: Longest lag of a returned machine list, as a multiple of the configured lag.
MAX_LIST_LAG_FACTOR = 2.0
#: Share of the rented machines whose worker never starts.
DEAD_ON_ARRIVAL_SHARE = 0.1
CATALOG = {
    "breeds": [
        {
            "label": "b1",
            "vcpus": 16,
            "cards": 4,
            "ram_gb": 64,
            "local_gb": 100,
            "fetch_gb_per_s": 2.0,
            "hourly": 10.0,
            "market_price": 4.0,
            "ready_s": 3,
            "apiaries": ["a", "b"],
        }
    ]
}


class FakeCloud:
    """Rents machines. Its machine list is stale, and may be older than the one before."""

    HOST = "cloud:1"

    def __init__(self, simulation: Simulation, rng: Random, capacity: int) -> None:
        self.simulation = simulation
        self.rng = rng
        self.capacity = capacity
        self.workers: dict[str, FakeWorker] = {}
        self.operations = CloudOperationHistory(simulation)
        self.down = False
        self.rented: dict[str, list[str]] = {}  # machine names, by request name
        self._next_number = 0
        self._machine_list_history: list[tuple[float, list[dict[str, Any]]]] = []

    async def add(self, zone: str, spot: bool, boots: bool = True) -> str:
        """Add a machine and return its name; without `boots`, its worker never starts."""
        name = f"host-{self._next_number:06d}"
        self._next_number += 1
        worker = FakeWorker(self.simulation, name, zone, spot, self.rng)
        self.workers[name] = worker
        self.simulation.network.zones[worker.host] = zone
        if boots:
            self.simulation.network.hosts[worker.host] = worker.handle
            await curio.spawn(worker.run, daemon=True)
        return name

    def remove(self, worker: FakeWorker) -> None:
        """Remove a machine with all its tasks."""
        worker.terminated = True
        worker.tasks.clear()
        self.workers.pop(worker.name, None)

    def record_machine_list(self) -> None:
        """Record the current machine list, which is returned to controllers later."""
        now = self.simulation.clock.now
        machines = [
            {
                "id": worker.name,
                "endpoint": worker.host,
                "breed": "b1",
                "apiary": worker.zone,
                "drones": worker.spot,
                "stage": worker.listed_stage(now),
                "age_s": now - worker.rented_at,
            }
            for worker in self.workers.values()
        ]
        self._machine_list_history.append((now, machines))
        self._machine_list_history = [
            item for item in self._machine_list_history if now - item[0] < MACHINE_LIST_HISTORY_S
        ]

    async def handle(self, source: str, method: str, path: str, body: Any) -> Response:
        """Handle a request of a controller."""
        if self.down:
            return HTTPStatus.SERVICE_UNAVAILABLE, {"error": "trouble"}
        if method == "GET" and path.startswith("/machines"):
            return HTTPStatus.OK, {"boxes": self._late_machine_list(), "truncated": False}
        if path == "/catalog":
            return HTTPStatus.OK, CATALOG
        self.operations.on_request(source)
        if path == "/machines/release":
            return await self._release(source, body)
        return await self._rent(source, body)

    def _late_machine_list(self) -> list[dict[str, Any]]:
        """Return a machine list that is up to `MAX_LIST_LAG_FACTOR` times the lag old."""
        lag_s = (
            self.rng.uniform(0.0, MAX_LIST_LAG_FACTOR)
            * self.simulation.settings.cluster.cloud.list_lag_s
        )
        cutoff = self.simulation.clock.now - lag_s
        listed = [machines for at, machines in self._machine_list_history if at <= cutoff]
        return listed[-1] if listed else []

    async def _release(self, source: str, body: Any) -> Response:
        await curio.sleep(RELEASE_DELAY_S)
        to_remove = [self.workers[name] for name in body["boxes"] if name in self.workers]
        self.operations.on_release(source, to_remove)
        for worker in to_remove:
            self.remove(worker)
        return HTTPStatus.OK, {}

    async def _rent(self, source: str, body: Any) -> Response:
        """Rent machines. A repeated request returns the machines of the first one."""
        request = body["swarm_ask"]
        if request in self.rented:
            return HTTPStatus.OK, {"boxes": self.rented[request]}
        available = self.capacity - len(self.workers)
        if available <= 0:
            return HTTPStatus.SERVICE_UNAVAILABLE, {"error": "no capacity"}
        names = [
            await self.add(
                body["apiary"], body["drones"], self.rng.random() > DEAD_ON_ARRIVAL_SHARE
            )
            for _ in range(min(available, body["count"]))
        ]
        self.rented[request] = names
        self.operations.on_rental(source, request, names)
        return HTTPStatus.OK, {"boxes": names}
