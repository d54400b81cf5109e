"""Contents of a zone's summary, limited to the value size of the key-value store.

A summary has a cache of the zone's best offers, and the names of all its machines, from which
searches draw their pivots.
"""

from __future__ import annotations

import math
import os.path
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from topazhold.core.resource_offer import ResourceOffer

#: Offers in a zone's cache.
CACHE_LENGTH = 20


def availability_key(offer: ResourceOffer) -> tuple[float, float]:
    """Return the sort key of an offer in a cache: soonest available first, then most free GPUs.

    A machine with GPUs counts as available only once some GPUs are free: its CPUs and memory
    alone are of no use to the gangs that search the cache.
    """
    has_gpus = bool(offer.availability) and offer.availability[-1][1][1] > 0
    for delay, available in offer.availability:
        if available[0] > 0 and (available[1] > 0 or not has_gpus):
            return (delay, -available[1])
    return (math.inf, 0.0)


def pack_names(names: Sequence[str]) -> list[str]:
    """Pack names as [common prefix, comma-separated suffixes], so that all fit one value."""
    prefix = os.path.commonprefix(list(names))  # noqa: RUF071 (names, not paths)
    return [prefix, ",".join(name[len(prefix) :] for name in names)]


def unpack_names(packed: Any) -> list[str]:
    """Return the names that `pack_names` packed."""
    prefix, suffixes = packed
    if not prefix and not suffixes:
        return []
    return [f"{prefix}{suffix}" for suffix in str(suffixes).split(",")]


def sample_names(packed: list[str], limit: int, round_number: int) -> list[str]:
    """Reduce packed names to `limit` bytes: every n-th name, from another offset each round."""
    prefix, suffixes = packed
    size = len(prefix) + len(suffixes) + len('["",""]')
    step = -(-size // max(1, limit))
    if step <= 1:
        return packed
    return [prefix, ",".join(suffixes.split(",")[round_number % step :: step])]


def truncate_summary(packed: Iterable[Any], limit: int, size_of: Callable[[Any], int]) -> list[Any]:
    """Return as many of the first items as fit in `limit` bytes."""
    items: list[Any] = []
    size = 0
    for item in packed:
        size += size_of(item) + 1
        if size > limit:
            break
        items.append(item)
    return items
