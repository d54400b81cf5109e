"""The queen's view of jobs and machines, and her decisions.

Events come in as method calls that carry the time; what is to be done comes
out in the queues (`strikes`, `releases`, `finished`) and from `plan` and
`answer`. Nothing here waits, reads a clock or draws unseeded numbers.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from random import Random

from topazhold.core import gangs, preemption, quota, records, renting
from topazhold.core.estimates import Estimates
from topazhold.core.holds import Hold, HoldBook
from topazhold.core.jobs import (
    ON_MACHINE,
    PART,
    UNSENT,
    GangState,
    Job,
    JobState,
    Room,
    Run,
    RunState,
)
from topazhold.core.machines import Machine, MachineState, fits, plus, times_fits
from topazhold.core.search import CACHE_LENGTH, Offer, Rank, allowed, sooner
from topazhold.settings import Operator, Settings
from topazhold.wire import messages as wire
from topazhold.wire.messages import Breed, Call, FrameReport, ListedBox, Report

log = logging.getLogger(__name__)

#: Attempts are numbered within a reign, so no number is ever used twice.
ATTEMPTS_PER_REIGN = 1 << 24
#: Runs planned in one round.
MOST_PLANNED = 96
#: Ended tasks left on a worker to ring with.
MOST_BELLS = 3
#: Natural ends listed in an offer.
MOST_RUNGS = 4
#: A job that failed on so many machines is taken to be at fault itself.
BAD_JOB_MACHINES = 3
#: Errors of so many jobs that are not at fault make a machine sick.
SICK_JOBS = 2

#: Gone machines, and jobs that are over, kept against late news of them.
MOST_REMEMBERED = 4000

NO_ROOM: Room = (0.0, 0.0, 0.0)

_UP = (MachineState.UNSYNCED, MachineState.READY, MachineState.DRAINING)


class Realm:
    """All that the queen knows, and what she makes of it."""

    def __init__(
        self, settings: Settings, operator: Operator, crown: int, book: HoldBook,
        rng: Random, now: float,
    ) -> None:  # fmt: skip
        cluster = settings.cluster
        workers = cluster.workers
        self.crown = crown
        self.since = now
        self.report_s = workers.report_s
        self.lease_s = workers.lease_s
        self.cancel_s = workers.cancel_s
        self.lag_s = cluster.cloud.list_lag_s
        self.hold_lapse_s = operator.hold_lapse_s
        self.clock = gangs.GangClock(workers.report_s, workers.gang_wait_s)
        self.rent_rules = renting.RentRules(
            operator.headroom_share, operator.idle_boots, operator.use_spot
        )
        self.most_machine_runs = max(
            1, int(cluster.state.value_kb * 1024 - 512) // records.RUN_BYTES
        )
        self.most_planned_machines = cluster.state.txn_ops
        self.book = book
        self.rng = rng
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.zone_of: dict[str, str] = {}
        self.breeds: dict[str, Breed] = {}
        self.usage = quota.Usage(cluster.teams)
        self.estimates = Estimates()
        self.refusals = renting.Refusals()
        self.last_arrival = now
        self.next_attempt = crown * ATTEMPTS_PER_REIGN
        # What is to be done by the outside:
        self.strikes: set[str] = set()  # machines to send kills to directly
        self.rings: set[str] = set()  # machines to be made to report at once
        self.releases: dict[str, str] = {}  # machines to release, with the reason
        self.finished: list[Job] = []  # jobs to move to `over`
        self.rejected: dict[str, int] = {}  # holds that can't be honoured, by serial
        self._guaranteed_stale = True
        self._gone: dict[str, None] = {}
        self._over: dict[str, None] = {}
        self._starved_since: dict[str, float] = {}
        self._wanting_since: dict[str, float] = {}
        self._claims: dict[str, tuple[float, float]] = {}
        self.quick_lanes = {aim.lane for aim in cluster.objectives if aim.kind == "wait"}
        self.reserve_share = operator.reserve_share
        self._free_plain = 0.0

    # -- jobs --------------------------------------------------------------

    def add_job(self, job: Job) -> None:
        """A job is live: accepted just now, or found by a new queen."""
        if job.id not in self.jobs and job.id not in self._over:
            self.jobs[job.id] = job
            self._guaranteed_stale = True
            self.last_arrival = max(self.last_arrival, job.arrived)

    def job_over(self, job_id: str, done: bool, over_at: float, now: float) -> None:
        """The job was moved to `over`, by this node or another."""
        job = self.jobs.get(job_id)
        if job is None or job.state is not JobState.LIVE:
            return
        self._guaranteed_stale = True
        self._remember(self._over, job_id)
        if done:
            job.finish()
            log.info("job %s done", job_id)
        else:
            job.abort(over_at)
            log.info("job %s aborted, tasks on machines: %d", job_id, len(job.runs))
        for run in list(job.runs.values()):
            if run.state in UNSENT and not run.unsure:
                self._drop(run, now)
            elif not done:
                self._stop_run(run, 0.0, "job aborted", now)
        self.forget_if_over(job)

    def forget_if_over(self, job: Job) -> None:
        if job.state is not JobState.LIVE and not job.runs:
            self.jobs.pop(job.id, None)
            self.rejected.pop(job.id, None)
            self._starved_since.pop(job.id, None)
            self._wanting_since.pop(job.id, None)

    # -- machines ----------------------------------------------------------

    def add_machine(
        self, name: str, zone: str, spot: bool, breed: str, now: float
    ) -> Machine:
        """A machine was rented, listed, reported or found in the intents."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, zone, spot, self.breeds.get(breed), now)
            self.machines[name] = machine
            self.zone_of[name] = zone
        return machine

    def machine_gone(self, name: str, now: float) -> None:
        """A release was answered 200: the machine and all on it are gone."""
        machine = self.machines.get(name)
        self._remember(self._gone, name)
        self.releases.pop(name, None)
        self.strikes.discard(name)
        if machine is None:
            return
        # While the machine is still known: a run dropped after that would
        # count against its team's limit for the rest of the reign.
        for run in list(machine.runs.values()):
            self._drop(run, now)
        del self.machines[name]
        self.zone_of.pop(name, None)
        machine.leave(now)
        log.info("machine %s gone: %s", name, machine.why)

    @staticmethod
    def _remember(names: dict[str, None], name: str) -> None:
        names[name] = None
        if len(names) > MOST_REMEMBERED:
            del names[next(iter(names))]

    def release(self, machine: Machine, why: str, now: float) -> None:
        if machine.state is not MachineState.RELEASING:
            log.info("machine %s released: %s", machine.name, why)
            machine.release(why, now)
            self.releases[machine.name] = why
            for run in list(machine.runs.values()):
                if run.state in UNSENT and not run.unsure:
                    self._drop(run, now)

    def must_go(self, name: str) -> bool:
        """Whether a machine is released for a cancelled job's task."""
        machine = self.machines.get(name)
        return machine is not None and any(
            run.job.state is JobState.ABORTED for run in machine.runs.values()
        )

    def listed(self, boxes: Iterable[ListedBox], asked_at: float, now: float) -> None:
        """A whole machine list, asked for at `asked_at`."""
        names = set()
        for box in boxes:
            if box.id in self._gone:
                continue
            names.add(box.id)
            machine = self.machines.get(box.id)
            if machine is None:
                machine = self.add_machine(box.id, box.apiary, box.drones, box.breed, now)
                machine.rented_at = now - box.age_s
            if machine.endpoint is None:
                machine.endpoint = box.endpoint
            machine.unlisted = 0
            if box.stage == wire.LISTED_FAILED:
                self.release(machine, "failed", now)
        for machine in list(self.machines.values()):
            if machine.name in names or now - machine.rented_at < 4 * self.lag_s:
                continue
            heard = machine.heard_at if machine.heard_at is not None else machine.since
            # A list may be two lags old: only one asked for well after the
            # machine was last heard says anything about it.
            if asked_at - heard > 2 * self.lag_s:
                machine.unlisted += 1

    # -- reports -----------------------------------------------------------

    def report(
        self, rep: Report, direct: bool, now: float, relayed: bool = False
    ) -> Machine | None:
        """A worker's report; None if it is stale or from a released machine.

        `direct` marks the answer of a direct command. It may overtake the
        answer of a report that is still under way, so what it lacks proves
        nothing about a launch ordered there.
        """
        machine = self.machines.get(rep.box)
        if machine is None:
            if direct or rep.box in self._gone:
                return None
            machine = self.add_machine(rep.box, rep.apiary, rep.drones, rep.breed, now)
        if machine.breed is None:
            machine.breed = self.breeds.get(rep.breed)
        if machine.state is MachineState.RELEASING:
            return None
        if (rep.flight, rep.tally) <= (machine.flight, machine.tally):
            return None
        if rep.flight > machine.flight:
            self._new_flight(machine, rep.flight, now)
        machine.tally = rep.tally
        machine.crown = rep.crown
        machine.endpoint = rep.endpoint
        synced = rep.crown == self.crown
        machine.hear(synced, now)
        if not direct and not relayed:
            machine.reached_at = now
        self._notice(machine, rep.smoke_s, now)
        self._frames(machine, rep, synced, direct, now)
        if not machine.empty:
            machine.idle_since = now
        return machine

    def _new_flight(self, machine: Machine, flight: int, now: float) -> None:
        """The worker's lease ended: all tasks of the earlier session are gone."""
        for run in list(machine.runs.values()):
            # An intent of an earlier reign may have been ordered in this very
            # session; only the report under this crown settles it.
            if not run.unsure:
                self._drop(run, now)
        machine.strays.clear()
        if machine.flight:
            log.info("machine %s began session %d", machine.name, flight)
        machine.flight = flight

    def _notice(self, machine: Machine, smoke_s: float | None, now: float) -> None:
        if smoke_s is None:
            return
        if machine.gone_at is None:
            log.info("machine %s will be taken in %.1f s", machine.name, smoke_s)
        machine.gone_at = now + smoke_s
        machine.drain("notice", now)

    def _frames(
        self, machine: Machine, rep: Report, synced: bool, direct: bool, now: float
    ) -> None:
        seen: set[tuple[str, int]] = set()
        strays: dict[tuple[str, int], str] = {}
        for frame in rep.frames:
            key = wire.split_frame(frame.frame)
            if key is None:
                continue
            run = machine.runs.get(key)
            if run is not None and run.attempt == frame.attempt:
                seen.add(key)
                self._observe(machine, run, frame, now)
            elif frame.stage == wire.ENDED:
                if frame.cause == wire.CAUSE_DONE:
                    self._credit(key, now)
            else:
                self._stray(machine, key, frame, strays, now)
        machine.strays = strays
        for key, run in list(machine.runs.items()):
            if key not in seen:
                self._absent(run, rep, synced, direct, now)

    def _observe(self, machine: Machine, run: Run, frame: FrameReport, now: float) -> None:
        if frame.stage == wire.ENDED:
            self._ended(machine, run, frame, now)
            return
        if run.state is RunState.INTENDED:
            return
        run.observe(frame.stage, now)
        if run.state in (RunState.GATHERING, RunState.RUNNING):
            spec = run.job.spec
            machine.fetched(spec.comb, spec.image_gb)

    def _absent(
        self, run: Run, rep: Report, synced: bool, direct: bool, now: float
    ) -> None:
        """A run that the report lacks."""
        if run.unsure:
            if synced:
                self._drop(run, now)
        elif run.state is RunState.ORDERED:
            # Reports go out one at a time, so this one was sent after the
            # answer with the launch was carried out or dropped for good.
            if not direct and rep.tally > run.ordered_tally:
                if run.stopping:
                    self._drop(run, now)
                else:
                    run.order_lost(now)
        elif run.state in ON_MACHINE:
            self._drop(run, now)

    def _stray(
        self, machine: Machine, key: tuple[str, int], frame: FrameReport,
        strays: dict[tuple[str, int], str], now: float,
    ) -> None:  # fmt: skip
        """A task that no intent of ours explains: it must go, and counts till then."""
        job = self.jobs.get(key[0])
        if job is not None and key[1] < job.spec.frames and key[1] not in job.runs:
            run = Run(job, key[1], frame.attempt, machine.name, now)
            run.state = RunState.ORDERED
            run.observe(frame.stage, now)
            self._attach(run)
            self._stop_run(run, 0.0, "unexpected", now)
            if job.gang and job.state is JobState.LIVE:
                self._stop_gang(job, 0.0, "unexpected task", now)
            return
        strays[(frame.frame, frame.attempt)] = frame.stage
        self.strikes.add(machine.name)

    def _ended(self, machine: Machine, run: Run, frame: FrameReport, now: float) -> None:
        job = run.job
        cause = frame.cause or ""
        run.end(cause, bool(frame.kept), now)
        log.info(
            "task %s try %d on %s ended: %s%s",
            run.frame, run.attempt, machine.name, cause, " (saved)" if frame.kept else "",
        )  # fmt: skip
        spec = job.spec
        if cause == wire.CAUSE_DONE:
            machine.error_jobs.clear()
            machine.fetched(spec.comb, spec.image_gb)
            if run.running_since is not None and job.progress_s == 0.0 and not run.stopping:
                self.estimates.learn(spec.lane, spec.forage_s, now - run.running_since)
            self._credit((job.id, run.index), now)
        elif cause == wire.CAUSE_ERROR:
            self._failed(machine, job, now)
        elif cause == wire.CAUSE_NO_ROOM:
            machine.sick_until = now + 2 * self.report_s
        elif cause == wire.CAUSE_UNKNOWN:
            job.not_before = now + 2 * self.report_s
        if job.gang and run.running_since is not None and cause != wire.CAUSE_DONE:
            self._gang_progress(run, cause, now)
        self._drop(run, now)

    def _gang_progress(self, run: Run, cause: str, now: float) -> None:
        """What the gang has saved, as far as it can be told from outside."""
        job = run.job
        if run.index != min(job.runs, default=run.index):
            return
        ran = (run.stop_at if run.stopping else now) - (run.running_since or now)
        total = job.progress_s + max(0.0, ran)
        if run.kept:
            job.progress_s = total
        elif job.spec.cap_s > 0:
            job.progress_s = max(job.progress_s, total - total % job.spec.cap_s)

    def _failed(self, machine: Machine, job: Job, now: float) -> None:
        """A task ended with `error`: is it the machine or the job?"""
        job.failed_on[machine.name] = now
        if len(job.failed_on) >= BAD_JOB_MACHINES:
            # A job that fails everywhere must not take the machines with it.
            for other in self.machines.values():
                other.error_jobs.discard(job.id)
            doublings = min(len(job.failed_on) - BAD_JOB_MACHINES, 5)
            job.not_before = now + self.lease_s * 2**doublings
        else:
            machine.error_jobs.add(job.id)
            if len(machine.error_jobs) >= SICK_JOBS:
                machine.drain("sick", now)
                log.info("machine %s is sick: errors of %d jobs", machine.name, SICK_JOBS)

    def _credit(self, key: tuple[str, int], now: float) -> None:
        """A task has completed."""
        job = self.jobs.get(key[0])
        if job is None or job.state is not JobState.LIVE or key[1] >= job.spec.frames:
            return
        if job.gang:
            # A gang completes together: one task done means all are.
            for index in range(job.spec.frames):
                job.mark_done(index)
        else:
            job.mark_done(key[1])
        if job.complete and job not in self.finished:
            self.finished.append(job)

    # -- runs --------------------------------------------------------------

    def _attach(self, run: Run) -> None:
        run.job.add_run(run)
        self.machines[run.machine].attach(run)
        self.usage.add(run.job)

    def adopt(self, run: Run) -> None:
        """An intent of an earlier reign: possibly running."""
        run.unsure = True
        run.state = RunState.ORDERED
        self._attach(run)

    def supersede(self, run: Run, now: float) -> None:
        """A newer try of the task was planned, so this one had been proven gone."""
        self._drop(run, now)

    def _drop(self, run: Run, now: float) -> None:
        """A run is over: it ended, or is proven gone, or was never sent."""
        machine = self.machines.get(run.machine)
        if machine is not None:
            if machine.detach(run):
                self.usage.remove(run.job)
                if machine.empty:
                    machine.idle_since = now
        run.vanish(now)
        run.job.remove_run(run)
        self.forget_if_over(run.job)

    def _stop_run(self, run: Run, settle_s: float, why: str, now: float) -> None:
        if run.state is RunState.WRITTEN:
            self._drop(run, now)  # no launch has left
            return
        if not run.stopping or (run.stop_settle or 0.0) > settle_s:
            log.info("task %s try %d on %s stopped: %s", run.frame, run.attempt, run.machine, why)
            self.strikes.add(run.machine)
        run.stop(settle_s, now)

    def _stop_gang(self, job: Job, settle_s: float, why: str, now: float) -> None:
        """Stop a whole gang in order; unsent tasks simply leave."""
        told = gangs.stop(job, settle_s, now)
        if told:
            log.info("gang %s stopped: %s", job.id, why)
        for run in told:
            if run.state is RunState.WRITTEN:
                self._drop(run, now)
            elif run.state is not RunState.INTENDED:
                self.strikes.add(run.machine)

    def stop_for_room(self, run: Run, why: str, now: float) -> None:
        job = run.job
        settle = job.spec.seal_s + self.report_s if job.spec.cap_s > 0 else 0.0
        if job.gang:
            self._stop_gang(job, settle, why, now)
        else:
            self._stop_run(run, settle, why, now)

    # -- answers to workers --------------------------------------------------

    def answer(self, machine: Machine, rep: Report, now: float) -> list[Call]:
        """The commands for a report's answer: clears, kills, launches, in this order."""
        calls = self._clears(machine, rep) + self.kills(machine)
        if machine.state is MachineState.READY and rep.crown == self.crown:
            for run in machine.runs.values():
                if run.state is RunState.WRITTEN and not run.stopping:
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
                    job is not None and key is not None and job.state is JobState.LIVE
                    and key[1] // PART in job.unsaved
                ):  # fmt: skip
                    continue  # the worker's word is the only record until it is saved
            calls.append(wire.clear(frame.frame, frame.attempt))
        machine.bells = [(call.frame, call.attempt) for call in calls[:MOST_BELLS]]
        return calls[MOST_BELLS:]

    def direct_calls(self, machine: Machine) -> list[Call]:
        """What goes out directly: kills, and the ring for a waiting launch."""
        calls = self.kills(machine)
        if machine.name in self.rings:
            self.rings.discard(machine.name)
            if machine.bells:
                calls.append(wire.clear(*machine.bells.pop()))
        return calls

    def _ring(self, machine: Machine, now: float) -> None:
        if machine.bells and now - (machine.heard_at or 0.0) > 0.1 * self.report_s:
            self.rings.add(machine.name)
            self.strikes.add(machine.name)

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

    # -- time --------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Everything that happens because time passes."""
        for job in list(self.jobs.values()):
            if job.state is JobState.LIVE:
                if job.gang:
                    self._step_gang(job, now)
            else:
                self._finish_off(job, now)
        for machine in list(self.machines.values()):
            self._watch(machine, now)

    def _step_gang(self, job: Job, now: float) -> None:
        before = job.gang_state
        why = gangs.step(job, self.clock, now)
        if job.gang_state is GangState.RUNNING and before is GangState.STARTING:
            log.info("gang %s runs, %.1f s after it came", job.id, now - job.arrived)
        if why is not None and not job.complete:
            # A gang found saving at a take-over must be let finish that: a second
            # kill without grace would cost what it is about to have saved.
            running = before is GangState.RUNNING or any(
                run.state is RunState.FLUSHING for run in job.runs.values()
            )
            settle = job.spec.seal_s + self.report_s if running and job.spec.cap_s > 0 else 0.0
            self._stop_gang(job, settle, why, now)
            gangs.step(job, self.clock, now)

    def _finish_off(self, job: Job, now: float) -> None:
        """Tasks of a job that is over must leave their machines."""
        for run in list(job.runs.values()):
            if job.state is JobState.DONE:
                if now - run.since > self.lease_s and not run.stopping:
                    self._stop_run(run, 0.0, "job done", now)
            elif job.cancelled_at is not None:
                self._stop_run(run, 0.0, "job aborted", now)
                age = now - job.cancelled_at
                # A new queen first hears the workers, unless there is no time.
                heard_out = now - self.since > 2.5 * self.report_s or age > 0.8 * self.cancel_s
                machine = self.machines.get(run.machine)
                if age > 0.6 * self.cancel_s and heard_out and machine is not None:
                    # A task that nobody can be shown to have stopped takes its
                    # machine with it: after cancel_s it must not be anywhere.
                    self.release(machine, f"can't stop {run.frame}", now)
                elif now - run.stop_at > self.report_s:
                    self.strikes.add(run.machine)

    def silent_s(self, machine: Machine, now: float) -> float:
        heard = machine.heard_at if machine.heard_at is not None else machine.since
        return now - max(heard, self.since)

    def unreached(self, now: float) -> list[str]:
        """Machines whose reports have not come here for a while."""
        limit = 2.2 * self.report_s
        return [
            machine.name for machine in self.machines.values()
            if machine.state in _UP and now - max(machine.reached_at, self.since) > limit
        ]  # fmt: skip

    def cut_from_workers(self, now: float) -> bool:
        """Whether others hear most of the workers, and this node hardly any."""
        if now - self.since < self.lease_s:
            return False
        heard = reached = 0
        for machine in self.machines.values():
            if machine.state in _UP and self.silent_s(machine, now) < 0.5 * self.lease_s:
                heard += 1
                reached += now - machine.reached_at < 0.5 * self.lease_s
        return heard >= 2 and reached < 0.3 * heard

    def needs_herald(self, machine: Machine, now: float) -> bool:
        """Whether a worker has to be told of this reign directly.

        It may be with a former queen who knows of no other; once it has seen
        the new crown, her answers are void and its reports tell her so.
        """
        return (
            machine.state is MachineState.UNSYNCED
            and now - max(machine.reached_at, self.since) > 0.4 * self.report_s
        )

    def usable(self, machine: Machine, now: float) -> bool:
        """Whether new work may be planned there."""
        return (
            machine.state is MachineState.READY
            and machine.sick_until <= now
            # Relayed reports don't count: a launch needs an answer of our own.
            and now - machine.reached_at < 2.5 * self.report_s
        )

    def _watch(self, machine: Machine, now: float) -> None:
        state = machine.state
        if state is MachineState.RELEASING:
            self.releases.setdefault(machine.name, machine.why)
            return
        if state is MachineState.STARTING:
            ready = machine.breed.ready_s if machine.breed else 60.0
            if now - machine.rented_at > 4.0 * ready and now - self.since > self.lease_s:
                self.release(machine, "never came up", now)
            elif machine.unlisted >= 3:
                self.release(machine, "not listed", now)
            return
        if state is MachineState.DRAINING:
            self._drain(machine, now)
        if self.needs_herald(machine, now) and now - machine.heralded_at > self.report_s:
            machine.heralded_at = now
            self.strikes.add(machine.name)
        silent = self.silent_s(machine, now)
        if silent > self.lease_s and machine.unlisted >= 2:
            self.release(machine, "silent and not listed", now)
        elif silent > 1.25 * self.lease_s and not self._mass_silence(machine.zone, now):
            self.release(machine, "silent", now)

    def _mass_silence(self, zone: str, now: float) -> bool:
        """Many machines of a zone silent at once: a cut, which proves nothing."""
        count = silent = 0
        for machine in self.machines.values():
            if machine.zone == zone and machine.state in _UP:
                count += 1
                silent += self.silent_s(machine, now) > 0.6 * self.lease_s
        return silent > 2 and silent > 0.4 * count

    def _drain(self, machine: Machine, now: float) -> None:
        # A launch that has not left won't leave any more: a task left waiting
        # here would wait for ever.
        for run in list(machine.runs.values()):
            if run.state is RunState.WRITTEN and not run.unsure:
                if run.job.gang:
                    self._stop_gang(run.job, 0.0, "machine is leaving", now)
                else:
                    self._drop(run, now)
        if machine.why == "sick":
            if machine.empty:
                self.release(machine, "sick", now)
            return
        if machine.gone_at is None:
            return
        left = machine.gone_at - now
        for run in list(machine.runs.values()):
            if run.stopping or run.state is RunState.INTENDED:
                continue
            if run.state is not RunState.RUNNING or self._would_lose(run, left, now):
                self.stop_for_room(run, "machine will be taken", now)
        if machine.empty and left < 0:
            self.release(machine, "taken", now)

    def _would_lose(self, run: Run, left: float, now: float) -> bool:
        """Whether a task on a machine with so much time left had better save now."""
        return run.job.spec.cap_s > 0 and self.remaining_s(run, now) > left - self.report_s

    def remaining_s(self, run: Run, now: float) -> float:
        spec = run.job.spec
        elapsed = run.job.progress_s
        if run.running_since is not None:
            elapsed += now - run.running_since
        return self.estimates.remaining_s(spec.lane, spec.forage_s, elapsed)

    # -- planning ------------------------------------------------------------

    def refresh_guarantees(self) -> None:
        if self._guaranteed_stale:
            live = [job for job in self.jobs.values() if job.state is JobState.LIVE]
            quota.mark_guaranteed(live, self.usage.teams)
            self._guaranteed_stale = False

    def wants_plan(self, now: float) -> bool:
        """Whether a round of planning might place something."""
        return any(
            job.waiting_count > 0 and job.not_before <= now
            and (not job.gang or job.gang_state is GangState.WAITING)
            for job in self.jobs.values() if job.state is JobState.LIVE
        )  # fmt: skip

    def plan(self, now: float) -> list[Run]:
        """New runs; their intents are to be written before anything else."""
        self.refresh_guarantees()
        planned: list[Run] = []
        touched: set[str] = set()
        # What gangs whose machines are free are to have of their teams' limits.
        # Without it a team's arrays take up its limit task by task, and a gang
        # that needs more at once waits until they are all done.
        self._claims = {}
        self._free_plain = self._plain_cards(now)
        for job in self._waiting_jobs(now):
            if len(planned) >= MOST_PLANNED:
                break
            if job.gang:
                self._plan_gang(job, planned, touched, now)
            else:
                self._plan_array(job, planned, touched, now)
        return planned

    def _claim(self, job: Job) -> None:
        old = self._claims.get(job.spec.crew, (0.0, 0.0))
        size = job.spec.frames
        self._claims[job.spec.crew] = (
            old[0] + job.need[0] * size, old[1] + job.need[1] * size
        )  # fmt: skip

    def _claimed(self, job: Job) -> tuple[float, float]:
        return self._claims.get(job.spec.crew, (0.0, 0.0))

    def _lower_runs(self, job: Job) -> list[Run]:
        """Runs of the same team that a gang may stop to get at its limit."""
        return [
            run for other in self.jobs.values()
            if other.spec.crew == job.spec.crew and other.level > job.level
            # Work that ranks before the gang would be placed again at once.
            and preemption.rank(other) > preemption.rank(job)
            for run in other.runs.values()
            if run.present and not (other.gang and other.gang_state is GangState.STARTING)
        ]  # fmt: skip

    def _limit_reachable(self, job: Job) -> bool:
        """Whether the gang fits its team's limit, lower work of the team stopped."""
        if self.usage.allows(job, job.spec.frames):
            return True
        vcpus = cards = 0.0
        for run in self._lower_runs(job):
            vcpus += run.job.need[0]
            cards += run.job.need[1]
        return self.usage.allows(job, job.spec.frames, (-vcpus, -cards))

    def _make_limit(self, job: Job, now: float) -> None:
        """Stop the team's own lower work until the gang fits the limit."""
        vcpus = cards = 0.0
        runs = self._lower_runs(job)
        runs.sort(key=lambda run: (not run.stopping, preemption.loss(run, now)))
        for run in runs:
            if self.usage.allows(job, job.spec.frames, (-vcpus, -cards)):
                return
            vcpus += run.job.need[0]
            cards += run.job.need[1]
            if not run.stopping and run.state is not RunState.INTENDED:
                self.stop_for_room(run, f"limit of {job.spec.crew} for {job.id}", now)

    def _waiting_jobs(self, now: float) -> list[Job]:
        jobs = [
            job for job in self.jobs.values()
            if job.state is JobState.LIVE and job.waiting_count > 0 and job.not_before <= now
            and not (job.gang and job.gang_state is not GangState.WAITING)
        ]  # fmt: skip
        jobs.sort(key=lambda job: (preemption.rank(job), self._due(job), job.id))
        return jobs

    def _due(self, job: Job) -> float:
        """When the job should have begun: deadlines by slack, others by arrival."""
        spec = job.spec
        if spec.bloom_s is None:
            return job.arrived
        return job.arrived + spec.bloom_s - self.estimates.run_s(spec.lane, spec.forage_s)

    def _new_run(self, job: Job, index: int, machine: Machine, attempt: int, now: float) -> Run:
        run = Run(job, index, attempt, machine.name, now)
        run.flight = machine.flight
        machine.attach(run)
        self.usage.add(job)
        return run

    def _attempt(self) -> int:
        self.next_attempt += 1
        return self.next_attempt

    def _may_touch(self, machine: Machine, touched: set[str], count: int) -> bool:
        if machine.name not in touched and len(touched) >= self.most_planned_machines:
            return False
        return len(machine.runs) + count <= self.most_machine_runs

    # Gangs: by a hold, checked anew.

    def _plan_gang(
        self, job: Job, planned: list[Run], touched: set[str], now: float
    ) -> None:
        hold = self.book.of_job(job.id)
        if hold is None or self.spent(job, hold):
            return
        fault = self._hold_fault(job, hold)
        if fault is not None:
            log.info("hold of %s refused: %s", job.id, fault)
            self.rejected[job.id] = hold.serial
            return
        if not self._limit_reachable(job):
            return
        taken = self.book.taken(job.id, preemption.rank(job), self._binding)
        short: list[tuple[Machine, Room]] = []
        for name, count in hold.slots.items():
            machine = self.machines[name]
            room = plus(machine.free(), taken.get(name, NO_ROOM), -1.0)
            whole = plus(NO_ROOM, job.need, float(count))
            if not self.usable(machine, now) or not fits(whole, room):
                short.append((machine, whole))
        if short:
            self._make_room(job, short, taken, now)
            return
        if not self.usage.allows(job, job.spec.frames, self._claimed(job)):
            # The machines are free and only the team's own limit is in the way.
            if self._claimed(job) == (0.0, 0.0):
                self._make_limit(job, now)
            self._claim(job)
            return
        if not all(self._may_touch(self.machines[n], touched, c) for n, c in hold.slots.items()):
            if len(hold.slots) <= self.most_planned_machines or touched:
                return
        attempt = self._attempt()
        runs: list[Run] = []
        tasks = iter(range(job.spec.frames))
        for name, count in hold.slots.items():
            touched.add(name)
            for _ in range(count):
                runs.append(self._new_run(job, next(tasks), self.machines[name], attempt, now))
        gangs.begin(job, runs, now)
        job.starting_hold = hold.serial
        planned += runs
        log.info(
            "gang %s try %d starts on %s, waited %.1f s",
            job.id, attempt, ",".join(hold.slots), now - job.arrived,
        )  # fmt: skip

    def _binding(self, hold: Hold) -> bool:
        """Whether a hold still keeps room: its gang waits and may start."""
        job = self.jobs.get(hold.job)
        return (
            job is not None
            and job.state is JobState.LIVE
            and job.gang_state is GangState.WAITING
            and not self.spent(job, hold)
            and self._limit_reachable(job)
        )

    def _hold_fault(self, job: Job, hold: Hold) -> str | None:
        """Why a hold can't be honoured, whatever time passes."""
        spec = job.spec
        if sum(hold.slots.values()) != spec.frames or min(hold.slots.values()) < 1:
            return "wrong number of tasks"
        zones: dict[str, int] = {}
        for name, count in hold.slots.items():
            machine = self.machines.get(name)
            if machine is None or machine.breed is None:
                return f"{name} is not known"
            if machine.state in (MachineState.DRAINING, MachineState.RELEASING):
                return f"{name} is leaving"
            if not allowed(spec, machine.breed.label, machine.zone, machine.spot):
                return f"{name} is not allowed"
            if times_fits(job.need, machine.total, count) < count:
                return f"{name} is too small"
            zones[machine.zone] = zones.get(machine.zone, 0) + count
        if spec.same_place and len(zones) > 1:
            return "more than one zone"
        if spec.scatter and max(zones.values()) > (spec.frames + 1) // 2:
            return "too many in one zone"
        return None

    def _make_room(
        self, job: Job, short: list[tuple[Machine, Room]], taken: dict[str, Room], now: float
    ) -> None:
        """Stop others for a held group, all of it or nothing."""
        chosen: list[Run] = []
        for machine, whole in short:
            if not self.usable(machine, now):
                return
            found = preemption.victims(
                machine, whole, job, self.usage, taken.get(machine.name, NO_ROOM), now
            )
            if found is None:
                return
            chosen += found
        for run in chosen:
            if not run.stopping:
                self.stop_for_room(run, f"room for {job.id}", now)

    # Arrays: wherever there is room, tasks one by one.

    def _plan_array(
        self, job: Job, planned: list[Run], touched: set[str], now: float
    ) -> None:
        spec = job.spec
        taken = self.book.taken(job.id, preemption.rank(job), self._binding)
        places = self._array_places(job, taken, now)
        zones = job.zones_used(self.zone_of) if spec.same_place or spec.scatter else {}
        most_in_zone = (spec.frames + 1) // 2
        only: str | None = None
        if spec.same_place:
            only = self._array_zone(zones, places)
        tasks = job.waiting_tasks()
        patient = self._patient(job, now)
        placed_all = False
        for machine, count in places:
            if only is not None and machine.zone != only:
                continue
            while count > 0 and len(planned) < MOST_PLANNED:
                if not self._may_touch(machine, touched, 1):
                    break
                if patient and not machine.spot and self._free_plain < job.need[1]:
                    break
                if not self.usage.allows(job, 1, self._claimed(job)):
                    break
                if spec.scatter and zones.get(machine.zone, 0) >= most_in_zone:
                    break
                index = next(tasks, None)
                if index is None:
                    placed_all = True
                    break
                run = self._new_run(job, index, machine, self._attempt(), now)
                job.add_run(run)
                planned.append(run)
                touched.add(machine.name)
                if not machine.spot:
                    self._free_plain -= job.need[1]
                zones[machine.zone] = zones.get(machine.zone, 0) + 1
                count -= 1
            if placed_all:
                break
        if not placed_all and job.waiting_count > 0:
            self._array_starves(job, taken, now)
        else:
            self._starved_since.pop(job.id, None)

    def _plain_cards(self, now: float) -> float:
        """Free cards on ordinary machines beyond the headroom kept there.

        Classes that are to start within seconds can't wait for others to save
        and leave; so work that can wait does not fill the last machines.
        """
        free = total = 0.0
        for machine in self.machines.values():
            if not machine.spot and self.usable(machine, now):
                free += machine.free()[1]
                total += machine.total[1]
        return free - self.reserve_share * total

    def _patient(self, job: Job, now: float) -> bool:
        """Whether the job may wait: no quick start is aimed at, and there is slack."""
        if job.within or not self.quick_lanes or job.spec.lane in self.quick_lanes:
            return False
        return now < self._due(job) - self.lease_s

    def _array_zone(self, zones: dict[str, int], places: list[tuple[Machine, int]]) -> str:
        """The zone that the job is in already, or the roomiest."""
        if zones:
            return next(iter(zones)) if len(zones) == 1 else "\0none"
        sums: dict[str, int] = {}
        for machine, count in places:
            sums[machine.zone] = sums.get(machine.zone, 0) + count
        return max(sums, key=lambda zone: (sums[zone], zone), default="\0none")

    def _array_places(
        self, job: Job, taken: dict[str, Room], now: float
    ) -> list[tuple[Machine, int]]:
        """Machines with room, the ones where tasks start soonest first."""
        spec = job.spec
        found = []
        for machine in self.machines.values():
            if not self.usable(machine, now) or machine.breed is None:
                continue
            if not allowed(spec, machine.breed.label, machine.zone, machine.spot):
                continue
            if machine.name in job.failed_on and len(job.failed_on) < BAD_JOB_MACHINES:
                continue
            room = plus(machine.free(), taken.get(machine.name, NO_ROOM), -1.0)
            count = times_fits(job.need, room, spec.frames)
            if count:
                cost = machine.fetch_s(spec.comb, spec.image_gb)
                if spec.drones and not machine.spot:
                    cost += 4 * self.report_s
                if machine.empty:
                    cost += 2 * self.report_s  # an empty machine can be returned
                cost += 5 * self.report_s * len(machine.error_jobs)
                found.append((cost, room[1], machine.name, machine, count))
        found.sort(key=lambda place: place[:3])
        return [(place[3], place[4]) for place in found]

    def _array_starves(self, job: Job, taken: dict[str, Room], now: float) -> None:
        """Within its guarantee a job gets back what other teams have borrowed."""
        if not job.within or not self.usage.allows(job, 1, self._claimed(job)):
            return
        since = self._starved_since.setdefault(job.id, now)
        if now - since < 2 * self.report_s:
            return
        self._starved_since[job.id] = now
        wanted = min(job.waiting_count, 16)
        for machine in self.machines.values():
            if wanted <= 0:
                return
            if not self.usable(machine, now) or machine.breed is None:
                continue
            if not allowed(job.spec, machine.breed.label, machine.zone, machine.spot):
                continue
            while wanted > 0:
                held = taken.get(machine.name, NO_ROOM)
                found = preemption.victims(machine, job.need, job, self.usage, held, now)
                if not found:
                    break
                for run in found:
                    self.stop_for_room(run, f"guarantee of {job.spec.crew}", now)
                wanted -= 1

    # -- what became of a plan -------------------------------------------------

    def intents_written(self, runs: Iterable[Run], now: float) -> None:
        for run in runs:
            if run.state is RunState.INTENDED:
                run.written(now)
                # Only now is the hold used up. Used up by a plan whose intents
                # then failed, it would keep its gang from ever starting.
                run.job.used_hold = max(run.job.used_hold, run.job.starting_hold)
                if run.stopping:
                    self._drop(run, now)
                else:
                    self._ring(self.machines[run.machine], now)

    def intents_failed(self, runs: Iterable[Run], now: float) -> None:
        """The transaction failed for good: none of it was or will be written."""
        for run in runs:
            if run.state is RunState.INTENDED:
                self._drop(run, now)
        for job in {run.job for run in runs if run.job.gang}:
            if not job.runs:
                job.enter_gang_state(GangState.WAITING, now)

    # -- summaries and the search ----------------------------------------------

    def waiting_gangs(self, now: float) -> list[Job]:
        """Gangs that need a hold: none in force, and their team may use the room."""
        found = []
        for job in self._waiting_jobs(now):
            if not job.gang or not self._limit_reachable(job):
                continue
            found.append(job)
        return found

    def wanting_s(self, job: Job, now: float) -> float:
        """How long the gang has been without a hold that is in force."""
        if not self.needs_hold(job):
            self._wanting_since.pop(job.id, None)
            return 0.0
        return now - self._wanting_since.setdefault(job.id, now)

    def needs_hold(self, job: Job) -> bool:
        hold = self.book.of_job(job.id)
        return hold is None or self.spent(job, hold)

    def spent(self, job: Job, hold: Hold) -> bool:
        """Whether a hold was used up or refused, so that another is needed."""
        return hold.serial <= job.used_hold or self.rejected.get(job.id) == hold.serial

    def offers(self, zone: str, now: float) -> list[Offer]:
        """The zone's cache: machines with room, soonest free first."""
        found = []
        for machine in self.machines.values():
            if machine.zone == zone and machine.breed is not None:
                offer = self._offer(machine, now)
                if offer is not None:
                    found.append(offer)
        found.sort(key=sooner)
        return found[:CACHE_LENGTH]

    def _offer(self, machine: Machine, now: float) -> Offer | None:
        assert machine.breed is not None
        rungs: list[tuple[float, Room]] = []
        evictable: list[tuple[Rank, float, Room]] = []
        if machine.state is MachineState.STARTING:
            wait = machine.breed.ready_s - (now - machine.rented_at)
            rungs.append((max(wait, 2 * self.report_s), machine.total))
        elif self.usable(machine, now):
            room = machine.free()
            # A worker that can be rung takes a launch at once, others at their
            # next report.
            rungs.append((0.0 if machine.bells else 0.5 * self.report_s, room))
            ends = []
            for run in machine.runs.values():
                if run.present:
                    if run.stopping:
                        left = max(0.0, run.job.spec.seal_s - (now - run.stop_at)) + self.report_s
                    else:
                        left = self.remaining_s(run, now)
                        if run.state is not RunState.RUNNING:
                            left += machine.fetch_s(run.job.spec.comb, run.job.spec.image_gb)
                    ends.append((left, run.job.need))
            ends.sort(key=lambda end: end[0])
            step = max(1, (len(ends) + MOST_RUNGS - 1) // MOST_RUNGS)
            for number, (left, need) in enumerate(ends, start=1):
                room = plus(room, need)
                if number % step == 0 or number == len(ends):
                    rungs.append((left, room))
            evictable = self._evictable(machine)
        else:
            return None
        return Offer(
            machine.name, machine.zone, machine.breed.label, machine.spot,
            frozenset(machine.images), rungs, evictable, machine.breed.fetch_gb_per_s,
        )  # fmt: skip

    def _evictable(self, machine: Machine) -> list[tuple[Rank, float, Room]]:
        """Room that work of each rank could take from work behind it."""
        runs = [
            run for run in machine.runs.values()
            if not (run.job.gang and run.job.gang_state is GangState.STARTING)
        ]  # fmt: skip
        found = []
        for outside in (0, 1):
            for level in range(len(wire.URGENCIES)):
                room = NO_ROOM
                delay = self.report_s
                for run in runs:
                    if preemption.behind((outside, level), run.job):
                        room = plus(room, run.job.need)
                        if run.job.spec.cap_s > 0:
                            delay = max(delay, self.report_s + run.job.spec.seal_s)
                if room != NO_ROOM:
                    found.append(((outside, level), delay, room))
        return found

    def directory(self) -> list[tuple[str, str]]:
        """All machines, for pivots."""
        return [
            (machine.name, machine.zone) for machine in self.machines.values()
            if renting.counted(machine)
        ]  # fmt: skip

    # -- renting -----------------------------------------------------------

    def rent(self, now: float) -> list[renting.Ask]:
        """Rental requests; idle machines that are not wanted go to `releases`."""
        breeds = list(self.breeds.values())
        self.refresh_guarantees()
        slowest = max((breed.ready_s for breed in breeds), default=0.0)
        growing = now - self.last_arrival < max(slowest, self.lease_s)
        found = renting.wishes(
            self.jobs.values(), breeds, self.usage.teams, self.zone_of, self.rent_rules, growing
        )
        held = {name for hold in self.book.all() if self._binding(hold) for name in hold.slots}
        asks: list[renting.Ask] = []
        for breed in breeds:
            fleet = renting.Fleet(breed, self.machines.values())
            asks += renting.rent(found, breed, fleet, self.refusals, now)
            for machine in renting.returns(
                found, breed, fleet, self.rent_rules, growing, now
            ):
                if machine.name not in held:
                    self.release(machine, "idle", now)
        return asks
