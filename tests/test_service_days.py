"""Seeded random days with service jobs, and days with a rolling upgrade of the controllers."""

from __future__ import annotations

import pytest

from tests.random_days import ALL, CONTROLLERS, MACHINES, MANY, NETWORK, OUTSIDE, play
from tests.simulation.deployment import Simulation
from topazhold.settings import LaterLimits

#: Limits of the key-value store after it has lowered them.
LATER = LaterLimits(write_rps=40.0, value_kb=2.0, txn_ops=5)

SERVICE_DAYS = [
    (41, []),
    (42, ["replicas_end", "crash_leader"]),
    (43, [*MACHINES, "replicas_end"]),
    (44, [*ALL, *MANY]),
    (45, ["state_down", "refused_then_down", "crash_all", "notice"]),
    (46, ["deaf_zone", "mass_die", "freeze_leader", "cancel_at_end"]),
]

UPGRADE_DAYS = [
    (51, []),
    (52, CONTROLLERS),
    (53, NETWORK),
    (54, [*OUTSIDE, "refused_then_down"]),
    (55, ["crash_leader", "late_writes", "late_copies", "crash_election"]),
    (56, ["leader_off_all_but_workers", "leader_off_zone", "crash_leader"]),
    (57, ["refused_then_down", "crash", "cancel_at_end", "odd_requests"]),
    (58, [*ALL, *MANY]),
    (59, [*MACHINES, "crash_leader", "state_slow"]),
]


def assert_no_violations(simulation: Simulation) -> None:
    last_notes = "\n".join(simulation.notes[-60:])
    assert simulation.violations == [], last_notes
    assert simulation.starts > 20, "too few tasks started"
    assert simulation.unfinished_jobs() == [], last_notes


@pytest.mark.parametrize(("seed", "kinds"), SERVICE_DAYS)
def test_rules_hold_with_services(
    seed: int, kinds: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert_no_violations(play(seed, kinds, monkeypatch, services=0.4))


@pytest.mark.parametrize(("seed", "kinds"), UPGRADE_DAYS)
def test_rules_hold_in_an_upgrade(
    seed: int, kinds: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Controllers of both versions lead in turn and read each other's data."""
    simulation = play(seed, kinds, monkeypatch, trouble_s=90.0, jobs=45, later=LATER)
    assert_no_violations(simulation)
    assert simulation.versions == {}, "some controllers were not upgraded"
    assert simulation.store.txn_ops == LATER.txn_ops
    assert simulation.store.size_refusals == [], "values were too large for the lowered limits"
