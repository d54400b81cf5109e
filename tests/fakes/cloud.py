"""The cloud that rents machines out, and takes them back."""

from __future__ import annotations

from random import Random
from typing import Any

import curio

from tests.cloud_operation_history import CloudOperationHistory
from tests.fakes.worker import FakeWorker


class FakeCloud:
    """Rents machines; its list is late and may run backwards."""

    HOST = "cloud:1"

    def __init__(self, simulation: Any, rng: Random, capacity: int) -> None:
        self.simulation = simulation
        self.rng = rng
        self.capacity = capacity
        self.workers: dict[str, FakeWorker] = {}
        self.asks: dict[str, list[str]] = {}
        self.number = 0
        self.history: list[tuple[float, list[dict[str, Any]]]] = []
        self.orders = CloudOperationHistory(simulation)
        self.down = False

    async def add(self, zone: str, spot: bool, boots: bool = True) -> str:
        name = f"host-{self.number:06d}"
        self.number += 1
        worker = FakeWorker(self.simulation, name, zone, spot, self.rng)
        self.workers[name] = worker
        self.simulation.network.zones[worker.host] = zone
        if boots:
            self.simulation.network.hosts[worker.host] = worker.handle
            await curio.spawn(worker.run, daemon=True)
        return name

    def remove(self, worker: FakeWorker) -> None:
        """A machine is gone with all that is on it."""
        worker.gone = True
        worker.tasks.clear()
        self.workers.pop(worker.name, None)

    def snapshot(self) -> None:
        now = self.simulation.clock.now
        machine_names = [
            {
                "id": w.name,
                "endpoint": w.host,
                "breed": "b1",
                "apiary": w.zone,
                "drones": w.spot,
                "stage": w.state(now),
                "age_s": now - w.rented_at,
            }
            for w in self.workers.values()
        ]
        self.history.append((now, machine_names))
        self.history = [item for item in self.history if now - item[0] < 12.0]

    async def handle(self, source: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        if self.down:
            return 503, {"error": "trouble"}
        if method == "GET" and path.startswith("/machines"):
            lag = self.rng.uniform(0.0, 2.0) * self.simulation.settings.cluster.cloud.list_lag_s
            wanted = self.simulation.clock.now - lag
            old = [machine_names for at, machine_names in self.history if at <= wanted]
            machine_names = old[-1] if old else []
            return 200, {"boxes": machine_names, "truncated": False}
        if path == "/catalog":
            return 200, {
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
        self.orders.arrived(source)
        if path == "/machines/release":
            await curio.sleep(0.2)
            there = [self.workers[name] for name in body["boxes"] if name in self.workers]
            self.orders.released(source, there)
            for worker in there:
                self.remove(worker)
            return 200, {}
        if body["swarm_ask"] in self.asks:
            return 200, {"boxes": self.asks[body["swarm_ask"]]}
        available = self.capacity - len(self.workers)
        if available <= 0:
            return 503, {"error": "no capacity"}
        names = [
            await self.add(body["apiary"], body["drones"], self.rng.random() > 0.1)
            for _ in range(min(available, body["count"]))
        ]
        self.asks[body["swarm_ask"]] = names
        self.orders.rented(source, body["swarm_ask"], names)
        return 200, {"boxes": names}
