"""Seeded random days of the whole control code, with the rules checked at each step."""

from __future__ import annotations

import pytest

from tests.random_days import ALL, CONTROLLERS, MACHINES, MANY, NETWORK, OUTSIDE, play

DAYS = [
    (1, []),
    (2, CONTROLLERS),
    (3, NETWORK),
    (4, OUTSIDE),
    (5, MACHINES),
    (6, ALL),
    (7, ALL),
    (8, ["loss", "crash_leader", "hang"]),
    (9, ["state_down", "roll", "zones_cut"]),
    (10, ["leader_refused", "leader_off_zone", "notice"]),
    (11, ["deaf"]),
    (12, ["deaf", "deaf_zone", "late_copies", "crash_leader"]),
    (13, ["late_copies", "taken", "crash_leader", "crash_election"]),
    (14, ["node_off_all_but_workers", "leader_off_all_but_workers"]),
    (16, ["freeze", "freeze_leader", "hang", "late_copies"]),
    (17, ["mass_hang", "mass_die", "crash_all", "freeze_leader"]),
    (18, ["state_slow", "peers_refuse", "roll", "mass_die"]),
    (19, ["freeze_leader", "machine_cut", "zones_cut", "mass_hang"]),
    (20, ALL + MANY),
    (22, ["late_writes", "crash_leader", "odd_requests", "cancel_at_end"]),
    (23, ["refused_then_down", "mute", "hang", "crash_leader"]),
    (24, ["late_writes", "late_copies", "mute", "deaf", "leader_off_all_but_workers"]),
    (25, ["refused_then_down", "peers_refuse", "freeze_leader", "state_slow", "cancel_at_end"]),
    (26, ["late_writes", "crash_election", "roll", "zones_cut", "odd_requests"]),
    (27, ["refused_then_down", "crash_all", "machine_cut", "late_copies"]),
    (28, ["slow", "slow", "crash_leader", "hang"]),
    (29, ["slow", "refused_then_down", "late_copies", "roll"]),
    (30, ["cloud_held", "freeze_leader", "crash_leader", "taken"]),
    (31, ["cloud_held", "state_slow", "late_writes", "crash_election", "leader_refused"]),
    (32, ["cloud_held", "cloud_down", "freeze_leader", "refused_then_down", "notice"]),
    (33, ["state_one_way", "crash_leader", "notice"]),
    (34, ["state_one_way", "state_one_way", "late_copies", "freeze_leader"]),
    (15, ["leader_off_all_but_workers", "crash_election", "blink", "late_copies"]),
    (35, ["zone_off", "cloud_down"]),
    (36, ["zone_off", "cloud_down", "roll", "state_down", "cancel_at_end"]),
    (37, ["zone_off", "zones_cut", "leader_refused", "crash_leader", "late_copies"]),
]


@pytest.mark.parametrize(("seed", "kinds"), DAYS)
def test_rules_hold(seed: int, kinds: list[str], monkeypatch: pytest.MonkeyPatch) -> None:
    simulation = play(seed, kinds, monkeypatch)
    last_notes = "\n".join(simulation.notes[-60:])
    assert simulation.violations == [], f"seed {seed}\n{last_notes}"
    assert simulation.starts > 20, f"seed {seed}: too few tasks started"
    assert simulation.unfinished_jobs() == [], f"seed {seed}\n{last_notes}"


def test_rules_hold_in_a_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: fixed limits that a large fleet exceeds.

    The fleet is larger than former limits allowed: 40 names and 60 gangs in a message, 48
    reservations, 16 commands, 100 silent or released machines, 64 conditions of a transaction.
    """
    kinds = ["mass_hang", "mass_die", "crash_all", "freeze_leader", "zones_cut", "peers_refuse"]
    simulation = play(
        21, kinds, monkeypatch, jobs=300, trouble_s=15.0, calm_s=150.0, capacity=270, limit=20.0
    )
    last_notes = "\n".join(simulation.notes[-60:])
    assert simulation.violations == [], last_notes
    assert simulation.starts > 300
    assert simulation.unfinished_jobs() == [], last_notes
