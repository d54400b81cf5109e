"""What is placed where: gangs by their holds, arrays wherever there is room."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable, Mapping

from topazhold.core import gangs, preemption
from topazhold.core.holds import HeldRooms, Hold, Turn
from topazhold.core.jobs import GangState, Job, JobState, Room, Run, RunState
from topazhold.core.ledger import NO_ROOM, LowerWork
from topazhold.core.machines import Machine, MachineState, fits, plus, times_fits
from topazhold.core.observing import BAD_JOB_MACHINES
from topazhold.core.offering import Offering
from topazhold.core.search import allowed

log = logging.getLogger(__name__)

#: Tasks of an array that get room back from other teams at once.
MOST_CALLED_BACK = 16
#: A hold whose room is all there within so many report periods binds work that
#: yields, too; a machine that boots longer than so many boot times is not counted on.
SOON_REPORTS = 6.0
LATE_BOOTS = 1.5
#: Runs planned in one round.
MOST_PLANNED = 96


class Placing(Offering):
    """Plans of new runs; their intents are written before anything is launched.

    What many jobs ask for is added up once per round: what holds keep, which
    machines have room at all, what a team's lower work takes. Done per job, a
    round's cost grew with jobs times machines times holds, and a leader of 150
    machines spent its whole share of a core on it.
    """

    def wants_plan(self, machine: Machine, now: float) -> bool:
        """Whether a round of planning might place something on this machine."""
        room = machine.free()
        if not fits(self._least, room) or not self.usable(machine, now):
            return False
        # Asked at every report: of the sizes that the last round saw waiting, not of
        # all jobs.
        return any(fits(need, room) for need in self._needs)

    def plan(self, now: float) -> list[Run]:
        """New runs; their intents are to be written before anything else."""
        self.refresh_guarantees()
        jobs = self._waiting_jobs(now)
        if not jobs:
            self._needs = set()
            return []
        self._survey(jobs, now)
        planned: list[Run] = []
        # What gangs whose machines are free are to have of their teams' limits.
        # Without it a team's arrays take up its limit task by task, and a gang
        # that needs more at once waits until they are all done.
        self._claims = {}
        for job in jobs:
            if len(planned) >= MOST_PLANNED:
                break
            if job.gang:
                self._plan_gang(job, planned, now)
            else:
                self._plan_array(job, planned, now)
        return planned

    def _survey(self, jobs: list[Job], now: float) -> None:
        """What a round of planning needs to know of the whole fleet."""
        self._lower = {}
        self._full = set()
        self._held = HeldRooms(
            self.hold_table, self._turn_of, lambda hold: self._gathers(hold, now)
        )
        self._needs = needs = {job.need for job in jobs}
        self._least = (
            min(need[0] for need in needs),
            min(need[1] for need in needs),
            min(need[2] for need in needs),
        )
        self._roomy = []
        free = total = 0.0
        for machine in self.machines.values():
            if self.usable(machine, now):
                room = machine.free()
                if not machine.spot:
                    free += room[1]
                    total += machine.total[1]
                if fits(self._least, room):
                    self._roomy.append(machine)
        # Free cards on ordinary machines beyond the headroom kept there. Classes that
        # are to start within seconds can't wait for others to save and leave; so work
        # that can wait does not fill the last machines.
        self._free_plain = free - self.reserve_share * total

    def _gathers(self, hold: Hold, now: float) -> bool:
        """Whether not even work that yields may come in between.

        A task that would be stopped before its image is there does nobody any good:
        when hundreds of machines came up together, arrays took those held by gangs
        of two whose other machine was seconds behind.
        """
        job = self.jobs[hold.job]
        return job.gathers_until > now or self._soon(hold, job, now)

    def _soon(self, hold: Hold, job: Job, now: float) -> bool:
        """Whether all room of a hold is likely to be there within a few report periods."""
        known = self._soon_known.get(job.id)
        if known is not None and known[0] == hold.serial and now - known[1] < self.report_s:
            return known[2]
        soon = True
        for name, count in hold.slots.items():
            machine = self.machines.get(name)
            known_type = machine is not None and machine.machine_type is not None
            offer = self._present_offer(machine, now) if machine and known_type else None
            if machine is None or offer is None:
                soon = False
                break
            if machine.state is MachineState.STARTING:
                if now - machine.rented_at > LATE_BOOTS * self._boot_s(machine):
                    soon = False
                    break
            # Natural ends only: whether others can be stopped, `_make_room` finds out.
            whole = plus(NO_ROOM, job.need, float(count))
            wait = next((delay for delay, room in offer.rungs if fits(whole, room)), math.inf)
            if wait >= SOON_REPORTS * self.report_s:
                soon = False
                break
        self._soon_known[job.id] = (hold.serial, now, soon)
        return soon

    def _claim(self, job: Job) -> None:
        old = self._claims.get(job.spec.team, (0.0, 0.0))
        size = job.spec.tasks
        self._claims[job.spec.team] = (old[0] + job.need[0] * size, old[1] + job.need[1] * size)

    def _claimed(self, job: Job) -> tuple[float, float]:
        return self._claims.get(job.spec.team, (0.0, 0.0))

    def _lower_runs(self, job: Job) -> list[Run]:
        """Runs of the same team that a gang may stop to get at its limit."""
        return [
            run
            for other in self.jobs.values()
            if other.spec.team == job.spec.team
            and other.level > job.level
            # Work that ranks before the gang would be placed again at once.
            and preemption.rank(other) > preemption.rank(job)
            for run in other.runs.values()
            if run.present and not (other.gang and other.gang_state is GangState.STARTING)
        ]

    def _lower_work(self, team_name: str) -> LowerWork:
        """What each job of a team has on machines; added up once per round."""
        found = self._lower.get(team_name)
        if found is not None:
            return found
        found = self._lower[team_name] = []
        for job in self.jobs.values():
            if job.spec.team != team_name or not job.runs:
                continue
            if job.gang and job.gang_state is GangState.STARTING:
                continue
            count = sum(run.present for run in job.runs.values())
            if count:
                found.append(
                    (job.level, preemption.rank(job), job.need[0] * count, job.need[1] * count)
                )
        return found

    def _limit_reachable(self, job: Job) -> bool:
        """Whether the gang fits its team's limit, lower work of the team stopped."""
        if self.usage.allows(job, job.spec.tasks):
            return True
        cpus = gpus = 0.0
        rank = preemption.rank(job)
        for level, of_rank, of_vcpus, of_cards in self._lower_work(job.spec.team):
            if level > job.level and of_rank > rank:
                cpus += of_vcpus
                gpus += of_cards
        return self.usage.allows(job, job.spec.tasks, (-cpus, -gpus))

    def _make_limit(self, job: Job, now: float) -> None:
        """Stop the team's own lower work until the gang fits the limit."""
        cpus = gpus = 0.0
        runs = self._lower_runs(job)
        runs.sort(key=lambda run: (not run.stopping, preemption.loss(run, now)))
        for run in runs:
            if self.usage.allows(job, job.spec.tasks, (-cpus, -gpus)):
                return
            cpus += run.job.need[0]
            gpus += run.job.need[1]
            if not run.stopping and run.state is not RunState.INTENDED:
                self.stop_for_room(run, f"limit of {job.spec.team} for {job.id}", now)

    def _waiting_jobs(self, now: float) -> list[Job]:
        jobs = [
            job
            for job in self.jobs.values()
            if job.state is JobState.LIVE
            and job.waiting_count > 0
            and job.not_before <= now
            and not (job.gang and job.gang_state is not GangState.WAITING)
        ]
        jobs.sort(key=lambda job: (preemption.turn(job), self._due(job), job.id))
        return jobs

    def _turn_of(self, hold: Hold) -> Turn | None:
        """By what is known now: the hold itself names the turn of when it was made."""
        return preemption.turn(self.jobs[hold.job]) if self._binding(hold) else None

    def _due(self, job: Job) -> float:
        """When the job should have begun: deadlines by slack, others by arrival."""
        spec = job.spec
        if spec.deadline_s is None:
            return job.arrived
        return (
            job.arrived
            + spec.deadline_s
            - self.estimates.run_s(spec.job_class, spec.estimated_run_s)
        )

    def _new_run(self, job: Job, index: int, machine: Machine, attempt: int, now: float) -> Run:
        run = Run(job, index, attempt, machine.name, now)
        run.session = machine.session
        machine.attach(run)
        self.usage.add(job)
        return run

    def _attempt(self) -> int:
        self.next_attempt += 1
        return self.next_attempt

    def _recordable(self, machine: Machine, count: int) -> bool:
        """Whether the machine's intents still fit a value with so many more tasks."""
        return len(machine.runs) + count <= self.most_machine_runs

    def _plan_gang(self, job: Job, planned: list[Run], now: float) -> None:
        hold = self.hold_table.of_job(job.id)
        if hold is None or self.spent(job, hold):
            return
        if self._check_due(job, hold) and self._refuse(job, hold):
            return
        if not self._limit_reachable(job):
            return
        taken = self._held.taken(job.id, preemption.turn(job))
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
        if not self.usage.allows(job, job.spec.tasks, self._claimed(job)):
            # The machines are free and only the team's own limit is in the way.
            if self._claimed(job) == (0.0, 0.0):
                self._make_limit(job, now)
            self._claim(job)
            return
        if not all(self._recordable(self.machines[n], c) for n, c in hold.slots.items()):
            return
        attempt = self._attempt()
        runs: list[Run] = []
        tasks = iter(range(job.spec.tasks))
        for name, count in hold.slots.items():
            for _ in range(count):
                runs.append(self._new_run(job, next(tasks), self.machines[name], attempt, now))
        gangs.begin(job, runs, now)
        self._held.release(job.id)
        self._full.clear()
        job.starting_hold = hold.serial
        planned += runs
        log.info(
            "gang %s try %d starts on %s, waited %.1f s",
            job.id,
            attempt,
            ",".join(hold.slots),
            now - job.arrived,
        )

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

    def _check_due(self, job: Job, hold: Hold) -> bool:
        """Whether a hold has to be checked: it is new, or machines have changed since."""
        checked = self._checked.get(job.id)
        return checked is None or checked[0] is not hold or checked[1] != self.fleet_changes

    def _refuse(self, job: Job, hold: Hold) -> bool:
        """Refuse a hold that can't be honoured; whether that was so."""
        self._checked[job.id] = (hold, self.fleet_changes)
        fault = self._hold_fault(job, hold)
        if fault is None:
            return False
        log.info("hold of %s refused: %s", job.id, fault)
        self.rejected[job.id] = hold.serial
        return True

    def _hold_fault(self, job: Job, hold: Hold) -> str | None:
        """Why a hold can't be honoured, whatever time passes."""
        spec = job.spec
        if sum(hold.slots.values()) != spec.tasks or min(hold.slots.values()) < 1:
            return "wrong number of tasks"
        zones: dict[str, int] = {}
        for name, count in hold.slots.items():
            machine = self.machines.get(name)
            if machine is None or machine.machine_type is None:
                return f"{name} is not known"
            if machine.state in (MachineState.DRAINING, MachineState.RELEASING):
                return f"{name} is leaving"
            if machine.deaf:
                return f"{name} is deaf"
            if not allowed(spec, machine.machine_type.name, machine.zone, machine.spot):
                return f"{name} is not allowed"
            if times_fits(job.need, machine.total, count) < count:
                return f"{name} is too small"
            zones[machine.zone] = zones.get(machine.zone, 0) + count
        if spec.same_place and len(zones) > 1:
            return "more than one zone"
        if spec.scatter and max(zones.values()) > (spec.tasks + 1) // 2:
            return "too many in one zone"
        return None

    def _make_room(
        self,
        job: Job,
        short: list[tuple[Machine, Room]],
        taken: Mapping[str, Room],
        now: float,
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
        # From now on not even work that yields may come in between.
        job.gathers_until = now + 2 * self.report_s
        for run in chosen:
            if not run.stopping:
                self.stop_for_room(run, f"room for {job.id}", now)

    def _plan_array(self, job: Job, planned: list[Run], now: float) -> None:
        spec = job.spec
        if not self.usage.allows(job, 1, self._claimed(job)):
            return  # its team's limit, whatever room there is
        taken = self._held.taken(job.id, preemption.turn(job), spec.checkpoint_s > 0)
        places = self._array_places(job, taken, now)
        zones = job.zones_used(self.zone_of) if spec.same_place or spec.scatter else {}
        most_in_zone = (spec.tasks + 1) // 2
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
                if not self._recordable(machine, 1):
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

    def _patient(self, job: Job, now: float) -> bool:
        """Whether the job may wait: no quick start is aimed at, and there is slack.

        Also within its guarantee, if it may use spot machines: ordinary ones are all
        that those have who may not.
        """
        if not self.keeps_reserve or job.spec.job_class in self.aimed_waits:
            return False
        if job.within and not job.spec.spot:
            return False
        # Its tasks seldom start all at once: half a run's time is left for that.
        run_s = self.estimates.run_s(job.spec.job_class, job.spec.estimated_run_s)
        return now < self._due(job) - self.lease_s - 0.5 * run_s

    def _array_zone(self, zones: dict[str, int], places: list[tuple[Machine, int]]) -> str:
        """The zone that the job is in already, or the roomiest."""
        if zones:
            return next(iter(zones)) if len(zones) == 1 else "\0none"
        sums: dict[str, int] = {}
        for machine, count in places:
            sums[machine.zone] = sums.get(machine.zone, 0) + count
        return max(sums, key=lambda zone: (sums[zone], zone), default="\0none")

    def _array_places(
        self, job: Job, taken: Mapping[str, Room], now: float
    ) -> list[tuple[Machine, int]]:
        """Machines with room, the ones where tasks start soonest first.

        Where an array finds none, one of the same kind whose turn comes later finds none
        in this round: holds keep the more from it, and room only gets less.
        """
        spec = job.spec
        level = job.level if spec.checkpoint_s > 0 else None
        types = tuple(spec.machine_types) if spec.machine_types is not None else None
        kind = (job.need, level, types, spec.zone, spec.spot)
        if kind in self._full:
            return []
        found = []
        for machine in self._roomy:
            # Usable when the round began, and nothing is heard in between.
            if machine.machine_type is None:
                continue
            if not allowed(spec, machine.machine_type.name, machine.zone, machine.spot):
                continue
            if machine.name in job.failed_on and len(job.failed_on) < BAD_JOB_MACHINES:
                continue
            room = plus(machine.free(), taken.get(machine.name, NO_ROOM), -1.0)
            count = times_fits(job.need, room, spec.tasks)
            if count:
                cost = machine.fetch_s(spec.image, spec.image_gb)
                if spec.spot and not machine.spot:
                    cost += 4 * self.report_s
                if machine.empty:
                    cost += 2 * self.report_s  # an empty machine can be returned
                cost += 5 * self.report_s * len(machine.error_jobs)
                found.append((cost, room[1], machine.name, machine, count))
        if not found and not job.failed_on:
            self._full.add(kind)
        found.sort(key=lambda place: place[:3])
        return [(place[3], place[4]) for place in found]

    def _array_starves(self, job: Job, taken: Mapping[str, Room], now: float) -> None:
        """Within its guarantee a job gets back what other teams have borrowed."""
        if not job.within or not self.usage.allows(job, 1, self._claimed(job)):
            return
        since = self._starved_since.setdefault(job.id, now)
        if now - since < 2 * self.report_s:
            return
        self._starved_since[job.id] = now
        wanted = min(job.waiting_count, MOST_CALLED_BACK)
        choices: list[tuple[float, str]] = []
        for machine in self.machines.values():
            if not self.usable(machine, now) or machine.machine_type is None:
                continue
            if not allowed(job.spec, machine.machine_type.name, machine.zone, machine.spot):
                continue
            held = taken.get(machine.name, NO_ROOM)
            found = preemption.victims(machine, job.need, job, self.usage, held, now)
            if found:
                cost = sum(preemption.loss(run, now, job.level) for run in found)
                choices.append((cost, machine.name))
        # The cheapest first: a lone task of an urgent gang must not leave for one
        # of an array where other arrays' tasks could.
        for _, name in sorted(choices):
            while wanted > 0:
                held = taken.get(name, NO_ROOM)
                machine = self.machines[name]
                found = preemption.victims(machine, job.need, job, self.usage, held, now)
                if not found:
                    break
                for run in found:
                    self.stop_for_room(run, f"guarantee of {job.spec.team}", now)
                wanted -= 1

    def intents_written(self, runs: Iterable[Run], now: float) -> None:
        self.changes += 1
        for run in runs:
            if run.state is RunState.INTENDED:
                run.written(now)
                # Only now is the hold used up. Used up by a plan whose intents
                # then failed, it would keep its gang from ever starting.
                run.job.used_hold = max(run.job.used_hold, run.job.starting_hold)
                if run.stopping:
                    self._drop(run, now)
                else:
                    self._wake(self.machines[run.machine], now)

    def intents_failed(self, runs: Iterable[Run], now: float) -> None:
        """The transaction failed for good: none of it was or will be written."""
        for run in runs:
            if run.state is RunState.INTENDED:
                self._drop(run, now)
        self.changes += 1
        for job in {run.job for run in runs if run.job.gang}:
            if not job.runs:
                job.enter_gang_state(GangState.WAITING, now)

    def spent(self, job: Job, hold: Hold) -> bool:
        """Whether a hold was used up or refused, so that another is needed."""
        return hold.serial <= job.used_hold or self.rejected.get(job.id) == hold.serial
