"""The loops that run planning rounds and time-driven work of a term."""

from __future__ import annotations

import time

import curio

from topazhold.control.intents import Intents
from topazhold.control.term_context import TermContext
from topazhold.control.waiting_loops import wait_then_work
from topazhold.core.jobs import DISTANT_PAST
from topazhold.interfaces.store import DECISION_PRIORITY

#: In heartbeat intervals: minimum time between two scheduler ticks, minimum time between two
#: planning rounds, and time without a tick after which planning counts as stuck.
MIN_TICK_INTERVAL_HEARTBEATS = 0.1
MIN_PLAN_INTERVAL_HEARTBEATS = 0.06
STUCK_PLANNING_HEARTBEATS = 0.5
#: Plans that are written in a row before the loop pauses.
MAX_PLANS_PER_ROUND = 4
#: Approximate minimum number of puts and deletes that a plan needs.
MIN_PLAN_WRITES = 2
#: Pause after a round, as a multiple of the time spent on planning in it.
PAUSE_PER_PLANNING_TIME = 3.0


class PlanningLoop:
    """Runs planning rounds one at a time; intents are written before a plan takes effect."""

    def __init__(self, context: TermContext, intents: Intents) -> None:
        self._context = context
        self._intents = intents
        self._round_done = curio.Event()  # set and replaced at the end of each round
        self._ticked_at = DISTANT_PAST
        self._planned_at = DISTANT_PAST

    def is_due(self, now: float) -> bool:
        """Return whether a new round may differ from the last; most heartbeats change nothing."""
        return (
            self._context.plan_requested.is_set() or now - self._planned_at > self._context.retry_s
        )

    async def wait_for_round(self, timeout_s: float) -> None:
        """Request a round and wait for its end, for at most `timeout_s` seconds."""
        # An event instead of a condition: a condition's lock can be lost when two timeouts
        # expire in one wait, which would block planning forever.
        await self._context.request_plan()
        await curio.ignore_after(timeout_s, self._round_done.wait)

    async def plan_loop(self) -> None:
        """Plan after changes, and at least once per retry interval."""
        context = self._context
        while True:
            await curio.ignore_after(context.retry_s, context.plan_requested.wait)
            context.plan_requested.clear()
            planning_s = await self._plan_round()
            finished_round, self._round_done = self._round_done, curio.Event()
            await finished_round.set()
            # State changes constantly: without a pause in proportion to the cost of a round, the
            # leader of a large fleet would do nothing but plan.
            min_pause_s = MIN_PLAN_INTERVAL_HEARTBEATS * context.heartbeat_interval_s
            await curio.sleep(max(min_pause_s, planning_s * PAUSE_PER_PLANNING_TIME))

    async def _plan_round(self) -> float:
        """Plan until nothing is left to plan; return the seconds spent, without waits."""
        context = self._context
        planning_s = 0.0
        for _ in range(MAX_PLANS_PER_ROUND):
            # Wait until a plan can be written: a later plan covers more changes in one
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
        """Tick the scheduler while planning is stuck waiting for the store.

        Kills of cancelled jobs and releases must not wait for a plan to be written.
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
