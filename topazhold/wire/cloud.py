"""Messages to and from the cloud: catalog, scale-out and release requests, machine list."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import field

CATALOG_PATH = "/catalog"
MACHINES_PATH = "/machines"
RELEASE_PATH = "/machines/release"

#: State of a listed machine that has stopped by itself.
LISTED_FAILED = "failed"


class MachineType(msgspec.Struct):
    """A machine type; prices are per hour, present ones."""

    name: str = field(name="label")
    cpus: float = field(name="vcpus")
    gpus: float = field(name="cards")
    memory_gb: float = field(name="ram_gb")
    price: float = field(name="hourly")
    boot_s: float = field(name="ready_s")
    zones: list[str] = field(name="apiaries")
    cache_gb: float = field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = 1.0
    spot_price: float | None = field(name="market_price", default=None)


class Catalog(msgspec.Struct):
    """All machine types."""

    machine_types: list[MachineType] = field(name="breeds")


class ListedMachine(msgspec.Struct):
    """A machine in the cloud's list; `age_s` counts from the scale-out request."""

    id: str
    machine_type: str = field(name="breed")
    zone: str = field(name="apiary")
    state: str = field(name="stage")
    spot: bool = field(name="drones", default=False)
    endpoint: str | None = None
    age_s: float = 0.0


class MachinePage(msgspec.Struct):
    """A part of the cloud's list."""

    machines: list[ListedMachine] = field(name="boxes")
    truncated: bool = False


class ScaleOutResponse(msgspec.Struct):
    """The answer to a scale-out request: names of new machines."""

    machines: list[str] = field(name="boxes")


def scale_out_body(
    request: str, machine_type: str, zone: str, spot: bool, count: int
) -> dict[str, Any]:
    """A scale-out request; its name is never used for another one."""
    return {
        "swarm_ask": request,
        "breed": machine_type,
        "apiary": zone,
        "drones": spot,
        "count": count,
    }


def release_body(names: list[str]) -> dict[str, Any]:
    """A request to release machines."""
    return {"boxes": names}


def machine_list_target(after: str | None, limit: int) -> str:
    """The target that lists at most `limit` machines, from the one behind `after` on."""
    return f"{MACHINES_PATH}?most={limit}" + (f"&from={after}" if after else "")
