"""State machine test of cloud operations: executors, store, cloud and network in any order.

Operations, operation log, records and lease confidence are the real implementation. Everything
else is a minimal model, so that Hypothesis can interleave pauses, late deliveries, lost responses,
elections and outages freely. Broken variants of the implementation must be caught.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.operations.cloud_operations import (
    OperationState,
    ScaleInOperation,
    ScaleOutOperation,
)
from topazhold.operations.lease_confidence import LeaseConfidence, LeaseConfidenceTracker
from topazhold.operations.operation_log import OperationLog
from topazhold.operations.records import (
    SCALE_IN_PREFIX,
    SCALE_OUT_PREFIX,
    ScaleInRecord,
    decode_record,
    encode_record,
)
from topazhold.operations.requests import ReleaseRequest

LEASE_S = 3.0
NODES = ("hive-0", "hive-1", "hive-2")
#: Index of an executor: mostly the leader (0), or one of its predecessors.
EXECUTOR_INDEX = st.sampled_from([0, 0, 1, 2])
#: What happens to a request: it is done, its response is lost, it arrives late, or it is refused.
FATES = st.sampled_from(["done", "done", "answer_lost", "held", "refused"])


class Executor:
    """The leader of a term: the real operation log and lease tracker, and its known machines."""

    def __init__(self, model: OperationsModel, node: str, term: int) -> None:
        self.node, self.term, self.revision = node, term, model.revision
        self.operation_log = OperationLog(node, term, 400, retention_s=20.0)
        self.lease_confidence = LeaseConfidenceTracker(LEASE_S / 2, model.now, model.now)
        self.valid_until = model.now + LEASE_S
        self.paused = False
        self.machines: set[str] = set()
        self.request: ReleaseRequest | ScaleOutOperation | None = None  # about to be sent


class OperationsModel(RuleBasedStateMachine):
    """The possible events as rules, and the forbidden effects as assertions."""

    adopts_records = True

    def __init__(self) -> None:
        super().__init__()
        self.now, self.revision, self.term = 100.0, 1, 0
        self.stored: dict[str, Any] = {}
        self.scale_in_keys: dict[str, str] = {}  # by machine: key of its only record
        self.scale_out_keys: dict[str, str] = {}  # by request name: key of its record
        self.running_machines = {"host-a", "host-b", "host-c"}
        self.machines_by_request: dict[str, list[str]] = {}
        self.last_placement_term: dict[str, int] = {}  # by machine
        self.delayed: list[Callable[[], Any]] = []
        self.store_up = True
        self.machine_count = 0
        self.executors: list[Executor] = []
        self._elect("hive-0")

    # -- store, cloud and elections --------------------------------------------

    @property
    def leader(self) -> Executor:
        return self.executors[-1]

    def _elect(self, node: str) -> None:
        self.term += 1
        self.revision += 1
        executor = Executor(self, node, self.term)
        executor.machines = set(self.running_machines)
        for key in sorted(self.stored) if self.adopts_records else ():
            record = decode_record(key, self.stored[key])
            executor.operation_log.adopt(record, self.now)
            if isinstance(record, ScaleInRecord):
                executor.machines |= set(record.machines)
        self.executors = [*self.executors[-4:], executor]

    def _commit(self, revision: int, puts: dict[str, Any], deletes: list[str]) -> bool:
        if revision != self.leader.revision or any(key in self.stored for key in puts):
            return False
        for key, value in puts.items():
            record = decode_record(key, value)
            assert record.term == self.term, "recorded by a former leader"
            self.stored[key] = value
            if key.startswith(SCALE_IN_PREFIX):
                for name in value["machines"]:
                    assert self.scale_in_keys.setdefault(name, key) == key, f"{name} returned twice"
            elif key.startswith(SCALE_OUT_PREFIX):
                assert self.scale_out_keys.setdefault(value["request"], key) == key, (
                    "name used twice"
                )
        for key in deletes:
            self.stored.pop(key, None)
        return True

    def _release(self, names: list[str]) -> None:
        for name in names:
            if name in self.running_machines:
                assert name in self.scale_in_keys, f"{name} released without a record"
                decided = int(self.scale_in_keys[name].rpartition("/")[2].partition("-")[0])
                assert self.last_placement_term.get(name, 0) <= decided, (
                    f"{name} was used by a later term"
                )
                self.running_machines.discard(name)

    def _rent(self, operation: ScaleOutOperation) -> list[str]:
        request = operation.record.request
        if request not in self.machines_by_request:
            assert request in self.scale_out_keys, f"{request} is not recorded"
            names = [f"host-{self.machine_count + n}" for n in range(operation.record.count)]
            self.machine_count += len(names)
            self.running_machines |= set(names)
            self.machines_by_request[request] = names
        return self.machines_by_request[request]

    # -- actions of an executor --------------------------------------------------

    def _may_act(self, executor: Executor) -> bool:
        if self._lease_confirmed(executor):
            return True
        if (
            executor.lease_confidence.check(self.now, self.now, True) is LeaseConfidence.LOST
            or not self.store_up
        ):
            return False
        if executor is not self.leader:
            executor.lease_confidence.mark_lost()
            return False
        executor.lease_confidence.confirm(self.now)
        return self._lease_confirmed(executor)

    def _lease_confirmed(self, executor: Executor) -> bool:
        lease_is_valid = self.now < executor.valid_until
        return (
            executor.lease_confidence.check(self.now, self.now, lease_is_valid)
            is LeaseConfidence.CONFIRMED
        )

    def _record(self, executor: Executor, fate: str) -> None:
        operations = executor.operation_log.operations_to_record(4)
        puts = {operation.key: encode_record(operation.record) for operation in operations}
        known = [
            operation
            for operation in operations
            if self.stored.get(operation.key) == puts[operation.key]
        ]
        if known and executor is self.leader:  # read back after a lost response
            executor.operation_log.mark_recorded(known, self.now)
        elif fate == "held":
            self.delayed.append(lambda: self._commit(executor.revision, puts, []))
        elif fate != "refused" and self.store_up:
            done = self._commit(executor.revision, puts, [])
            if done and fate == "done":
                executor.operation_log.mark_recorded(operations, self.now)

    def _running_executor(self, index: int) -> Executor | None:
        executor = self._executor(index)
        return None if executor.paused else executor

    def _executor(self, index: int) -> Executor:
        """Return the leader or one of its predecessors."""
        return self.executors[-1 - index % len(self.executors)]

    @rule(index=EXECUTOR_INDEX, pick=st.integers(0, 9), fate=FATES)
    def return_a_machine(self, index: int, pick: int, fate: str) -> None:
        executor = self._running_executor(index)
        if executor is not None and self._may_act(executor):
            known = sorted(executor.machines)
            chosen = known[pick % len(known) :][:2] if known else []
            executor.operation_log.decide_scale_in(dict.fromkeys(chosen, "idle"), self.now)
            self._record(executor, fate)

    @rule(index=EXECUTOR_INDEX, count=st.integers(1, 3), fate=FATES)
    def rent_some(self, index: int, count: int, fate: str) -> None:
        executor = self._running_executor(index)
        if (
            executor is not None
            and self._may_act(executor)
            and executor.operation_log.may_scale_out()
        ):
            executor.operation_log.decide_scale_out(
                ScaleOutRequest("b1", "a", False, count), self.now
            )
            self._record(executor, fate)

    @rule(index=EXECUTOR_INDEX, rentals=st.booleans(), fate=FATES)
    def look_and_choose(self, index: int, rentals: bool, fate: str) -> None:
        """Choose the next request; the executor may be paused before it sends it."""
        executor = self._running_executor(index)
        if executor is None or not self._may_act(executor):
            return
        lease_ended = self.now > executor.valid_until + LEASE_S / 2
        assert executor is self.leader or not lease_ended, "a replaced leader sends requests"
        self._record(executor, fate)
        if rentals:
            due = executor.operation_log.scale_outs_due()
            executor.request = due[0] if due else None
        else:
            executor.request = executor.operation_log.release_request(lambda name: False, False)

    @rule(index=EXECUTOR_INDEX, fate=FATES)
    def send(self, index: int, fate: str) -> None:
        executor = self._running_executor(index)
        if executor is None or executor.request is None:
            return
        request, executor.request = executor.request, None
        if isinstance(request, ScaleOutOperation):
            if request.state not in (OperationState.RECORDED, OperationState.SENT):
                return
            executor.operation_log.start_request(request)
            if fate == "held":
                self.delayed.append(lambda: self._rent(request))
            elif fate != "refused":
                names = self._rent(request)
                if fate == "done":
                    executor.operation_log.complete_scale_out(request, names, self.now)
                    executor.machines |= set(names)
        elif fate == "held":
            self.delayed.append(lambda: self._release(request.names))
        elif fate != "refused":
            self._release(request.names)
            if fate == "done":
                executor.operation_log.mark_machines_gone(request.names, self.now)
                executor.machines -= set(request.names)

    @rule(rentals=st.booleans(), fate=FATES)
    def choose_and_send(self, rentals: bool, fate: str) -> None:
        """Choose and send a request of the leader without an event in between."""
        self.look_and_choose(0, rentals, "done")
        self.send(0, fate)

    @rule(index=EXECUTOR_INDEX, lost=st.booleans())
    def close(self, index: int, lost: bool) -> None:
        executor = self._running_executor(index)
        if executor is not None and self.store_up:
            due = executor.operation_log.operations_to_close(self.now, 4)
            stored = [operation.key for operation in due if operation.stored]
            if self._commit(executor.revision, {}, stored) and not lost:
                executor.operation_log.mark_closed(due)

    @rule(pick=st.integers(0, 9))
    def place(self, pick: int) -> None:
        """Let the leader place a task on a machine that no scale-in releases."""
        free = sorted(
            name
            for name in self.leader.machines & self.running_machines
            if self.leader.operation_log.scale_in_of(name) is None
        )
        if free and self.now < self.leader.valid_until and not self.leader.paused:
            self.last_placement_term[free[pick % len(free)]] = self.term

    # -- events ------------------------------------------------------------------

    @rule(index=EXECUTOR_INDEX)
    def pause_or_go_on(self, index: int) -> None:
        executor = self._executor(index)
        executor.paused = not executor.paused

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.0, 5.0, 30.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @precondition(lambda self: self.store_up)
    @rule()
    def renew(self) -> None:
        if not self.leader.paused:
            self.leader.valid_until = self.now + LEASE_S

    @precondition(lambda self: self.store_up and self.now > self.leader.valid_until)
    @rule(node=st.sampled_from(NODES))
    def elect(self, node: str) -> None:
        self._elect(node)

    @precondition(lambda self: self.store_up)
    @rule(node=st.sampled_from(NODES), paused=st.booleans())
    def take_over(self, node: str, paused: bool) -> None:
        """End the leader's lease and elect another leader at once."""
        self.leader.paused = paused
        self.now = max(self.now, self.leader.valid_until + 0.1)
        self._elect(node)

    @precondition(lambda self: bool(self.delayed))
    @rule(pick=st.integers(0, 99))
    def deliver(self, pick: int) -> None:
        self.delayed.pop(pick % len(self.delayed))()

    @rule()
    def outage(self) -> None:
        self.store_up = not self.store_up

    def teardown(self) -> None:
        """Check that without faults all operations close and the leader knows every machine."""
        self.store_up = True
        while self.delayed:
            self.delayed.pop()()
        self.now += 2 * LEASE_S
        self._elect("hive-0")
        leader = self.leader
        for _ in range(40):
            self.now += 1.0
            leader.valid_until = self.now + LEASE_S
            self.choose_and_send(bool(leader.operation_log.scale_outs_due()), "done")
            self.close(0, False)
        assert not self.stored and not leader.operation_log.open_operations(), (
            "an operation stays open"
        )
        # In production the machine list also reveals machines whose response was lost; the model
        # has none, so that the operations alone must account for every machine.
        assert self.running_machines <= leader.machines, "a scale-out is lost"


#: Examples per run. Each broken variant must be caught within as many examples as the model
#: itself is checked with. Hypothesis derives the examples from the source of the model and from
#: constants in the sources, so that an edit of either changes them.
EXAMPLES = 1500


def run_model(model: type[OperationsModel], examples: int, broken: bool = False) -> None:
    model_settings = settings(
        max_examples=examples,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate] if broken else [Phase.generate, Phase.shrink],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(model, settings=model_settings)


def test_no_sequence_of_events_breaks_the_operations() -> None:
    run_model(OperationsModel, EXAMPLES)


def send_before_recording(patch: pytest.MonkeyPatch) -> None:
    """Requests are sent although their operations are not recorded."""
    init: Any = OperationLog.__init__
    patch.setattr(
        OperationLog, "__init__", lambda self, *args, **kwargs: init(self, *args[:3], 20.0, False)
    )


def successor_ignores_records(patch: pytest.MonkeyPatch) -> None:
    """A new leader does not adopt the stored operations."""
    patch.setattr(OperationsModel, "adopts_records", False)


def reuse_request_names(patch: pytest.MonkeyPatch) -> None:
    """Request names do not contain the term."""
    decide = OperationLog.decide_scale_out

    def reused(self: OperationLog, request: ScaleOutRequest, wall: float) -> ScaleOutOperation:
        operation = decide(self, request, wall)
        number = operation.record.number
        operation.record = type(operation.record)(
            **{**encode_record(operation.record), "request": f"r-{number}"}
        )
        return operation

    patch.setattr(OperationLog, "decide_scale_out", reused)


def never_doubt_the_lease(patch: pytest.MonkeyPatch) -> None:
    """The leadership is not looked up after a pause."""
    patch.setattr(LeaseConfidenceTracker, "check", lambda *args: LeaseConfidence.CONFIRMED)


def forget_scale_ins_early(patch: pytest.MonkeyPatch) -> None:
    """A scale-in is closed while its machine's scale-out request may still be retried."""
    patch.setattr(OperationLog, "machines_of_open_scale_outs", lambda self: set())
    patch.setattr(
        OperationLog,
        "operations_to_close",
        lambda self, now, limit: self.of_kind(ScaleInOperation, OperationState.CONFIRMED)[:limit],
    )


def decide_machine_twice(patch: pytest.MonkeyPatch) -> None:
    """A machine that an operation already releases is released by a second one."""
    decide = OperationLog.decide_scale_in

    def again(self: OperationLog, reasons: Any, wall: float) -> list[ScaleInOperation]:
        self._scale_in_of.clear()
        return decide(self, reasons, wall)

    patch.setattr(OperationLog, "decide_scale_in", again)


@pytest.mark.parametrize(
    ("variant", "expected_message"),
    [
        (send_before_recording, "without a record|is not recorded"),
        (
            successor_ignores_records,
            "returned twice|used by a later|scale-out is lost|operation stays open",
        ),
        (reuse_request_names, "name used twice"),
        (never_doubt_the_lease, "a replaced leader sends requests"),
        (forget_scale_ins_early, "returned twice|scale-out is lost|operation stays open"),
        (decide_machine_twice, "returned twice"),
    ],
)
def test_broken_variant_is_caught(
    variant: Callable[[pytest.MonkeyPatch], None],
    expected_message: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    variant(monkeypatch)
    with pytest.raises(AssertionError, match=expected_message):
        run_model(OperationsModel, EXAMPLES, broken=True)
