"""Services and state that a controller's components share for the life of the process.

`ControllerServices` holds the settings and the clients of external services. `ControllerState`
is what a controller knows of the cluster whether or not it leads. Both outlive every term.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from random import Random
from typing import Protocol

from topazhold.control.cloud import Cloud
from topazhold.control.election import controller_lease_duration_s
from topazhold.control.follower_heartbeats import peer_expiry_s
from topazhold.control.instance_catalog import InstanceCatalog
from topazhold.control.key_value_store import KeyValueStore
from topazhold.core.cancellation_knowledge import CancellationKnowledge
from topazhold.core.cancellations import Cancellations
from topazhold.core.leadership import Leadership
from topazhold.core.placement_hints import PlacementHints
from topazhold.core.reservations import ReservationTable
from topazhold.io.client import Client
from topazhold.io.cpu_accounting import CpuAccounting
from topazhold.operations.released_machines import ReleasedMachines
from topazhold.operator_settings import OperatorSettings
from topazhold.settings import Settings, parse_address

#: Timeout of a request to the store, as a share of the controller's lease, so that a renewal of
#: the lease can be retried in time.
STORE_TIMEOUT_LEASE_SHARE = 0.4
#: Timeout of a request to the cloud, in seconds.
CLOUD_TIMEOUT_S = 5.0
#: Maximum idle connections: to the store for requests and for watches, and to the cloud.
STORE_CONNECTIONS = 6
WATCH_CONNECTIONS = 4
CLOUD_CONNECTIONS = 2


class Dial(Protocol):
    """Creates a client of a (host, port) address with a maximum of idle connections."""

    def __call__(self, address: tuple[str, int], connections: int, /) -> Client: ...


@dataclass(frozen=True)
class ControllerServices:
    """Settings, clients of external services, and other shared services."""

    settings: Settings
    operator: OperatorSettings
    store: KeyValueStore
    cloud: Cloud
    catalog: InstanceCatalog
    dial: Dial
    cpu_accounting: CpuAccounting
    rng: Random
    controller_lease_s: float  # duration of this controller's lease in the store


def connect_services(
    settings: Settings, operator: OperatorSettings, dial: Dial, cpu_accounting: CpuAccounting
) -> ControllerServices:
    """Create a controller's services; connections are opened by the first requests.

    Raises ValueError for a malformed address in the settings.
    """
    cluster = settings.cluster
    controller_lease_s = controller_lease_duration_s(settings)
    store_address = parse_address(settings.external.key_value_store)
    store = KeyValueStore(
        dial(store_address, STORE_CONNECTIONS),
        dial(store_address, WATCH_CONNECTIONS),
        cluster.key_value_store,
        timeout_s=STORE_TIMEOUT_LEASE_SHARE * controller_lease_s,
    )
    cloud = Cloud(
        dial(parse_address(settings.external.cloud), CLOUD_CONNECTIONS),
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

    leadership: Leadership  # its role, and the newest term it knows
    reservation_table: ReservationTable  # all controllers' reservations
    cancellations: Cancellations  # confirmed by any controller
    placement_hints: PlacementHints  # machines that may hold tasks
    released: ReleasedMachines  # releases that the cloud confirmed to any controller


def initial_state(settings: Settings) -> ControllerState:
    """Return the empty state with which a controller starts."""
    name, workers = settings.node_name, settings.cluster.workers
    knowledge = CancellationKnowledge(
        [seed.node_name for seed in settings.seeds],
        peer_expiry_s(controller_lease_duration_s(settings)),
        settings.cluster.max_clock_difference_s,
    )
    return ControllerState(
        leadership=Leadership(name),
        reservation_table=ReservationTable(name),
        cancellations=Cancellations(
            f"{name}-{time.time_ns():x}", workers.cancel_s, workers.lease_s, knowledge
        ),
        placement_hints=PlacementHints(),
        released=ReleasedMachines(),
    )
