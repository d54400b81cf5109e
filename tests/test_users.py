"""The users' API of a real controller with a fake key-value store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import curio
import msgspec
import pytest

from tests.fakes.controllers import start_controller
from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.job_specs import make_spec, submission_fields
from tests.simulation.deployment import CONTROLLER_NAMES, Simulation
from topazhold.control.failover import load_completion_bitmaps
from topazhold.io.http import Request
from topazhold.wire.codec import pack

ControllerTest = Callable[[Simulation, Any], Awaitable[None]]


def run_with_controller(
    monkeypatch: pytest.MonkeyPatch, act: ControllerTest, startup_s: float = 2.0
) -> Simulation:
    """Run `act` with a simulation and its only controller; return the simulation."""
    simulations: list[Simulation] = []

    async def main(clock: VirtualTime) -> None:
        simulation = Simulation(clock, 1)
        simulations.append(simulation)
        await start_controller(simulation, CONTROLLER_NAMES[0])
        await curio.sleep(startup_s)
        await act(simulation, simulation.controllers[CONTROLLER_NAMES[0]])

    run_virtual(main, monkeypatch)
    return simulations[0]


async def submit(node: Any, **changes: Any) -> Any:
    body = msgspec.to_builtins(make_spec())
    body.update(submission_fields(changes))
    return await node.handle(Request("POST", "/api/jobs", pack(body)))


async def send_request(node: Any, method: str, path: str, body: bytes = b"") -> Any:
    return await node.handle(Request(method, path, body))


def test_requests_get_the_expected_status(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(simulation: Simulation, node: Any) -> None:
        assert (await submit(node)).status == HTTPStatus.CREATED
        repeated = await submit(node)
        assert repeated.status == HTTPStatus.OK and repeated.body["stage"] == "pending"
        assert (
            await submit(node, id="wk-2", team="green")
        ).status == HTTPStatus.UNPROCESSABLE_ENTITY
        assert (await submit(node, id="wk-3", cpus=17.0)).status == HTTPStatus.UNPROCESSABLE_ENTITY
        assert (
            await submit(node, id="wk-4", machine_types=["b9"])
        ).status == HTTPStatus.UNPROCESSABLE_ENTITY
        assert (await submit(node, id="wk-5", tasks=11)).status == HTTPStatus.UNPROCESSABLE_ENTITY
        assert (await submit(node, id="wk-6", tasks=0)).status == HTTPStatus.BAD_REQUEST
        # All replicas of a service must fit the team's limit at once; of an array, one task.
        assert (
            await submit(node, id="wk-7", tasks=11, shape="daemon")
        ).status == HTTPStatus.UNPROCESSABLE_ENTITY
        assert (await submit(node, id="wk-8", tasks=11, shape="batch")).status == HTTPStatus.CREATED
        assert (
            await submit(node, id="wk-10", tasks=10, shape="daemon")
        ).status == HTTPStatus.CREATED
        assert (
            await send_request(node, "POST", "/api/jobs", b"\xff\x00nonsense")
        ).status == HTTPStatus.BAD_REQUEST
        assert (
            await send_request(node, "POST", "/api/jobs", pack([1, 2]))
        ).status == HTTPStatus.BAD_REQUEST
        for path in ("/api/jobs/wk-9", "/api/jobs/none", "/api/jobs/wk-1/x", "/nothing"):
            assert (await send_request(node, "GET", path)).status == HTTPStatus.NOT_FOUND
        assert (
            await send_request(node, "POST", "/api/jobs/wk-9/cancel")
        ).status == HTTPStatus.NOT_FOUND
        assert (
            await send_request(node, "DELETE", "/api/jobs/wk-9")
        ).status == HTTPStatus.METHOD_NOT_ALLOWED
        assert (
            await send_request(node, "GET", "/api/jobs")
        ).status == HTTPStatus.METHOD_NOT_ALLOWED
        assert (
            await send_request(node, "GET", "/v1/report")
        ).status == HTTPStatus.METHOD_NOT_ALLOWED
        assert (
            await send_request(node, "POST", "/v1/report", b"?")
        ).status == HTTPStatus.BAD_REQUEST
        assert (await send_request(node, "GET", "/healthz")).status == HTTPStatus.OK

    run_with_controller(monkeypatch, act)


def test_repeated_submission_is_recognized_by_its_id_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(simulation: Simulation, node: Any) -> None:
        assert (await submit(node)).status == HTTPStatus.CREATED
        for changes in ({"crew": "green"}, {"frames": 0}, {"vcpus": 99.0}, {"shape": None}):
            assert (await submit(node, **changes)).status == HTTPStatus.OK
        answer = await send_request(node, "POST", "/api/jobs/wk-000001/cancel")
        assert (answer.status, answer.body["stage"]) == (HTTPStatus.OK, "aborted")
        assert (await submit(node)).body["stage"] == "aborted"
        assert (await submit(node, team="green")).body["stage"] == "aborted"
        node.users._final_stages.clear()
        assert (await send_request(node, "GET", "/api/jobs/wk-000001")).body["stage"] == "aborted"

    run_with_controller(monkeypatch, act)


def test_submission_is_refused_while_no_machine_type_is_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(simulation: Simulation, node: Any) -> None:
        answer = await submit(node)
        assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE and answer.retry_after >= 1.0
        assert (await submit(node, tasks=0)).status == HTTPStatus.BAD_REQUEST

    async def main(clock: VirtualTime) -> None:
        simulation = Simulation(clock, 1)
        simulation.cloud.down = True
        await start_controller(simulation, CONTROLLER_NAMES[0])
        await curio.sleep(2.0)
        await act(simulation, simulation.controllers[CONTROLLER_NAMES[0]])

    run_virtual(main, monkeypatch)


def test_requests_in_a_store_outage_are_refused_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Requests that need the store must not wait for it; refused submissions get Retry-After."""

    async def act(simulation: Simulation, node: Any) -> None:
        assert (await submit(node)).status == HTTPStatus.CREATED
        simulation.store.set_down(True)
        await curio.sleep(1.0)
        started_at = simulation.clock.now
        answer = await submit(node, id="wk-7")
        assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE and answer.retry_after is not None
        assert (
            await send_request(node, "GET", "/api/jobs/wk-000001")
        ).status == HTTPStatus.SERVICE_UNAVAILABLE
        assert simulation.clock.now - started_at < 0.5
        simulation.store.set_down(False)
        await curio.sleep(1.0)
        assert (await submit(node, id="wk-7")).status == HTTPStatus.CREATED

    run_with_controller(monkeypatch, act)


def test_overload_refuses_submissions_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Heartbeats are answered and decisions made while submissions are refused."""
    statuses: list[int] = []

    async def act(simulation: Simulation, node: Any) -> None:
        async def submit_one(number: int) -> None:
            answer = await submit(node, id=f"wk-{number}", tasks=1)
            statuses.append(answer.status)
            if answer.status != HTTPStatus.CREATED:
                assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE and answer.retry_after >= 1.0

        submissions = [
            await curio.spawn(submit_one, number, daemon=True) for number in range(100, 600)
        ]
        report = {
            "box": "host-1",
            "endpoint": "host-1:9",
            "breed": "b1",
            "apiary": "a",
            "drones": False,
            "flight": 1,
            "tally": 1,
            "crown": node.state.leadership.term,
            "frames": [],
        }
        started_at = simulation.clock.now
        answer = await send_request(node, "POST", "/v1/report", pack(report))
        assert answer.status == HTTPStatus.OK and simulation.clock.now - started_at < 0.5
        for submission in submissions:
            await submission.join()
        assert node.users._requests_in_progress == 0

    run_with_controller(monkeypatch, act)
    assert (
        statuses.count(HTTPStatus.SERVICE_UNAVAILABLE) > 300
        and 10 < statuses.count(HTTPStatus.CREATED) < 200
    )


def test_largest_job_is_stored_and_read_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(simulation: Simulation, node: Any) -> None:
        answer = await submit(node, shape="batch", tasks=100_000, gpus=0.5, cpus=1.0)
        assert answer.status == HTTPStatus.CREATED
        await curio.sleep(3.0)
        job = node.leader_term.scheduler.jobs["wk-000001"]
        for index in range(0, 100_000, 3):
            job.mark_completed(index)
        for _ in range(6):
            await node.leader_term.job_persistence.save(job, simulation.clock.now)
        assert not job.unsaved_parts
        await load_completion_bitmaps(node.leader_term.context, job)
        restored = type(job)(job.spec, 0.0, 0.0, "")
        restored.load_part(0, simulation.store.data["live/wk-000001"][0]["done"])
        await load_completion_bitmaps(node.leader_term.context, restored)
        assert restored.completed == job.completed

    run_with_controller(monkeypatch, act)


def test_a_service_runs_until_it_is_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(simulation: Simulation, node: Any) -> None:
        assert (await submit(node, shape="daemon")).status == HTTPStatus.CREATED
        await curio.sleep(1.0)
        job = node.leader_term.scheduler.jobs["wk-000001"]
        assert not job.gang and job.waiting_count == 2
        answer = await send_request(node, "POST", "/api/jobs/wk-000001/cancel")
        assert answer.body["stage"] == "aborted"
        await curio.sleep(1.0)
        assert "wk-000001" not in node.leader_term.scheduler.jobs

    run_with_controller(monkeypatch, act)


def test_unreadable_record_does_not_block_other_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """An unreadable record prevented each new leader from starting, so that no job ran."""

    async def main(clock: VirtualTime) -> None:
        simulation = Simulation(clock, 1)
        stored = simulation.store.data
        stored["live/wk-000077"] = ("nonsense", 5, None)
        stored["live/wk-000078"] = (
            {"spec": {"id": "wk-000078"}, "at": "x"},
            6,
            None,
        )
        stored["on/0001"] = ({"boxes": {"host-000099": [1]}}, 7, None)
        await start_controller(simulation, CONTROLLER_NAMES[0])
        await curio.sleep(2.0)
        node = simulation.controllers[CONTROLLER_NAMES[0]]
        assert node.leader_term is not None and node.leader_term.loaded
        assert (await submit(node)).status == HTTPStatus.CREATED
        for job_id in ("wk-000077", "wk-000078"):
            answer = await send_request(node, "GET", f"/api/jobs/{job_id}")
            assert answer.status == HTTPStatus.OK and answer.body["stage"] == "pending"
        assert sorted(node.leader_term.scheduler.jobs) == ["wk-000001"]
        assert node.leader_term.scheduler.cluster.is_removed("host-000099"), (
            "its tasks are unknown, so it can only be released"
        )

    run_virtual(main, monkeypatch)
