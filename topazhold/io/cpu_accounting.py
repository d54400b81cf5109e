"""Where this process's time goes: an account of its work by duty.

The account is an activation of the curio kernel. The kernel tells it whenever a task begins
to run and whenever it stops, so what a task waits for is never counted as its work. Time is
taken from the steady clock: what the process does while others have the processor counts,
too, and so the account shows how much of its share of a processor each duty takes.
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

#: Report periods between two looks at the timers, and between two statements.
LOOK_HEARTBEATS = 0.5
STATEMENT_HEARTBEATS = 60
#: Samples of how late timers fire that one statement is made of, at the most.
MAX_SAMPLES = 512


class WorkCategory(Enum):
    """What a task works for."""

    HEARTBEATS = "reports"
    USERS = "users"
    HEALTH = "health checks"
    PLANNING = "planning"
    SEARCHES = "searches"
    SUMMARIES = "summaries"
    COMMANDS = "direct commands"
    STATE = "state service"
    CLOUD = "cloud"
    PEERS = "peers"
    OTHER = "other"


class CategoryUsage:
    """What one duty has taken since the last statement."""

    __slots__ = ("seconds", "pieces", "longest_s")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.pieces = 0
        self.longest_s = 0.0


class CpuAccounting(Activation):
    """Sums up how long tasks run, by duty.

    A task begins without a duty, and each names its own by `enter`; the piece of work that
    it is in then counts for that duty as a whole.
    """

    def __init__(self) -> None:
        self._categories: dict[int, WorkCategory] = {}  # tasks that have named one
        self._task = 0
        self._category = WorkCategory.OTHER
        self._began = 0.0
        self.entries = {
            category: CategoryUsage() for category in WorkCategory
        }  # since the last statement
        self._since = time.monotonic()
        self._late: deque[float] = deque(maxlen=MAX_SAMPLES)

    def enter(self, category: WorkCategory) -> None:
        """From now on the running task works for `duty`."""
        self._category = category
        if self._task:
            self._categories[self._task] = category

    async def run_in_category(
        self, category: WorkCategory, work: Callable[[], Awaitable[Any]]
    ) -> None:
        """Run a loop as work for `duty`."""
        self.enter(category)
        await work()

    async def loop(self, heartbeat_interval_s: float, state: Callable[[str], None]) -> None:
        """Look at the timers, and make a statement every so many heartbeat intervals."""
        pause_s = LOOK_HEARTBEATS * heartbeat_interval_s
        while True:
            for _ in range(int(STATEMENT_HEARTBEATS / LOOK_HEARTBEATS)):
                due = time.monotonic() + pause_s
                await curio.sleep(pause_s)
                self._late.append(max(0.0, time.monotonic() - due))
            state(self.statement())

    def running(self, task: Any) -> None:
        """The kernel is about to run a task."""
        self._task = task.id
        self._category = self._categories.get(task.id, WorkCategory.OTHER)
        self._began = time.monotonic()

    def suspended(self, task: Any, trap: Any) -> None:
        """A task waits, or has ended."""
        entry = self.entries[self._category]
        took_s = time.monotonic() - self._began
        entry.seconds += took_s
        entry.pieces += 1
        if took_s > entry.longest_s:
            entry.longest_s = took_s
        self._task = 0

    def terminated(self, task: Any) -> None:
        """A task has ended."""
        self._categories.pop(task.id, None)

    def statement(self) -> str:
        """One line on the time since the last statement; the next one begins."""
        now = time.monotonic()
        span = max(now - self._since, 1e-9)
        busy = sum(entry.seconds for entry in self.entries.values())
        parts = [
            f"{category.value} {100 * entry.seconds / span:.2f}% ({entry.pieces}, "
            f"{1000 * entry.seconds / entry.pieces:.2f} ms, at most {1000 * entry.longest_s:.0f})"
            for category, entry in sorted(
                self.entries.items(), key=lambda item: item[1].seconds, reverse=True
            )
            if entry.pieces
        ]
        late = self._late or [0.0]
        line = (
            f"busy {100 * busy / span:.1f}% of {span:.0f} s: {', '.join(parts)}; "
            f"timers late {1000 * statistics.median(late):.0f} ms, at most "
            f"{1000 * max(late):.0f} ms; memory at most {peak_memory_mb():.1f} MB"
        )
        self.entries = {category: CategoryUsage() for category in WorkCategory}
        self._late.clear()
        self._since = now
        return line


def peak_memory_mb() -> float:
    """The most memory that the process has held."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
