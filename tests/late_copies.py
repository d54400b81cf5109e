"""Late copies of messages that were carried out before, and variants that they must break.

Start commands travel in responses to heartbeats only, and a worker drops a response that is
older than four seconds. What can arrive again are the heartbeats, at any controller, and the direct
commands, at their worker.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import curio
import pytest

from tests.fakes.worker import HEARTBEAT_PATH, HEARTBEAT_TIMEOUT_S, FakeWorker
from tests.simulation.deployment import Simulation
from topazhold.core.machines import Machine
from topazhold.core.scheduler import Scheduler
from topazhold.core.task_attempts import AttemptState
from topazhold.core.worker_commands import WorkerCommands
from topazhold.io.http import NoResponseError, RequestNotSentError
from topazhold.wire import messages as wire
from topazhold.wire.codec import pack, unpack
from topazhold.wire.workers import Command

Patch = Callable[[pytest.MonkeyPatch], None]

#: Share of the messages that are copied.
COPIED_SHARE = 0.4
#: Range of the delays of copies: from seconds to well over a worker's lease.
MIN_COPY_DELAY_S = 2.0
MAX_COPY_DELAY_LEASES = 2.5
#: Rule that a launch which arrives after its job's cancellation was carried out violates.
LAUNCHED_CANCELLED = "launched_cancelled"


class LateCopies:
    """Delivers copies of heartbeats and direct commands again, long after the originals."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        self._simulation = simulation
        self._rng = Random(seed)
        self._send = simulation.network.request
        self._max_delay_s = MAX_COPY_DELAY_LEASES * simulation.settings.cluster.workers.lease_s
        self.delivered = {HEARTBEAT_PATH: 0, wire.COMMANDS_PATH: 0}  # by path
        simulation.network.request = self._request  # type: ignore[method-assign]

    async def _request(
        self, source: str, target: str, method: str, path: str, message: Any, timeout_s: float
    ) -> tuple[int, bytes]:
        if path in self.delivered and self._rng.random() < COPIED_SHARE:
            copy = pack(message)
            await curio.spawn(self._deliver, source, target, path, copy, daemon=True)
        return await self._send(source, target, method, path, message, timeout_s)

    async def _deliver(self, source: str, target: str, path: str, copy: bytes) -> None:
        """Deliver a copy: a heartbeat to a drawn controller, a command to its worker."""
        await curio.sleep(self._rng.uniform(MIN_COPY_DELAY_S, self._max_delay_s))
        if path == HEARTBEAT_PATH:
            target = self._rng.choice(self._simulation.controller_names)
        handler = self._simulation.network.hosts.get(target)
        if handler is None:
            return
        try:
            await handler(source, "POST", path, unpack(copy))
        except (RequestNotSentError, NoResponseError):
            return
        self.delivered[path] += 1


class CopiedSimulation(Simulation):
    """A simulation that also checks that no launch follows a cancellation that was carried out."""

    def task_launched(self, worker: FakeWorker, task_name: str) -> None:
        super().task_launched(worker, task_name)
        confirmed_at = self.rules.cancel_confirmed_at.get(task_name.partition("/")[0])
        # A launch that was in flight when the cancellation was confirmed arrives within this time.
        if confirmed_at is not None and self.clock.now - confirmed_at > HEARTBEAT_TIMEOUT_S:
            self.record_violation(LAUNCHED_CANCELLED, f"{task_name} on {worker.name}")


def accept_any_sequence(patch: pytest.MonkeyPatch) -> None:
    """Process heartbeats even if they are older than the last one."""
    on_heartbeat = Scheduler.on_heartbeat

    def without_sequence(self: Scheduler, heartbeat: Any, *args: Any, **kwargs: Any) -> Any:
        machine = self.machines.get(heartbeat.machine)
        if machine is not None:
            machine.sequence = -1
        return on_heartbeat(self, heartbeat, *args, **kwargs)

    patch.setattr(Scheduler, "on_heartbeat", without_sequence)


def launch_by_direct_commands(patch: pytest.MonkeyPatch) -> None:
    """Send launches directly as well, where a copy of them can arrive at any time."""
    direct_commands = WorkerCommands.direct_commands
    wake = WorkerCommands.wake

    def with_launches(self: WorkerCommands, machine: Machine) -> list[Command]:
        commands = direct_commands(self, machine)
        for attempt in machine.attempts.values():
            if attempt.state is AttemptState.WRITTEN and not attempt.stopping:
                attempt.mark_launch_sent(machine.sequence, attempt.state_since)
                commands.append(wire.launch(attempt.task_name, attempt.attempt_number))
        return commands

    def command_at_once(self: WorkerCommands, machine: Machine, now: float) -> None:
        wake(self, machine, now)
        self._cluster.queue_command(machine.name)

    patch.setattr(WorkerCommands, "direct_commands", with_launches)
    patch.setattr(WorkerCommands, "wake", command_at_once)


VARIANTS: dict[str, Patch] = {
    patch.__name__: patch for patch in (accept_any_sequence, launch_by_direct_commands)
}
