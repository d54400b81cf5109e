"""Which workers a follower serves itself, and how it forwards their heartbeats."""

from __future__ import annotations

from topazhold.control.follower_heartbeats import FollowerHeartbeats, FollowerTiming
from topazhold.core.leadership import Leadership, Role
from topazhold.wire.workers import Heartbeat, TaskStatus


def make_heartbeat(
    term: int = 7, machine: str = "host-1", zone: str = "a", busy: bool = False
) -> Heartbeat:
    tasks = [TaskStatus("wk-1/0", 1, "running")] if busy else []
    return Heartbeat(machine, "h:1", "b1", zone, False, 1, 1, term, tasks)


def make_follower(
    leader: str | None = "hive-1", term: int = 7
) -> tuple[FollowerHeartbeats, Leadership]:
    leadership = Leadership("hive-0")
    leadership.term, leadership.leader = term, leader
    return FollowerHeartbeats(
        leadership, "a", 2, FollowerTiming(2.0, lease_s=10.0), now=0.0
    ), leadership


def test_redirects_workers_to_a_live_leader() -> None:
    follower_heartbeats, _ = make_follower()
    follower_heartbeats.on_ping("hive-1", True, [], 5.0)
    assert not follower_heartbeats.should_serve(make_heartbeat(), 5.5)


def test_serves_workers_if_the_leader_is_silent_or_unknown() -> None:
    follower_heartbeats, leadership = make_follower()
    follower_heartbeats.on_ping("hive-1", True, [], 5.0)
    assert follower_heartbeats.should_serve(make_heartbeat(), 9.0)
    leadership.leader = None
    assert follower_heartbeats.should_serve(make_heartbeat(), 9.0)


def test_never_serves_a_worker_that_knows_another_term() -> None:
    """The worker would ignore a response with a lower term, and its lease would expire."""
    follower_heartbeats, _ = make_follower()
    assert not follower_heartbeats.should_serve(make_heartbeat(term=8), 9.0)
    assert not follower_heartbeats.should_serve(make_heartbeat(term=6), 9.0)
    leaderless, _ = make_follower(leader=None, term=0)
    assert not leaderless.should_serve(make_heartbeat(term=0), 9.0)


def test_redirects_a_worker_that_the_leader_lists_as_silent_once_per_lease() -> None:
    follower_heartbeats, _ = make_follower()
    served = []
    for second in range(30):
        follower_heartbeats.on_ping("hive-1", True, ["host-1"], float(second))
        served.append(follower_heartbeats.should_serve(make_heartbeat(), float(second)))
    assert served[0] and served.count(False) == 2
    follower_heartbeats.on_ping("hive-1", True, [], 30.0)
    assert not follower_heartbeats.should_serve(make_heartbeat(), 30.0)


def test_heartbeats_are_forwarded_in_batches_of_limited_size() -> None:
    follower_heartbeats, _ = make_follower()
    for number in range(10):
        follower_heartbeats.queue_for_forwarding(make_heartbeat(machine=f"host-{number}"))
    machines = []
    while batch := follower_heartbeats.take_for_forwarding(500):
        machines += [item["box"] for item in batch]
    assert machines == [f"host-{number}" for number in range(10)]


def test_leadership_ignores_lower_terms() -> None:
    leadership = Leadership("hive-0")
    leadership.become_candidate()
    leadership.become_leader(4)
    assert not leadership.observe_term("hive-1", 3) and leadership.is_leader
    assert leadership.observe_term("hive-1", 5) and leadership.role is Role.FOLLOWER
    assert not leadership.observe_term("hive-2", 4) and leadership.leader == "hive-1"


def test_node_is_isolated_if_peers_have_the_store_or_are_silent() -> None:
    """If no node reaches the store, reporting them unhealthy would only prolong the outage."""
    follower_heartbeats, _ = make_follower()
    assert not follower_heartbeats.is_isolated(1.0)
    follower_heartbeats.on_ping("hive-1", False, None, 1.0)
    assert not follower_heartbeats.is_isolated(1.5)
    follower_heartbeats.on_ping("hive-2", True, None, 2.0)
    assert follower_heartbeats.is_isolated(2.5)
    assert follower_heartbeats.is_isolated(60.0)


# -- a node that reaches neither the store nor a peer ----------------------------


def test_node_is_partitioned_only_without_store_and_peers() -> None:
    follower_heartbeats, _ = make_follower()
    assert not follower_heartbeats.is_partitioned(False, 1.0), "just started"
    assert follower_heartbeats.is_partitioned(False, 10.0)
    assert not follower_heartbeats.is_partitioned(True, 10.0)
    follower_heartbeats.on_ping("hive-2", False, None, 10.0)
    assert not follower_heartbeats.is_partitioned(False, 11.0)


def test_partitioned_node_redirects_workers_that_can_reach_others() -> None:
    """Served here, they got no launches, and the leader waited for unreported ends of tasks."""
    follower_heartbeats, _ = make_follower()
    assert follower_heartbeats.is_partitioned(False, 20.0)
    assert not follower_heartbeats.should_serve_while_partitioned(
        make_heartbeat(machine="host-9", zone="b"), 20.0
    )
    assert not follower_heartbeats.should_serve_while_partitioned(
        make_heartbeat(busy=True), 20.5
    ), "the zone is not partitioned"


def test_node_of_a_partitioned_zone_serves_busy_workers() -> None:
    """Redirected, they would reach no controller and lose their leases while they try all."""
    follower_heartbeats, _ = make_follower()
    assert follower_heartbeats.is_partitioned(False, 20.0)
    assert not follower_heartbeats.should_serve_while_partitioned(
        make_heartbeat(machine="host-2"), 20.0
    ), "idle workers lose nothing by a redirect"
    assert follower_heartbeats.should_serve_while_partitioned(make_heartbeat(busy=True), 20.5)
    assert follower_heartbeats.should_serve_while_partitioned(
        make_heartbeat(machine="host-2"), 26.0
    ), "it returned, so no other controller is reachable"
    for second in range(21, 36):
        assert follower_heartbeats.should_serve_while_partitioned(
            make_heartbeat(busy=True), float(second)
        )


def test_probe_that_does_not_return_shows_that_others_are_reachable() -> None:
    follower_heartbeats, _ = make_follower()
    assert follower_heartbeats.is_partitioned(False, 20.0)
    assert not follower_heartbeats.should_serve_while_partitioned(
        make_heartbeat(machine="host-2", busy=True), 20.0
    ), "one busy worker is redirected as a probe"
    assert follower_heartbeats.should_serve_while_partitioned(
        make_heartbeat(machine="host-3", busy=True), 20.5
    )
    assert not follower_heartbeats.should_serve_while_partitioned(
        make_heartbeat(machine="host-3", busy=True), 31.0
    )


def test_partitioned_node_never_serves_a_worker_that_knows_another_term() -> None:
    follower_heartbeats, _ = make_follower()
    assert follower_heartbeats.is_partitioned(False, 20.0)
    follower_heartbeats.should_serve_while_partitioned(make_heartbeat(machine="host-2"), 20.0)
    assert not follower_heartbeats.should_serve_while_partitioned(
        make_heartbeat(term=8, busy=True), 20.5
    )


def test_heartbeats_with_ended_tasks_are_forwarded_first() -> None:
    """A stored value holds about a dozen of a partitioned zone's 150 heartbeats. In order of
    arrival, the leader learnt of ended tasks minutes late."""
    follower_heartbeats, _ = make_follower()
    for number in range(150):
        heartbeat = make_heartbeat(machine=f"host-{number}", busy=True)
        if number >= 145:
            heartbeat.tasks[0].state = "ended"
        follower_heartbeats.queue_for_forwarding(heartbeat)
    assert {item["box"] for item in follower_heartbeats.take_for_forwarding(1200)} >= {
        f"host-{n}" for n in range(145, 150)
    }


def test_oversized_heartbeat_does_not_delay_others() -> None:
    follower_heartbeats, _ = make_follower()
    oversized = make_heartbeat(machine="host-1", busy=True)
    oversized.tasks *= 100
    follower_heartbeats.queue_for_forwarding(oversized)
    follower_heartbeats.queue_for_forwarding(make_heartbeat(machine="host-2"))
    assert [item["box"] for item in follower_heartbeats.take_for_forwarding(500)] == ["host-2"]
    assert follower_heartbeats.take_for_forwarding(500) == []


def test_late_copy_does_not_replace_a_newer_heartbeat() -> None:
    follower_heartbeats, _ = make_follower()
    newer, older = make_heartbeat(busy=True), make_heartbeat()
    newer.sequence = 9
    follower_heartbeats.queue_for_forwarding(newer)
    follower_heartbeats.queue_for_forwarding(older)
    assert [item["tally"] for item in follower_heartbeats.take_for_forwarding(2000)] == [9]
