"""Holders, state service, cloud and network as a model, in any order of events.

The orders, their book, their records and the holder's standing are the production core. The
rest is as simple as can be, so that hypothesis can interleave pauses, late deliveries, lost
answers, elections and outages as it likes. Broken variants of the core must be caught.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.duties.book import OrderBook, ReleaseRequest
from topazhold.duties.orders import OrderState, RentalOrder, ReturnOrder
from topazhold.duties.records import (
    RENTAL_PREFIX,
    RETURN_PREFIX,
    ReturnRecord,
    read_record,
    write_record,
)
from topazhold.duties.standing import HolderStanding, Standing

LEASE_S = 3.0
NODES = ("hive-0", "hive-1", "hive-2")
#: The leader, mostly, or one of its predecessors.
HOLDER = st.sampled_from([0, 0, 1, 2])
FATES = st.sampled_from(["done", "done", "answer_lost", "held", "refused"])


class Holder:
    """One term's leader: the production core, and what it was told."""

    def __init__(self, model: DutiesModel, node: str, term: int) -> None:
        self.node, self.term, self.revision = node, term, model.revision
        self.book = OrderBook(node, term, 400, keep_s=20.0)
        self.standing = HolderStanding(LEASE_S / 2, model.now, model.now)
        self.valid_until = model.now + LEASE_S
        self.paused = False
        self.machines: set[str] = set()
        self.request: ReleaseRequest | RentalOrder | None = None  # about to be sent


class DutiesModel(RuleBasedStateMachine):
    """What may happen, and what must never."""

    reads_orders = True

    def __init__(self) -> None:
        super().__init__()
        self.now, self.revision, self.term = 100.0, 1, 0
        self.stored: dict[str, Any] = {}
        self.ever: dict[str, str] = {}  # machine -> key of the one record that returns it
        self.requests: dict[str, str] = {}  # request name -> key of its record
        self.alive = {"host-a", "host-b", "host-c"}
        self.rented: dict[str, list[str]] = {}
        self.placed: dict[str, int] = {}  # machine -> last term that placed work there
        self.held: list[Callable[[], Any]] = []
        self.state_up = True
        self.count = 0
        self.holders: list[Holder] = []
        self._elect("hive-0")

    # -- the world -----------------------------------------------------------

    @property
    def leader(self) -> Holder:
        return self.holders[-1]

    def _elect(self, node: str) -> None:
        self.term += 1
        self.revision += 1
        holder = Holder(self, node, self.term)
        holder.machines = set(self.alive)
        for key in sorted(self.stored) if self.reads_orders else ():
            record = read_record(key, self.stored[key])
            holder.book.inherit(record, self.now)
            if isinstance(record, ReturnRecord):
                holder.machines |= set(record.machines)
        self.holders = [*self.holders[-4:], holder]

    def _commit(self, revision: int, puts: dict[str, Any], drops: list[str]) -> bool:
        if revision != self.leader.revision or any(key in self.stored for key in puts):
            return False
        for key, value in puts.items():
            record = read_record(key, value)
            assert record.term == self.term, "recorded by who does not hold the duties"
            self.stored[key] = value
            if key.startswith(RETURN_PREFIX):
                for name in value["machines"]:
                    assert self.ever.setdefault(name, key) == key, f"{name} returned twice"
            elif key.startswith(RENTAL_PREFIX):
                assert self.requests.setdefault(value["request"], key) == key, "name used twice"
        for key in drops:
            self.stored.pop(key, None)
        return True

    def _release(self, names: list[str]) -> None:
        for name in names:
            if name in self.alive:
                assert name in self.ever, f"{name} released without a record"
                decided = int(self.ever[name].rpartition("/")[2].partition("-")[0])
                assert self.placed.get(name, 0) <= decided, f"{name} was used by a later term"
                self.alive.discard(name)

    def _rent(self, order: RentalOrder) -> list[str]:
        request = order.record.request
        if request not in self.rented:
            assert request in self.requests, f"{request} is not recorded"
            names = [f"host-{self.count + n}" for n in range(order.record.count)]
            self.count += len(names)
            self.alive |= set(names)
            self.rented[request] = names
        return self.rented[request]

    # -- what a holder does ----------------------------------------------------

    def _may_act(self, holder: Holder) -> bool:
        if self._look(holder):
            return True
        if holder.standing.look(self.now, self.now, True) is Standing.LOST or not self.state_up:
            return False
        if holder is not self.leader:
            holder.standing.lose()
            return False
        holder.standing.confirm(self.now)
        return self._look(holder)

    def _look(self, holder: Holder) -> bool:
        lease_is_valid = self.now < holder.valid_until
        return holder.standing.look(self.now, self.now, lease_is_valid) is Standing.CONFIRMED

    def _record(self, holder: Holder, fate: str) -> None:
        orders = holder.book.to_record(4)
        puts = {order.key: write_record(order.record) for order in orders}
        known = [order for order in orders if self.stored.get(order.key) == puts[order.key]]
        if known and holder is self.leader:  # read back after a lost answer
            holder.book.recorded(known, self.now)
        elif fate == "held":
            self.held.append(lambda: self._commit(holder.revision, puts, []))
        elif fate != "refused" and self.state_up:
            done = self._commit(holder.revision, puts, [])
            if done and fate == "done":
                holder.book.recorded(orders, self.now)

    def _running(self, index: int) -> Holder | None:
        holder = self._holder(index)
        return None if holder.paused else holder

    def _holder(self, index: int) -> Holder:
        """The leader, or one of those before it."""
        return self.holders[-1 - index % len(self.holders)]

    @rule(index=HOLDER, pick=st.integers(0, 9), fate=FATES)
    def return_a_machine(self, index: int, pick: int, fate: str) -> None:
        holder = self._running(index)
        if holder is not None and self._may_act(holder):
            known = sorted(holder.machines)
            chosen = known[pick % len(known) :][:2] if known else []
            holder.book.decide_returns(dict.fromkeys(chosen, "idle"), self.now)
            self._record(holder, fate)

    @rule(index=HOLDER, count=st.integers(1, 3), fate=FATES)
    def rent_some(self, index: int, count: int, fate: str) -> None:
        holder = self._running(index)
        if holder is not None and self._may_act(holder) and holder.book.may_rent():
            holder.book.decide_rental(ScaleOutRequest("b1", "a", False, count), self.now)
            self._record(holder, fate)

    @rule(index=HOLDER, rentals=st.booleans(), fate=FATES)
    def look_and_choose(self, index: int, rentals: bool, fate: str) -> None:
        """A pause may come between this and the sending."""
        holder = self._running(index)
        if holder is None or not self._may_act(holder):
            return
        over = self.now > holder.valid_until + LEASE_S / 2
        assert holder is self.leader or not over, "a replaced holder sends orders"
        self._record(holder, fate)
        if rentals:
            due = holder.book.rentals_due()
            holder.request = due[0] if due else None
        else:
            holder.request = holder.book.release_request(lambda name: False, False)

    @rule(index=HOLDER, fate=FATES)
    def send(self, index: int, fate: str) -> None:
        holder = self._running(index)
        if holder is None or holder.request is None:
            return
        request, holder.request = holder.request, None
        if isinstance(request, RentalOrder):
            if request.state not in (OrderState.RECORDED, OrderState.SENT):
                return
            holder.book.sending(request)
            if fate == "held":
                self.held.append(lambda: self._rent(request))
            elif fate != "refused":
                names = self._rent(request)
                if fate == "done":
                    holder.book.rented(request, names, self.now)
                    holder.machines |= set(names)
        elif fate == "held":
            self.held.append(lambda: self._release(request.names))
        elif fate != "refused":
            self._release(request.names)
            if fate == "done":
                holder.book.machines_gone(request.names, self.now)
                holder.machines -= set(request.names)

    @rule(rentals=st.booleans(), fate=FATES)
    def choose_and_send(self, rentals: bool, fate: str) -> None:
        """The leader, without anything in between."""
        self.look_and_choose(0, rentals, "done")
        self.send(0, fate)

    @rule(index=HOLDER, lost=st.booleans())
    def close(self, index: int, lost: bool) -> None:
        holder = self._running(index)
        if holder is not None and self.state_up:
            due = holder.book.to_close(self.now, 4)
            stored = [order.key for order in due if order.stored]
            if self._commit(holder.revision, {}, stored) and not lost:
                holder.book.closed(due)

    @rule(pick=st.integers(0, 9))
    def place(self, pick: int) -> None:
        """The leader uses a machine that no order returns."""
        free = sorted(
            name
            for name in self.leader.machines & self.alive
            if self.leader.book.return_of(name) is None
        )
        if free and self.now < self.leader.valid_until and not self.leader.paused:
            self.placed[free[pick % len(free)]] = self.term

    # -- what happens to them ----------------------------------------------------

    @rule(index=HOLDER)
    def pause_or_go_on(self, index: int) -> None:
        holder = self._holder(index)
        holder.paused = not holder.paused

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.0, 5.0, 30.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @precondition(lambda self: self.state_up)
    @rule()
    def renew(self) -> None:
        if not self.leader.paused:
            self.leader.valid_until = self.now + LEASE_S

    @precondition(lambda self: self.state_up and self.now > self.leader.valid_until)
    @rule(node=st.sampled_from(NODES))
    def elect(self, node: str) -> None:
        self._elect(node)

    @precondition(lambda self: self.state_up)
    @rule(node=st.sampled_from(NODES), paused=st.booleans())
    def take_over(self, node: str, paused: bool) -> None:
        """The leader's lease ends, and another is elected at once."""
        self.leader.paused = paused
        self.now = max(self.now, self.leader.valid_until + 0.1)
        self._elect(node)

    @precondition(lambda self: bool(self.held))
    @rule(pick=st.integers(0, 99))
    def deliver(self, pick: int) -> None:
        self.held.pop(pick % len(self.held))()

    @rule()
    def outage(self) -> None:
        self.state_up = not self.state_up

    def teardown(self) -> None:
        """Once all is well, every order ends, and every machine is known or gone."""
        self.state_up = True
        while self.held:
            self.held.pop()()
        self.now += 2 * LEASE_S
        self._elect("hive-0")
        leader = self.leader
        for _ in range(40):
            self.now += 1.0
            leader.valid_until = self.now + LEASE_S
            self.choose_and_send(bool(leader.book.rentals_due()), "done")
            self.close(0, False)
        assert not self.stored and not leader.book.open_orders(), "an order stays open"
        # The machine list names what nobody was told of; here only orders may have done it.
        assert self.alive <= leader.machines, "a rental is lost"


def check(model: type[DutiesModel], examples: int, broken: bool = False) -> None:
    limits = settings(
        max_examples=examples,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate] if broken else [Phase.generate, Phase.shrink],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(model, settings=limits)


def test_no_order_of_events_breaks_the_duties() -> None:
    check(DutiesModel, 1500)


def order_before_record(patch: pytest.MonkeyPatch) -> None:
    """Orders are sent though they are not recorded."""
    init = OrderBook.__init__
    patch.setattr(
        OrderBook, "__init__", lambda self, *args, **kwargs: init(self, *args[:3], 20.0, False)
    )


def successor_does_not_read(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(DutiesModel, "reads_orders", False)


def names_used_again(patch: pytest.MonkeyPatch) -> None:
    """Names of requests do not carry the term."""
    decide = OrderBook.decide_rental

    def reused(self: OrderBook, ask: ScaleOutRequest, wall: float) -> RentalOrder:
        order = decide(self, ask, wall)
        number = order.record.number
        order.record = type(order.record)(
            **{**write_record(order.record), "request": f"r-{number}"}
        )
        return order

    patch.setattr(OrderBook, "decide_rental", reused)


def no_look_after_a_pause(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(HolderStanding, "look", lambda *args: Standing.CONFIRMED)


def returns_not_kept(patch: pytest.MonkeyPatch) -> None:
    """A return is forgotten while the machine's rental may still be asked for again."""
    patch.setattr(OrderBook, "rented_unclosed", lambda self: set())
    patch.setattr(
        OrderBook,
        "to_close",
        lambda self, now, limit: self.of_kind(ReturnOrder, OrderState.CONFIRMED)[:limit],
    )


def two_orders_a_machine(patch: pytest.MonkeyPatch) -> None:
    """A machine that an order names already is decided on again."""
    decide = OrderBook.decide_returns

    def again(self: OrderBook, reasons: Any, wall: float) -> list[ReturnOrder]:
        self._return_of.clear()
        return decide(self, reasons, wall)

    patch.setattr(OrderBook, "decide_returns", again)


@pytest.mark.parametrize(
    ("variant", "seen_as"),
    [
        (order_before_record, "without a record|is not recorded"),
        (successor_does_not_read, "returned twice|used by a later|rental is lost|order stays open"),
        (names_used_again, "name used twice"),
        (no_look_after_a_pause, "a replaced holder sends orders"),
        (returns_not_kept, "returned twice|rental is lost|order stays open"),
        (two_orders_a_machine, "returned twice"),
    ],
)
def test_broken_variant_is_caught(
    variant: Callable[[pytest.MonkeyPatch], None], seen_as: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    variant(monkeypatch)
    with pytest.raises(AssertionError, match=seen_as):
        check(DutiesModel, 1500, broken=True)
