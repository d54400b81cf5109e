"""Faults of machines and of the tasks on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.fakes.worker import FakeWorker
from tests.simulation.fault import Fault

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

#: Range of the seconds from the notice until a machine is revoked.
NOTICE_S = (2.0, 10.0)
#: Share of the running replicas that end.
ENDED_REPLICA_SHARE = 0.3


def _draw_workers(simulation: Simulation) -> list[FakeWorker]:
    """Draw one or two running workers."""
    workers = simulation.running_workers()
    return simulation.rng.sample(workers, min(len(workers), simulation.rng.choice([1, 2])))


def _draw_third_of_workers(simulation: Simulation) -> list[FakeWorker]:
    workers = simulation.running_workers()
    return simulation.rng.sample(workers, len(workers) // 3)


async def hang(simulation: Simulation, fault: Fault) -> None:
    """Hang machines: their tasks make no progress, and they answer nothing."""
    for worker in _draw_workers(simulation):
        worker.hanging_until = simulation.clock.now + fault.duration_s


async def lose_answers(simulation: Simulation, fault: Fault) -> None:
    """Lose all answers and commands to machines; their heartbeats arrive."""
    for worker in _draw_workers(simulation):
        worker.commands_lost_until = simulation.clock.now + 2 * fault.duration_s


async def lose_heartbeats(simulation: Simulation, fault: Fault) -> None:
    """Lose all heartbeats of machines; direct commands to them arrive."""
    for worker in _draw_workers(simulation):
        worker.heartbeats_lost_until = simulation.clock.now + fault.duration_s


async def restart_worker(simulation: Simulation, fault: Fault) -> None:
    """Restart workers: they lose all tasks and start a new incarnation."""
    for worker in _draw_workers(simulation):
        worker.start_incarnation()


async def revoke_with_notice(simulation: Simulation, fault: Fault) -> None:
    """Give machines notice that the cloud revokes them within seconds."""
    for worker in _draw_workers(simulation):
        worker.revoked_at = simulation.clock.now + simulation.rng.uniform(*NOTICE_S)


async def revoke_without_notice(simulation: Simulation, fault: Fault) -> None:
    """Revoke machines without notice."""
    for worker in _draw_workers(simulation):
        simulation.cloud.remove(worker)


async def fail_all_tasks(simulation: Simulation, fault: Fault) -> None:
    """Make machines fail every task from now on."""
    for worker in _draw_workers(simulation):
        worker.fails_tasks = True


async def hang_third(simulation: Simulation, fault: Fault) -> None:
    """Hang a third of the machines."""
    for worker in _draw_third_of_workers(simulation):
        worker.hanging_until = simulation.clock.now + fault.duration_s


async def kill_third(simulation: Simulation, fault: Fault) -> None:
    """Crash a third of the machines."""
    for worker in _draw_third_of_workers(simulation):
        worker.crash()


async def lose_answers_to_zone(simulation: Simulation, fault: Fault) -> None:
    """Lose all answers and commands to the machines of a zone."""
    zone = simulation.rng.choice("ab")
    for worker in simulation.cloud.workers.values():
        if worker.zone == zone:
            worker.commands_lost_until = simulation.clock.now + fault.duration_s


async def end_replicas(simulation: Simulation, fault: Fault) -> None:
    """End some running replicas, as done or failed."""
    for worker in simulation.cloud.workers.values():
        for task in worker.tasks.values():
            if task.spec.get("shape") == "daemon" and task.state == "running":
                if simulation.rng.random() < ENDED_REPLICA_SHARE:
                    worker.end_task(task, simulation.rng.choice(["done", "error"]))


FAULTS = {
    "hang": hang,
    "deaf": lose_answers,
    "mute": lose_heartbeats,
    "blink": restart_worker,
    "notice": revoke_with_notice,
    "taken": revoke_without_notice,
    "sick": fail_all_tasks,
    "mass_hang": hang_third,
    "mass_die": kill_third,
    "deaf_zone": lose_answers_to_zone,
    "replicas_end": end_replicas,
}
