"""Model of a worker's image cache, with least-recently-used eviction."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator


class ImageCache:
    """Cached images with their sizes in GB, in order from least to most recently used."""

    def __init__(self) -> None:
        self._sizes_gb: OrderedDict[str, float] = OrderedDict()

    def __contains__(self, image: str) -> bool:
        return image in self._sizes_gb

    def __iter__(self) -> Iterator[str]:
        return iter(self._sizes_gb)

    def use(self, image: str, size_gb: float, capacity_gb: float) -> bool:
        """Record the use of an image; return whether it is new to the cache.

        Evicts the least recently used images that no longer fit, as the worker does.
        """
        is_new = image not in self._sizes_gb
        self._sizes_gb[image] = size_gb
        self._sizes_gb.move_to_end(image)
        total_gb = sum(self._sizes_gb.values())
        while total_gb > capacity_gb and len(self._sizes_gb) > 1:
            _, removed_gb = self._sizes_gb.popitem(last=False)
            total_gb -= removed_gb
        return is_new
