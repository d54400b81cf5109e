"""A follower's view of the cluster, built from the leader's last summary."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from topazhold.core.jobs import DISTANT_PAST
from topazhold.core.reservations import QueueKey
from topazhold.core.resource_offer import ResourceOffer, unpack_offer
from topazhold.core.zone_summary import unpack_names


class ClusterView:
    """Resource offers of each zone, waiting gangs, and the number of running tasks of each job."""

    def __init__(self) -> None:
        self.observed_at = DISTANT_PAST  # monotonic clock, seconds: when the data was current
        self.term = 0
        self.made_at = 0.0  # wall-clock time at which the leader made the summary
        self.directory: list[tuple[str, str]] = []  # (machine, zone) of the whole fleet
        self.caches: dict[str, Sequence[ResourceOffer]] = {}
        #: By job: the controller that accepted it, its queue key, whether it needs a reservation.
        self.waiting: dict[str, tuple[str, QueueKey, bool]] = {}
        self.lists_all_waiting = True  # False if `waiting` was truncated
        self.running: dict[str, int] = {}

    def read_zone(self, zone: str, data: Any) -> None:
        """Replace a zone's data by its part of a summary; malformed offers are skipped."""
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
        """Return whether the jobs' part of a summary is older than the one read last."""
        version = (int(data.get("crown", 0)), float(data.get("at", 0.0)))
        return version < (self.term, self.made_at)

    def read_jobs(self, data: Any) -> None:
        """Replace the jobs' data by a summary's; raises ValueError or TypeError if malformed."""
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
