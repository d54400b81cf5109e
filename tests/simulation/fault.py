"""What is drawn for every fault, whatever its kind."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Fault:
    """How long a fault lasts, and which controller it hits, where its kind hits any."""

    duration_s: float
    controller: str
