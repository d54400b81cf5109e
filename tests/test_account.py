"""The account of a process's time: what runs is counted, what waits is not."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import curio
import pytest

from topazhold.io.account import Account, Duty


class Clock:
    def __init__(self) -> None:
        self.now = 50.0

    def work(self, seconds: float) -> None:
        self.now += seconds


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", lambda: clock.now)
    return clock


def taken(account: Account) -> dict[Duty, tuple[float, int]]:
    """Seconds and pieces of all duties that had any."""
    return {
        duty: (entry.seconds, entry.pieces)
        for duty, entry in account.entries.items()
        if entry.pieces
    }


def run(account: Account, *loops: tuple[Duty, Callable[[], Awaitable[None]]]) -> None:
    async def main() -> None:
        async with curio.TaskGroup() as group:
            for duty, loop in loops:
                await group.spawn(account.on_duty, duty, loop)

    curio.run(main, activations=[account])


def test_a_task_that_waits_for_another_does_not_count_its_work(clock: Clock) -> None:
    account = Account()
    ready = curio.Event()

    async def plan() -> None:
        clock.work(2.0)
        await ready.set()
        clock.work(1.0)

    async def report() -> None:
        await ready.wait()
        clock.work(0.5)

    run(account, (Duty.HEARTBEATS, report), (Duty.PLANNING, plan))
    found = taken(account)
    assert found[Duty.PLANNING] == (3.0, 1)
    assert found[Duty.HEARTBEATS] == (0.5, 2)
    assert account.statement().startswith(
        "busy 100.0% of 4 s: planning 85.71% (1, 3000.00 ms, at most 3000)"
    )


def test_a_piece_of_work_counts_for_the_duty_that_it_turns_out_to_be_of(clock: Clock) -> None:
    """A connection does not know what it serves before it has read the request."""
    account = Account()

    async def connection() -> None:
        for duty in (Duty.HEARTBEATS, Duty.USERS):
            clock.work(1.0)
            account.enter(duty)
            clock.work(1.0)
            await curio.sleep(0)

    async def untold() -> None:
        clock.work(1.0)

    async def main() -> None:
        await curio.spawn(connection, daemon=True)
        await curio.sleep(0)
        await (await curio.spawn(untold)).join()

    curio.run(main, activations=[account])
    found = taken(account)
    assert found[Duty.HEARTBEATS] == (2.0, 1)
    assert found[Duty.USERS] == (2.0, 2)  # and its end
    assert found[Duty.OTHER][0] == 1.0


def test_a_statement_begins_the_next_one(clock: Clock) -> None:
    account = Account()

    async def work() -> None:
        clock.work(3.0)

    run(account, (Duty.CLOUD, work))
    assert "cloud" in account.statement()
    clock.work(4.0)
    assert account.statement().startswith("busy 0.0% of 4 s: ;")
    assert account._duties == {}, "tasks that have ended are forgotten"
