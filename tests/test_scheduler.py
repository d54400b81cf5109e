"""The leader's decisions, one at a time."""

from __future__ import annotations

import math

from tests.conftest import Bench, make_spec
from topazhold.core import failover, preemption
from topazhold.core.autoscaling import counts_as_capacity
from topazhold.core.jobs import GangState, Job, JobState
from topazhold.core.machines import MachineState
from topazhold.core.records import Intents
from topazhold.core.resource_offer import AGED
from topazhold.core.task_attempts import AttemptState, TaskAttempt
from topazhold.wire.messages import Heartbeat, ListedMachine, TaskStatus


def launched(commands: list) -> list[str]:
    return [command.task_name for command in commands if command.kind == "launch"]


def running_gang(bench: Bench, number: int = 1, **changes: object) -> Job:
    job = bench.job(make_spec(number, **changes))
    bench.reservation(job, {"host-0": 1, "host-2": 1})
    bench.plan()
    bench.all_report()
    for name in ("host-0", "host-2"):
        bench.state(name, "running")
    bench.all_report()
    bench.scheduler.tick(bench.now)
    assert job.gang_state is GangState.RUNNING
    return job


def test_launch_only_after_the_intent(bench: Bench) -> None:
    job = bench.job(make_spec())
    bench.reservation(job, {"host-0": 1, "host-2": 1})
    attempts = bench.scheduler.plan(bench.now)
    assert len(attempts) == 2
    assert launched(bench.all_report()) == []
    bench.scheduler.intents_written(attempts, bench.now)
    assert sorted(launched(bench.all_report())) == ["wk-000001/0", "wk-000001/1"]


def test_lost_launch_is_repeated_on_the_same_machine(bench: Bench) -> None:
    """The answer with the launch was dropped: the next report lacks the task."""
    bench.job(make_spec(shape="batch", tasks=1))
    (attempt,) = bench.plan()
    assert launched(bench.report(attempt.machine, carry_out=False)) == ["wk-000001/0"]
    assert launched(bench.report(attempt.machine)) == ["wk-000001/0"]
    assert attempt.state is AttemptState.ORDERED
    bench.report(attempt.machine)
    assert attempt.state is AttemptState.PULLING


def test_direct_answer_proves_no_absence(bench: Bench) -> None:
    """A direct command's answer may overtake the launch that is under way."""
    bench.job(make_spec(shape="batch", tasks=1))
    (attempt,) = bench.plan()
    bench.report(attempt.machine, carry_out=False)
    bench.sequences[attempt.machine] += 1
    heartbeat = Heartbeat(
        attempt.machine, "x:1", "b1", "a", False, 1, bench.sequences[attempt.machine], 5, []
    )
    bench.scheduler.on_heartbeat(heartbeat, True, bench.now)
    assert attempt.state is AttemptState.ORDERED


def test_failed_intents_do_not_use_the_hold_up(bench: Bench) -> None:
    """A gang whose intents could not be written must start with the same hold."""
    job = bench.job(make_spec())
    bench.reservation(job, {"host-0": 1, "host-2": 1})
    bench.scheduler.intents_failed(bench.scheduler.plan(bench.now), bench.now)
    assert job.gang_state is GangState.WAITING
    assert bench.scheduler.usage.used("red") == (0.0, 0.0)
    assert len(bench.plan()) == 2


def test_machine_gone_gives_the_limit_back(bench: Bench) -> None:
    """Runs of a gone machine must not count against their team any more."""
    bench.job(make_spec(shape="batch", tasks=1))
    (attempt,) = bench.plan()
    assert bench.scheduler.usage.used("red") == (4.0, 2.0)
    bench.scheduler.remove_machine(attempt.machine, bench.now)
    assert bench.scheduler.usage.used("red") == (0.0, 0.0)


def test_silence_places_nothing_again(bench: Bench) -> None:
    job = bench.job(make_spec(shape="batch", tasks=1))
    (attempt,) = bench.plan()
    bench.report(attempt.machine)
    bench.now += 500.0
    for name in bench.scheduler.machines:
        if name != attempt.machine:
            bench.report(name)
    bench.scheduler.tick(bench.now)
    assert bench.plan() == []
    assert attempt.machine in bench.scheduler.releases
    bench.scheduler.remove_machine(attempt.machine, bench.now)
    assert [new.index for new in bench.plan()] == [0]
    assert job.attempts[0].machine != attempt.machine


def test_cut_zone_is_not_released(bench: Bench) -> None:
    """Many machines silent at once are a cut, which proves nothing."""
    bench = Bench(machines=8)
    bench.now += 30.0
    for name, machine in bench.scheduler.machines.items():
        if machine.zone == "b":
            bench.report(name)
    bench.scheduler.tick(bench.now)
    assert bench.scheduler.releases == {}


def test_cancelled_task_takes_a_silent_machine_with_it(bench: Bench) -> None:
    bench.job(make_spec(shape="batch", tasks=1))
    (attempt,) = bench.plan()
    bench.report(attempt.machine)
    bench.scheduler.on_job_ended("wk-000001", False, bench.now, bench.now)
    bench.now += bench.scheduler.cancel_s * 0.7
    bench.scheduler.tick(bench.now)
    assert attempt.machine in bench.scheduler.releases


def test_lost_gang_member_stops_the_rest_and_the_gang_waits_again(bench: Bench) -> None:
    job = running_gang(bench)
    bench.tasks["host-0"].clear()  # a new session: its tasks are gone
    bench.report("host-0", incarnation=2)
    bench.scheduler.tick(bench.now)
    assert job.gang_state is GangState.STOPPING
    commands = bench.report("host-2")
    assert [command.kind for command in commands] == ["kill"]
    bench.state("host-2", "ended", "stopped", kept=True)
    bench.report("host-2")
    bench.scheduler.tick(bench.now)
    assert job.gang_state is GangState.WAITING
    assert job.attempts == {}


def test_orderly_stop_tells_every_task_with_enough_grace(bench: Bench) -> None:
    job = running_gang(bench)
    bench.scheduler.preempt(job.attempts[0], "test", bench.now)
    assert {attempt.stop_grace >= job.spec.save_s for attempt in job.attempts.values()} == {True}
    assert bench.scheduler.to_command >= {"host-0", "host-2"}
    assert all(bench.scheduler.kills(bench.scheduler.machines[n]) for n in ("host-0", "host-2"))


def test_gang_not_running_a_report_period_after_its_images_is_stopped(bench: Bench) -> None:
    job = bench.job(make_spec())
    bench.reservation(job, {"host-0": 1, "host-2": 1})
    bench.plan()
    bench.all_report()
    for name in ("host-0", "host-2"):
        bench.state(name, "gathering")
    bench.all_report()
    bench.now += 1.6 * bench.scheduler.heartbeat_interval_s
    bench.scheduler.tick(bench.now)
    assert job.gang_state is GangState.STOPPING


def test_one_done_task_means_a_done_gang(bench: Bench) -> None:
    job = running_gang(bench)
    bench.state("host-0", "ended", "done")
    bench.report("host-0")
    assert job.complete
    assert bench.scheduler.finished == [job]


def test_done_is_cleared_only_once_saved(bench: Bench) -> None:
    """Until then the worker's word is the only record of it."""
    job = bench.job(make_spec(shape="batch", tasks=8, gpus=1.0, cpus=1.0))
    name = bench.plan()[0].machine
    bench.all_report()
    bench.state(name, "ended", "done")
    assert bench.report(name) == [] and bench.scheduler.machines[name].wake_tasks == []
    job.unsaved_parts.clear()
    kept = len(bench.tasks[name])
    commands = bench.report(name)
    assert {command.kind for command in commands} <= {"clear"}
    assert len(commands) + len(bench.scheduler.machines[name].wake_tasks) == kept


def test_waiting_launch_rings_the_worker(bench: Bench) -> None:
    """A direct clear changes the worker's tasks, so that it reports at once."""
    bench.job(make_spec(1, shape="batch", tasks=1))
    (attempt,) = bench.plan()
    bench.report(attempt.machine)
    bench.state(attempt.machine, "ended", "error")
    bench.report(attempt.machine)
    bench.now += 0.5
    for name in bench.scheduler.machines:
        bench.report(name)
    bench.now += 0.5
    bench.job(make_spec(2, shape="batch", tasks=40, gpus=0.0, cpus=1.0, same_place=False))
    bench.plan()
    assert attempt.machine in bench.scheduler.to_command
    commands = bench.scheduler.direct_commands(bench.scheduler.machines[attempt.machine])
    assert [(command.kind, command.task_name) for command in commands] == [("clear", "wk-000001/0")]


def test_quota_counts_everything_from_the_intent_on(bench: Bench) -> None:
    bench = Bench(machines=8)
    bench.job(make_spec(team="blue", shape="batch", tasks=20, gpus=1.0, cpus=1.0))
    assert len(bench.plan()) == 12  # blue's limit
    bench.all_report()
    assert bench.plan() == []


def test_gang_gets_its_teams_limit_back_from_lower_work() -> None:
    bench = Bench(machines=8)
    bench.job(make_spec(1, team="blue", shape="batch", tasks=12, gpus=1.0, urgency="best_effort"))
    assert len(bench.plan()) == 12
    bench.all_report()
    gang = bench.job(make_spec(2, team="blue", gpus=2.0))
    free = [
        name
        for name, machine in bench.scheduler.machines.items()
        if machine.zone == "a" and machine.empty
    ] + [
        name
        for name, machine in bench.scheduler.machines.items()
        if machine.zone == "a" and not machine.empty and machine.free()[1] >= 2
    ]
    bench.reservation(gang, dict.fromkeys(free[:2], 1))
    bench.plan()
    stopping = [
        attempt
        for attempt in bench.scheduler.jobs["wk-000001"].attempts.values()
        if attempt.stopping
    ]
    assert len(stopping) == 4


def test_urgent_gang_gets_room_and_equals_do_not() -> None:
    bench = Bench(machines=2)
    low = bench.job(
        make_spec(
            1,
            shape="batch",
            tasks=2,
            gpus=4.0,
            same_place=False,
            team="blue",
            urgency="best_effort",
        )
    )
    assert len(bench.plan()) == 2
    bench.all_report()
    equal = bench.job(make_spec(2, tasks=1, gpus=4.0, urgency="best_effort", team="blue"))
    bench.reservation(equal, {"host-0": 1})
    bench.plan()
    assert not any(attempt.stopping for attempt in low.attempts.values())
    urgent = bench.job(make_spec(3, tasks=1, gpus=4.0, urgency="urgent"))
    bench.reservation(urgent, {"host-0": 1})
    bench.plan()
    assert [attempt.machine for attempt in low.attempts.values() if attempt.stopping] == ["host-0"]


def test_guests_holds_do_not_bind_better_work() -> None:
    """Guest gangs that book everything must not starve work that goes first."""
    bench = Bench(machines=2)
    for number in (1, 2):
        guest = bench.job(make_spec(number, tasks=1, gpus=4.0, team="blue", urgency="best_effort"))
        bench.reservation(guest, {f"host-{number - 1}": 1})
    bench.scheduler.refresh_guarantees()
    bench.scheduler.jobs["wk-000002"].within_guarantee = False
    first = bench.job(make_spec(3, tasks=1, gpus=4.0, urgency="urgent"))
    bench.reservation(first, {"host-1": 1})
    attempts = bench.plan()
    assert ("wk-000003", "host-1") in {(attempt.job.id, attempt.machine) for attempt in attempts}
    assert ("wk-000002", "host-1") not in {
        (attempt.job.id, attempt.machine) for attempt in attempts
    }


def test_wrong_estimates_are_corrected_within_bounds(bench: Bench) -> None:
    estimates = bench.scheduler.estimates
    for _ in range(200):
        estimates.learn("train", 10.0, 1000.0)
    assert 2.5 < estimates.correction("train") <= 3.0
    assert estimates.correction("other") == 1.0


def test_sick_machine_leaves_and_a_bad_job_does_not_poison(bench: Bench) -> None:
    scheduler = bench.scheduler
    machine = scheduler.machines["host-0"]
    for number in (1, 2):
        scheduler._on_attempt_failed(machine, bench.job(make_spec(number)), bench.now)
    assert machine.state is MachineState.DRAINING
    bad = bench.job(make_spec(7))
    for name in ("host-1", "host-2", "host-3"):
        scheduler._on_attempt_failed(scheduler.machines[name], bad, bench.now)
    assert bad.not_before > bench.now
    for name in ("host-1", "host-2", "host-3"):
        assert scheduler.machines[name].state is MachineState.READY
        assert not scheduler.machines[name].error_jobs


def test_notice_drains_and_saves(bench: Bench) -> None:
    job = bench.job(make_spec(shape="batch", tasks=1, estimated_run_s=300.0))
    (attempt,) = bench.plan()
    bench.report(attempt.machine)
    bench.state(attempt.machine, "running")
    bench.report(attempt.machine, notice_s=20.0)
    bench.scheduler.tick(bench.now)
    assert attempt.stop_grace is not None and attempt.stop_grace >= job.spec.save_s
    assert bench.scheduler.machines[attempt.machine].state is MachineState.DRAINING


def test_takeover_waits_for_a_report_under_the_new_term() -> None:
    """An intent may be running until its machine has reported under this term."""
    bench = Bench(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), bench.now, 1e9, "hive-0")
    intents = [Intents("host-0", 1, "a", False, "b1", [("wk-000001", 0, 77)])]
    failover.rebuild(bench.scheduler, [job], intents, bench.now)
    bench.report("host-1")
    assert bench.plan() == []
    bench.report("host-0", term=7)  # written before the worker saw the new term
    assert bench.plan() == []
    bench.report("host-0")
    assert [attempt.index for attempt in bench.plan()] == [0]


def test_takeover_counts_aborted_jobs_tasks() -> None:
    bench = Bench(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), bench.now, 1e9, "hive-0")
    job.abort(bench.now)
    intents = [Intents("host-0", 1, "a", False, "b1", [("wk-000001", 0, 77)])]
    failover.rebuild(bench.scheduler, [job], intents, bench.now)
    assert bench.scheduler.usage.used("red") == (4.0, 2.0)
    bench.scheduler.tick(bench.now)
    assert job.state is JobState.ABORTED and job.attempts[0].stopping
    bench.report("host-0")
    assert bench.scheduler.usage.used("red") == (0.0, 0.0)


def test_late_report_and_late_list_change_nothing(bench: Bench) -> None:
    job = bench.job(make_spec(shape="batch", tasks=1))
    (attempt,) = bench.plan()
    bench.report(attempt.machine)
    bench.report(attempt.machine)
    assert attempt.state is AttemptState.PULLING
    bench.sequences[attempt.machine] -= 2
    tasks = bench.tasks[attempt.machine]
    bench.tasks[attempt.machine] = {}
    assert bench.report(attempt.machine) == []
    assert job.attempts[0] is attempt
    bench.tasks[attempt.machine] = tasks
    bench.scheduler.remove_machine("host-3", bench.now)

    bench.scheduler.on_machine_list(
        [ListedMachine("host-3", "b1", "b", "running")], bench.now, bench.now
    )
    assert "host-3" not in bench.scheduler.machines


def test_hundred_thousand_tasks(bench: Bench) -> None:
    job = bench.job(make_spec(shape="batch", tasks=100_000, gpus=0.0, cpus=1.0))
    assert len(bench.plan()) > 0
    for index in range(0, 100_000, 2):
        job.mark_completed(index)
    again = Job(job.spec, 0.0, 0.0, "")
    for part in range(25):
        text = job.part_text(part)
        assert len(text) < 1024
        if text:
            again.load_part(part, text)
    assert again.completed == job.completed and again.completed_count == 50_000


def test_no_two_jobs_may_stop_each_other() -> None:
    """Urgent work beyond a guarantee and low work within one once did, for ever."""
    bench = Bench(machines=2)
    urgent = bench.job(make_spec(1, urgency="urgent", team="blue"))
    low = bench.job(make_spec(2, urgency="best_effort", team="red"))
    urgent.within_guarantee, low.within_guarantee = False, True
    for job in (urgent, low):
        bench.scheduler.usage.add(job, 20)
    may = preemption.may_stop
    assert may(low, urgent, bench.scheduler.usage)
    assert not may(urgent, low, bench.scheduler.usage)


def test_unsent_launch_leaves_a_draining_machine(bench: Bench) -> None:
    """Written for a machine that then fell sick, a task once waited for ever."""
    job = bench.job(make_spec(shape="batch", tasks=1))
    (attempt,) = bench.plan()
    bench.scheduler.machines[attempt.machine].drain("sick", bench.now)
    bench.scheduler.tick(bench.now)
    assert job.waiting_count == 1
    assert [new.machine != attempt.machine for new in bench.plan()] == [True]


def test_new_leader_hears_the_workers_before_she_releases_for_a_cancelled_job() -> None:
    """A stale intent of a job long gone once cost four machines at a takeover."""
    bench = Bench(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), bench.now, 1e9, "hive-0")
    job.abort(bench.now - 0.7 * bench.scheduler.cancel_s)
    intents = [Intents("host-0", 1, "a", False, "b1", [("wk-000001", 0, 77)])]
    failover.rebuild(bench.scheduler, [job], intents, bench.now)
    bench.scheduler.tick(bench.now)
    assert bench.scheduler.releases == {}
    bench.now += 0.11 * bench.scheduler.cancel_s
    bench.scheduler.tick(bench.now)
    assert "host-0" in bench.scheduler.releases and bench.scheduler.must_be_released("host-0")


def test_takeover_while_a_gang_is_stopped_lets_it_save() -> None:
    bench = Bench(machines=0, term=8)
    job = Job(make_spec(tasks=2), bench.now, 1e9, "hive-0")
    intents = [
        Intents("host-0", 1, "a", False, "b1", [("wk-000001", 0, 77)]),
        Intents("host-2", 1, "a", False, "b1", [("wk-000001", 1, 77)]),
    ]
    failover.rebuild(bench.scheduler, [job], intents, bench.now)
    for index, name in enumerate(("host-0", "host-2")):
        task_name = f"wk-000001/{index}"
        bench.tasks[name] = {(task_name, 77): TaskStatus(task_name, 77, "flushing")}
        bench.report(name)
    bench.state("host-0", "ended", "stopped", kept=True)
    bench.report("host-0")
    bench.scheduler.tick(bench.now)
    assert job.gang_state is GangState.STOPPING
    assert all(command.grace_s != 0.0 for command in bench.report("host-2"))
    bench.state("host-2", "ended", "stopped", kept=True)
    bench.report("host-2")
    bench.scheduler.tick(bench.now)
    assert job.gang_state is GangState.WAITING


# -- machines that report but hear nothing ----------------------------------------


def test_machine_whose_launches_never_arrive_is_deaf(bench: Bench) -> None:
    """Its reports look well, so gangs were booked there again and again."""
    job = bench.job(make_spec())
    bench.reservation(job, {"host-0": 1, "host-2": 1})
    bench.plan()
    for _ in range(3):
        bench.report("host-0", carry_out=False)
        bench.report("host-2")
    machine = bench.scheduler.machines["host-0"]
    assert machine.command_unreachable and not bench.scheduler.usable(machine, bench.now)
    assert not machine.attempts, "no limit is kept for it"
    assert not counts_as_capacity(machine)
    bench.scheduler.tick(bench.now)
    assert job.gang_state is not GangState.STARTING
    bench.all_report()
    bench.state("host-2", "ended", "stopped")
    bench.report("host-2")
    bench.scheduler.tick(bench.now)
    bench.reservation(job, {"host-0": 1, "host-2": 1}, serial=2)
    assert bench.plan() == [] and bench.scheduler.rejected[job.id] == 2


def test_lease_that_ends_though_answered_shows_a_deaf_machine(bench: Bench) -> None:
    bench.job(make_spec(shape="batch", tasks=1))
    (attempt,) = bench.plan()
    bench.report(attempt.machine)
    bench.report(attempt.machine)
    assert attempt.state is AttemptState.PULLING
    bench.tasks[attempt.machine] = {}
    bench.now += 0.5
    bench.report(attempt.machine, incarnation=2)
    machine = bench.scheduler.machines[attempt.machine]
    assert machine.command_unreachable and attempt.state is AttemptState.GONE
    again = bench.plan()
    assert again and again[0].machine != attempt.machine, "placed again, elsewhere"
    for _ in range(14):  # a session that outlasts its lease has heard answers
        bench.now += 1.0
        bench.report(attempt.machine, incarnation=2)
    assert not machine.command_unreachable


def test_lone_deaf_machine_is_released_and_a_deaf_zone_is_not() -> None:
    bench = Bench(machines=8)
    for name in ("host-0", "host-1", "host-3", "host-5", "host-7"):
        bench.scheduler.machines[name].mark_command_unreachable(bench.now)
    for _ in range(25):
        bench.now += 1.0
        for name in bench.scheduler.machines:
            bench.sequences[name] += 1
            bench.scheduler.machines[name].last_heartbeat_at = bench.now
        bench.scheduler.tick(bench.now)
    assert set(bench.scheduler.releases) == {"host-0"}


def test_hang_longer_than_a_lease_is_not_deafness(bench: Bench) -> None:
    bench.now += 30.0
    bench.report("host-0", incarnation=2)
    assert not bench.scheduler.machines["host-0"].command_unreachable


def test_newer_session_settles_an_earlier_terms_intents() -> None:
    """A deaf machine never reports under the new term; its tasks must not wait for that."""
    bench = Bench(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), bench.now, 1e9, "hive-0")
    intents = [Intents("host-0", 3, "a", False, "b1", [("wk-000001", 0, 77)])]
    failover.rebuild(bench.scheduler, [job], intents, bench.now)
    bench.report("host-1")
    bench.report("host-0", term=7, incarnation=3)
    assert bench.plan() == [], "the same session proves nothing"
    bench.report("host-0", term=7, incarnation=4)
    assert [attempt.machine for attempt in bench.plan()] == ["host-1"]


def test_launch_only_in_the_session_that_the_intent_names(bench: Bench) -> None:
    """What makes the proof above hold."""
    bench.job(make_spec(shape="batch", tasks=1))
    (attempt,) = bench.plan()
    attempt.incarnation = 9
    assert launched(bench.report(attempt.machine)) == []


def test_late_copy_to_a_new_leader_brings_no_machine_back() -> None:
    """It can't know that it was released: it must not count as capacity."""
    bench = Bench(machines=1, term=8)
    bench.report("host-9", term=7)
    machine = bench.scheduler.machines["host-9"]
    assert not counts_as_capacity(machine) and counts_as_capacity(
        bench.scheduler.machines["host-0"]
    )
    assert bench.scheduler.directory() == [("host-0", "a")]
    bench.scheduler.on_machine_list(
        [ListedMachine("host-9", "b1", "a", "running")], bench.now, bench.now
    )
    assert counts_as_capacity(machine)


# -- turns ------------------------------------------------------------------------


def test_gang_that_has_waited_long_goes_before_work_within_guarantees() -> None:
    """Arrays within guarantees filled each machine before a large gang had them all."""
    bench = Bench(machines=2)
    filler = bench.job(
        make_spec(
            1,
            shape="batch",
            tasks=4,
            gpus=2.0,
            urgency="best_effort",
            team="red",
            same_place=False,
        )
    )
    bench.plan()
    bench.all_report()
    bench.state("host-0", "running")
    bench.all_report()
    gang = bench.job(make_spec(2, tasks=1, gpus=4.0, team="blue", urgency="urgent"))
    other = bench.job(make_spec(3, tasks=1, gpus=4.0, team="blue", urgency="urgent"))
    bench.scheduler.refresh_guarantees()
    assert filler.within_guarantee and gang.within_guarantee and not other.within_guarantee
    assert preemption.priority(other) > preemption.priority(filler)
    assert not preemption.may_stop(other, filler, bench.scheduler.usage)
    bench.now += bench.scheduler.ageing_threshold_s(other) + 1.0
    bench.scheduler.tick(bench.now)
    assert other.is_aged and preemption.may_stop(other, filler, bench.scheduler.usage)
    assert not preemption.may_stop(filler, other, bench.scheduler.usage), "never both ways"


def test_cache_is_as_long_as_the_largest_gang_needs() -> None:
    """Of twenty machines no sixteen whole ones can be had where cards come free one by one."""
    bench = Bench(machines=0)
    for number in range(60):
        bench.report(f"host-{number}")
    assert len(bench.scheduler.offers("a", bench.now)) == 20
    gang = bench.job(make_spec(tasks=16, gpus=1.0))
    assert bench.scheduler.largest_gang(bench.now) is gang
    assert len(bench.scheduler.offers("a", bench.now, gang)) == 32


def test_machines_held_whole_do_not_fill_the_cache() -> None:
    """Of 350 machines that came up at once the first 20 were held, and no gang saw others."""
    bench = Bench(machines=0)
    for number in range(60):
        bench.report(f"host-{number:02d}")
    first = [offer.name for offer in bench.scheduler.offers("a", bench.now)]
    for number, name in enumerate(first):
        bench.reservation(bench.job(make_spec(number, tasks=1, gpus=4.0)), {name: 1})
    names = [offer.name for offer in bench.scheduler.offers("a", bench.now)]
    assert len(set(names) - set(first)) == 20
    assert set(first) <= set(names), "work whose turn comes before may take them all the same"


def test_cache_names_whole_machines_for_a_gang_that_needs_them() -> None:
    bench = Bench(machines=0)
    for number in range(50):
        bench.report(f"host-{number:02d}")
    for machine in list(bench.scheduler.machines.values())[:45]:
        job = bench.job(
            make_spec(100 + len(bench.scheduler.jobs), shape="batch", tasks=1, gpus=1.0)
        )
        attempt = TaskAttempt(job, 0, 1, machine.name, bench.now)
        attempt.state = AttemptState.RUNNING
        bench.scheduler._attach(attempt)
    gang = bench.job(make_spec(tasks=5, gpus=4.0, cpus=16.0))
    whole = {f"host-{number:02d}" for number in range(45, 50)}
    assert whole <= {offer.name for offer in bench.scheduler.offers("a", bench.now, gang)}


def test_urgent_and_large_gangs_press_sooner(bench: Bench) -> None:
    """The largest must begin within the longest wait, however many small ones come."""
    jobs = [
        bench.job(make_spec(number, tasks=tasks, urgency=urgency))
        for number, (tasks, urgency) in enumerate(
            [(16, "urgent"), (1, "urgent"), (8, "normal"), (1, "normal")], start=1
        )
    ]
    patience = [bench.scheduler.ageing_threshold_s(job) for job in jobs]
    assert patience == sorted(patience) and patience[-1] < 240.0
    assert patience[0] < 0.1 * 240.0 and patience[2] < 0.3 * 240.0


def test_class_that_is_to_start_sooner_goes_first(bench: Bench) -> None:
    bench.scheduler.wait_objectives = {"quick": (10.0, 50.0), "train": (60.0, 180.0)}
    slow = bench.job(make_spec(1, tasks=1))
    bench.now += 5.0
    quick = bench.job(make_spec(2, tasks=1, job_class="quick"))
    assert preemption.queue_key(quick) < preemption.queue_key(slow)
    bench.now += bench.scheduler.ageing_threshold_s(slow)
    bench.scheduler.tick(bench.now)
    assert preemption.queue_key(slow) < preemption.queue_key(quick), "until it presses"


def test_no_launch_from_a_leader_whose_grant_may_have_passed_on(bench: Bench) -> None:
    bench.job(make_spec(shape="batch", tasks=1))
    (attempt,) = bench.plan()
    bench.sequences[attempt.machine] += 1
    heartbeat = Heartbeat(
        attempt.machine, "x:1", "b1", "a", False, 1, bench.sequences[attempt.machine], 5, []
    )
    machine = bench.scheduler.on_heartbeat(heartbeat, False, bench.now)
    assert machine is not None
    assert bench.scheduler.answer(machine, heartbeat, bench.now, launches=False) == []
    assert launched(bench.scheduler.answer(machine, heartbeat, bench.now)) == ["wk-000001/0"]


def test_cache_names_held_machines_in_any_case() -> None:
    """A held group could not be judged, and was given up for one that frees later."""
    bench = Bench(machines=0)
    for number in range(30):
        bench.report(f"host-{number:02d}")
    job = bench.job(make_spec(tasks=1))
    last = bench.scheduler.offers("a", bench.now)[-1].name
    others = {offer.name for offer in bench.scheduler.offers("a", bench.now)}
    hidden = next(name for name in bench.scheduler.machines if name not in others)
    bench.reservation(job, {hidden: 1})
    names = [offer.name for offer in bench.scheduler.offers("a", bench.now)]
    assert names[19] == last and names[20:] == [hidden]


def test_zone_that_comes_back_is_neither_deaf_nor_released() -> None:
    """After a cut of minutes a zone's first reports named the old term: all were taken
    for deaf, and those that came a moment later were released as silent."""
    bench = Bench(machines=0, term=8)
    names = [f"host-{number}" for number in range(8)]
    intents = [
        Intents(name, 1, "a", False, "b1", [("wk-000001", number, 77)])
        for number, name in enumerate(names)
    ]
    job = Job(make_spec(shape="batch", tasks=8), bench.now, 1e9, "hive-0")
    failover.rebuild(bench.scheduler, [job], intents, bench.now)
    for _ in range(40):
        bench.now += 1.0
        bench.scheduler.tick(bench.now)
    for name in names[:6]:
        bench.report(name, term=7)
        assert not bench.scheduler.machines[name].command_unreachable
    for _ in range(8):
        bench.now += 1.0
        for name in names[:6]:
            bench.report(name)
        bench.scheduler.tick(bench.now)
    assert bench.scheduler.releases == {}
    for _ in range(8):  # who stays away alone is given up in the end
        bench.now += 1.0
        for name in names[:6]:
            bench.report(name)
        bench.scheduler.tick(bench.now)
    assert set(bench.scheduler.releases) == set(names[6:])


def silent_group(share: float) -> tuple[Bench, int]:
    """A zone of forty machines, a share of which falls silent at once."""
    bench = Bench(machines=0)
    for number in range(40):
        bench.report(f"host-{number:02d}")
    silent = int(40 * share)
    while bench.now < 100.0 + 1.5 * bench.scheduler.lease_s:
        bench.now += 1.0
        for number in range(silent, 40):
            bench.report(f"host-{number:02d}")
        bench.scheduler.tick(bench.now)
    return bench, silent


def test_group_that_hangs_is_not_released_before_it_can_be_back() -> None:
    """A third of a zone that hung for 1.6 leases was released just before it came back."""
    bench, silent = silent_group(0.3)
    assert not bench.scheduler.releases
    missed = [
        m for m in bench.scheduler.machines.values() if bench.scheduler._is_missing(m, bench.now)
    ]
    assert len(missed) == silent, "made up for, in case they are dead"
    for number in range(silent - 1):
        bench.report(f"host-{number:02d}", incarnation=2)
    bench.now += 1.0
    bench.scheduler.tick(bench.now)
    assert list(bench.scheduler.releases) == [f"host-{silent - 1:02d}"], "the lone one goes"


def test_group_that_stays_silent_is_released() -> None:
    bench, silent = silent_group(0.3)
    for _ in range(8):
        bench.now += 1.0
        for number in range(silent, 40):
            bench.report(f"host-{number:02d}")
        bench.scheduler.tick(bench.now)
    assert len(bench.scheduler.releases) == silent


def test_cut_zone_is_neither_released_nor_made_up_for() -> None:
    bench, _ = silent_group(0.6)
    assert not bench.scheduler.releases
    assert not any(
        bench.scheduler._is_missing(m, bench.now) for m in bench.scheduler.machines.values()
    )


def test_work_that_yields_keeps_off_room_that_is_whole_within_seconds() -> None:
    """Arrays took machines held by gangs whose other machine was a moment behind, and
    were stopped before their images were there."""
    bench = Bench(machines=0)
    for name in ("host-0", "host-1"):
        bench.report(name)
    other = bench.job(make_spec(9, tasks=1, shape="batch", gpus=4.0, estimated_run_s=3.0))
    attempt = TaskAttempt(other, 0, 1, "host-1", bench.now)
    attempt.state, attempt.running_since = AttemptState.RUNNING, bench.now
    bench.scheduler._attach(attempt)
    gang = bench.job(make_spec(1, tasks=2, gpus=4.0))
    bench.reservation(gang, {"host-0": 1, "host-1": 1})
    array = bench.job(make_spec(2, shape="batch", tasks=1, gpus=1.0, urgency="best_effort"))
    assert bench.plan() == []
    other.spec.estimated_run_s = 300.0
    bench.now += bench.scheduler.heartbeat_interval_s
    assert [attempt.job for attempt in bench.plan()] == [array]


def test_gang_of_one_zone_gets_a_machine_though_free_ones_are_elsewhere(bench: Bench) -> None:
    """Beside work that ran on for hours it waited as long: a machine was free in each zone,
    and the zone's floor was met by machines that others used."""
    for zone in "ab":
        long_run = bench.job(make_spec(ord(zone), shape="batch", tasks=1, gpus=4.0, zone=zone))
        assert long_run is not None
    bench.plan()
    bench.all_report()
    gang = bench.job(make_spec(7, tasks=2, gpus=4.0, spot=False))
    assert bench.plan() == []
    bench.scheduler.last_arrival = -1e9  # no headroom while nothing comes
    assert bench.scheduler.scale_out(bench.now) == [], "not at once: others may be done soon"
    bench.now += bench.scheduler.ageing_threshold_s(gang) + 1.0
    bench.all_report()
    bench.scheduler.tick(bench.now)
    bench.scheduler.last_arrival = -1e9
    requests = bench.scheduler.scale_out(bench.now)
    assert [ask.count for ask in requests] == [1]


def test_gang_is_not_promised_the_room_of_a_service() -> None:
    """It held a service's machine for as long as the service ran: its tasks, of 0 s by the
    estimate, were taken to end at once, and the empty machine looked no better."""
    bench = Bench(machines=0)
    for name in ("host-0", "host-1"):
        bench.report(name)
    service = bench.job(
        make_spec(9, tasks=1, shape="daemon", gpus=4.0, estimated_run_s=0.0, checkpoint_s=0.0)
    )
    (attempt,) = bench.plan()
    for state in ("pulling", "running"):
        bench.all_report()
        bench.state(attempt.machine, state)
    bench.all_report()
    offers = {offer.name: offer for offer in bench.scheduler.offers("a", bench.now)}
    gang = make_spec(1, tasks=1, gpus=4.0)
    need = (gang.cpus, gang.gpus, gang.memory_gb)
    assert offers[attempt.machine].ready_for((1, service.urgency_level), need) == math.inf
    (other,) = offers.keys() - {attempt.machine}
    assert (
        offers[other].ready_for((1, service.urgency_level), need)
        < bench.scheduler.heartbeat_interval_s
    )


def test_gang_that_must_be_in_two_zones_gets_a_machine_in_the_full_one() -> None:
    """Long work filled a zone; the room that a gang of two lacked there was never rented, since
    the other zone had more than enough."""
    bench = Bench(machines=4)
    long = bench.job(make_spec(5, tasks=2, gpus=4.0, zone="b", estimated_run_s=5000.0))
    bench.reservation(long, {"host-1": 1, "host-3": 1})
    bench.plan()
    bench.all_report()
    bench.job(make_spec(6, tasks=2, gpus=4.0, same_place=False, scatter=True))
    bench.now += 300.0
    bench.all_report()
    bench.scheduler.tick(bench.now)
    bench.scheduler.last_arrival = -1e9
    requests = bench.scheduler.scale_out(bench.now)
    assert [(ask.zone, ask.count) for ask in requests] == [("b", 1)]


def test_service_that_must_be_in_two_zones_gets_a_machine_in_the_full_one() -> None:
    bench = Bench(machines=4)
    long = bench.job(make_spec(5, tasks=2, gpus=4.0, zone="b", estimated_run_s=5000.0))
    bench.reservation(long, {"host-1": 1, "host-3": 1})
    bench.plan()
    bench.all_report()
    spec = make_spec(
        6,
        shape="daemon",
        tasks=2,
        gpus=4.0,
        same_place=False,
        scatter=True,
        estimated_run_s=0.0,
        checkpoint_s=0.0,
    )
    service = bench.job(spec)
    bench.plan()
    assert service.waiting_count == 1, "at most one replica may be in a zone"
    bench.now += 300.0
    bench.all_report()
    bench.scheduler.tick(bench.now)
    bench.scheduler.last_arrival = -1e9
    requests = bench.scheduler.scale_out(bench.now)
    assert [(ask.zone, ask.count) for ask in requests] == [("b", 1)]


def test_pressing_gang_does_not_count_on_a_guarantee_that_it_lacks() -> None:
    """It was promised room that only a guarantee could free, held a machine for it without
    end, and an empty machine beside it seemed no better."""
    bench = Bench(machines=2)
    for number in (1, 2):
        bench.job(make_spec(number, shape="batch", tasks=1, gpus=4.0, team="blue"))
    bench.plan()
    bench.all_report()
    for name in ("host-0", "host-1"):
        bench.state(name, "running")
    bench.all_report()
    need = make_spec(3, tasks=1, gpus=4.0, urgency="best_effort")
    available = (need.cpus, need.gpus, need.memory_gb)
    borrowed = [
        attempt
        for job in bench.scheduler.jobs.values()
        if not job.within_guarantee
        for attempt in job.attempts.values()
    ]
    assert len(borrowed) == 1, "the second job of blue is beyond its guarantee"
    (offer,) = (
        offer
        for zone in "ab"
        for offer in bench.scheduler.offers(zone, bench.now)
        if offer.name == borrowed[0].machine
    )
    by_guarantee, is_aged = (0, 3), (AGED, 3)
    soon_s = 3 * bench.scheduler.heartbeat_interval_s
    assert offer.ready_for(by_guarantee, available) < soon_s
    assert offer.ready_for(is_aged, available) > soon_s
    more_urgent = (AGED, 1)
    assert offer.ready_for(more_urgent, available) < soon_s, "by its urgency it may stop that work"
