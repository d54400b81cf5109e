"""Until when a controller knows all confirmed cancellations, by what it hears."""

from __future__ import annotations

from topazhold.core.cancellation_knowledge import CancellationKnowledge, StoreRefusals
from topazhold.core.jobs import DISTANT_PAST

NOW = 1000.0
MAX_GAP_S = 5.0


def heard(
    knowledge: CancellationKnowledge,
    peer: str,
    sent_at: float,
    known_until: float = DISTANT_PAST,
    incarnation: str = "1",
) -> float:
    """Receive a peer's whole record, and return until when all cancellations are known."""
    knowledge.on_peer_record(peer, f"{peer}-{incarnation}", sent_at, known_until)
    return knowledge.known_until(NOW)


def informed_knowledge() -> CancellationKnowledge:
    """Return the knowledge of a controller that has heard two peers, one of which knew all."""
    knowledge = CancellationKnowledge(["leader", "other"], MAX_GAP_S)
    heard(knowledge, "leader", 98.0)
    heard(knowledge, "other", 99.0)
    heard(knowledge, "leader", 100.0, known_until=99.5)
    return knowledge


def test_a_single_controller_always_knows_all() -> None:
    knowledge = CancellationKnowledge()
    knowledge.advance(3.0)
    assert knowledge.known_until(NOW) == NOW


def test_nothing_is_known_until_an_informed_peer_was_heard() -> None:
    knowledge = CancellationKnowledge(["leader", "other"], MAX_GAP_S)
    assert heard(knowledge, "leader", 100.0) == DISTANT_PAST
    assert heard(knowledge, "other", 101.0) == DISTANT_PAST, "both have just started"
    assert heard(knowledge, "leader", 102.0, known_until=101.5) == 101.5


def test_confirmations_of_every_peer_are_known_once_all_are_heard() -> None:
    knowledge = informed_knowledge()
    assert heard(knowledge, "other", 103.0) == 100.0
    assert heard(knowledge, "leader", 104.0) == 103.0, "without word of the store"


def test_one_peer_that_is_cut_off_as_well_is_not_enough() -> None:
    """Guards against: two controllers of a cut zone keep each other's knowledge up to date."""
    knowledge = informed_knowledge()
    for second in range(101, 160):
        assert heard(knowledge, "other", float(second), known_until=99.5) <= 100.0


def test_a_message_counts_with_the_age_that_it_has() -> None:
    """Guards against: messages that were held back during a cut arrive after it."""
    knowledge = informed_knowledge()
    assert heard(knowledge, "leader", 101.0, known_until=100.5) == 100.5
    assert heard(knowledge, "leader", 100.2, known_until=99.8) == 100.5


def test_a_quick_restart_of_a_peer_is_bridged() -> None:
    knowledge = informed_knowledge()
    heard(knowledge, "leader", 104.0)
    assert heard(knowledge, "other", 99.0 + MAX_GAP_S, incarnation="2") == 104.0


def test_a_long_silence_before_a_restart_is_not_bridged() -> None:
    """The earlier process may have confirmed a cancellation while nobody heard it."""
    knowledge = informed_knowledge()
    heard(knowledge, "leader", 110.0)
    assert heard(knowledge, "other", 108.0, incarnation="2") == 99.5
    assert heard(knowledge, "leader", 111.0, known_until=108.5) == 108.5, "the store was read"
    assert heard(knowledge, "other", 112.0, incarnation="2") == 111.0


def test_a_late_message_of_an_earlier_process_is_ignored() -> None:
    knowledge = informed_knowledge()
    heard(knowledge, "other", 103.0, incarnation="2")
    heard(knowledge, "leader", 103.0)
    assert heard(knowledge, "other", 100.0, incarnation="1") == 103.0
    assert heard(knowledge, "leader", 104.0) == 103.0
    assert heard(knowledge, "other", 104.0, incarnation="2") == 104.0


def test_messages_of_unknown_controllers_are_ignored() -> None:
    knowledge = informed_knowledge()
    assert heard(knowledge, "stranger", 500.0, known_until=500.0) == 99.5


def test_knowledge_stays_complete_while_the_store_refuses_two_controllers() -> None:
    """Nobody can commit a cancellation then, so a controller may fall silent meanwhile."""
    knowledge = informed_knowledge()
    knowledge.on_shared_refusals(StoreRefusals(90.0, 160.0), StoreRefusals(99.2, 150.0))
    assert knowledge.known_until(NOW) == 150.0


def test_refusals_that_began_later_than_the_knowledge_prove_nothing() -> None:
    knowledge = informed_knowledge()
    knowledge.on_shared_refusals(StoreRefusals(90.0, 160.0), StoreRefusals(99.6, 150.0))
    assert knowledge.known_until(NOW) == 99.5
