"""The leader's decisions, one at a time."""

from __future__ import annotations

import math

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core import preemption, recovery
from topazhold.core.jobs import GangState, Job, JobState, Run, RunState
from topazhold.core.machines import MachineState
from topazhold.core.records import Intents
from topazhold.core.renting import counted
from topazhold.core.search import PRESSING
from topazhold.wire.messages import ListedMachine, Report, TaskReport


def launched(commands: list) -> list[str]:
    return [command.task_name for command in commands if command.kind == "launch"]


def running_gang(harness: SchedulerHarness, number: int = 1, **changes: object) -> Job:
    job = harness.add_job(make_spec(number, **changes))
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    harness.plan_and_commit()
    harness.all_heartbeats()
    for name in ("host-0", "host-2"):
        harness.set_task_states(name, "running")
    harness.all_heartbeats()
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.RUNNING
    return job


def test_launch_only_after_the_intent(harness: SchedulerHarness) -> None:
    job = harness.add_job(make_spec())
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    runs = harness.scheduler.plan(harness.now)
    assert len(runs) == 2
    assert launched(harness.all_heartbeats()) == []
    harness.scheduler.intents_written(runs, harness.now)
    assert sorted(launched(harness.all_heartbeats())) == ["wk-000001/0", "wk-000001/1"]


def test_lost_launch_is_repeated_on_the_same_machine(harness: SchedulerHarness) -> None:
    """The answer with the launch was dropped: the next report lacks the task."""
    harness.add_job(make_spec(shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    assert launched(harness.heartbeat(run.machine, carry_out=False)) == ["wk-000001/0"]
    assert launched(harness.heartbeat(run.machine)) == ["wk-000001/0"]
    assert run.state is RunState.ORDERED
    harness.heartbeat(run.machine)
    assert run.state is RunState.PULLING


def test_direct_answer_proves_no_absence(harness: SchedulerHarness) -> None:
    """A direct command's answer may overtake the launch that is under way."""
    harness.add_job(make_spec(shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    harness.heartbeat(run.machine, carry_out=False)
    harness.sequences[run.machine] += 1
    rep = Report(run.machine, "x:1", "b1", "a", False, 1, harness.sequences[run.machine], 5, [])
    harness.scheduler.report(rep, True, harness.now)
    assert run.state is RunState.ORDERED


def test_failed_intents_do_not_use_the_hold_up(harness: SchedulerHarness) -> None:
    """A gang whose intents could not be written must start with the same hold."""
    job = harness.add_job(make_spec())
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    harness.scheduler.intents_failed(harness.scheduler.plan(harness.now), harness.now)
    assert job.gang_state is GangState.WAITING
    assert harness.scheduler.usage.used("red") == (0.0, 0.0)
    assert len(harness.plan_and_commit()) == 2


def test_machine_gone_gives_the_limit_back(harness: SchedulerHarness) -> None:
    """Runs of a gone machine must not count against their team any more."""
    harness.add_job(make_spec(shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    assert harness.scheduler.usage.used("red") == (4.0, 2.0)
    harness.scheduler.machine_gone(run.machine, harness.now)
    assert harness.scheduler.usage.used("red") == (0.0, 0.0)


def test_silence_places_nothing_again(harness: SchedulerHarness) -> None:
    job = harness.add_job(make_spec(shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    harness.heartbeat(run.machine)
    harness.now += 500.0
    for name in harness.scheduler.machines:
        if name != run.machine:
            harness.heartbeat(name)
    harness.scheduler.tick(harness.now)
    assert harness.plan_and_commit() == []
    assert run.machine in harness.scheduler.releases
    harness.scheduler.machine_gone(run.machine, harness.now)
    assert [new.index for new in harness.plan_and_commit()] == [0]
    assert job.runs[0].machine != run.machine


def test_cut_zone_is_not_released(harness: SchedulerHarness) -> None:
    """Many machines silent at once are a cut, which proves nothing."""
    harness = SchedulerHarness(machines=8)
    harness.now += 30.0
    for name, machine in harness.scheduler.machines.items():
        if machine.zone == "b":
            harness.heartbeat(name)
    harness.scheduler.tick(harness.now)
    assert harness.scheduler.releases == {}


def test_cancelled_task_takes_a_silent_machine_with_it(harness: SchedulerHarness) -> None:
    harness.add_job(make_spec(shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    harness.heartbeat(run.machine)
    harness.scheduler.job_over("wk-000001", False, harness.now, harness.now)
    harness.now += harness.scheduler.cancel_s * 0.7
    harness.scheduler.tick(harness.now)
    assert run.machine in harness.scheduler.releases


def test_lost_gang_member_stops_the_rest_and_the_gang_waits_again(
    harness: SchedulerHarness,
) -> None:
    job = running_gang(harness)
    harness.tasks["host-0"].clear()  # a new session: its tasks are gone
    harness.heartbeat("host-0", session=2)
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.STOPPING
    commands = harness.heartbeat("host-2")
    assert [command.kind for command in commands] == ["kill"]
    harness.set_task_states("host-2", "ended", "stopped", kept=True)
    harness.heartbeat("host-2")
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.WAITING
    assert job.runs == {}


def test_orderly_stop_tells_every_task_with_enough_grace(harness: SchedulerHarness) -> None:
    job = running_gang(harness)
    harness.scheduler.stop_for_room(job.runs[0], "test", harness.now)
    assert {run.stop_grace >= job.spec.save_s for run in job.runs.values()} == {True}
    assert harness.scheduler.to_command >= {"host-0", "host-2"}
    assert all(harness.scheduler.kills(harness.scheduler.machines[n]) for n in ("host-0", "host-2"))


def test_gang_not_running_a_report_period_after_its_images_is_stopped(
    harness: SchedulerHarness,
) -> None:
    job = harness.add_job(make_spec())
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    harness.plan_and_commit()
    harness.all_heartbeats()
    for name in ("host-0", "host-2"):
        harness.set_task_states(name, "gathering")
    harness.all_heartbeats()
    harness.now += 1.6 * harness.scheduler.report_s
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.STOPPING


def test_one_done_task_means_a_done_gang(harness: SchedulerHarness) -> None:
    job = running_gang(harness)
    harness.set_task_states("host-0", "ended", "done")
    harness.heartbeat("host-0")
    assert job.complete
    assert harness.scheduler.finished == [job]


def test_done_is_cleared_only_once_saved(harness: SchedulerHarness) -> None:
    """Until then the worker's word is the only record of it."""
    job = harness.add_job(make_spec(shape="batch", tasks=8, gpus=1.0, cpus=1.0))
    name = harness.plan_and_commit()[0].machine
    harness.all_heartbeats()
    harness.set_task_states(name, "ended", "done")
    assert harness.heartbeat(name) == [] and harness.scheduler.machines[name].wake_tasks == []
    job.unsaved.clear()
    kept = len(harness.tasks[name])
    commands = harness.heartbeat(name)
    assert {command.kind for command in commands} <= {"clear"}
    assert len(commands) + len(harness.scheduler.machines[name].wake_tasks) == kept


def test_waiting_launch_rings_the_worker(harness: SchedulerHarness) -> None:
    """A direct clear changes the worker's tasks, so that it reports at once."""
    harness.add_job(make_spec(1, shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    harness.heartbeat(run.machine)
    harness.set_task_states(run.machine, "ended", "error")
    harness.heartbeat(run.machine)
    harness.now += 0.5
    for name in harness.scheduler.machines:
        harness.heartbeat(name)
    harness.now += 0.5
    harness.add_job(make_spec(2, shape="batch", tasks=40, gpus=0.0, cpus=1.0, same_place=False))
    harness.plan_and_commit()
    assert run.machine in harness.scheduler.to_command
    commands = harness.scheduler.direct_commands(harness.scheduler.machines[run.machine])
    assert [(command.kind, command.task_name) for command in commands] == [("clear", "wk-000001/0")]


def test_quota_counts_everything_from_the_intent_on(harness: SchedulerHarness) -> None:
    harness = SchedulerHarness(machines=8)
    harness.add_job(make_spec(team="blue", shape="batch", tasks=20, gpus=1.0, cpus=1.0))
    assert len(harness.plan_and_commit()) == 12  # blue's limit
    harness.all_heartbeats()
    assert harness.plan_and_commit() == []


def test_gang_gets_its_teams_limit_back_from_lower_work() -> None:
    harness = SchedulerHarness(machines=8)
    harness.add_job(
        make_spec(1, team="blue", shape="batch", tasks=12, gpus=1.0, urgency="best_effort")
    )
    assert len(harness.plan_and_commit()) == 12
    harness.all_heartbeats()
    gang = harness.add_job(make_spec(2, team="blue", gpus=2.0))
    free = [
        name
        for name, machine in harness.scheduler.machines.items()
        if machine.zone == "a" and machine.empty
    ] + [
        name
        for name, machine in harness.scheduler.machines.items()
        if machine.zone == "a" and not machine.empty and machine.free()[1] >= 2
    ]
    harness.reserve(gang, dict.fromkeys(free[:2], 1))
    harness.plan_and_commit()
    stopping = [run for run in harness.scheduler.jobs["wk-000001"].runs.values() if run.stopping]
    assert len(stopping) == 4


def test_urgent_gang_gets_room_and_equals_do_not() -> None:
    harness = SchedulerHarness(machines=2)
    low = harness.add_job(
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
    assert len(harness.plan_and_commit()) == 2
    harness.all_heartbeats()
    equal = harness.add_job(make_spec(2, tasks=1, gpus=4.0, urgency="best_effort", team="blue"))
    harness.reserve(equal, {"host-0": 1})
    harness.plan_and_commit()
    assert not any(run.stopping for run in low.runs.values())
    urgent = harness.add_job(make_spec(3, tasks=1, gpus=4.0, urgency="urgent"))
    harness.reserve(urgent, {"host-0": 1})
    harness.plan_and_commit()
    assert [run.machine for run in low.runs.values() if run.stopping] == ["host-0"]


def test_guests_holds_do_not_bind_better_work() -> None:
    """Guest gangs that book everything must not starve work that goes first."""
    harness = SchedulerHarness(machines=2)
    for number in (1, 2):
        guest = harness.add_job(
            make_spec(number, tasks=1, gpus=4.0, team="blue", urgency="best_effort")
        )
        harness.reserve(guest, {f"host-{number - 1}": 1})
    harness.scheduler.refresh_guarantees()
    harness.scheduler.jobs["wk-000002"].within = False
    first = harness.add_job(make_spec(3, tasks=1, gpus=4.0, urgency="urgent"))
    harness.reserve(first, {"host-1": 1})
    runs = harness.plan_and_commit()
    assert ("wk-000003", "host-1") in {(run.job.id, run.machine) for run in runs}
    assert ("wk-000002", "host-1") not in {(run.job.id, run.machine) for run in runs}


def test_wrong_estimates_are_corrected_within_bounds(harness: SchedulerHarness) -> None:
    estimates = harness.scheduler.estimates
    for _ in range(200):
        estimates.learn("train", 10.0, 1000.0)
    assert 2.5 < estimates.correction("train") <= 3.0
    assert estimates.correction("other") == 1.0


def test_sick_machine_leaves_and_a_bad_job_does_not_poison(harness: SchedulerHarness) -> None:
    scheduler = harness.scheduler
    machine = scheduler.machines["host-0"]
    for number in (1, 2):
        scheduler._failed(machine, harness.add_job(make_spec(number)), harness.now)
    assert machine.state is MachineState.DRAINING
    bad = harness.add_job(make_spec(7))
    for name in ("host-1", "host-2", "host-3"):
        scheduler._failed(scheduler.machines[name], bad, harness.now)
    assert bad.not_before > harness.now
    for name in ("host-1", "host-2", "host-3"):
        assert scheduler.machines[name].state is MachineState.READY
        assert not scheduler.machines[name].error_jobs


def test_notice_drains_and_saves(harness: SchedulerHarness) -> None:
    job = harness.add_job(make_spec(shape="batch", tasks=1, estimated_run_s=300.0))
    (run,) = harness.plan_and_commit()
    harness.heartbeat(run.machine)
    harness.set_task_states(run.machine, "running")
    harness.heartbeat(run.machine, notice_s=20.0)
    harness.scheduler.tick(harness.now)
    assert run.stop_grace is not None and run.stop_grace >= job.spec.save_s
    assert harness.scheduler.machines[run.machine].state is MachineState.DRAINING


def test_takeover_waits_for_a_report_under_the_new_term() -> None:
    """An intent may be running until its machine has reported under this term."""
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), harness.now, 1e9, "hive-0")
    intents = [Intents("host-0", 1, "a", False, "b1", [("wk-000001", 0, 77)])]
    recovery.take_over(harness.scheduler, [job], intents, harness.now)
    harness.heartbeat("host-1")
    assert harness.plan_and_commit() == []
    harness.heartbeat("host-0", term=7)  # written before the worker saw the new term
    assert harness.plan_and_commit() == []
    harness.heartbeat("host-0")
    assert [run.index for run in harness.plan_and_commit()] == [0]


def test_takeover_counts_aborted_jobs_tasks() -> None:
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), harness.now, 1e9, "hive-0")
    job.abort(harness.now)
    intents = [Intents("host-0", 1, "a", False, "b1", [("wk-000001", 0, 77)])]
    recovery.take_over(harness.scheduler, [job], intents, harness.now)
    assert harness.scheduler.usage.used("red") == (4.0, 2.0)
    harness.scheduler.tick(harness.now)
    assert job.state is JobState.ABORTED and job.runs[0].stopping
    harness.heartbeat("host-0")
    assert harness.scheduler.usage.used("red") == (0.0, 0.0)


def test_late_report_and_late_list_change_nothing(harness: SchedulerHarness) -> None:
    job = harness.add_job(make_spec(shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    harness.heartbeat(run.machine)
    harness.heartbeat(run.machine)
    assert run.state is RunState.PULLING
    harness.sequences[run.machine] -= 2
    tasks = harness.tasks[run.machine]
    harness.tasks[run.machine] = {}
    assert harness.heartbeat(run.machine) == []
    assert job.runs[0] is run
    harness.tasks[run.machine] = tasks
    harness.scheduler.machine_gone("host-3", harness.now)

    harness.scheduler.listed(
        [ListedMachine("host-3", "b1", "b", "running")], harness.now, harness.now
    )
    assert "host-3" not in harness.scheduler.machines


def test_hundred_thousand_tasks(harness: SchedulerHarness) -> None:
    job = harness.add_job(make_spec(shape="batch", tasks=100_000, gpus=0.0, cpus=1.0))
    assert len(harness.plan_and_commit()) > 0
    for index in range(0, 100_000, 2):
        job.mark_done(index)
    again = Job(job.spec, 0.0, 0.0, "")
    for part in range(25):
        text = job.part_text(part)
        assert len(text) < 1024
        if text:
            again.load_part(part, text)
    assert again.done == job.done and again.done_count == 50_000


def test_no_two_jobs_may_stop_each_other() -> None:
    """Urgent work beyond a guarantee and low work within one once did, for ever."""
    harness = SchedulerHarness(machines=2)
    urgent = harness.add_job(make_spec(1, urgency="urgent", team="blue"))
    low = harness.add_job(make_spec(2, urgency="best_effort", team="red"))
    urgent.within, low.within = False, True
    for job in (urgent, low):
        harness.scheduler.usage.add(job, 20)
    may = preemption.may_stop
    assert may(low, urgent, harness.scheduler.usage)
    assert not may(urgent, low, harness.scheduler.usage)


def test_unsent_launch_leaves_a_draining_machine(harness: SchedulerHarness) -> None:
    """Written for a machine that then fell sick, a task once waited for ever."""
    job = harness.add_job(make_spec(shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    harness.scheduler.machines[run.machine].drain("sick", harness.now)
    harness.scheduler.tick(harness.now)
    assert job.waiting_count == 1
    assert [new.machine != run.machine for new in harness.plan_and_commit()] == [True]


def test_new_leader_hears_the_workers_before_she_releases_for_a_cancelled_job() -> None:
    """A stale intent of a job long gone once cost four machines at a takeover."""
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), harness.now, 1e9, "hive-0")
    job.abort(harness.now - 0.7 * harness.scheduler.cancel_s)
    intents = [Intents("host-0", 1, "a", False, "b1", [("wk-000001", 0, 77)])]
    recovery.take_over(harness.scheduler, [job], intents, harness.now)
    harness.scheduler.tick(harness.now)
    assert harness.scheduler.releases == {}
    harness.now += 0.11 * harness.scheduler.cancel_s
    harness.scheduler.tick(harness.now)
    assert "host-0" in harness.scheduler.releases and harness.scheduler.must_go("host-0")


def test_takeover_while_a_gang_is_stopped_lets_it_save() -> None:
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(tasks=2), harness.now, 1e9, "hive-0")
    intents = [
        Intents("host-0", 1, "a", False, "b1", [("wk-000001", 0, 77)]),
        Intents("host-2", 1, "a", False, "b1", [("wk-000001", 1, 77)]),
    ]
    recovery.take_over(harness.scheduler, [job], intents, harness.now)
    for index, name in enumerate(("host-0", "host-2")):
        task_name = f"wk-000001/{index}"
        harness.tasks[name] = {(task_name, 77): TaskReport(task_name, 77, "flushing")}
        harness.heartbeat(name)
    harness.set_task_states("host-0", "ended", "stopped", kept=True)
    harness.heartbeat("host-0")
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.STOPPING
    assert all(command.grace_s != 0.0 for command in harness.heartbeat("host-2"))
    harness.set_task_states("host-2", "ended", "stopped", kept=True)
    harness.heartbeat("host-2")
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.WAITING


# -- machines that report but hear nothing ----------------------------------------


def test_machine_whose_launches_never_arrive_is_deaf(harness: SchedulerHarness) -> None:
    """Its reports look well, so gangs were booked there again and again."""
    job = harness.add_job(make_spec())
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    harness.plan_and_commit()
    for _ in range(3):
        harness.heartbeat("host-0", carry_out=False)
        harness.heartbeat("host-2")
    machine = harness.scheduler.machines["host-0"]
    assert machine.deaf and not harness.scheduler.usable(machine, harness.now)
    assert not machine.runs, "no limit is kept for it"
    assert not counted(machine)
    harness.scheduler.tick(harness.now)
    assert job.gang_state is not GangState.STARTING
    harness.all_heartbeats()
    harness.set_task_states("host-2", "ended", "stopped")
    harness.heartbeat("host-2")
    harness.scheduler.tick(harness.now)
    harness.reserve(job, {"host-0": 1, "host-2": 1}, serial=2)
    assert harness.plan_and_commit() == [] and harness.scheduler.rejected[job.id] == 2


def test_lease_that_ends_though_answered_shows_a_deaf_machine(harness: SchedulerHarness) -> None:
    harness.add_job(make_spec(shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    harness.heartbeat(run.machine)
    harness.heartbeat(run.machine)
    assert run.state is RunState.PULLING
    harness.tasks[run.machine] = {}
    harness.now += 0.5
    harness.heartbeat(run.machine, session=2)
    machine = harness.scheduler.machines[run.machine]
    assert machine.deaf and run.state is RunState.GONE
    again = harness.plan_and_commit()
    assert again and again[0].machine != run.machine, "placed again, elsewhere"
    for _ in range(14):  # a session that outlasts its lease has heard answers
        harness.now += 1.0
        harness.heartbeat(run.machine, session=2)
    assert not machine.deaf


def test_lone_deaf_machine_is_released_and_a_deaf_zone_is_not() -> None:
    harness = SchedulerHarness(machines=8)
    for name in ("host-0", "host-1", "host-3", "host-5", "host-7"):
        harness.scheduler.machines[name].turn_deaf(harness.now)
    for _ in range(25):
        harness.now += 1.0
        for name in harness.scheduler.machines:
            harness.sequences[name] += 1
            harness.scheduler.machines[name].heard_at = harness.now
        harness.scheduler.tick(harness.now)
    assert set(harness.scheduler.releases) == {"host-0"}


def test_hang_longer_than_a_lease_is_not_deafness(harness: SchedulerHarness) -> None:
    harness.now += 30.0
    harness.heartbeat("host-0", session=2)
    assert not harness.scheduler.machines["host-0"].deaf


def test_newer_session_settles_an_earlier_terms_intents() -> None:
    """A deaf machine never reports under the new term; its tasks must not wait for that."""
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), harness.now, 1e9, "hive-0")
    intents = [Intents("host-0", 3, "a", False, "b1", [("wk-000001", 0, 77)])]
    recovery.take_over(harness.scheduler, [job], intents, harness.now)
    harness.heartbeat("host-1")
    harness.heartbeat("host-0", term=7, session=3)
    assert harness.plan_and_commit() == [], "the same session proves nothing"
    harness.heartbeat("host-0", term=7, session=4)
    assert [run.machine for run in harness.plan_and_commit()] == ["host-1"]


def test_launch_only_in_the_session_that_the_intent_names(harness: SchedulerHarness) -> None:
    """What makes the proof above hold."""
    harness.add_job(make_spec(shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    run.session = 9
    assert launched(harness.heartbeat(run.machine)) == []


def test_late_copy_to_a_new_leader_brings_no_machine_back() -> None:
    """It can't know that it was released: it must not count as capacity."""
    harness = SchedulerHarness(machines=1, term=8)
    harness.heartbeat("host-9", term=7)
    machine = harness.scheduler.machines["host-9"]
    assert not counted(machine) and counted(harness.scheduler.machines["host-0"])
    assert harness.scheduler.directory() == [("host-0", "a")]
    harness.scheduler.listed(
        [ListedMachine("host-9", "b1", "a", "running")], harness.now, harness.now
    )
    assert counted(machine)


# -- turns ------------------------------------------------------------------------


def test_gang_that_has_waited_long_goes_before_work_within_guarantees() -> None:
    """Arrays within guarantees filled each machine before a large gang had them all."""
    harness = SchedulerHarness(machines=2)
    filler = harness.add_job(
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
    harness.plan_and_commit()
    harness.all_heartbeats()
    harness.set_task_states("host-0", "running")
    harness.all_heartbeats()
    gang = harness.add_job(make_spec(2, tasks=1, gpus=4.0, team="blue", urgency="urgent"))
    other = harness.add_job(make_spec(3, tasks=1, gpus=4.0, team="blue", urgency="urgent"))
    harness.scheduler.refresh_guarantees()
    assert filler.within and gang.within and not other.within
    assert preemption.rank(other) > preemption.rank(filler)
    assert not preemption.may_stop(other, filler, harness.scheduler.usage)
    harness.now += harness.scheduler.patience_s(other) + 1.0
    harness.scheduler.tick(harness.now)
    assert other.pressing and preemption.may_stop(other, filler, harness.scheduler.usage)
    assert not preemption.may_stop(filler, other, harness.scheduler.usage), "never both ways"


def test_cache_is_as_long_as_the_largest_gang_needs() -> None:
    """Of twenty machines no sixteen whole ones can be had where cards come free one by one."""
    harness = SchedulerHarness(machines=0)
    for number in range(60):
        harness.heartbeat(f"host-{number}")
    assert len(harness.scheduler.offers("a", harness.now)) == 20
    gang = harness.add_job(make_spec(tasks=16, gpus=1.0))
    assert harness.scheduler.largest_gang(harness.now) is gang
    assert len(harness.scheduler.offers("a", harness.now, gang)) == 32


def test_machines_held_whole_do_not_fill_the_cache() -> None:
    """Of 350 machines that came up at once the first 20 were held, and no gang saw others."""
    harness = SchedulerHarness(machines=0)
    for number in range(60):
        harness.heartbeat(f"host-{number:02d}")
    first = [offer.name for offer in harness.scheduler.offers("a", harness.now)]
    for number, name in enumerate(first):
        harness.reserve(harness.add_job(make_spec(number, tasks=1, gpus=4.0)), {name: 1})
    names = [offer.name for offer in harness.scheduler.offers("a", harness.now)]
    assert len(set(names) - set(first)) == 20
    assert set(first) <= set(names), "work whose turn comes before may take them all the same"


def test_cache_names_whole_machines_for_a_gang_that_needs_them() -> None:
    harness = SchedulerHarness(machines=0)
    for number in range(50):
        harness.heartbeat(f"host-{number:02d}")
    for machine in list(harness.scheduler.machines.values())[:45]:
        job = harness.add_job(
            make_spec(100 + len(harness.scheduler.jobs), shape="batch", tasks=1, gpus=1.0)
        )
        run = Run(job, 0, 1, machine.name, harness.now)
        run.state = RunState.RUNNING
        harness.scheduler._attach(run)
    gang = harness.add_job(make_spec(tasks=5, gpus=4.0, cpus=16.0))
    whole = {f"host-{number:02d}" for number in range(45, 50)}
    assert whole <= {offer.name for offer in harness.scheduler.offers("a", harness.now, gang)}


def test_urgent_and_large_gangs_press_sooner(harness: SchedulerHarness) -> None:
    """The largest must begin within the longest wait, however many small ones come."""
    jobs = [
        harness.add_job(make_spec(number, tasks=tasks, urgency=urgency))
        for number, (tasks, urgency) in enumerate(
            [(16, "urgent"), (1, "urgent"), (8, "normal"), (1, "normal")], start=1
        )
    ]
    patience = [harness.scheduler.patience_s(job) for job in jobs]
    assert patience == sorted(patience) and patience[-1] < 240.0
    assert patience[0] < 0.1 * 240.0 and patience[2] < 0.3 * 240.0


def test_class_that_is_to_start_sooner_goes_first(harness: SchedulerHarness) -> None:
    harness.scheduler.aimed_waits = {"quick": (10.0, 50.0), "train": (60.0, 180.0)}
    slow = harness.add_job(make_spec(1, tasks=1))
    harness.now += 5.0
    quick = harness.add_job(make_spec(2, tasks=1, job_class="quick"))
    assert preemption.turn(quick) < preemption.turn(slow)
    harness.now += harness.scheduler.patience_s(slow)
    harness.scheduler.tick(harness.now)
    assert preemption.turn(slow) < preemption.turn(quick), "until it presses"


def test_no_launch_from_a_leader_whose_grant_may_have_passed_on(harness: SchedulerHarness) -> None:
    harness.add_job(make_spec(shape="batch", tasks=1))
    (run,) = harness.plan_and_commit()
    harness.sequences[run.machine] += 1
    rep = Report(run.machine, "x:1", "b1", "a", False, 1, harness.sequences[run.machine], 5, [])
    machine = harness.scheduler.report(rep, False, harness.now)
    assert machine is not None
    assert harness.scheduler.answer(machine, rep, harness.now, launches=False) == []
    assert launched(harness.scheduler.answer(machine, rep, harness.now)) == ["wk-000001/0"]


def test_cache_names_held_machines_in_any_case() -> None:
    """A held group could not be judged, and was given up for one that frees later."""
    harness = SchedulerHarness(machines=0)
    for number in range(30):
        harness.heartbeat(f"host-{number:02d}")
    job = harness.add_job(make_spec(tasks=1))
    last = harness.scheduler.offers("a", harness.now)[-1].name
    others = {offer.name for offer in harness.scheduler.offers("a", harness.now)}
    hidden = next(name for name in harness.scheduler.machines if name not in others)
    harness.reserve(job, {hidden: 1})
    names = [offer.name for offer in harness.scheduler.offers("a", harness.now)]
    assert names[19] == last and names[20:] == [hidden]


def test_zone_that_comes_back_is_neither_deaf_nor_released() -> None:
    """After a cut of minutes a zone's first reports named the old term: all were taken
    for deaf, and those that came a moment later were released as silent."""
    harness = SchedulerHarness(machines=0, term=8)
    names = [f"host-{number}" for number in range(8)]
    intents = [
        Intents(name, 1, "a", False, "b1", [("wk-000001", number, 77)])
        for number, name in enumerate(names)
    ]
    job = Job(make_spec(shape="batch", tasks=8), harness.now, 1e9, "hive-0")
    recovery.take_over(harness.scheduler, [job], intents, harness.now)
    for _ in range(40):
        harness.now += 1.0
        harness.scheduler.tick(harness.now)
    for name in names[:6]:
        harness.heartbeat(name, term=7)
        assert not harness.scheduler.machines[name].deaf
    for _ in range(8):
        harness.now += 1.0
        for name in names[:6]:
            harness.heartbeat(name)
        harness.scheduler.tick(harness.now)
    assert harness.scheduler.releases == {}
    for _ in range(8):  # who stays away alone is given up in the end
        harness.now += 1.0
        for name in names[:6]:
            harness.heartbeat(name)
        harness.scheduler.tick(harness.now)
    assert set(harness.scheduler.releases) == set(names[6:])


def silent_group(share: float) -> tuple[SchedulerHarness, int]:
    """A zone of forty machines, a share of which falls silent at once."""
    harness = SchedulerHarness(machines=0)
    for number in range(40):
        harness.heartbeat(f"host-{number:02d}")
    silent = int(40 * share)
    while harness.now < 100.0 + 1.5 * harness.scheduler.lease_s:
        harness.now += 1.0
        for number in range(silent, 40):
            harness.heartbeat(f"host-{number:02d}")
        harness.scheduler.tick(harness.now)
    return harness, silent


def test_group_that_hangs_is_not_released_before_it_can_be_back() -> None:
    """A third of a zone that hung for 1.6 leases was released just before it came back."""
    harness, silent = silent_group(0.3)
    assert not harness.scheduler.releases
    missed = [
        m for m in harness.scheduler.machines.values() if harness.scheduler._missed(m, harness.now)
    ]
    assert len(missed) == silent, "made up for, in case they are dead"
    for number in range(silent - 1):
        harness.heartbeat(f"host-{number:02d}", session=2)
    harness.now += 1.0
    harness.scheduler.tick(harness.now)
    assert list(harness.scheduler.releases) == [f"host-{silent - 1:02d}"], "the lone one goes"


def test_group_that_stays_silent_is_released() -> None:
    harness, silent = silent_group(0.3)
    for _ in range(8):
        harness.now += 1.0
        for number in range(silent, 40):
            harness.heartbeat(f"host-{number:02d}")
        harness.scheduler.tick(harness.now)
    assert len(harness.scheduler.releases) == silent


def test_cut_zone_is_neither_released_nor_made_up_for() -> None:
    harness, _ = silent_group(0.6)
    assert not harness.scheduler.releases
    assert not any(
        harness.scheduler._missed(m, harness.now) for m in harness.scheduler.machines.values()
    )


def test_work_that_yields_keeps_off_room_that_is_whole_within_seconds() -> None:
    """Arrays took machines held by gangs whose other machine was a moment behind, and
    were stopped before their images were there."""
    harness = SchedulerHarness(machines=0)
    for name in ("host-0", "host-1"):
        harness.heartbeat(name)
    other = harness.add_job(make_spec(9, tasks=1, shape="batch", gpus=4.0, estimated_run_s=3.0))
    run = Run(other, 0, 1, "host-1", harness.now)
    run.state, run.running_since = RunState.RUNNING, harness.now
    harness.scheduler._attach(run)
    gang = harness.add_job(make_spec(1, tasks=2, gpus=4.0))
    harness.reserve(gang, {"host-0": 1, "host-1": 1})
    array = harness.add_job(make_spec(2, shape="batch", tasks=1, gpus=1.0, urgency="best_effort"))
    assert harness.plan_and_commit() == []
    other.spec.estimated_run_s = 300.0
    harness.now += harness.scheduler.report_s
    assert [run.job for run in harness.plan_and_commit()] == [array]


def test_gang_of_one_zone_gets_a_machine_though_free_ones_are_elsewhere(
    harness: SchedulerHarness,
) -> None:
    """Beside work that ran on for hours it waited as long: a machine was free in each zone,
    and the zone's floor was met by machines that others used."""
    for zone in "ab":
        long_run = harness.add_job(
            make_spec(ord(zone), shape="batch", tasks=1, gpus=4.0, zone=zone)
        )
        assert long_run is not None
    harness.plan_and_commit()
    harness.all_heartbeats()
    gang = harness.add_job(make_spec(7, tasks=2, gpus=4.0, spot=False))
    assert harness.plan_and_commit() == []
    harness.scheduler.last_arrival = -1e9  # no headroom while nothing comes
    assert harness.scheduler.rent(harness.now) == [], "not at once: others may be done soon"
    harness.now += harness.scheduler.patience_s(gang) + 1.0
    harness.all_heartbeats()
    harness.scheduler.tick(harness.now)
    harness.scheduler.last_arrival = -1e9
    asks = harness.scheduler.rent(harness.now)
    assert [ask.count for ask in asks] == [1]


def test_gang_is_not_promised_the_room_of_a_service() -> None:
    """It held a service's machine for as long as the service ran: its tasks, of 0 s by the
    estimate, were taken to end at once, and the empty machine looked no better."""
    harness = SchedulerHarness(machines=0)
    for name in ("host-0", "host-1"):
        harness.heartbeat(name)
    service = harness.add_job(
        make_spec(9, tasks=1, shape="daemon", gpus=4.0, estimated_run_s=0.0, checkpoint_s=0.0)
    )
    (run,) = harness.plan_and_commit()
    for state in ("pulling", "running"):
        harness.all_heartbeats()
        harness.set_task_states(run.machine, state)
    harness.all_heartbeats()
    offers = {offer.name: offer for offer in harness.scheduler.offers("a", harness.now)}
    gang = make_spec(1, tasks=1, gpus=4.0)
    need = (gang.cpus, gang.gpus, gang.memory_gb)
    assert offers[run.machine].ready_for((1, service.level), need) == math.inf
    (other,) = offers.keys() - {run.machine}
    assert offers[other].ready_for((1, service.level), need) < harness.scheduler.report_s


def test_gang_that_must_be_in_two_zones_gets_a_machine_in_the_full_one() -> None:
    """Long work filled a zone; the room that a gang of two lacked there was never rented, since
    the other zone had more than enough."""
    harness = SchedulerHarness(machines=4)
    long = harness.add_job(make_spec(5, tasks=2, gpus=4.0, zone="b", estimated_run_s=5000.0))
    harness.reserve(long, {"host-1": 1, "host-3": 1})
    harness.plan_and_commit()
    harness.all_heartbeats()
    harness.add_job(make_spec(6, tasks=2, gpus=4.0, same_place=False, scatter=True))
    harness.now += 300.0
    harness.all_heartbeats()
    harness.scheduler.tick(harness.now)
    harness.scheduler.last_arrival = -1e9
    asks = harness.scheduler.rent(harness.now)
    assert [(ask.zone, ask.count) for ask in asks] == [("b", 1)]


def test_service_that_must_be_in_two_zones_gets_a_machine_in_the_full_one() -> None:
    harness = SchedulerHarness(machines=4)
    long = harness.add_job(make_spec(5, tasks=2, gpus=4.0, zone="b", estimated_run_s=5000.0))
    harness.reserve(long, {"host-1": 1, "host-3": 1})
    harness.plan_and_commit()
    harness.all_heartbeats()
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
    service = harness.add_job(spec)
    harness.plan_and_commit()
    assert service.waiting_count == 1, "at most one replica may be in a zone"
    harness.now += 300.0
    harness.all_heartbeats()
    harness.scheduler.tick(harness.now)
    harness.scheduler.last_arrival = -1e9
    asks = harness.scheduler.rent(harness.now)
    assert [(ask.zone, ask.count) for ask in asks] == [("b", 1)]


def test_pressing_gang_does_not_count_on_a_guarantee_that_it_lacks() -> None:
    """It was promised room that only a guarantee could free, held a machine for it without
    end, and an empty machine beside it seemed no better."""
    harness = SchedulerHarness(machines=2)
    for number in (1, 2):
        harness.add_job(make_spec(number, shape="batch", tasks=1, gpus=4.0, team="blue"))
    harness.plan_and_commit()
    harness.all_heartbeats()
    for name in ("host-0", "host-1"):
        harness.set_task_states(name, "running")
    harness.all_heartbeats()
    need = make_spec(3, tasks=1, gpus=4.0, urgency="best_effort")
    room = (need.cpus, need.gpus, need.memory_gb)
    borrowed = [
        run
        for job in harness.scheduler.jobs.values()
        if not job.within
        for run in job.runs.values()
    ]
    assert len(borrowed) == 1, "the second job of blue is beyond its guarantee"
    (offer,) = (
        offer
        for zone in "ab"
        for offer in harness.scheduler.offers(zone, harness.now)
        if offer.name == borrowed[0].machine
    )
    by_guarantee, pressing = (0, 3), (PRESSING, 3)
    soon_s = 3 * harness.scheduler.report_s
    assert offer.ready_for(by_guarantee, room) < soon_s
    assert offer.ready_for(pressing, room) > soon_s
    more_urgent = (PRESSING, 1)
    assert offer.ready_for(more_urgent, room) < soon_s, "by its urgency it may stop that work"
