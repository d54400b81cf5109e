"""JSON Schemas of the stored records, generated from their types."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from topazhold.operations.records import RECORD_TYPES

PREAMBLE = """# Schemas of stored operations

Made from `topazhold/operations/records.py` by `python -m tools.schemas > docs/duties-schemas.md`; a
test fails if this page is old. Keys: PREFIX, the term in 12 digits, `-`, the number in 8 digits.
"""


def schema_of(prefix: str) -> dict[str, Any]:
    """Return the self-contained JSON Schema of the values under a prefix."""
    (schema,), components = msgspec.json.schema_components(
        [RECORD_TYPES[prefix]], ref_template="#/$defs/{name}"
    )
    return {**schema, "$defs": components}


def render_page() -> str:
    """Return the Markdown page of all schemas."""
    parts = [PREAMBLE]
    for prefix in RECORD_TYPES:
        text = json.dumps(schema_of(prefix), indent=2, sort_keys=True)
        parts.append(f"\n## `{prefix}`\n\n```json\n{text}\n```\n")
    return "".join(parts)
