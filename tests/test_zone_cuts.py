"""Cancellations while a zone is cut off from everything and the cloud refuses requests.

A controller inside the zone can't hear of the cancellation, and the controllers outside can
reach the zone's machines through the cloud only. The tasks must end within `cancel_s` even if
the cloud has an outage.
"""

from __future__ import annotations

from http import HTTPStatus

import curio
import pytest

from tests.fakes.cloud import FakeCloud
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.scenarios import SITES, Scenario, assert_no_violations, run_scenario
from tests.versions import unlimited_renewal

#: Hosts outside all zones.
REGIONAL_HOSTS = (FakeKeyValueStore.HOST, FakeCloud.HOST, "user")
#: The zone of one controller, and the zone of the two others.
SINGLE_ZONE, DOUBLE_ZONE = "b", "a"
OTHER_ZONE = {SINGLE_ZONE: DOUBLE_ZONE, DOUBLE_ZONE: SINGLE_ZONE}
#: Start of the cloud's outage after the cancellation, as shares of `cancel_s`.
OUTAGE_STARTS = [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.55, 0.6, 0.65, 0.7, 0.8, 0.9]
#: Seconds from the cut to the cancellation.
CANCEL_DELAY_S = 5.0


def isolate_zone(scenario: Scenario, zone: str) -> None:
    """Cut a zone off from the other zones and from all regional hosts."""
    scenario.cut_off(zone, [OTHER_ZONE[zone], *REGIONAL_HOSTS])


def controllers_in(scenario: Scenario, zone: str) -> list[str]:
    """Return the names of the running controllers of a zone."""
    return [name for name in scenario.controllers if scenario.zones[name] == zone]


def controllers_outside(scenario: Scenario, zone: str) -> list[str]:
    """Return the names of the running controllers of the other zone."""
    return [name for name in scenario.controllers if scenario.zones[name] != zone]


async def make_leader(scenario: Scenario, zone: str) -> str:
    """Restart leaders until a controller of `zone` leads, and return its name."""
    while (leader := scenario.leader()) is None or scenario.zones[leader] != zone:
        if leader is not None:
            await scenario.stop(leader)
            await scenario.wait_for_new_leader(leader)
            await scenario.start_again(leader)
        await curio.sleep(scenario.worker_settings.heartbeat_interval_s)
    await curio.sleep(3 * scenario.worker_settings.heartbeat_interval_s)
    return leader


async def start_work(scenario: Scenario, zone: str, leader_zone: str) -> list[str]:
    """Start the deployment with a leader in `leader_zone`, and run two jobs in `zone`."""
    await scenario.start()
    leader = await make_leader(scenario, leader_zone)
    return await scenario.submit_running_jobs(2, leader, gpus=2.0, tasks=3, zone=zone)


async def cancel_all(scenario: Scenario, jobs: list[str], zone: str) -> None:
    """Cancel jobs through a controller outside `zone`, which must confirm it at once."""
    via = controllers_outside(scenario, zone)[0]
    for job in jobs:
        assert await scenario.cancel(job, via) == HTTPStatus.OK


async def cancel_in_cut(scenario: Scenario, jobs: list[str], zone: str) -> None:
    """Cut a zone off, and cancel jobs in it a little later."""
    isolate_zone(scenario, zone)
    await curio.sleep(CANCEL_DELAY_S)
    await cancel_all(scenario, jobs, zone)


async def play_cloud_outage(scenario: Scenario, outage_start: float) -> None:
    """Let the cloud fail at this share of `cancel_s` from now on, and wait for the deadline."""
    await curio.sleep(outage_start * scenario.worker_settings.cancel_s)
    scenario.cloud.down = True
    await wait_for_deadline(scenario)


async def wait_for_deadline(scenario: Scenario) -> None:
    """Wait until `cancel_s` and a lease have passed."""
    await curio.sleep(scenario.worker_settings.cancel_s + scenario.worker_settings.lease_s)


@pytest.mark.parametrize("outage_start", OUTAGE_STARTS)
@pytest.mark.parametrize(
    ("zone", "leader_zone"),
    [
        (SINGLE_ZONE, DOUBLE_ZONE),
        (SINGLE_ZONE, SINGLE_ZONE),
        (DOUBLE_ZONE, SINGLE_ZONE),
        (DOUBLE_ZONE, DOUBLE_ZONE),
    ],
)
@pytest.mark.parametrize("site", SITES)
def test_cancelled_tasks_in_a_cut_zone_end_whenever_the_cloud_fails(
    site: str, zone: str, leader_zone: str, outage_start: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a cut-off controller renews leases because its peers could end the tasks."""

    async def act(scenario: Scenario) -> None:
        jobs = await start_work(scenario, zone, leader_zone)
        await cancel_in_cut(scenario, jobs, zone)
        await play_cloud_outage(scenario, outage_start)

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("outage_start", [0.0, 0.3, 0.55])
@pytest.mark.parametrize("old_controllers", [["hive-1"], ["hive-0", "hive-2"]])
@pytest.mark.parametrize("site", SITES)
def test_cancelled_tasks_end_beside_controllers_without_the_limit(
    site: str, old_controllers: list[str], outage_start: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: an earlier version in the cut zone relies on the word of the present one."""

    async def act(scenario: Scenario) -> None:
        scenario.versions = dict.fromkeys(old_controllers, unlimited_renewal())
        jobs = await start_work(scenario, SINGLE_ZONE, DOUBLE_ZONE)
        await cancel_in_cut(scenario, jobs, SINGLE_ZONE)
        await play_cloud_outage(scenario, outage_start)

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("outage_start", [0.0, 0.3, 0.55])
@pytest.mark.parametrize("zone", [SINGLE_ZONE, DOUBLE_ZONE])
@pytest.mark.parametrize("restart_delay_s", [0.2, 3.0])
@pytest.mark.parametrize("site", SITES)
def test_cancelled_tasks_end_though_a_controller_restarts_inside_the_cut(
    site: str,
    restart_delay_s: float,
    zone: str,
    outage_start: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against: a restarted controller takes a peer in its own zone for well informed."""

    async def act(scenario: Scenario) -> None:
        jobs = await start_work(scenario, zone, OTHER_ZONE[zone])
        isolate_zone(scenario, zone)
        await curio.sleep(CANCEL_DELAY_S)
        restarted = controllers_in(scenario, zone)[0]
        await scenario.stop(restarted)
        await scenario.start_again(restarted, restart_delay_s)
        await cancel_all(scenario, jobs, zone)
        await play_cloud_outage(scenario, outage_start)

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("outage_start", [0.0, 0.3, 0.55])
@pytest.mark.parametrize("zone", [SINGLE_ZONE, DOUBLE_ZONE])
@pytest.mark.parametrize("site", SITES)
def test_cancelled_tasks_end_in_an_outage_of_the_store_as_well(
    site: str, zone: str, outage_start: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: without the store, the controllers outside count as informing the zone."""

    async def act(scenario: Scenario) -> None:
        jobs = await start_work(scenario, zone, OTHER_ZONE[zone])
        await cancel_in_cut(scenario, jobs, zone)
        scenario.store.set_down(True)
        await play_cloud_outage(scenario, outage_start)

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("outage_start", [0.0, 0.3, 0.55])
@pytest.mark.parametrize("site", SITES)
def test_cancelled_tasks_end_though_those_who_knew_have_ended(
    site: str, outage_start: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a cancellation that only the store knows is lost in a change of leader.

    The controller that confirms it is cut off from its peers and ends, and so does the leader.
    """

    async def act(scenario: Scenario) -> None:
        jobs = await start_work(scenario, SINGLE_ZONE, DOUBLE_ZONE)
        isolate_zone(scenario, SINGLE_ZONE)
        await curio.sleep(CANCEL_DELAY_S)
        leader = scenario.leader()
        confirmer = next(
            name for name in controllers_outside(scenario, SINGLE_ZONE) if name != leader
        )
        scenario.cut_off(confirmer, scenario.controller_names)
        for job in jobs:
            assert await scenario.cancel(job, confirmer) == HTTPStatus.OK
        ended = controllers_outside(scenario, SINGLE_ZONE)
        for name in ended:
            await scenario.stop(name)
        scenario.network.cuts -= {frozenset((confirmer, name)) for name in ended}
        await curio.sleep(1.0)
        for name in ended:
            await scenario.start_again(name)
        await play_cloud_outage(scenario, outage_start)

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("outage_start", [0.0, 0.3, 0.55])
@pytest.mark.parametrize("site", SITES)
def test_cancelled_tasks_end_though_a_refused_leader_holds_their_workers(
    site: str, outage_start: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a watch that returns nothing while the store refuses counts as a read."""

    async def act(scenario: Scenario) -> None:
        jobs = await start_work(scenario, SINGLE_ZONE, SINGLE_ZONE)
        leader = scenario.leader()
        assert leader is not None
        scenario.store.refused_controllers.add(leader)
        scenario.cut_off(SINGLE_ZONE, [DOUBLE_ZONE])
        await curio.sleep(CANCEL_DELAY_S)
        await cancel_all(scenario, jobs, SINGLE_ZONE)
        await play_cloud_outage(scenario, outage_start)

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("zone", [SINGLE_ZONE, DOUBLE_ZONE])
@pytest.mark.parametrize("site", SITES)
def test_cancelled_tasks_end_though_their_machines_are_queued_for_release(
    site: str, zone: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a leader renews the lease of a machine that the cloud does not release, and
    sends it no kills. The cut ends when the release has been decided.
    """

    async def act(scenario: Scenario) -> None:
        jobs = await start_work(scenario, zone, OTHER_ZONE[zone])
        scenario.cloud.down = True
        isolate_zone(scenario, zone)
        await curio.sleep(1.0)
        await cancel_all(scenario, jobs, zone)
        await curio.sleep(0.75 * scenario.worker_settings.cancel_s)
        assert scenario.busy_workers()
        scenario.network.cuts.clear()
        await wait_for_deadline(scenario)

    assert_no_violations(run_scenario(act, monkeypatch, site))
