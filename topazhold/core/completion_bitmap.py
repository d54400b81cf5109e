"""Packs task completions into text bitmaps, since stored values carry no binary data."""

from __future__ import annotations

import base64
from collections.abc import Iterator


def pack_bitmap(completed: bytearray) -> str:
    """Encode one bit per task, lowest bit first, as Base64; empty if no task is completed."""
    if not any(completed):
        return ""
    bits = 0
    for offset, is_completed in enumerate(completed):
        if is_completed:
            bits |= 1 << offset
    return base64.b64encode(bits.to_bytes((len(completed) + 7) // 8, "little")).decode("ascii")


def unpack_bitmap(text: str) -> Iterator[int]:
    """Yield the offsets of completed tasks, in ascending order.

    Raises:
        ValueError: the text is wrongly padded Base64.
    """
    bits = int.from_bytes(base64.b64decode(text), "little")
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest
