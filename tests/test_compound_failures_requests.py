"""Compound failures: invalid requests, and requests at the moment a job ends."""

from __future__ import annotations

from http import HTTPStatus

import curio
import pytest

from tests.scenarios import Scenario, assert_no_violations, run_scenario


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_requests_at_the_end_of_a_jobs_last_task_agree_on_its_end(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A cancellation, a query and a repeated submission race at different controllers."""
    outcomes: list[str] = []

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        for _ in range(10):
            job = await scenario.submit(leader, run_s=2.0, tasks=2, gpus=1.0, image_gb=0.1)
            tasks = {(job, 0), (job, 1)}
            await scenario.wait_until(lambda tasks=tasks: tasks <= scenario.tasks.completed, 60.0)  # type: ignore[misc]
            # The worker reports at once; shortly after, the job's live record becomes an ended one.
            await curio.sleep(scenario.rng.uniform(0.0, 1.2))
            requests = [
                await curio.spawn(scenario.cancel, job, scenario.random_controller()),
                await curio.spawn(scenario.poll, job, scenario.random_controller()),
                await curio.spawn(
                    scenario.request,
                    scenario.random_controller(),
                    "POST",
                    "/api/jobs",
                    scenario.users.specs[job],
                ),
            ]
            for task in requests:
                await task.join()
            status, body = await scenario.poll(job, scenario.random_controller())
            assert status == HTTPStatus.OK
            outcomes.append(body["stage"])
            status, body = await scenario.request(
                leader, "POST", "/api/jobs", scenario.users.specs[job]
            )
            scenario.rules.check_answer(job, status, body, True)
            assert (status, body["stage"]) == (HTTPStatus.OK, outcomes[-1])
            await curio.sleep(2.0)

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))
    assert set(outcomes) <= {"done", "aborted"} and "done" in outcomes


def test_cancellation_at_a_jobs_end_has_either_outcome_and_keeps_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end that is written first is final."""
    outcomes: set[str] = set()
    for seed in range(4):

        async def act(scenario: Scenario) -> None:
            await scenario.start()
            scenario.users.cancel_at_end_share = 1.0
            await scenario.run_users(25, 10.0)
            await scenario.wait_for_all_users()
            assert scenario.users.cancelled_at_end > 10
            outcomes.update(scenario.rules.reported_stages.values())

        assert_no_violations(run_scenario(act, monkeypatch, seed=seed))
    assert outcomes == {"done", "aborted"}


def test_requests_that_make_no_sense_get_their_proper_status(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Repeats of unfinished jobs, cancels of done ones, oversized and incomplete jobs."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        submitting = await curio.spawn(scenario.run_users, 20, 40.0, daemon=True)
        await scenario.users.send_unusual_requests(80.0)
        assert scenario.users.unusual_answers == {
            "repeat": {HTTPStatus.OK},
            "odd_repeat": {HTTPStatus.OK},
            "cancel_done": {HTTPStatus.OK},
            "huge": {HTTPStatus.UNPROCESSABLE_ENTITY},
            "lacking": {HTTPStatus.BAD_REQUEST},
        }
        leader = scenario.leader()
        assert leader is not None
        for path in ("/api/jobs/wk-999999", "/api/jobs/wk-999999/cancel"):
            method = "POST" if path.endswith("cancel") else "GET"
            assert (await scenario.request(leader, method, path, {}))[0] == HTTPStatus.NOT_FOUND
        await submitting.join()
        await scenario.wait_for_all_users()

    scenario = run_scenario(act, monkeypatch)
    assert_no_violations(scenario)


def test_cancellation_of_a_job_that_is_done_answers_done(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        job = await scenario.submit(leader, run_s=1.0, tasks=1)
        while scenario.rules.reported_stages[job] != "done":
            await scenario.poll(job, leader)
            await curio.sleep(0.5)
        for name in scenario.controller_names:
            status, body = await scenario.request(name, "POST", f"/api/jobs/{job}/cancel", {})
            assert (status, body["stage"]) == (HTTPStatus.OK, "done")

    assert_no_violations(run_scenario(act, monkeypatch))
