"""Loops that wait and work, again and again, until they are cancelled."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import NoReturn, Protocol

import curio


class LoopBody(Protocol):
    """One pass of a loop; what it raises ends the loop."""

    def __call__(self) -> Awaitable[object]: ...


async def wait_then_work(pause_s: float, work: LoopBody) -> NoReturn:
    """Wait `pause_s` seconds, work, and so on; raises what `work` raises."""
    while True:
        await curio.sleep(pause_s)
        await work()


async def work_then_wait(pause_s: float, work: LoopBody) -> NoReturn:
    """Work, wait `pause_s` seconds, and so on; raises what `work` raises."""
    while True:
        await work()
        await curio.sleep(pause_s)
