"""The parameters that are drawn for every fault, whatever its kind."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Fault:
    """A fault's duration, and the controller it affects if its kind affects a single one."""

    duration_s: float
    controller: str
