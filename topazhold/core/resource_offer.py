"""A machine's offer to new work: resources over time, cached images, preemptible resources.

Controllers exchange offers in zone summaries, encoded as lists that every version can read.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from topazhold.core.jobs import Resources
from topazhold.core.resources import AMOUNT_TOLERANCE, add_resources, fits

#: (1 if beyond the guaranteed quota, else 0; urgency level): the smaller is scheduled first.
Priority = tuple[int, int]
#: First number of a priority: work within its team's guaranteed quota, and beyond it.
WITHIN_GUARANTEE = 0
OUTSIDE_GUARANTEE = 1
#: First number of the priority of an aged gang where preemption is concerned. The gang is
#: scheduled like work within its guaranteed quota, but preempts by urgency alone.
AGED = 2

#: (seconds from now, resources free from then on)
AvailabilityStep = tuple[float, Resources]
#: (priority of the preempting work, seconds until the resources are free, resources)
PreemptibleStep = tuple[Priority, float, Resources]


@dataclass(slots=True, eq=False)
class ResourceOffer:
    """The resources that one machine can provide, and when."""

    name: str
    zone: str
    machine_type: str
    spot: bool
    images: frozenset[str]
    #: In order of time; the last step has all resources that tasks will free by ending.
    availability: list[AvailabilityStep]
    preemptible: list[PreemptibleStep]
    fetch_rate: float  # of images, GB/s

    def availability_for(
        self, priority: Priority, reserved: Resources | None
    ) -> list[AvailabilityStep]:
        """Return the resources over time for work of a priority, minus those in `reserved`."""
        availability = list(self.availability)
        if availability:
            for delay_s, available in self._preemptible_for(priority):
                availability.append((delay_s, add_resources(availability[0][1], available)))
        if reserved is not None:
            availability = [
                (delay_s, add_resources(available, reserved, -1.0))
                for delay_s, available in availability
            ]
        availability.sort(key=lambda step: step[0])
        return availability

    def _preemptible_for(self, priority: Priority) -> list[AvailabilityStep]:
        """Return the resources that work of a priority may free by preemption.

        An aged gang has steps of its own only if it may preempt less than work within its
        guaranteed quota; otherwise the steps of such work apply.
        """
        steps = [
            (delay_s, available)
            for step_priority, delay_s, available in self.preemptible
            if step_priority == priority
        ]
        if not steps and priority[0] == AGED:
            return self._preemptible_for((WITHIN_GUARANTEE, priority[1]))
        return steps

    def is_fully_reserved(self, reserved: Mapping[str, Resources]) -> bool:
        """Return whether `reserved`, by machine, covers all that will become free here."""
        if not self.availability:
            return True
        available = add_resources(
            self.availability[-1][1], reserved.get(self.name, (0.0, 0.0, 0.0)), -1.0
        )
        has_gpus = self.availability[-1][1][1] > 0
        return (available[1] if has_gpus else available[0]) <= AMOUNT_TOLERANCE

    def wait_s_for(self, priority: Priority, need: Resources) -> float:
        """Return the seconds until one task of this size fits; infinite if it never does."""
        for delay_s, available in self.availability_for(priority, None):
            if fits(need, available):
                return delay_s
        return math.inf

    def pack(self) -> list[Any]:
        """Return the form sent in zone summaries; the zone is part of the summary's key."""
        return [
            self.name,
            self.machine_type,
            self.spot,
            sorted(self.images),
            [
                [round(delay_s, 1), *(round(amount, 3) for amount in available)]
                for delay_s, available in self.availability
            ],
            [
                [*priority, round(delay_s, 1), *(round(amount, 3) for amount in available)]
                for priority, delay_s, available in self.preemptible
            ],
            round(self.fetch_rate, 3),
        ]


def unpack_offer(zone: str, data: Any) -> ResourceOffer:
    """Decode an offer of a zone's summary; raises ValueError if it is malformed."""
    try:
        name, machine_type, spot, images, availability, preemptible, fetch_rate = data
        return ResourceOffer(
            str(name),
            zone,
            str(machine_type),
            bool(spot),
            frozenset(images),
            [
                (float(step[0]), (float(step[1]), float(step[2]), float(step[3])))
                for step in availability
            ],
            [
                (
                    (int(step[0]), int(step[1])),
                    float(step[2]),
                    (float(step[3]), float(step[4]), float(step[5])),
                )
                for step in preemptible
            ],
            float(fetch_rate),
        )
    except (TypeError, IndexError) as exc:
        raise ValueError(f"not an offer: {exc}") from None
