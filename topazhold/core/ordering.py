"""Commands to workers: launches, kills, clears, and what makes a worker report."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from topazhold.core.jobs import PART, UNSENT, JobState, RunState
from topazhold.core.ledger import Ledger
from topazhold.core.machines import Machine, MachineState
from topazhold.wire import messages as wire
from topazhold.wire.messages import Call, Report

log = logging.getLogger(__name__)

#: Ended tasks left on a worker to ring with.
MOST_BELLS = 3


class Ordering(Ledger):
    """What a worker is told."""

    def answer(
        self, machine: Machine, rep: Report, now: float, launches: bool = True
    ) -> list[Call]:
        """The commands for a report's answer: clears, kills, launches, in this order."""
        calls = self._clears(machine, rep) + self.kills(machine)
        if launches and machine.state is MachineState.READY and rep.term == self.term:
            for run in machine.runs.values():
                # Only in the session that the intent names: a newer one then
                # proves the task gone, also to a leader who comes later.
                if run.state is RunState.WRITTEN and not run.stopping and run.flight == rep.flight:
                    run.order(rep.tally, now)
                    log.info("launch %s try %d on %s", run.frame, run.attempt, machine.name)
                    calls.append(wire.launch(run.frame, run.attempt))
        return calls

    def _clears(self, machine: Machine, rep: Report) -> list[Call]:
        """Clears for ended tasks, but for a few that are kept to ring with.

        A change of a worker's tasks makes it report at once. Clearing the kept
        task directly is such a change, so a launch need not wait for the next
        regular report.
        """
        calls = []
        for frame in rep.frames:
            if frame.stage != wire.ENDED:
                continue
            if frame.cause == wire.CAUSE_DONE:
                key = wire.split_frame(frame.frame)
                job = self.jobs.get(key[0]) if key else None
                if (
                    job is not None
                    and key is not None
                    and job.state is JobState.LIVE
                    and key[1] // PART in job.unsaved
                ):
                    continue  # the worker's word is the only record until it is saved
            calls.append(wire.clear(frame.frame, frame.attempt))
        machine.changes += bool(machine.bells) is not bool(calls)
        machine.bells = [(call.frame, call.attempt) for call in calls[:MOST_BELLS]]
        return calls[MOST_BELLS:]

    def direct_calls(self, machine: Machine) -> list[Call]:
        """What goes out directly: kills, and the ring for a waiting launch."""
        calls = self.kills(machine)
        if machine.name in self.rings:
            self.rings.discard(machine.name)
            if machine.bells:
                calls.append(wire.clear(*machine.bells.pop()))
                machine.changes += not machine.bells
        return calls

    def _ring(self, machine: Machine, now: float) -> None:
        if machine.bells and now - (machine.heard_at or 0.0) > 0.1 * self.report_s:
            self.rings.add(machine.name)
            self.strikes.add(machine.name)

    def fresh(self, machine: Machine, now: float) -> bool:
        """Whether the worker was heard not long ago, so that it is likely to answer."""
        return machine.heard_at is not None and now - machine.heard_at < 2.5 * self.report_s

    def strike_order(self, names: Iterable[str], now: float) -> list[Machine]:
        """Whom to command directly first: the living, and those with cancelled work."""
        found = []
        for name in names:
            machine = self.machines.get(name)
            if machine is not None and machine.endpoint is not None:
                key = (not self.fresh(machine, now), not self.must_go(name), machine.struck_at)
                found.append((key, machine))
        found.sort(key=lambda item: (item[0], item[1].name))
        return [machine for _, machine in found]

    def kills(self, machine: Machine) -> list[Call]:
        """Kills for all that must leave the machine; every one can be repeated."""
        calls = []
        for run in machine.runs.values():
            if run.stop_settle is None or run.state in UNSENT:
                continue
            if run.state is RunState.FLUSHING and run.stop_settle > 0:
                continue
            calls.append(wire.kill(run.frame, run.attempt, run.stop_settle))
        for frame, attempt in machine.strays:
            calls.append(wire.kill(frame, attempt, 0.0))
        return calls
