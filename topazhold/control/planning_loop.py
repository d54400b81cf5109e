"""When the leader of a term plans, and looks at what time alone makes due."""

from __future__ import annotations

import time

import curio

from topazhold.control.intents import Intents
from topazhold.control.term_context import TermContext
from topazhold.control.waiting_loops import wait_then_work
from topazhold.interfaces.store import DECISION_PRIORITY

#: Heartbeat intervals: the shortest time between two looks at what time makes due, and between two
#: rounds of planning; without a look for so long, planning is taken to be stuck.
MIN_TICK_INTERVAL_HEARTBEATS = 0.1
MIN_PLAN_INTERVAL_HEARTBEATS = 0.06
STUCK_PLANNING_HEARTBEATS = 0.5
#: Plans that are written one after the other before the loop pauses.
MAX_PLANS_PER_ROUND = 4
#: Changes that a plan costs at the least, about.
MIN_PLAN_WRITES = 2
#: The pause after a round, as a multiple of the time that deciding lasted.
PAUSE_PER_PLANNING_TIME = 3.0


class PlanningLoop:
    """Rounds of planning, one at a time; each plan's intents are written before it acts."""

    def __init__(self, context: TermContext, intents: Intents) -> None:
        self._context = context
        self._intents = intents
        self._round_done = curio.Event()  # set, and replaced, at the end of a round
        self._ticked_at = -1e9
        self._planned_at = -1e9

    def is_due(self, now: float) -> bool:
        """Whether a round may find more than the last one did; most heartbeats change nothing."""
        return (
            self._context.plan_requested.is_set() or now - self._planned_at > self._context.retry_s
        )

    async def wait_for_round(self, timeout_s: float) -> None:
        """Let one round pass, for `timeout_s` seconds at most."""
        # An event, not a condition: a condition's lock can be lost where two time limits
        # end in one wait, and planning would stand still for good.
        await self._context.request_plan()
        await curio.ignore_after(timeout_s, self._round_done.wait)

    async def plan_loop(self) -> None:
        """Plan when something has changed, and off and on."""
        context = self._context
        while True:
            await curio.ignore_after(context.retry_s, context.plan_requested.wait)
            context.plan_requested.clear()
            planning_s = await self._plan_round()
            finished_round, self._round_done = self._round_done, curio.Event()
            await finished_round.set()
            # Something changes all the time: without a pause that grows with the cost of a
            # round, a leader of many machines would do nothing but plan.
            min_pause_s = MIN_PLAN_INTERVAL_HEARTBEATS * context.heartbeat_interval_s
            await curio.sleep(max(min_pause_s, planning_s * PAUSE_PER_PLANNING_TIME))

    async def _plan_round(self) -> float:
        """Plan until nothing is left; the seconds spent on deciding, without waits."""
        context = self._context
        planning_s = 0.0
        for _ in range(MAX_PLANS_PER_ROUND):
            # A plan that can't be written now is made anew later, with more of it in one
            # transaction.
            await context.store.wait_for_limits(DECISION_PRIORITY, MIN_PLAN_WRITES)
            now = await curio.clock()
            if now - self._ticked_at > MIN_TICK_INTERVAL_HEARTBEATS * context.heartbeat_interval_s:
                self._tick(now)
            self._planned_at = now
            attempts = context.scheduler.plan(now)
            planning_s += time.monotonic() - now
            if not attempts:
                break
            await self._intents.write(attempts)
        return planning_s

    async def tick_loop(self) -> None:
        """Time passes also while a plan waits for the store without end.

        Kills of cancelled jobs, and releases, must not wait for it.
        """
        await wait_then_work(self._context.retry_s, self._tick_if_stuck)

    async def _tick_if_stuck(self) -> None:
        context = self._context
        now = await curio.clock()
        if now - self._ticked_at > STUCK_PLANNING_HEARTBEATS * context.heartbeat_interval_s:
            changes_before = context.scheduler.changes
            self._tick(now)
            if context.scheduler.changes != changes_before:
                await context.request_plan()

    def _tick(self, now: float) -> None:
        self._ticked_at = now
        self._context.scheduler.tick(now)
