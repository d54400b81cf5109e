"""Real processes on loopback, with proxies that repeat what they carried before."""

from __future__ import annotations

from http import HTTPStatus
from pathlib import Path
from typing import Any

import curio

from tests.fakes.worker import HEARTBEAT_PATH, HEARTBEAT_TIMEOUT_S
from tests.job_specs import submission_fields
from tests.late_copies import LAUNCHED_CANCELLED, CopiedSimulation
from tests.loopback import (
    EVENT_TIMEOUT_S,
    LOOPBACK,
    POLL_INTERVAL_S,
    LoopbackSimulation,
    SocketCloud,
    SocketNetwork,
    free_port,
    run_loopback_scenario,
)
from tests.repeating_proxy import RepeatingProxy
from topazhold.io.client import Client
from topazhold.wire import messages as wire

#: Jobs that are submitted at each point, beside an array that is then cancelled.
JOBS = 4
ARRAY_TASKS = 24
ARRAY_FIELDS = {
    "job_class": "fill",
    "team": "red",
    "shape": "batch",
    "urgency": "urgent",
    "tasks": ARRAY_TASKS,
    "cpus": 0.5,
    "gpus": 0.25,
    "memory_gb": 1.0,
    "image_gb": 0.5,
    "machine_types": None,
    "zone": None,
    "same_zone": False,
    "spread_zones": False,
    "spot": True,
    "checkpoint_s": 0.0,
}
#: Times that the leader is ended, and the range of the seconds until its process starts again.
RESTARTS = 2
RESTART_DELAY_S = (0.1, 0.8)
#: Earlier requests that each proxy repeats in a round, rounds after a restart, and seconds between.
REPEATED_REQUESTS = 20
REPEATED_ROUNDS = 8
ROUND_INTERVAL_S = 0.5
#: The rules that a late copy of a start command would break.
CHECKED_RULES = {"ran_twice", "ran_cancelled", LAUNCHED_CANCELLED}
#: More requests than a proxy carries in a scenario.
ALL_REQUESTS = 1_000_000


class ProxiedCloud(SocketCloud):
    """A fake cloud that has a repeating proxy in front of each worker."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.proxies: list[RepeatingProxy] = []

    async def add(self, zone: str, spot: bool, boots: bool = True) -> str:
        name = await super().add(zone, spot, boots)
        worker = self.workers[name]
        proxy = RepeatingProxy(LOOPBACK, free_port(), int(worker.host.rpartition(":")[2]))
        worker.host = f"{LOOPBACK}:{proxy.port}"
        self.proxies.append(proxy)
        await curio.spawn(proxy.run, daemon=True)
        return name


class ProxiedSimulation(CopiedSimulation, LoopbackSimulation):
    """Real processes with a repeating proxy in front of each controller and each worker."""

    def __init__(self, seed: int, folder: Path, operator: str) -> None:
        LoopbackSimulation.__init__(self, seed, folder, operator)
        self.job_number = 0
        self.controller_proxies = {
            name: RepeatingProxy(LOOPBACK, free_port(), ports["public"])
            for name, ports in self.ports.items()
        }
        assert isinstance(self.network, SocketNetwork)
        self.network.clients = {
            name: Client((LOOPBACK, proxy.port), 8)
            for name, proxy in self.controller_proxies.items()
        }
        self.cloud = self.proxied_cloud = ProxiedCloud(self, self.rng, self.cloud.capacity)
        self.network.hosts[ProxiedCloud.HOST] = self.cloud.handle

    async def start(self, machines: int) -> None:
        for proxy in self.controller_proxies.values():
            await curio.spawn(proxy.run, daemon=True)
        await super().start(machines)

    async def repeat(self, count: int) -> None:
        """Repeat earlier heartbeats and direct commands, each proxy by itself."""
        tasks = [
            await curio.spawn(proxy.repeat, HEARTBEAT_PATH, count, self.rng)
            for proxy in self.controller_proxies.values()
        ]
        tasks += [
            await curio.spawn(proxy.repeat, wire.COMMANDS_PATH, count, self.rng)
            for proxy in self.proxied_cloud.proxies
        ]
        for task in tasks:
            await task.join()

    def repeated(self) -> int:
        """Return the number of repeated requests that were answered."""
        proxies = [*self.controller_proxies.values(), *self.proxied_cloud.proxies]
        return sum(proxy.repeated for proxy in proxies)

    async def submit_and_cancel(self) -> None:
        """Submit jobs; cancel an array whose tasks run, and wait until that is confirmed.

        The array has more tasks on a machine than ended ones are kept there for wake-ups, so that
        some are cleared: only those could be launched again.
        """
        for _ in range(JOBS):
            self.job_number += 1
            await curio.spawn(self.users.follow_job, self.job_number, daemon=True)
        job = await self._submit_array()
        await self.wait_until(
            lambda: (
                sum(
                    task.job == job
                    for worker in self.running_workers()
                    for task in worker.active_tasks()
                )
                > ARRAY_TASKS // 2
            ),
            "the array's tasks",
        )
        self.rules.cancel_requested.add(job)
        while not self.rules.end_is_reported(job):
            await self.users._cancel(job)
            await curio.sleep(POLL_INTERVAL_S)

    async def _submit_array(self) -> str:
        """Submit an array of small, long tasks until it is accepted; return its id."""
        self.job_number += 1
        spec = {
            **self.users.draw_spec(self.job_number),
            **submission_fields(ARRAY_FIELDS),
        }
        job = str(spec["id"])
        self.users.specs[job] = spec
        self.users.submitted_at[job] = self.clock.now
        self.tasks.job_run_s[job] = EVENT_TIMEOUT_S
        while await self.users._submit(spec) not in (HTTPStatus.OK, HTTPStatus.CREATED):
            await curio.sleep(ROUND_INTERVAL_S)
        return job

    async def restart_leader(self) -> None:
        """End the leader's process and start it again within a second, amid repeated requests."""
        await self.wait_until(lambda: self.leader() is not None, "a leader")
        name = self.leader()
        assert name is not None
        self.controllers[name].kill()
        self.controllers[name].wait()
        repeating = await curio.spawn(self.repeat, REPEATED_REQUESTS, daemon=True)
        await curio.sleep(self.rng.uniform(*RESTART_DELAY_S))
        self.start_process(name)
        for _ in range(REPEATED_ROUNDS):
            await curio.sleep(ROUND_INTERVAL_S)
            await self.repeat(REPEATED_REQUESTS)
        await repeating.join()


async def run_scene(simulation: ProxiedSimulation, restarts: int = RESTARTS) -> None:
    """Cancel jobs, repeat all that was carried, and restart leaders in between."""
    await simulation.start(machines=4)
    await simulation.submit_and_cancel()
    await curio.sleep(HEARTBEAT_TIMEOUT_S + ROUND_INTERVAL_S)
    await simulation.repeat(ALL_REQUESTS)
    for _ in range(restarts):
        await simulation.restart_leader()
        await simulation.submit_and_cancel()
    await curio.sleep(HEARTBEAT_TIMEOUT_S)
    await simulation.repeat(ALL_REQUESTS)


def test_repeated_requests_start_no_task_twice_or_after_its_cancellation(tmp_path: Path) -> None:
    """Guards against: a late copy of a start command is carried out by a real process."""
    simulation = run_loopback_scenario(run_scene, tmp_path, kind=ProxiedSimulation)
    assert isinstance(simulation, ProxiedSimulation)
    assert not CHECKED_RULES & set(simulation.violations), "\n".join(simulation.notes[-40:])
    assert simulation.repeated() > REPEATED_REQUESTS * REPEATED_ROUNDS
    assert len(simulation.elections) > RESTARTS


def test_repeated_requests_break_no_rule(tmp_path: Path) -> None:
    """Guards against: any broken rule by late copies, such as a second release of a machine."""
    simulation = run_loopback_scenario(run_scene, tmp_path, kind=ProxiedSimulation)
    assert simulation.violations == [], "\n".join(simulation.notes[-40:])


def test_scene_catches_controllers_that_launch_by_direct_commands(tmp_path: Path) -> None:
    """Shows that the check above can fail."""

    async def run_variant(simulation: ProxiedSimulation) -> None:
        simulation.program = ["-m", "tests.broken_controller", "launch_by_direct_commands"]
        await run_scene(simulation, restarts=0)

    simulation = run_loopback_scenario(run_variant, tmp_path, kind=ProxiedSimulation)
    assert CHECKED_RULES & set(simulation.violations)
