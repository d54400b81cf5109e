"""Whether a machine takes a job's tasks, and how many: asked by placement, demand and draining.

All parts ask here, so that none counts as room what another one refuses.
"""

from __future__ import annotations

from topazhold.core.cluster_state import ClusterState
from topazhold.core.jobs import Job, Resources
from topazhold.core.machines import Machine
from topazhold.core.placement_constraints import placement_allowed
from topazhold.core.resources import NO_RESOURCES, add_resources, count_fitting


def is_allowed(machine: Machine, job: Job) -> bool:
    """Return whether the job's tasks may ever run on a machine of this type, zone and kind."""
    machine_type = machine.machine_type
    return machine_type is not None and placement_allowed(
        job.spec, machine_type.name, machine.zone, machine.spot
    )


def takes_job(machine: Machine, job: Job, now: float) -> bool:
    """Return whether the job's tasks may be placed on the machine now, if it has the capacity."""
    return not job.avoids(machine.name, now) and is_allowed(machine, job)


def room_for(
    cluster: ClusterState,
    machine: Machine,
    job: Job,
    now: float,
    reserved: Resources = NO_RESOURCES,
) -> int:
    """Return how many more tasks of the job the machine takes beside its present tasks.

    `reserved` are its resources that are reserved for others. A machine that is not usable at
    the moment is not excluded.
    """
    if not takes_job(machine, job, now):
        return 0
    available = add_resources(machine.free(), reserved, -1.0)
    return count_fitting(job.need, available, min(job.spec.tasks, cluster.intent_room(machine)))
