"""What a controller has for its whole life, whoever leads: services outside, and what it knows.

`ControllerServices` are the ways to everything outside this process, and the settings, read
once at the start. `ControllerState` is what a controller knows of the cluster with or without a
term of its own. Both outlive every term; the parts of a controller share them.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from random import Random
from typing import Protocol

from topazhold.control.cloud import Cloud
from topazhold.control.election import controller_lease_duration_s
from topazhold.control.instance_catalog import InstanceCatalog
from topazhold.control.key_value_store import KeyValueStore
from topazhold.core.cancellations import Cancellations
from topazhold.core.leadership import Leadership
from topazhold.core.placement_hints import PlacementHints
from topazhold.core.reservations import ReservationTable
from topazhold.io.client import Client
from topazhold.io.cpu_accounting import CpuAccounting
from topazhold.operations.released_machines import ReleasedMachines
from topazhold.operator_settings import Operator
from topazhold.settings import Settings, address

#: Time limits of a request: of the store as a share of the controller's lease, so
#: that a renewal can be tried again in time, and of the cloud in seconds.
STORE_TIMEOUT_LEASE_SHARE = 0.4
CLOUD_TIMEOUT_S = 5.0
#: Idle connections that are kept: to the store for requests and for watches, and to
#: the cloud.
STORE_CONNECTIONS = 6
WATCH_CONNECTIONS = 4
CLOUD_CONNECTIONS = 2


class Dial(Protocol):
    """Opens a client of an address (host, port) that keeps so many idle connections."""

    def __call__(self, address: tuple[str, int], connections: int, /) -> Client: ...


@dataclass(frozen=True)
class ControllerServices:
    """Settings, and the ways to everything outside this process."""

    settings: Settings
    operator: Operator
    store: KeyValueStore
    cloud: Cloud
    catalog: InstanceCatalog
    dial: Dial
    cpu_accounting: CpuAccounting
    rng: Random
    controller_lease_s: float  # how long this controller's lease in the store lasts


def connect_services(
    settings: Settings, operator: Operator, dial: Dial, cpu_accounting: CpuAccounting
) -> ControllerServices:
    """The services of a controller; connections are made with the first requests.

    Raises ValueError for an address in the settings that is none.
    """
    cluster = settings.cluster
    controller_lease_s = controller_lease_duration_s(settings)
    state = address(settings.outside.state)
    store = KeyValueStore(
        dial(state, STORE_CONNECTIONS),
        dial(state, WATCH_CONNECTIONS),
        cluster.state,
        timeout_s=STORE_TIMEOUT_LEASE_SHARE * controller_lease_s,
    )
    cloud = Cloud(
        dial(address(settings.outside.cloud), CLOUD_CONNECTIONS),
        cluster.cloud.rps,
        timeout_s=CLOUD_TIMEOUT_S,
    )
    return ControllerServices(
        settings=settings,
        operator=operator,
        store=store,
        cloud=cloud,
        catalog=InstanceCatalog(cloud, cluster.workers.heartbeat_interval_s),
        dial=dial,
        cpu_accounting=cpu_accounting,
        rng=Random(f"{settings.node_name}:{time.time_ns()}"),
        controller_lease_s=controller_lease_s,
    )


@dataclass(frozen=True)
class ControllerState:
    """What a controller knows of the cluster, whether it leads or not."""

    leadership: Leadership  # its role, and the newest term it has heard of
    reservation_table: ReservationTable  # all controllers' reservations
    cancellations: Cancellations  # confirmed to a user by any controller
    placement_hints: PlacementHints  # where tasks may be
    released: ReleasedMachines  # gone, as the cloud confirmed to any controller


def initial_state(settings: Settings) -> ControllerState:
    """What a controller knows at its start: nothing."""
    name, workers = settings.node_name, settings.cluster.workers
    return ControllerState(
        leadership=Leadership(name),
        reservation_table=ReservationTable(name),
        cancellations=Cancellations(
            f"{name}-{time.time_ns():x}", workers.cancel_s, workers.lease_s
        ),
        placement_hints=PlacementHints(),
        released=ReleasedMachines(),
    )
