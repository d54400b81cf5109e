"""Direct commands and releases when many machines are silent at once."""

from __future__ import annotations

from random import Random
from typing import Any

import curio
import pytest

from tests.fakes.controllers import make_settings
from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.job_specs import MACHINE_TYPE, make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.control.direct_commands import DirectCommands
from topazhold.control.election import ElectionResult
from topazhold.control.term_context import TermContext
from topazhold.core.autoscaling import MAX_RELEASED_MACHINES
from topazhold.core.jobs import Job
from topazhold.core.reservations import ReservationTable
from topazhold.core.scheduler import Scheduler
from topazhold.core.task_attempts import AttemptState, TaskAttempt
from topazhold.io.http import NoResponseError
from topazhold.operations.operation_log import OperationLog
from topazhold.operator_settings import OperatorSettings


def add_cancelled_task(scheduler: Scheduler, number: int, name: str, now: float) -> TaskAttempt:
    job = Job(make_spec(number, tasks=1, shape="batch"), now, 0.0, "hive-0")
    scheduler.add_job(job)
    attempt = TaskAttempt(job, 0, 1, name, now)
    attempt.state = AttemptState.RUNNING
    job.add_attempt(attempt)
    scheduler.machines[name].attach(attempt)
    scheduler.usage.add(job)
    scheduler.on_job_ended(job.id, False, now, now)
    return attempt


def test_responsive_machines_and_cancelled_tasks_are_commanded_first(
    harness: SchedulerHarness,
) -> None:
    scheduler = harness.scheduler
    harness.now += 3 * scheduler.heartbeat_interval_s
    harness.heartbeat("host-2", zone="a")
    harness.heartbeat("host-3", zone="b")
    add_cancelled_task(scheduler, 7, "host-3", harness.now)
    order = scheduler.command_order(["host-0", "host-1", "host-2", "host-3"], harness.now)
    assert [machine.name for machine in order] == ["host-3", "host-2", "host-0", "host-1"]


class UnresponsiveClient:
    """A client whose requests get no response; records the requested hosts."""

    requested_hosts: list[str] = []

    def __init__(self, address: tuple[str, int], max_idle: int) -> None:
        self._host = address[0]

    async def request(self, *args: Any) -> Any:
        UnresponsiveClient.requested_hosts.append(self._host)
        await curio.sleep(args[-1])
        raise NoResponseError("dead")

    async def close(self) -> None:
        pass


def make_context(machines: int) -> tuple[TermContext, Scheduler]:
    settings = make_settings("hive-0", "a", [])
    scheduler = Scheduler(
        settings, OperatorSettings(), 3, ReservationTable("hive-0"), Random(1), 0.0
    )
    scheduler.machine_types = {"b1": MACHINE_TYPE}
    for number in range(machines):
        machine = scheduler.add_machine(f"host-{number:06d}", "a", False, "b1", 0.0)
        machine.endpoint = f"10.0.{number // 250}.{number % 250}:9000"
    elected = ElectionResult(3, 7, 0.0)
    context = TermContext(settings, None, scheduler, elected, lambda now: True)  # type: ignore[arg-type]
    return context, scheduler


def test_silent_machines_do_not_delay_kills_on_responsive_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With sixteen commands in flight in order of name, the last of 300 machines waited 20 s."""

    async def main(clock: VirtualTime) -> None:
        UnresponsiveClient.requested_hosts.clear()
        context, scheduler = make_context(300)
        responsive = scheduler.machines["host-000299"]
        responsive.last_heartbeat_at = await curio.clock()
        for number, name in enumerate(scheduler.machines):
            add_cancelled_task(scheduler, number, name, clock.now)
        direct_commands = DirectCommands(context, 640, UnresponsiveClient, lambda heartbeat: None)  # type: ignore[arg-type]
        await direct_commands.send_due()
        await curio.sleep(0.01)
        assert "10.0.1.49" in UnresponsiveClient.requested_hosts
        assert len(UnresponsiveClient.requested_hosts) < 20, (
            "slots stay free for responsive machines"
        )

    run_virtual(main, monkeypatch)


def test_machines_with_cancelled_tasks_are_released_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request has at most a hundred machines: in order of name, a machine whose release is
    required waited behind idle ones."""

    async def main(clock: VirtualTime) -> None:
        context, scheduler = make_context(250)
        for machine in list(scheduler.machines.values()):
            scheduler.release(machine, "idle", clock.now)
        add_cancelled_task(scheduler, 1, "host-000249", clock.now)
        operation_log = OperationLog(
            context.node, context.term, context.max_value_bytes, retention_s=1.0
        )
        operation_log.mark_recorded(
            operation_log.decide_scale_in(scheduler.releases, clock.now), clock.now
        )
        request = operation_log.release_request(scheduler.must_be_released, only_required=False)
        assert request is not None
        assert len(request.names) == MAX_RELEASED_MACHINES and request.names[0] == "host-000249"

    run_virtual(main, monkeypatch)
