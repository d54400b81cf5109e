"""Decoding and encoding of messages and records, with invalid input."""

from __future__ import annotations

import math
from typing import Any

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.job_specs import make_spec
from topazhold.core import records
from topazhold.core.jobs import Job
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError, decode, pack, unpack
from topazhold.wire.jobs import JobSpec
from topazhold.wire.workers import Heartbeat


def spec_fields(**changes: Any) -> dict[str, Any]:
    fields = msgspec.to_builtins(make_spec())
    fields.update(changes)
    return fields


def test_null_fields_may_be_missing_and_unknown_fields_are_ignored() -> None:
    body = spec_fields(machine_types=None, zone=None, colour="red")
    spec = decode(cbor2.dumps(body), JobSpec)
    assert spec.machine_types is None and spec.deadline_s is None and spec.invalid_field() is None


@pytest.mark.parametrize(
    "change",
    [
        {"frames": 0},
        {"frames": 100_001},
        {"frames": 1.5},
        {"frames": True},
        {"frames": "2"},
        {"vcpus": -1.0},
        {"cards": math.nan},
        {"ram_gb": math.inf},
        {"forage_s": None},
        {"id": "wk-"},
        {"id": "job-1"},
        {"id": "wk-1/2"},
        {"id": 7},
        {"shape": "heap"},
        {"urgency": "low"},
        {"breeds": "b1"},
        {"breeds": [1]},
        {"same_place": 1},
        {"crew": ""},
        {"lane": "x" * 201},
        {"cap_s": -0.1},
        {"bloom_s": -1},
        {"image_gb": "1"},
    ],
    ids=str,
)
def test_invalid_fields_are_refused(change: dict[str, Any]) -> None:
    try:
        spec = decode(cbor2.dumps(spec_fields(**change)), JobSpec)
    except InvalidMessageError:
        return
    assert spec.invalid_field() is not None


@pytest.mark.parametrize("name", ["id", "lane", "frames", "vcpus", "drones", "seal_s"])
def test_missing_fields_are_refused(name: str) -> None:
    body = spec_fields()
    del body[name]
    with pytest.raises(InvalidMessageError):
        decode(cbor2.dumps(body), JobSpec)


@given(st.binary(max_size=60))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_any_bytes_are_refused_or_read(body: bytes) -> None:
    try:
        decode(body, Heartbeat)
    except InvalidMessageError:
        pass


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
        max_leaves=8,
    )
)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_any_value_is_refused_or_a_job(value: Any) -> None:
    with pytest.raises(InvalidMessageError):
        decode(cbor2.dumps(value), JobSpec)


def test_commands_use_the_protocols_names() -> None:
    command = unpack(pack(wire.kill("wk-1/0", 3, 2.5)))
    assert command == {"call": "kill", "frame": "wk-1/0", "try": 3, "settle_s": 2.5}
    assert "settle_s" not in unpack(pack(wire.launch("wk-1/0", 3)))


def test_task_names_are_split() -> None:
    assert wire.split_task_name("wk-000412/3") == ("wk-000412", 3)
    for bad in ("wk-000412", "wk-x/3", "wk-1/x", "wk-1/-1", "/3", "wk-1/" + "9" * 30):
        assert wire.split_task_name(bad) is None


def test_live_record_round_trip() -> None:
    job = Job(make_spec(shape="batch", tasks=9000), 50.0, 1000.0, "hive-1")
    for index in (0, 7, 4095, 4096, 8999):
        job.mark_completed(index)
    restored = records.read_live_job(records.live_value(job, "t"), 3, 1010.0, 60.0)
    assert restored.spec == job.spec and restored.revision == 3 and restored.arrived == 50.0
    assert [i for i in range(9000) if restored.completed[i]] == [0, 7, 4095]
    for part in (1, 2):
        restored.load_part(part, job.part_text(part))
    assert restored.completed == job.completed
