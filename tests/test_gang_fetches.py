"""A gang runs even if fetching its image takes longer than its tasks may wait for each other."""

from __future__ import annotations

from random import Random

import curio
import pytest

from tests.fakes.worker import IMAGE_GB_PER_S, FakeTask
from tests.job_specs import make_spec
from tests.scenarios import Scenario, assert_no_violations, run_scenario
from tests.scheduler_harness import SchedulerHarness
from tests.simulation.rules import MAX_LARGEST_GANG_WAIT_S
from tests.versions import starts_without_fetching
from topazhold.core import failover
from topazhold.core.estimates import FASTEST_FETCH_RATIO, SLOWEST_FETCH_RATIO
from topazhold.core.gangs import LAUNCH_HEARTBEATS
from topazhold.core.jobs import GangState, Job
from topazhold.core.records import AttemptIntent, Intents
from topazhold.wire.workers import TaskStatus

#: Seconds that the largest image takes at the nominal rate, and that a task waits for its gang:
#: 25 GB at 0.8 GB/s and 35 s on the protocol's pages.
LARGEST_IMAGE_S = 31.25
GANG_WAIT_S = 35.0


def draw_fetch_ratio(rng: Random) -> float:
    """Return the ratio of a machine's fetch rate to the nominal one, often an extreme one."""
    drawn = rng.uniform(SLOWEST_FETCH_RATIO, FASTEST_FETCH_RATIO)
    return rng.choice([SLOWEST_FETCH_RATIO, drawn, FASTEST_FETCH_RATIO])


def tasks_of(scenario: Scenario, job: str) -> list[FakeTask]:
    return [
        task
        for worker in scenario.cloud.workers.values()
        for task in worker.tasks.values()
        if task.job == job
    ]


async def submit_gang_with_slow_fetches(scenario: Scenario) -> tuple[str, int]:
    """Submit a gang of drawn size and image, to machines of which some have the image.

    Returns the gang and its number of tasks.
    """
    rng = scenario.rng
    scenario.draw_fetch_ratio = lambda: draw_fetch_ratio(rng)
    scenario.fetches_share_rate = rng.random() < 0.5
    for settings in scenario.controller_settings.values():
        settings.cluster.workers.gang_wait_s = GANG_WAIT_S
    tasks = rng.choice([1, 2, 2, 4])
    if rng.random() < 0.5:
        scenario.cloud.capacity = tasks  # the cloud has no other machines
    await scenario.start(machines=tasks)
    image_s = rng.choice([LARGEST_IMAGE_S, rng.uniform(10.0, LARGEST_IMAGE_S)])
    await scenario.wait_until(lambda: len(scenario.running_workers()) >= tasks)
    # While jobs arrive, idle machines are kept, among them the one that has this image.
    via = scenario.controller_names[0]
    first_image = rng.choice(["large", "large", "small"])
    await scenario.submit(via, 1.0, tasks=1, image=first_image, image_gb=1.0)
    await scenario.wait_until(
        lambda: any(first_image in worker.images for worker in scenario.running_workers())
    )
    await curio.sleep(scenario.worker_settings.heartbeat_interval_s)
    if scenario.fetches_share_rate:
        await scenario.submit(
            via, 1.0, tasks=tasks, image="other", image_gb=IMAGE_GB_PER_S * LARGEST_IMAGE_S / 2
        )
    gang = await scenario.submit(
        via,
        shape="gang",
        tasks=tasks,
        gpus=3.0,
        image="large",
        image_gb=image_s * IMAGE_GB_PER_S,
    )
    return gang, tasks


async def restart_leader(scenario: Scenario) -> None:
    """Restart the leader, if there is one, at a drawn moment of the fetches."""
    await curio.sleep(scenario.rng.uniform(5.0, 60.0))
    leader = scenario.leader()
    if leader is not None:
        await scenario.restart_controllers([leader])


async def wait_until_running(scenario: Scenario, gang: str, tasks: int, since: float) -> None:
    """Assert that all tasks of a gang run in time after `since`."""
    left_s = since + MAX_LARGEST_GANG_WAIT_S - scenario.clock.now
    await scenario.wait_until(
        lambda: [task.state for task in tasks_of(scenario, gang)].count("running") == tasks, left_s
    )


async def run_gang_with_slow_fetches(scenario: Scenario) -> None:
    """Let a drawn gang run, in some runs with a change of leader."""
    gang, tasks = await submit_gang_with_slow_fetches(scenario)
    submitted_at = scenario.clock.now
    if scenario.rng.random() < 0.4:
        await restart_leader(scenario)
    await wait_until_running(scenario, gang, tasks, submitted_at)


@pytest.mark.parametrize("seed", range(24))
def test_gang_runs_whatever_its_image_and_rates(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: a start that is given up, with its fetches, before the image can be there."""
    assert_no_violations(run_scenario(run_gang_with_slow_fetches, monkeypatch, "maps", seed))


@pytest.mark.parametrize("old_controllers", [["hive-1"], ["hive-0", "hive-2"]])
@pytest.mark.parametrize("seed", range(100, 106))
def test_starts_are_safe_beside_controllers_that_stop_them_early(
    seed: int, old_controllers: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: an earlier version takes over a gang whose launches are held back."""

    async def act(scenario: Scenario) -> None:
        scenario.versions = dict.fromkeys(old_controllers, starts_without_fetching())
        gang, tasks = await submit_gang_with_slow_fetches(scenario)
        for _ in range(3):
            await restart_leader(scenario)
        for name in old_controllers:
            del scenario.versions[name]
            await scenario.restart_controllers([name])
        await wait_until_running(scenario, gang, tasks, scenario.clock.now)

    assert_no_violations(run_scenario(act, monkeypatch, "maps", seed))


# -- one gang, heartbeat by heartbeat ------------------------------------------------------


def start_gang(harness: SchedulerHarness, image_s: float) -> Job:
    """Start a gang on host-0, which has the image, and host-2, which fetches it in `image_s`."""
    rate = harness.scheduler.machine_types["b1"].fetch_gb_per_s
    job = harness.add_job(make_spec(image_gb=image_s * rate))
    harness.scheduler.machines["host-0"].note_image_fetched(job.spec.image, job.spec.image_gb)
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    harness.plan_and_commit()
    return job


def pass_time(harness: SchedulerHarness, duration_s: float) -> None:
    """Let time pass, with a tick and a heartbeat of each worker in each interval."""
    interval_s = harness.scheduler.heartbeat_interval_s
    end = harness.now + duration_s
    while harness.now < end:
        harness.now = min(end, harness.now + interval_s)
        harness.scheduler.tick(harness.now)
        harness.all_heartbeats()


def gang_wait_s(harness: SchedulerHarness) -> float:
    return harness.scheduler.parts.timing.gang_wait_s


def test_task_with_image_is_launched_when_the_slowest_fetch_ends_within_its_wait(
    harness: SchedulerHarness,
) -> None:
    """Guards against: a task whose wait ends before the others can have their image."""
    nominal_s = 1.5 * gang_wait_s(harness)
    job = start_gang(harness, nominal_s)
    pass_time(harness, harness.scheduler.heartbeat_interval_s)
    assert not harness.tasks["host-0"] and harness.tasks["host-2"]
    longest_s = nominal_s / SLOWEST_FETCH_RATIO
    pass_time(harness, longest_s - gang_wait_s(harness) - 1.0)
    assert not harness.tasks["host-0"], "its wait could end before the slowest fetch"
    assert job.gang_state is GangState.STARTING
    pass_time(harness, 1.0 + (LAUNCH_HEARTBEATS + 1.0) * harness.scheduler.heartbeat_interval_s)
    assert harness.tasks["host-0"]


def test_short_fetch_holds_back_no_launch(harness: SchedulerHarness) -> None:
    start_gang(harness, 0.25 * gang_wait_s(harness))
    harness.all_heartbeats()
    assert harness.tasks["host-0"] and harness.tasks["host-2"]


def fail_start(harness: SchedulerHarness, job: Job) -> None:
    """Let the wait of the task on host-0 end while host-2 still fetches."""
    harness.set_task_states("host-0", "gathering")
    harness.all_heartbeats()
    harness.set_task_states("host-0", "ended", "incomplete")
    harness.all_heartbeats()
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.FETCHING


def test_failed_start_keeps_the_fetch_until_it_ends(harness: SchedulerHarness) -> None:
    """Guards against: the next attempt fetches the same image from the beginning."""
    job = start_gang(harness, 0.25 * gang_wait_s(harness))
    harness.all_heartbeats()
    fail_start(harness, job)
    assert harness.heartbeat("host-2") == []
    assert harness.scheduler.machines["host-0"].free()[1] == 4.0, "others can use it meanwhile"
    harness.set_task_states("host-2", "gathering")
    harness.heartbeat("host-2")
    harness.scheduler.tick(harness.now)
    assert [command.kind for command in harness.heartbeat("host-2")] == ["kill"]
    harness.set_task_states("host-2", "ended", "stopped")
    harness.heartbeat("host-2")
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.WAITING
    assert job.spec.image in harness.scheduler.machines["host-2"].images


def test_fetch_that_never_ends_is_given_up(harness: SchedulerHarness) -> None:
    """Guards against: a gang that can't start keeps a machine from others for ever."""
    nominal_s = 0.25 * gang_wait_s(harness)
    job = start_gang(harness, nominal_s)
    harness.all_heartbeats()
    fail_start(harness, job)
    pass_time(harness, 4.0 * nominal_s)
    assert harness.scheduler.kills(harness.scheduler.machines["host-2"])


def test_kept_fetch_can_be_preempted(harness: SchedulerHarness) -> None:
    """Guards against: more urgent work waits for the fetch of a gang that did not start."""
    job = start_gang(harness, 0.25 * gang_wait_s(harness))
    harness.all_heartbeats()
    fail_start(harness, job)
    urgent = harness.add_job(make_spec(2, tasks=1, urgency="critical", gpus=4.0))
    harness.reserve(urgent, {"host-2": 1})
    harness.plan_and_commit()
    assert job.gang_state is GangState.STOPPING
    assert harness.scheduler.kills(harness.scheduler.machines["host-2"])


def test_new_leader_keeps_the_fetch_of_a_gang_without_all_its_tasks() -> None:
    """Guards against: each change of leader makes a gang fetch its image from the beginning."""
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(tasks=2), harness.now, 1e9, "hive-0")
    intents = [
        Intents(name, 1, "a", False, "b1", [AttemptIntent(job.id, index, 77)])
        for index, name in enumerate(("host-0", "host-2"))
    ]
    failover.rebuild(harness.scheduler, [job], intents, harness.now)
    harness.tasks["host-2"] = {(f"{job.id}/1", 77): TaskStatus(f"{job.id}/1", 77, "pulling")}
    for name in ("host-0", "host-2"):
        harness.heartbeat(name)
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.FETCHING
    assert harness.heartbeat("host-2") == []
