"""Which workers a follower keeps when the leader can't reach them."""

from __future__ import annotations

from topazhold.control.follower_heartbeats import FollowerHeartbeats, FollowerTiming
from topazhold.core.leadership import Leadership, Role
from topazhold.wire.workers import Heartbeat, TaskStatus


def report(
    term: int = 7, machine: str = "host-1", zone: str = "a", busy: bool = False
) -> Heartbeat:
    tasks = [TaskStatus("wk-1/0", 1, "running")] if busy else []
    return Heartbeat(machine, "h:1", "b1", zone, False, 1, 1, term, tasks)


def follower(leader: str | None = "hive-1", term: int = 7) -> tuple[FollowerHeartbeats, Leadership]:
    lead = Leadership("hive-0")
    lead.term, lead.leader = term, leader
    return FollowerHeartbeats(lead, "a", 2, FollowerTiming(2.0, lease_s=10.0), now=0.0), lead


def test_sends_workers_to_a_leader_that_lives() -> None:
    follower_heartbeats, _ = follower()
    follower_heartbeats.on_ping("hive-1", True, [], 5.0)
    assert not follower_heartbeats.should_serve(report(), 5.5)


def test_keeps_workers_of_a_silent_leader_and_of_none() -> None:
    follower_heartbeats, lead = follower()
    follower_heartbeats.on_ping("hive-1", True, [], 5.0)
    assert follower_heartbeats.should_serve(report(), 9.0)
    lead.leader = None
    assert follower_heartbeats.should_serve(report(), 9.0)


def test_never_keeps_a_worker_that_saw_another_term() -> None:
    """A 200 with a lower term would be dropped while the lease runs out."""
    follower_heartbeats, _ = follower()
    assert not follower_heartbeats.should_serve(report(term=8), 9.0)
    assert not follower_heartbeats.should_serve(report(term=6), 9.0)
    none, _ = follower(leader=None, term=0)
    assert not none.should_serve(report(term=0), 9.0)


def test_tries_the_leader_again_once_per_lease() -> None:
    follower_heartbeats, _ = follower()
    answers = []
    for second in range(30):
        follower_heartbeats.on_ping("hive-1", True, ["host-1"], float(second))
        answers.append(follower_heartbeats.should_serve(report(), float(second)))
    assert answers[0] and answers.count(False) == 2
    follower_heartbeats.on_ping("hive-1", True, [], 30.0)
    assert not follower_heartbeats.should_serve(report(), 30.0)


def test_heartbeats_are_forwarded_in_parts_that_fit() -> None:
    follower_heartbeats, _ = follower()
    for number in range(10):
        follower_heartbeats.queue_for_forwarding(report(machine=f"host-{number}"))
    seen = []
    while part := follower_heartbeats.take_for_forwarding(500):
        seen += [item["box"] for item in part]
    assert seen == [f"host-{number}" for number in range(10)]


def test_leadership_never_goes_back() -> None:
    lead = Leadership("hive-0")
    lead.become_candidate()
    lead.become_leader(4)
    assert not lead.observe_term("hive-1", 3) and lead.is_leader
    assert lead.observe_term("hive-1", 5) and lead.role is Role.FOLLOWER
    assert not lead.observe_term("hive-2", 4) and lead.leader == "hive-1"


def test_only_a_node_that_alone_is_not_served_goes_unhealthy() -> None:
    """In an outage for all, unhealthy nodes would only lengthen it."""
    follower_heartbeats, _ = follower()
    assert not follower_heartbeats.is_isolated(1.0)
    follower_heartbeats.on_ping("hive-1", False, None, 1.0)
    assert not follower_heartbeats.is_isolated(1.5)
    follower_heartbeats.on_ping("hive-2", True, None, 2.0)
    assert follower_heartbeats.is_isolated(2.5)
    assert follower_heartbeats.is_isolated(60.0)


# -- a node that reaches nothing but workers ------------------------------------


def test_adrift_only_without_state_service_and_peers() -> None:
    follower_heartbeats, _ = follower()
    assert not follower_heartbeats.is_partitioned(False, 1.0), "just started"
    assert follower_heartbeats.is_partitioned(False, 10.0)
    assert not follower_heartbeats.is_partitioned(True, 10.0)
    follower_heartbeats.on_ping("hive-2", False, None, 10.0)
    assert not follower_heartbeats.is_partitioned(False, 11.0)


def test_isolated_node_sends_workers_away_that_can_reach_others() -> None:
    """Its answers led nowhere: nothing launched, nothing seen to end, while the leader waited."""
    follower_heartbeats, _ = follower()
    assert follower_heartbeats.is_partitioned(False, 20.0)
    assert not follower_heartbeats.should_serve_while_partitioned(
        report(machine="host-9", zone="b"), 20.0
    )
    assert not follower_heartbeats.should_serve_while_partitioned(report(busy=True), 20.5), (
        "the zone is not cut off"
    )


def test_node_of_a_cut_zone_keeps_busy_workers() -> None:
    """Sent away, they would find nobody, and lose their leases on the way round."""
    follower_heartbeats, _ = follower()
    assert follower_heartbeats.is_partitioned(False, 20.0)
    assert not follower_heartbeats.should_serve_while_partitioned(report(machine="host-2"), 20.0), (
        "has nothing to lose"
    )
    assert follower_heartbeats.should_serve_while_partitioned(report(busy=True), 20.5)
    assert follower_heartbeats.should_serve_while_partitioned(report(machine="host-2"), 26.0), (
        "it came back: nobody else is there"
    )
    for second in range(21, 36):
        assert follower_heartbeats.should_serve_while_partitioned(report(busy=True), float(second))


def test_worker_sent_ahead_that_stays_away_shows_the_way_out() -> None:
    follower_heartbeats, _ = follower()
    assert follower_heartbeats.is_partitioned(False, 20.0)
    assert not follower_heartbeats.should_serve_while_partitioned(
        report(machine="host-2", busy=True), 20.0
    ), "one goes ahead"
    assert follower_heartbeats.should_serve_while_partitioned(
        report(machine="host-3", busy=True), 20.5
    )
    assert not follower_heartbeats.should_serve_while_partitioned(
        report(machine="host-3", busy=True), 31.0
    )


def test_isolated_node_never_keeps_a_worker_that_saw_another_term() -> None:
    follower_heartbeats, _ = follower()
    assert follower_heartbeats.is_partitioned(False, 20.0)
    follower_heartbeats.should_serve_while_partitioned(report(machine="host-2"), 20.0)
    assert not follower_heartbeats.should_serve_while_partitioned(report(term=8, busy=True), 20.5)


def test_news_of_ended_tasks_is_passed_on_first() -> None:
    """Of a cut zone's 150 reports a value takes a dozen: in order of arrival the leader
    learnt of ended tasks minutes late."""
    follower_heartbeats, _ = follower()
    for number in range(150):
        heartbeat = report(machine=f"host-{number}", busy=True)
        if number >= 145:
            heartbeat.tasks[0].state = "ended"
        follower_heartbeats.queue_for_forwarding(heartbeat)
    assert {item["box"] for item in follower_heartbeats.take_for_forwarding(1200)} >= {
        f"host-{n}" for n in range(145, 150)
    }


def test_heartbeat_that_fits_no_value_delays_no_other() -> None:
    follower_heartbeats, _ = follower()
    big = report(machine="host-1", busy=True)
    big.tasks *= 100
    follower_heartbeats.queue_for_forwarding(big)
    follower_heartbeats.queue_for_forwarding(report(machine="host-2"))
    assert [item["box"] for item in follower_heartbeats.take_for_forwarding(500)] == ["host-2"]
    assert follower_heartbeats.take_for_forwarding(500) == []


def test_late_copy_does_not_take_a_newer_heartbeats_place() -> None:
    follower_heartbeats, _ = follower()
    newer, older = report(busy=True), report()
    newer.sequence = 9
    follower_heartbeats.queue_for_forwarding(newer)
    follower_heartbeats.queue_for_forwarding(older)
    assert [item["tally"] for item in follower_heartbeats.take_for_forwarding(2000)] == [9]
