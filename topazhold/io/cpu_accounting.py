"""CPU accounting: how long this process works, by category of work.

`CpuAccounting` is an activation of the curio kernel, which calls it whenever a task starts or
stops running. A slice is the time that a task runs between two waits; waiting is not counted.
Slices are measured with the monotonic clock and include time in which other processes have the
processor, so the figures show which part of this process's share of a processor each category
takes. The kernel's own time between slices is not counted.
"""

from __future__ import annotations

import resource
import statistics
import time
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

import curio
from curio.kernel import Activation

#: Interval between two samples of the timer delay, in heartbeat intervals.
SAMPLE_INTERVAL_HEARTBEATS = 0.5
#: Interval between two reports, in heartbeat intervals.
REPORT_INTERVAL_HEARTBEATS = 60
#: Maximum number of timer delay samples in one report.
MAX_SAMPLES = 512
#: Lower bound of the time that a report covers, in seconds, against a division by zero.
MIN_SPAN_S = 1e-9


class WorkCategory(Enum):
    """Categories of work; the values are printed in the reports."""

    HEARTBEATS = "heartbeats"
    USERS = "users"
    HEALTH = "health checks"
    PLANNING = "planning"
    SEARCHES = "searches"
    SUMMARIES = "summaries"
    COMMANDS = "direct commands"
    STATE = "key-value store"
    CLOUD = "cloud"
    PEERS = "peers"
    OTHER = "other"


class CategoryUsage:
    """The time that one category has used since the last report."""

    __slots__ = ("seconds", "slices", "longest_s")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.slices = 0
        self.longest_s = 0.0

    def describe(self, span_s: float) -> str:
        """Format the share of the time, and the number, mean and longest duration of slices."""
        mean_ms = 1000 * self.seconds / self.slices
        return (
            f"{100 * self.seconds / span_s:.2f}% ({self.slices}, "
            f"{mean_ms:.2f} ms, at most {1000 * self.longest_s:.0f})"
        )


class CpuAccounting(Activation):
    """Adds up how long tasks run, by category.

    A task starts in `OTHER` and sets its category with `set_category`; the whole slice in which
    it does so is counted for the new category.
    """

    def __init__(self) -> None:
        self._categories: dict[int, WorkCategory] = {}  # by id of the task that set it
        self._task_id = 0  # 0: no task runs
        self._category = WorkCategory.OTHER
        self._slice_started_at = 0.0
        self.usage_by_category = {category: CategoryUsage() for category in WorkCategory}
        self._report_started_at = time.monotonic()
        self._timer_delays: deque[float] = deque(maxlen=MAX_SAMPLES)  # in seconds

    def set_category(self, category: WorkCategory) -> None:
        """Set the category of the running task, including its current slice."""
        self._category = category
        if self._task_id:
            self._categories[self._task_id] = category

    async def run_in_category(
        self, category: WorkCategory, work: Callable[[], Awaitable[Any]]
    ) -> None:
        """Run `work` in the current task as work of `category`; its exceptions propagate."""
        self.set_category(category)
        await work()

    async def loop(self, heartbeat_interval_s: float, report: Callable[[str], None]) -> None:
        """Sample the timer delay, and report every `REPORT_INTERVAL_HEARTBEATS`."""
        interval_s = SAMPLE_INTERVAL_HEARTBEATS * heartbeat_interval_s
        while True:
            for _ in range(int(REPORT_INTERVAL_HEARTBEATS / SAMPLE_INTERVAL_HEARTBEATS)):
                due = time.monotonic() + interval_s
                await curio.sleep(interval_s)
                self._timer_delays.append(max(0.0, time.monotonic() - due))
            report(self.report_line())

    def running(self, task: Any) -> None:
        """Start a slice: the kernel is about to run a task."""
        self._task_id = task.id
        self._category = self._categories.get(task.id, WorkCategory.OTHER)
        self._slice_started_at = time.monotonic()

    def suspended(self, task: Any, trap: Any) -> None:
        """End the slice: the task waits or has ended."""
        usage = self.usage_by_category[self._category]
        slice_s = time.monotonic() - self._slice_started_at
        usage.seconds += slice_s
        usage.slices += 1
        if slice_s > usage.longest_s:
            usage.longest_s = slice_s
        self._task_id = 0

    def terminated(self, task: Any) -> None:
        """Remove the category of a task that has ended."""
        self._categories.pop(task.id, None)

    def report_line(self) -> str:
        """Return one line about the time since the last report, and start the next one."""
        now = time.monotonic()
        span_s = max(now - self._report_started_at, MIN_SPAN_S)
        busy_s = sum(usage.seconds for usage in self.usage_by_category.values())
        by_seconds = sorted(
            self.usage_by_category.items(), key=lambda item: item[1].seconds, reverse=True
        )
        parts = [
            f"{category.value} {usage.describe(span_s)}"
            for category, usage in by_seconds
            if usage.slices
        ]
        delays = self._timer_delays or [0.0]
        line = (
            f"busy {100 * busy_s / span_s:.1f}% of {span_s:.0f} s: {', '.join(parts)}; "
            f"timers late {1000 * statistics.median(delays):.0f} ms, at most "
            f"{1000 * max(delays):.0f} ms; memory at most {peak_memory_mb():.1f} MB"
        )
        self.usage_by_category = {category: CategoryUsage() for category in WorkCategory}
        self._timer_delays.clear()
        self._report_started_at = now
        return line


def peak_memory_mb() -> float:
    """Return the peak resident memory of the process, in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
