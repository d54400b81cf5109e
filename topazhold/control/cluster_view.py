"""The cluster as a controller without a scheduler sees it: the leader's last summary."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from topazhold.core.reservations import QueueKey
from topazhold.core.resource_offer import ResourceOffer, unpack_offer
from topazhold.core.zone_summary import unpack_names


class ClusterView:
    """Offers of each zone, gangs that wait, and how many tasks of each job run."""

    def __init__(self) -> None:
        self.observed_at = -1e9  # steady clock, seconds: as old as the summary is
        self.term = 0
        self.made_at = 0.0  # time of day at which the leader made it
        self.directory: list[tuple[str, str]] = []  # machine, zone
        self.caches: dict[str, Sequence[ResourceOffer]] = {}
        self.waiting: dict[str, tuple[str, QueueKey, bool]] = {}
        self.lists_all_waiting = True  # whether `waiting` names every gang that waits
        self.running: dict[str, int] = {}

    def read_zone(self, zone: str, data: Any) -> None:
        """Take over a zone's part of a summary; offers that can't be read are left out."""
        offers = []
        for item in data.get("cache", ()):
            try:
                offers.append(unpack_offer(zone, item))
            except ValueError:
                continue
        self.caches[zone] = offers
        self.directory = [pair for pair in self.directory if pair[1] != zone]
        self.directory += [(name, zone) for name in unpack_names(data.get("all", ("", "")))]

    def is_outdated(self, data: Any) -> bool:
        """Whether a jobs' value is a late copy of one made before what is known."""
        version = (int(data.get("crown", 0)), float(data.get("at", 0.0)))
        return version < (self.term, self.made_at)

    def read_jobs(self, data: Any) -> None:
        """Take over the jobs' part of a summary; raises ValueError or TypeError for an odd one."""
        self.term = int(data.get("crown", 0))
        self.made_at = float(data.get("at", 0.0))
        self.waiting = {
            str(job): (
                str(node),
                (int(outside), int(urgency_level), float(submitted)),
                bool(needs_reservation),
            )
            for job, node, outside, urgency_level, submitted, needs_reservation in data.get(
                "waiting", ()
            )
        }
        self.lists_all_waiting = not data.get("cut", False)
        self.running = {str(job): int(count) for job, count in data.get("running", {}).items()}
