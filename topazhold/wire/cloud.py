"""Messages exchanged with the cloud: catalog, scale-out, release, and the machine list."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import field

CATALOG_PATH = "/catalog"
MACHINES_PATH = "/machines"
RELEASE_PATH = "/machines/release"

#: State of a listed machine that stopped without being released.
LISTED_FAILED = "failed"


class MachineType(msgspec.Struct):
    """A machine type in the catalog; prices are the current ones, per hour."""

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
    """The catalog: all machine types."""

    machine_types: list[MachineType] = field(name="breeds")


class ListedMachine(msgspec.Struct):
    """A machine in the cloud's list; `age_s` is the time in seconds since its scale-out request."""

    id: str
    machine_type: str = field(name="breed")
    zone: str = field(name="apiary")
    state: str = field(name="stage")
    spot: bool = field(name="drones", default=False)
    endpoint: str | None = None
    age_s: float = 0.0


class MachinePage(msgspec.Struct):
    """One page of the cloud's machine list; `truncated`: more pages follow."""

    machines: list[ListedMachine] = field(name="boxes")
    truncated: bool = False


class ScaleOutResponse(msgspec.Struct):
    """The response to a scale-out request: the names of the new machines."""

    machines: list[str] = field(name="boxes")


def scale_out_body(
    request: str, machine_type: str, zone: str, spot: bool, count: int
) -> dict[str, Any]:
    """Build a scale-out request; `request` is its unique name, which is never reused."""
    return {
        "swarm_ask": request,
        "breed": machine_type,
        "apiary": zone,
        "drones": spot,
        "count": count,
    }


def release_body(names: list[str]) -> dict[str, Any]:
    """Build a request that releases machines."""
    return {"boxes": names}


def machine_list_target(after: str | None, limit: int) -> str:
    """Return the request target that lists up to `limit` machines, starting behind `after`."""
    return f"{MACHINES_PATH}?most={limit}" + (f"&from={after}" if after else "")
