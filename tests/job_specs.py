"""Jobs as tests describe them."""

from __future__ import annotations

from typing import Any

import msgspec

from topazhold.wire.messages import JobSpec

#: The protocol's names of a job's fields.
_BODY_NAMES = {field.name: field.encode_name for field in msgspec.structs.fields(JobSpec)}


def submission_fields(fields: dict[str, Any]) -> dict[str, Any]:
    """A job's fields as a submission's body names them."""
    return {_BODY_NAMES.get(name, name): value for name, value in fields.items()}
