"""Faults of the network: partitions, losses, duplicates and late deliveries."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from tests.fakes.cloud import FakeCloud
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.simulation.fault import Fault

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

#: Share of the partitions after which some of the cut-off requests are delivered late.
LATE_DELIVERY_SHARE = 0.5
#: Share of the one-way cuts of the key-value store that lose its responses, not the requests.
TO_CONTROLLER_SHARE = 0.5
#: Shares of the requests that are lost, duplicated or carried out late while a fault lasts.
LOSS_SHARE = 0.1
DUPLICATE_SHARE = 0.3
LATE_WRITE_SHARE = 0.2
LATE_OPERATION_SHARE = 0.4

#: Duration of a zone's isolation, as a multiple of other faults' durations.
ZONE_ISOLATION_FACTOR = 3.0

Pairs = list[tuple[str, str]]


async def _partition(simulation: Simulation, fault: Fault, pairs: Pairs) -> None:
    """Cut the connections between pairs of hosts or zones for the fault's duration.

    In a share of the partitions, some of the requests that meet a cut are delivered late.
    """
    simulation.network.delivers_cut_requests_late = simulation.rng.random() < LATE_DELIVERY_SHARE
    cuts = {frozenset(pair) for pair in pairs}
    simulation.network.cuts |= cuts
    await curio.sleep(fault.duration_s)
    simulation.network.cuts -= cuts


def _peer_and_store_links(simulation: Simulation, name: str) -> Pairs:
    """Return a controller's connections to the other controllers and the key-value store."""
    others = (*simulation.controller_names, FakeKeyValueStore.HOST)
    return [(name, other) for other in others if other != name]


async def partition_zones(simulation: Simulation, fault: Fault) -> None:
    """Partition the zones from each other."""
    await _partition(simulation, fault, [("a", "b")])


async def isolate_zone(simulation: Simulation, fault: Fault) -> None:
    """Isolate a zone from everything else, for up to about three times `cancel_s`."""
    zone, other_zone = simulation.rng.sample(["a", "b"], 2)
    outside = (other_zone, "user", FakeKeyValueStore.HOST, FakeCloud.HOST)
    longer = replace(fault, duration_s=ZONE_ISOLATION_FACTOR * fault.duration_s)
    await _partition(simulation, longer, [(zone, host) for host in outside])


async def isolate_controller(simulation: Simulation, fault: Fault) -> None:
    """Isolate one controller from everything else."""
    name = fault.controller
    hosts = (*simulation.controller_names, "user", FakeKeyValueStore.HOST, FakeCloud.HOST)
    pairs = [(name, zone) for zone in ("a", "b")]
    pairs += [(name, host) for host in hosts if host != name]
    await _partition(simulation, fault, pairs)


async def partition_controller_from_store(simulation: Simulation, fault: Fault) -> None:
    """Partition one controller from the key-value store."""
    await _partition(simulation, fault, [(fault.controller, FakeKeyValueStore.HOST)])


async def partition_controller_except_workers(simulation: Simulation, fault: Fault) -> None:
    """Partition one controller from the other controllers and the key-value store."""
    await _partition(simulation, fault, _peer_and_store_links(simulation, fault.controller))


async def partition_leader_except_workers(simulation: Simulation, fault: Fault) -> None:
    """Partition the leader from the other controllers and the key-value store."""
    pairs = [
        pair for name in simulation.leaders() for pair in _peer_and_store_links(simulation, name)
    ]
    await _partition(simulation, fault, pairs)


async def partition_leader_from_zone(simulation: Simulation, fault: Fault) -> None:
    """Partition the leader from one zone."""
    await _partition(simulation, fault, [(name, "b") for name in simulation.leaders()])


async def isolate_machines(simulation: Simulation, fault: Fault) -> None:
    """Isolate two machines from all controllers."""
    workers = list(simulation.cloud.workers.values())[:2]
    pairs = [(worker.host, name) for worker in workers for name in simulation.controller_names]
    await _partition(simulation, fault, pairs)


async def partition_store_one_way(simulation: Simulation, fault: Fault) -> None:
    """Cut one direction between the key-value store and a controller, perhaps the leader."""
    rng = simulation.rng
    name = rng.choice([*simulation.leaders(), fault.controller])
    lost = {(name, FakeKeyValueStore.HOST)}
    if rng.random() < TO_CONTROLLER_SHARE:
        lost = {(FakeKeyValueStore.HOST, name)}
    simulation.network.one_way_cuts |= lost
    await curio.sleep(2 * fault.duration_s)
    simulation.network.one_way_cuts -= lost


async def lose_requests(simulation: Simulation, fault: Fault) -> None:
    """Lose a share of requests and of responses."""
    simulation.network.loss_share = LOSS_SHARE
    await curio.sleep(fault.duration_s)
    simulation.network.loss_share = 0.0


async def duplicate_requests(simulation: Simulation, fault: Fault) -> None:
    """Deliver late duplicates of heartbeats and of users' POST requests."""
    simulation.network.duplicate_share = DUPLICATE_SHARE
    await curio.sleep(fault.duration_s)
    simulation.network.duplicate_share = 0.0


async def delay_writes(simulation: Simulation, fault: Fault) -> None:
    """Carry out a share of the transactions late, without a response."""
    simulation.network.late_write_share = LATE_WRITE_SHARE
    await curio.sleep(fault.duration_s)
    simulation.network.late_write_share = 0.0


async def delay_cloud_operations(simulation: Simulation, fault: Fault) -> None:
    """Carry out a share of the cloud operations late, without a response."""
    simulation.network.late_operation_share = LATE_OPERATION_SHARE
    await curio.sleep(fault.duration_s)
    simulation.network.late_operation_share = 0.0


async def cut_peer_links(simulation: Simulation, fault: Fault) -> None:
    """Cut the links between controllers; everything else works."""
    simulation.peers_unreachable = True
    await curio.sleep(fault.duration_s)
    simulation.peers_unreachable = False


FAULTS = {
    "zones_cut": partition_zones,
    "zone_off": isolate_zone,
    "node_cut": isolate_controller,
    "node_off_state": partition_controller_from_store,
    "node_off_all_but_workers": partition_controller_except_workers,
    "leader_off_all_but_workers": partition_leader_except_workers,
    "leader_off_zone": partition_leader_from_zone,
    "machine_cut": isolate_machines,
    "state_one_way": partition_store_one_way,
    "loss": lose_requests,
    "late_copies": duplicate_requests,
    "late_writes": delay_writes,
    "cloud_held": delay_cloud_operations,
    "peers_refuse": cut_peer_links,
}
