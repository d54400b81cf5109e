"""Virtual time: a curio kernel whose selector advances a clock instead of waiting."""

from __future__ import annotations

import selectors
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from curio.kernel import Kernel
from curio.task import Task as CurioTask

#: Virtual time at which a run starts, in seconds.
START_S = 1000.0
#: Added to virtual time for the wall clock, to give a plausible Unix time.
EPOCH_OFFSET_S = 1.7e9
NS_PER_S = 1e9
#: Seconds by which a jump passes the next timer, so that rounding can't leave it pending.
TIMER_MARGIN_S = 1e-6


def run_nonblocking(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Return the result of a coroutine that must not wait."""
    try:
        coroutine.send(None)
    except StopIteration as exc:
        return exc.value
    raise AssertionError("the coroutine waits")


class VirtualTime(selectors.BaseSelector):
    """A selector that advances the clock to the next timer instead of waiting."""

    def __init__(self, start: float = START_S) -> None:
        self.now = start
        self._keys: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        self._keys[fileobj] = selectors.SelectorKey(fileobj, 0, events, data)
        return self._keys[fileobj]

    def unregister(self, fileobj: Any) -> Any:
        return self._keys.pop(fileobj)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> Any:
        return self.register(fileobj, events, data)

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait, and no timer is set")
        if timeout > 0:
            self.now += timeout + TIMER_MARGIN_S
        return []

    def get_map(self) -> Any:
        return self._keys


def run_virtual(main: Callable[[VirtualTime], Awaitable[None]], monkeypatch: Any) -> None:
    """Run a coroutine function in virtual time."""
    clock = VirtualTime()
    monkeypatch.setattr(time, "monotonic", lambda: clock.now)
    monkeypatch.setattr(time, "time", lambda: EPOCH_OFFSET_S + clock.now)
    monkeypatch.setattr(time, "time_ns", lambda: int((EPOCH_OFFSET_S + clock.now) * NS_PER_S))
    # curio keeps waiting tasks in sets. Hashing them by id instead of address gives the sets
    # the same order in every run.
    monkeypatch.setattr(CurioTask, "__hash__", lambda task: task.id)
    monkeypatch.setattr(CurioTask, "_lastid", 1)
    kernel = Kernel(selector=clock)
    try:
        kernel.run(main, clock)
    finally:
        kernel.run(shutdown=True)
