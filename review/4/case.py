"""A gang whose image is on one of its machines already, while the other has to fetch it."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from sites import DECA, job  # noqa: E402
from world import CouldNotRunError, World, run_case  # noqa: E402

IMAGE_GB = 17.0
#: The rate of a machine is `fetch_gb_per_s`, give or take a third.
FAST, SLOW = 4 / 3, 2 / 3


async def act(world: World) -> None:
    """Let one machine get the image, then submit a gang of two that needs it."""
    nominal = world.breed["fetch_gb_per_s"]
    world.cloud.boot_s = lambda: 1.0  # two machines are up at the start
    machines = [world.cloud.machines[world.cloud.add("attiki", False)] for _ in range(2)]
    for machine in machines:
        machine.fetch = nominal * FAST
    await world.wait_synced(machines)
    boot_s = world.breed["ready_s"]
    world.cloud.boot_s = lambda: boot_s * world.rng.uniform(0.6, 1.5)
    world.cloud.on_machine = lambda worker: setattr(worker, "fetch", nominal * later)
    later = SLOW if world.trouble else 1.0
    first = job(1, comb="scan-09", image_gb=IMAGE_GB, frames=1)
    if await world.submit(first, 1.0) not in (200, 201):
        raise CouldNotRunError("the first job was not accepted")
    if not await world.wait_done(first["id"], 40.0, 1.0):
        raise CouldNotRunError("the first job was not done")
    for machine in world.cloud.machines.values():
        machine.fetch = nominal * later
    gang = job(2, comb="scan-09", image_gb=IMAGE_GB, frames=2)
    if await world.submit(gang, 1.0) not in (200, 201):
        raise CouldNotRunError("the gang was not accepted")
    accepted = time.monotonic()
    done = False
    while world.now < 109.0 and not done:
        done = await world.stage(gang["id"]) == "done"
        await asyncio.sleep(2.0)
    tries = {n for _, frame, n, _ in world.starts if frame.startswith(gang["id"] + "/")}
    for line in world.log_lines("gang wk-000002"):
        world.note(f"log: {line}")
    world.note(f"the gang had {len(tries)} attempts in {time.monotonic() - accepted:.0f} s")
    if not done:
        if len(tries) < 2:
            raise CouldNotRunError("the gang had no second attempt")
        world.break_rule(f"the accepted gang has not run in {len(tries)} attempts")


run_case(HERE, DECA, act)
