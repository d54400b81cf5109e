"""What one machine offers to new work: resources over time, images, what may be preempted.

Offers cross between controllers in zone summaries, packed into lists that every version reads.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from topazhold.core.jobs import Resources
from topazhold.core.resources import AMOUNT_TOLERANCE, add_resources, fits

#: (outside its guaranteed quota, urgency level): the smaller one is scheduled first.
Priority = tuple[int, int]
#: A priority's first number: work within its team's guaranteed quota, and work beyond it.
WITHIN_GUARANTEE = 0
OUTSIDE_GUARANTEE = 1
#: In place of a priority's first number: an aged gang. It is scheduled first, like work within
#: its guaranteed quota, but preempts by urgency alone.
AGED = 2

#: (seconds from now, resources free from then on)
AvailabilityStep = tuple[float, Resources]
#: (priority of the work that may preempt, seconds until then, resources that it frees)
PreemptibleStep = tuple[Priority, float, Resources]


@dataclass(slots=True, eq=False)
class ResourceOffer:
    """What one machine can give, and when."""

    name: str
    zone: str
    machine_type: str
    spot: bool
    images: frozenset[str]
    #: In order of time; the last step is all that will ever be free.
    availability: list[AvailabilityStep]
    preemptible: list[PreemptibleStep]
    fetch_rate: float  # of images, GB/s

    def availability_for(
        self, priority: Priority, reserved: Resources | None
    ) -> list[AvailabilityStep]:
        """Resources over time for work of a priority, less what others have reserved."""
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
        """What work of a priority may preempt.

        An aged gang has steps of its own only where it may preempt less than work within its
        guaranteed quota; elsewhere the steps of such work apply to it.
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
        """Whether reservations, by machine, keep all that will ever be free here."""
        if not self.availability:
            return True
        available = add_resources(
            self.availability[-1][1], reserved.get(self.name, (0.0, 0.0, 0.0)), -1.0
        )
        has_gpus = self.availability[-1][1][1] > 0
        return (available[1] if has_gpus else available[0]) <= AMOUNT_TOLERANCE

    def wait_s_for(self, priority: Priority, need: Resources) -> float:
        """Seconds until one task of this size fits; infinite if it never does."""
        for delay_s, available in self.availability_for(priority, None):
            if fits(need, available):
                return delay_s
        return math.inf

    def pack(self) -> list[Any]:
        """The form that summaries carry; the zone is left to the summary."""
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
    """Read an offer out of a zone's summary; ValueError if it is none."""
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
