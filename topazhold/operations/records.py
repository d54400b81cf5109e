"""Records of cloud operations in the key-value store, validated on writing and on reading.

A record is written before its operation is sent, on the precondition that the term still lasts,
so that a successor can complete the operation. Its key consists of the term and a number within
the term, and is never reused. Keys and fields keep the names of the first version.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from topazhold.core.autoscaling import MAX_RELEASED_MACHINES, MAX_SCALE_OUT_MACHINES
from topazhold.wire.codec import InvalidMessageError, convert, json_size

OPERATION_PREFIX = "duty/"
SCALE_IN_PREFIX = "duty/return/"
SCALE_OUT_PREFIX = "duty/rental/"
CLEANUP_PREFIX = "duty/cleanup/"

#: Maximum characters of a name and of a reason; longer names are refused, longer reasons cut.
MAX_NAME_LENGTH = 200
MAX_REASON_LENGTH = 60
#: Maximum parts of one clean-up.
MAX_PARTS = 1000
#: Maximum size of a record without its machines, in bytes of JSON.
RECORD_OVERHEAD_BYTES = 400
#: Maximum term or number: the largest signed 64-bit integer.
MAX_INTEGER = 2**63 - 1

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Reason = Annotated[str, Meta(max_length=MAX_REASON_LENGTH)]
Positive = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]


class MachineKind(NamedTuple):
    """A type of machines in a zone, spot or ordinary."""

    machine_type: str
    zone: str
    spot: bool


class OperationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The fields that all records share."""

    by: Annotated[Name, Meta(description="token of the transaction that wrote the record")]
    term: Annotated[Positive, Meta(description="term of the leader that decided the operation")]
    number: Annotated[Positive, Meta(description="number of the operation within the term")]
    at: Annotated[float, Meta(ge=0, description="time of day of the decision, in seconds")]


class ScaleInRecord(OperationRecord, frozen=True, kw_only=True):
    """Scale-in: machines that are released."""

    machines: Annotated[
        dict[Name, Reason],
        Meta(
            min_length=1,
            max_length=MAX_RELEASED_MACHINES,
            description="reason of the release, by machine",
        ),
    ]


class ScaleOutRecord(OperationRecord, frozen=True, kw_only=True):
    """Scale-out: a request under a name that makes it idempotent."""

    request: Annotated[Name, Meta(description="name of the request, never used twice")]
    machine_type: Name
    zone: Name
    spot: bool
    count: Annotated[int, Meta(ge=1, le=MAX_SCALE_OUT_MACHINES)]

    @property
    def kind(self) -> MachineKind:
        """Return the kind of machine requested; capacity backoff is kept per kind."""
        return MachineKind(self.machine_type, self.zone, self.spot)


class CleanupRecord(OperationRecord, frozen=True, kw_only=True):
    """Clean-up: parts of an ended job's completion bitmap, removed in several transactions."""

    job: Name
    parts: Annotated[
        list[Annotated[int, Meta(ge=0)]],
        Meta(min_length=1, max_length=MAX_PARTS, description="numbers of the parts"),
    ]


#: The type of the records under each prefix.
RECORD_TYPES: dict[str, type[OperationRecord]] = {
    SCALE_IN_PREFIX: ScaleInRecord,
    SCALE_OUT_PREFIX: ScaleOutRecord,
    CLEANUP_PREFIX: CleanupRecord,
}


class InvalidRecordError(ValueError):
    """A record cannot be decoded or must not be stored."""


def operation_key(prefix: str, term: int, number: int) -> str:
    """Return the key of an operation; key order sorts the operations of a prefix by age."""
    return f"{prefix}{term:012d}-{number:08d}"


def key_of(record: OperationRecord) -> str:
    """Return the key under which a record is stored.

    Raises:
        InvalidRecordError: records of this type are not stored.
    """
    for prefix, kind in RECORD_TYPES.items():
        if type(record) is kind:
            return operation_key(prefix, record.term, record.number)
    raise InvalidRecordError(f"no key for a {type(record).__name__}")


def encode_record(record: OperationRecord) -> dict[str, Any]:
    """Return the value to store.

    Raises:
        InvalidRecordError: the value could not be decoded again.
    """
    value: dict[str, Any] = msgspec.to_builtins(record)
    try:
        convert(value, type(record))
    except InvalidMessageError as exc:
        raise InvalidRecordError(f"{key_of(record)}: {exc}") from None
    return value


def storable_value(record: OperationRecord, max_value_bytes: int) -> dict[str, Any]:
    """Return the value to store, of at most `max_value_bytes` bytes.

    Raises:
        InvalidRecordError: the value could not be decoded again, or is too large.
    """
    value = encode_record(record)
    size = json_size(value)
    if size > max_value_bytes:
        raise InvalidRecordError(f"{key_of(record)}: {size} bytes, a value takes {max_value_bytes}")
    return value


def decode_record(key: str, value: Any) -> OperationRecord:
    """Return the record that is stored under a key.

    Raises:
        InvalidRecordError: the value is malformed, or belongs under another key.
    """
    for prefix, kind in RECORD_TYPES.items():
        if key.startswith(prefix):
            try:
                record = convert(value, kind)
            except InvalidMessageError as exc:
                raise InvalidRecordError(str(exc)) from None
            if key_of(record) != key:
                raise InvalidRecordError(f"the record is of {key_of(record)}")
            return record
    raise InvalidRecordError("no such kind of order")


def split_machines(machines: Mapping[str, str], max_value_bytes: int) -> Iterator[dict[str, str]]:
    """Split machines, mapped to their reasons, into batches that each fit a stored value."""
    batch: dict[str, str] = {}
    size = RECORD_OVERHEAD_BYTES
    for name, reason in machines.items():
        reason = reason[:MAX_REASON_LENGTH]
        more = json_size({name: reason})
        if batch and (size + more > max_value_bytes or len(batch) >= MAX_RELEASED_MACHINES):
            yield batch
            batch, size = {}, RECORD_OVERHEAD_BYTES
        batch[name] = reason
        size += more
    if batch:
        yield batch
