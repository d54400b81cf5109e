"""Every operation that can be decided fits into a stored record."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.test_scale_out_limits import FIXED_EXAMPLES
from topazhold.core.autoscaling import (
    MAX_RELEASED_MACHINES,
    MAX_SCALE_OUT_MACHINES,
    ScaleOutRequest,
)
from topazhold.core.jobs import TASKS_PER_PART
from topazhold.operations.cloud_operations import AnyOperation
from topazhold.operations.operation_log import OperationLog
from topazhold.operations.records import (
    MAX_INTEGER,
    MAX_NAME_LENGTH,
    MAX_PARTS,
    InvalidRecordError,
    ScaleInRecord,
    decode_record,
    storable_value,
)
from topazhold.wire.jobs import MAX_TASKS

#: Maximum sizes of a record in bytes; 900 is the limit where stored values are up to 1 KiB.
VALUE_LIMITS = st.sampled_from([900, 2048, 7372, 14_745])
TERMS = st.integers(1, MAX_INTEGER)
NAMES = st.text(st.characters(codec="ascii", exclude_categories=["Cc", "Cs"]), min_size=1)
SHORT_NAMES = NAMES.filter(lambda name: len(name) <= MAX_NAME_LENGTH)
LONG_NAME = "n" * MAX_NAME_LENGTH
WALL = 1.7e9


def log_of(term: int, value_limit: int, node: str = "hive-0") -> OperationLog:
    return OperationLog(node, term, value_limit, retention_s=10.0)


def assert_storable(operation: AnyOperation, value_limit: int) -> None:
    value: dict[str, Any] = storable_value(operation.record, value_limit)
    assert decode_record(operation.key, value) == operation.record


@FIXED_EXAMPLES
@given(
    reasons=st.dictionaries(st.just(LONG_NAME) | SHORT_NAMES, st.text(max_size=300), max_size=250),
    term=TERMS,
    value_limit=VALUE_LIMITS,
)
def test_every_scale_in_that_is_decided_can_be_stored(
    reasons: dict[str, str], term: int, value_limit: int
) -> None:
    operations = log_of(term, value_limit).decide_scale_in(reasons, WALL)
    named = [name for operation in operations for name in operation.record.machines]
    assert sorted(named) == sorted(reasons), "each machine once"
    for operation in operations:
        assert_storable(operation, value_limit)


@FIXED_EXAMPLES
@given(
    machine_type=st.just(LONG_NAME) | SHORT_NAMES,
    zone=st.just(LONG_NAME) | SHORT_NAMES,
    node=st.just(LONG_NAME) | NAMES,
    count=st.integers(1, MAX_SCALE_OUT_MACHINES),
    term=TERMS,
)
def test_every_scale_out_that_is_decided_can_be_stored(
    machine_type: str, zone: str, node: str, count: int, term: int
) -> None:
    request = ScaleOutRequest(machine_type, zone, False, count)
    operation = log_of(term, 2048, node).decide_scale_out(request, WALL)
    assert_storable(operation, 2048)


def test_request_names_are_unique_for_a_controller_with_a_long_name() -> None:
    """Guards against: truncation removes the part of a request name that makes it unique."""
    names = set()
    for term in (1, 2):
        log = log_of(term, 2048, LONG_NAME)
        for _ in range(2):
            request = ScaleOutRequest("b1", "a", False, 1)
            names.add(log.decide_scale_out(request, WALL).record.request)
    assert len(names) == 4


def test_clean_up_of_the_largest_job_can_be_stored() -> None:
    parts = range(MAX_TASKS // TASKS_PER_PART + 1)
    assert len(parts) <= MAX_PARTS
    operation = log_of(MAX_INTEGER, 900).decide_cleanup("wk-" + "9" * 18, parts, WALL)
    assert operation.record.parts == list(parts)
    assert_storable(operation, 900)


@pytest.mark.parametrize("value_limit", [900, 7372])
def test_too_large_record_is_rejected_before_it_is_written(value_limit: int) -> None:
    """Guards against: the store refuses the record, and its write is retried endlessly."""
    machines = {f"{LONG_NAME[:190]}{n}": "idle" for n in range(MAX_RELEASED_MACHINES)}
    record = ScaleInRecord(by="d1-1", term=1, number=1, at=1.0, machines=machines)
    with pytest.raises(InvalidRecordError, match="bytes"):
        storable_value(record, value_limit)
