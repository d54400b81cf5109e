"""Placement constraints of job specifications."""

from __future__ import annotations

from topazhold.wire.jobs import JobSpec


def placement_allowed(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    """Return whether the job may run on machines of this type and zone, spot or on-demand."""
    if spec.machine_types is not None and machine_type not in spec.machine_types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot
