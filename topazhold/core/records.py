"""Keys and values of jobs and intents in the key-value store.

Keys and fields keep the names of the first version, so that versions can run side by side.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from topazhold.core.jobs import TASKS_PER_PART, Job, JobState
from topazhold.core.machines import Machine
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError, convert
from topazhold.wire.jobs import JobSpec

LIVE_PREFIX = "live/"
ENDED_PREFIX = "over/"
PART_PREFIX = "part/"
INTENTS_PREFIX = "on/"
SUMMARY_PREFIX = "sum/"
#: Key of the summary of jobs and operations; every other summary is for one zone.
SUMMARY_KEY = SUMMARY_PREFIX + "*"
RELAY_PREFIX = "relay/"

#: Largest share of the store's value size limit that a value may use.
MAX_VALUE_SHARE = 0.9
#: Characters; names in the spec of an ended job are truncated to this length.
MAX_ENDED_NAME_LENGTH = 40
#: Bytes assumed per packed attempt when computing how many of a machine fit a value.
ATTEMPT_BYTES = 64
#: Bytes of a shard's stored value besides its packed attempts.
SHARD_OVERHEAD_BYTES = 512
BITS_PER_BYTE = 8
#: Base64 encodes each group of this many bytes, the last one padded, as this many characters.
BASE64_GROUP_BYTES = 3
BASE64_GROUP_CHARACTERS = 4


def live_key(job: str) -> str:
    """Return the key of a live job."""
    return LIVE_PREFIX + job


def ended_key(job: str) -> str:
    """Return the key of a done or aborted job."""
    return ENDED_PREFIX + job


def part_key(job: str, part: int) -> str:
    """Return the key of a part's completion bitmap; part 0 is stored in the live value instead."""
    return f"{PART_PREFIX}{job}/{part:03d}"


def intents_key(shard: str) -> str:
    """Return the key of a shard's intents."""
    return INTENTS_PREFIX + shard


def live_value(job: Job, token: str) -> dict[str, Any]:
    """Return the stored value of a live job, with the completion bitmap of its first part."""
    value = {
        "by": token,
        "spec": msgspec.to_builtins(job.spec),
        "at": job.submitted,
        "node": job.node,
        "count": job.completed_count,
    }
    bitmap = job.part_text(0)
    if bitmap:
        value["done"] = bitmap
    return value


def max_bitmap_size(spec: JobSpec) -> int:
    """Return the most bytes that the first part's completion bitmap adds to a live value."""
    if spec.service:
        return 0
    return (
        len('"done":"",')
        + (min(spec.tasks, TASKS_PER_PART) + BITS_PER_BYTE - 1)
        // BITS_PER_BYTE
        * BASE64_GROUP_CHARACTERS
        // BASE64_GROUP_BYTES
        + BASE64_GROUP_CHARACTERS
    )


def read_live_job(data: Any, revision: int, wall_time: float, monotonic_time: float) -> Job:
    """Read a live job; both times are the present ones.

    Raises:
        InvalidMessageError, TypeError, ValueError: the value is not a valid live job.
    """
    if not isinstance(data, dict):
        raise InvalidMessageError("not a live job")
    spec = convert(data.get("spec"), JobSpec)
    submitted = float(data.get("at", wall_time))
    job = Job(
        spec, monotonic_time - max(0.0, wall_time - submitted), submitted, str(data.get("node", ""))
    )
    job.revision = revision
    if data.get("done"):
        job.load_part(0, data["done"])
    return job


def ended_value(spec: dict[str, Any], stage: str, at: float, token: str) -> dict[str, Any]:
    """Return the stored value of an ended job, with its spec for tasks still on machines.

    Only the resources that those tasks hold on machines and in their team's limit are needed,
    so the rest of the spec is dropped: by the time the job ends, the live value may exceed the
    size that the key-value store accepts.
    """
    return {"by": token, "spec": _truncate_spec(spec), "stage": stage, "at": at}


def _truncate_spec(spec: Any) -> Any:
    if not isinstance(spec, dict):
        return spec
    cut = {
        name: value for name, value in spec.items() if name not in wire.FIELDS_OMITTED_WHEN_ENDED
    }
    for name in wire.NAMES_TRUNCATED_WHEN_ENDED:
        if isinstance(cut.get(name), str):
            cut[name] = cut[name][:MAX_ENDED_NAME_LENGTH]
    return cut


def read_ended_job(data: Any, wall_time: float, monotonic_time: float) -> Job:
    """Read an ended job, whose tasks may still be on machines; times as for `read_live_job`.

    Raises:
        InvalidMessageError, TypeError, ValueError: the value is not a valid ended job.
    """
    if not isinstance(data, dict):
        raise InvalidMessageError("not an ended job")
    spec = convert(data.get("spec"), JobSpec)
    at = float(data.get("at", wall_time))
    job = Job(spec, monotonic_time, at, "")
    if data.get("stage") == wire.DONE:
        job.state = JobState.DONE
    else:
        job.abort(monotonic_time - max(0.0, wall_time - at))
    return job


def completed_count(data: Any) -> int:
    """Return the number of completed tasks, for display; 0 if the record is unreadable."""
    count = data.get("count", 0) if isinstance(data, dict) else 0
    return count if isinstance(count, int) else 0


def ended_stage(data: Any) -> str:
    """Return the protocol's stage of an ended job; aborted if the record is unreadable."""
    done = isinstance(data, dict) and data.get("stage") == wire.DONE
    return wire.DONE if done else wire.ABORTED


def ended_at(data: Any, default: float) -> float:
    """Return the wall-clock time at which the job ended; `default` if it is unreadable."""
    at = data.get("at") if isinstance(data, dict) else None
    return float(at) if isinstance(at, int | float) else default


def intents_value(machines: Iterable[Machine], token: str) -> Any:
    """Return a shard's value: all attempts that are, or may come to be, on its machines."""
    intents = {}
    for machine in machines:
        if machine.attempts:
            machine_type = machine.machine_type.name if machine.machine_type is not None else ""
            intents[machine.name] = [
                machine.incarnation,
                machine.zone,
                machine.spot,
                machine_type,
                [
                    [attempt.job.id, attempt.index, attempt.attempt_number]
                    for attempt in machine.attempts.values()
                ],
            ]
    return {"by": token, "boxes": intents}


def max_machine_attempts(value_bytes: int) -> int:
    """Return how many attempts on one machine fit a stored value of the given size."""
    return max(1, (value_bytes - SHARD_OVERHEAD_BYTES) // ATTEMPT_BYTES)


class AttemptIntent(NamedTuple):
    """An attempt that may be on a machine."""

    job: str
    task_index: int
    attempt_number: int


class Intents(NamedTuple):
    """All attempts that may be on one machine."""

    machine: str
    incarnation: int
    zone: str
    spot: bool
    machine_type: str
    attempts: list[AttemptIntent]


def read_intents(data: Any) -> tuple[list[Intents], list[str]]:
    """Read a shard's intents; also return the names of machines with unreadable intents."""
    readable: list[Intents] = []
    unreadable: list[str] = []
    boxes = data.get("boxes") if isinstance(data, dict) else None
    for name, item in boxes.items() if isinstance(boxes, dict) else ():
        try:
            incarnation, zone, spot, machine_type, attempts = item
            intents = Intents(
                str(name),
                int(incarnation),
                str(zone),
                bool(spot),
                str(machine_type),
                [
                    AttemptIntent(str(job), int(index), int(attempt_number))
                    for job, index, attempt_number in attempts
                ],
            )
            readable.append(intents)
        except (TypeError, ValueError):
            unreadable.append(str(name))
    return readable, unreadable


def part_count(job: Job) -> int:
    """Return the number of parts of the job's completion bitmap."""
    return (job.spec.tasks + TASKS_PER_PART - 1) // TASKS_PER_PART
