"""CPU accounting: running time is counted by category, waiting time is not."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import curio
import pytest

from topazhold.io.cpu_accounting import CpuAccounting, WorkCategory


class Clock:
    def __init__(self) -> None:
        self.now = 50.0

    def advance(self, seconds: float) -> None:
        self.now += seconds


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", lambda: clock.now)
    return clock


def nonzero_usage(cpu_accounting: CpuAccounting) -> dict[WorkCategory, tuple[float, int]]:
    """Return the seconds and the number of slices of each category that has any."""
    return {
        category: (usage.seconds, usage.slices)
        for category, usage in cpu_accounting.usage_by_category.items()
        if usage.slices
    }


def run_in_categories(
    cpu_accounting: CpuAccounting, *loops: tuple[WorkCategory, Callable[[], Awaitable[None]]]
) -> None:
    async def main() -> None:
        async with curio.TaskGroup() as group:
            for category, loop in loops:
                await group.spawn(cpu_accounting.run_in_category, category, loop)

    curio.run(main, activations=[cpu_accounting])


def test_time_spent_waiting_for_another_task_is_not_counted(clock: Clock) -> None:
    cpu_accounting = CpuAccounting()
    ready = curio.Event()

    async def plan() -> None:
        clock.advance(2.0)
        await ready.set()
        clock.advance(1.0)

    async def report() -> None:
        await ready.wait()
        clock.advance(0.5)

    run_in_categories(
        cpu_accounting, (WorkCategory.HEARTBEATS, report), (WorkCategory.PLANNING, plan)
    )
    measured = nonzero_usage(cpu_accounting)
    assert measured[WorkCategory.PLANNING] == (3.0, 1)
    assert measured[WorkCategory.HEARTBEATS] == (0.5, 2)
    assert cpu_accounting.report_line().startswith(
        "busy 100.0% of 4 s: planning 85.71% (1, 3000.00 ms, at most 3000)"
    )


def test_slice_counts_for_the_category_that_is_set_during_it(clock: Clock) -> None:
    """A connection's category is known only after it has read the request."""
    cpu_accounting = CpuAccounting()

    async def connection() -> None:
        for category in (WorkCategory.HEARTBEATS, WorkCategory.USERS):
            clock.advance(1.0)
            cpu_accounting.set_category(category)
            clock.advance(1.0)
            await curio.sleep(0)

    async def uncategorized() -> None:
        clock.advance(1.0)

    async def main() -> None:
        await curio.spawn(connection, daemon=True)
        await curio.sleep(0)
        await (await curio.spawn(uncategorized)).join()

    curio.run(main, activations=[cpu_accounting])
    measured = nonzero_usage(cpu_accounting)
    assert measured[WorkCategory.HEARTBEATS] == (2.0, 1)
    assert measured[WorkCategory.USERS] == (2.0, 2)  # the second slice is the end of the task
    assert measured[WorkCategory.OTHER][0] == 1.0


def test_report_resets_the_usage(clock: Clock) -> None:
    cpu_accounting = CpuAccounting()

    async def work() -> None:
        clock.advance(3.0)

    run_in_categories(cpu_accounting, (WorkCategory.CLOUD, work))
    assert "cloud" in cpu_accounting.report_line()
    clock.advance(4.0)
    assert cpu_accounting.report_line().startswith("busy 0.0% of 4 s: ;")
    assert cpu_accounting._categories == {}, "categories of ended tasks are removed"
