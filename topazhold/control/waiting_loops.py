"""Periodic loops that run until they are cancelled."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import NoReturn, Protocol

import curio


class LoopBody(Protocol):
    """One iteration of a loop; an exception ends the loop."""

    def __call__(self) -> Awaitable[object]: ...


async def wait_then_work(pause_s: float, work: LoopBody) -> NoReturn:
    """Call `work` repeatedly, each time after `pause_s` seconds; raises what `work` raises."""
    while True:
        await curio.sleep(pause_s)
        await work()


async def work_then_wait(pause_s: float, work: LoopBody) -> NoReturn:
    """Call `work` repeatedly, with `pause_s` seconds in between; raises what `work` raises."""
    while True:
        await work()
        await curio.sleep(pause_s)
