"""Builds the job specs and the machine type that tests use."""

from __future__ import annotations

from typing import Any

import msgspec

from topazhold.wire.cloud import MachineType
from topazhold.wire.jobs import JobSpec

#: Encoded field names of a job, by attribute name.
_ENCODED_NAMES = {field.name: field.encode_name for field in msgspec.structs.fields(JobSpec)}


def submission_fields(fields: dict[str, Any]) -> dict[str, Any]:
    """Return a job's fields under the names that the body of a submission has for them."""
    return {_ENCODED_NAMES.get(name, name): value for name, value in fields.items()}


def make_spec(number: int = 1, **changes: Any) -> JobSpec:
    """Return the spec of a gang of two tasks with two GPUs each, with `changes` applied."""
    fields: dict[str, Any] = {
        "id": f"wk-{number:06d}",
        "job_class": "train",
        "team": "red",
        "shape": "gang",
        "urgency": "normal",
        "tasks": 2,
        "cpus": 4.0,
        "gpus": 2.0,
        "memory_gb": 8.0,
        "image": "img-0",
        "image_gb": 4.0,
        "same_zone": True,
        "spread_zones": False,
        "spot": False,
        "estimated_run_s": 20.0,
        "checkpoint_s": 5.0,
        "save_s": 1.0,
    }
    fields.update(changes)
    return JobSpec(**fields)


MACHINE_TYPE = MachineType("b1", 16.0, 4.0, 64.0, 10.0, 30.0, ["a", "b"], 100.0, 2.0, 4.0)
