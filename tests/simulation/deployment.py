"""The simulated deployment: controllers, key-value store, cloud and machines.

A simulated run is called a day: jobs are submitted while faults occur, then the faults stop and
the jobs get time to finish.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import curio

from tests.fakes.cloud import FakeCloud
from tests.fakes.controllers import make_settings, start_controller, stop_controller
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.fakes.network import Network
from tests.fakes.virtual_time import START_S, VirtualTime
from tests.fakes.worker import FakeTask, FakeWorker
from tests.simulation.faults import FaultInjector
from tests.simulation.rules import CHECK_INTERVAL_S, RuleChecker
from tests.simulation.tasks import TaskExecution
from tests.simulation.users import Users
from tests.versions import Version, is_leading, production
from topazhold.settings import LaterLimits

CONTROLLER_NAMES = ("hive-0", "hive-1", "hive-2")
ZONES = {"hive-0": "a", "hive-1": "b", "hive-2": "a"}
#: Seconds until a restarted controller is up again; one of these is drawn.
RESTART_DELAYS_S = [0.05, 0.2, 1.0, 3.0]
#: Seconds after the last fault began until all faults and late requests are over.
SETTLING_S = 40.0
#: Share of services among the jobs, once all controllers support services.
SERVICE_SHARE_AFTER_UPGRADE = 0.3
#: Share of the time with faults that passes before the first controller is upgraded.
UPGRADE_START_SHARE = 0.2
#: Range of the seconds between the upgrades of two controllers.
UPGRADE_PAUSE_S = (1.0, 8.0)
#: Range of the seconds from the last upgrade until the key-value store lowers its limits.
LIMITS_LOWERED_AFTER_S = (0.0, 5.0)


class Simulation:
    """The controllers and everything around them; `violations` lists the broken rules."""

    def __init__(self, clock: VirtualTime, seed: int, capacity: int = 9) -> None:
        self.clock = clock
        self.rng = Random(seed)
        self.network = Network(self.rng)
        self.controller_names = list(CONTROLLER_NAMES)
        self.zones = ZONES
        self.controller_settings = {
            name: make_settings(
                name,
                ZONES[name],
                [(other, ZONES[other]) for other in CONTROLLER_NAMES if other != name],
            )
            for name in CONTROLLER_NAMES
        }
        self.settings = self.controller_settings[CONTROLLER_NAMES[0]]
        self.controllers: dict[str, Any] = {}
        self.processes: dict[str, Any] = {}
        self.versions: dict[str, Version] = {}  # by controller, if not the current one
        self.paused_until: dict[str, float] = {}  # by controller
        self.message_cost_s = 0.0  # time for which each message in or out occupies a controller
        self.peers_unreachable = False
        # Ratio of a new machine's fetch rate to the nominal one.
        self.draw_fetch_ratio: Callable[[], float] = lambda: 1.0
        self.fetches_share_rate = False  # among the images that a machine fetches at once
        self.peer_messages: dict[str, list[tuple[Any, ...]]] = {}  # most recent ones, by tag
        self.notes: list[str] = []
        self.violations: list[str] = []
        self.store = FakeKeyValueStore(clock)
        self.cloud = FakeCloud(self, self.rng, capacity)
        self.store.on_change = self.cloud.operations.on_stored
        self.network.hosts[FakeKeyValueStore.HOST] = self.store.handle
        self.network.hosts[FakeCloud.HOST] = self.cloud.handle
        self.tasks = TaskExecution(self)
        self.users = Users(self)
        self.rules = RuleChecker(self)
        self.faults = FaultInjector(self)

    def note(self, text: str) -> None:
        """Append a line with the elapsed time to the log of the run."""
        self.notes.append(f"{self.clock.now - START_S:8.2f} {text}")

    def record_violation(self, rule: str, text: str) -> None:
        """Record that a rule is broken."""
        self.violations.append(rule)
        self.note(f"BROKEN {rule}: {text}")

    @property
    def starts(self) -> int:
        """The number of tasks that have started."""
        return self.tasks.starts

    def leaders(self) -> list[str]:
        """Return the elected controllers; there may be several until a deposed one steps down."""
        return [name for name, controller in self.controllers.items() if is_leading(controller)]

    def running_workers(self) -> list[FakeWorker]:
        """Return the workers that have booted."""
        return [worker for worker in self.cloud.workers.values() if worker.up]

    def unfinished_jobs(self) -> list[str]:
        """Return the jobs whose end has not been reported to a user."""
        return [job for job in self.users.specs if not self.rules.end_is_reported(job)]

    # -- events of controllers and tasks -----------------------------------------

    async def wait_while_paused(self, name: str) -> None:
        """Wait while a controller is paused or busy with messages; its clocks keep running."""
        while self.clock.now < self.paused_until.get(name, 0.0):
            await curio.sleep(self.paused_until[name] - self.clock.now)
        if self.message_cost_s:
            self.paused_until[name] = self.clock.now + self.message_cost_s

    async def restart_controllers(
        self, names: list[str], delays_s: list[float] | None = None
    ) -> None:
        """Kill controllers and start them after a delay, including those that were down before."""
        for name in names:
            if name in self.controllers:
                await stop_controller(self, name)
        await curio.sleep(self.rng.choice(delays_s or RESTART_DELAYS_S))
        for name in names:
            if name not in self.controllers:
                await start_controller(self, name)

    def task_launched(self, worker: FakeWorker, task_name: str) -> None:
        """Record that a worker carries out a launch command."""
        self.cloud.operations.on_launch(worker, task_name)

    def task_started(self, worker: FakeWorker, task: FakeTask) -> None:
        """Record that a task starts, its image being pulled, and check the rules for starts."""
        self.tasks.record_start(task)
        self.rules.check_start(worker, task)

    def check_running_tasks(self) -> None:
        """Check the rules that apply to running tasks at every step."""
        self.rules.check_running_tasks()

    # -- a day -------------------------------------------------------------------

    async def run_steps(self) -> None:
        """Advance tasks and check the rules, step by step, until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            for worker in list(self.cloud.workers.values()):
                worker.step(CHECK_INTERVAL_S)
            await self.users.cancel_ending_jobs()
            self.check_running_tasks()
            self.rules.check_answered()
            self.rules.check_waiting()
            self.cloud.record_machine_list()

    def install_production(self, later_limits: LaterLimits) -> None:
        """Install the production version everywhere, and announce the lower limits to it."""
        self.versions = dict.fromkeys(self.controller_names, production())
        self.cloud.operations.checks_enabled = False  # production does not record its operations
        for settings in self.controller_settings.values():
            settings.cluster.key_value_store.next = later_limits

    async def upgrade(self, after_s: float, later_limits: LaterLimits) -> None:
        """Replace the controllers one after another by ones of the current version.

        One that crashes before its turn restarts with its old version. Once all are upgraded,
        services are submitted, and the key-value store lowers its limits.
        """
        await curio.sleep(after_s)
        for name in self.rng.sample(self.controller_names, len(self.controller_names)):
            self.versions.pop(name, None)
            await self.restart_controllers([name])
            self.note(f"{name} upgraded")
            await curio.sleep(self.rng.uniform(*UPGRADE_PAUSE_S))
        self.users.service_share = SERVICE_SHARE_AFTER_UPGRADE
        await curio.sleep(self.rng.uniform(*LIMITS_LOWERED_AFTER_S))
        self.note("limits lowered")
        self.store.lower_limits(later_limits)

    async def run_day(
        self,
        jobs: int,
        trouble_s: float,
        calm_s: float,
        kinds: list[str],
        later_limits: LaterLimits | None = None,
    ) -> None:
        """Submit jobs during `trouble_s` of faults, then wait up to `calm_s` for them to finish.

        With `later_limits`, the run begins with the production version, which is then upgraded.
        """
        if later_limits is not None:
            self.install_production(later_limits)
        await self._start_deployment()
        steps = await curio.spawn(self.run_steps, daemon=True)
        unknown_jobs = await curio.spawn(self.users.poll_unknown_jobs, daemon=True)
        faults = await curio.spawn(self.faults.run, kinds, daemon=True) if kinds else None
        if later_limits is not None:
            await curio.spawn(
                self.upgrade, UPGRADE_START_SHARE * trouble_s, later_limits, daemon=True
            )
        users = await self._submit_jobs(jobs, trouble_s)
        if faults is not None:
            await faults.cancel()
        self.note("calm")
        self.rules.faults_over_at = self.clock.now + SETTLING_S
        await self._wait_for_users(users, calm_s)
        for task in (steps, unknown_jobs, *users):
            await task.cancel()
        self.rules.check_starvation()
        for name in list(self.controllers):
            await stop_controller(self, name)

    async def _start_deployment(self) -> None:
        """Start the controllers, and machines for four ninths of the cloud's capacity."""
        for name in self.controller_names:
            await start_controller(self, name)
        for number in range(self.cloud.capacity * 4 // 9):
            await self.cloud.add("ab"[number % 2], False)

    async def _submit_jobs(self, jobs: int, over_s: float) -> list[Any]:
        users = []
        for number in range(jobs):
            users.append(await curio.spawn(self.users.follow_job, number, daemon=True))
            await curio.sleep(self.rng.uniform(0.0, 2 * over_s / jobs))
        return users

    async def _wait_for_users(self, users: list[Any], max_s: float) -> None:
        end = self.clock.now + max_s
        while self.clock.now < end and not all(user.terminated for user in users):
            await curio.sleep(1.0)
