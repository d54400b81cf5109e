"""A job whose only task met a machine that failed every task for a while."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from sites import DECA, job  # noqa: E402
from world import CouldNotRunError, World, run_case  # noqa: E402

SICK_S = 10.0


async def act(world: World) -> None:
    """Submit a job while the only machine is sick, and a second one when it is well again."""
    array = {"lane": "scan-tiling", "crew": "kiosks", "shape": "batch", "urgency": "best_effort"}
    array.update(same_place=False, comb="scan-01", image_gb=1.0, cap_s=0.0, seal_s=0.0)
    world.cloud.boot_s = lambda: 1.0  # one machine is up at the start
    name = world.cloud.add("attiki", False)
    machine = world.cloud.machines[name]
    await world.wait_synced([machine])
    boot_s = world.breed["ready_s"]
    world.cloud.boot_s = lambda: boot_s * world.rng.uniform(0.6, 1.5)
    machine.sick = world.trouble
    first = job(1, **array, vcpus=6.0, cards=1.0, ram_gb=24.0, forage_s=3.0, bloom_s=60.0)
    if await world.submit(first, 3.0) not in (200, 201):
        raise CouldNotRunError("the first job was not accepted")
    end = time.monotonic() + 30.0
    while not world.starts:
        if time.monotonic() > end:
            raise CouldNotRunError("the first job was not started in 30 s")
        await asyncio.sleep(0.2)
    await asyncio.sleep(SICK_S)
    machine.sick = False
    world.note(f"{name} is well again")
    well_at, started = time.monotonic(), len(world.starts)
    await asyncio.sleep(10.0)
    second = job(2, **array, vcpus=2.0, cards=0.0, ram_gb=8.0, forage_s=3.0, bloom_s=60.0)
    if await world.submit(second, 3.0) not in (200, 201):
        raise CouldNotRunError("the second job was not accepted")
    if not await world.wait_done(second["id"], 40.0):
        raise CouldNotRunError("the second job was not done")
    done = False
    while world.now < 108.0 and not done:
        done = await world.stage(first["id"]) == "done"
        await asyncio.sleep(4.0)
    for line in world.log_lines("wk-000001"):
        world.note(f"log: {line}")
    if done:
        return
    names = sorted(world.cloud.machines)
    tasks = [task.frame for each in world.cloud.machines.values() for task in each.tasks.values()]
    world.note(
        f"{time.monotonic() - well_at:.0f} s after the machine was well again: machines {names},"
        f" tasks reported by them {tasks}, rentals asked for since"
        f" {sum(at > well_at for at, _ in world.cloud.rentals)}, starts since"
        f" {[frame for at, frame, _, _ in world.starts[started:]]}"
    )
    world.break_rule("the accepted job wk-000001 doesn't run, though a sound machine stands idle")


run_case(HERE, DECA, act)
