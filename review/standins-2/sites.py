"""The two deployments of the users' brief: settings, machine types and capacity."""

from __future__ import annotations

from typing import Any


def _team(name: str, gpus: float, gpus_max: float) -> dict[str, Any]:
    return {"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": gpus_max}


def _wait(lane: str, within_s: float, share: float) -> dict[str, Any]:
    return {"kind": "wait", "class": lane, "within_s": within_s, "share": share}


DECA = {
    "name": "deca-airmaps",
    "zones": ["attiki", "makedonia", "kriti"],
    "breed": {
        "label": "pyxida16",
        "vcpus": 16,
        "cards": 2,
        "ram_gb": 64,
        "local_gb": 150,
        "fetch_gb_per_s": 0.8,
        "hourly": 5.65,
        "market_price": 2.05,
        "ready_s": 50,
        "apiaries": ["attiki", "makedonia", "kriti"],
    },
    "capacity": {
        ("attiki", False): 11,
        ("attiki", True): 8,
        ("makedonia", False): 8,
        ("makedonia", True): 6,
        ("kriti", False): 9,
        ("kriti", True): 6,
    },
    "cluster": {
        "clock_error_ms": 25.0,
        "teams": [
            _team("chartes", 8.0, 24.0),
            _team("odigisi", 16.0, 40.0),
            _team("prosvasi", 16.0, 64.0),
            _team("kiosks", 16.0, 40.0),
            _team("epitopia", 16.0, 40.0),
        ],
        "objectives": [
            _wait("gate-rebuild", 80.0, 0.85),
            _wait("route-layer", 8.0, 0.82),
            _wait("route-layer", 18.0, 0.9),
            {"kind": "deadline", "class": "scan-tiling", "share": 0.9, "times": 1.0},
            {"kind": "guarantee", "within_s": 20.0, "share": 0.93},
        ],
        "workers": {
            "report_s": 3.0,
            "lease_s": 24.0,
            "gang_wait_s": 35.0,
            "gang_peer_s": 8.0,
            "cancel_s": 49.0,
        },
        "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 6.0, "list_lag_s": 8.0},
        "limits": {"cpu_share": 0.18, "mem_mb": 146.0, "sockets": 700},
    },
}

HIVE = {
    "name": "bienenwaage-ch",
    "zones": ["jura-rack", "wallis-rack", "jura-rack"],
    "breed": {
        "label": "wabe96",
        "vcpus": 96,
        "cards": 8,
        "ram_gb": 576,
        "local_gb": 90,
        "fetch_gb_per_s": 0.6,
        "hourly": 29.11,
        "market_price": 12.77,
        "ready_s": 30,
        "apiaries": ["jura-rack", "wallis-rack"],
    },
    "capacity": {
        ("jura-rack", False): 8,
        ("jura-rack", True): 7,
        ("wallis-rack", False): 7,
        ("wallis-rack", True): 6,
    },
    "cluster": {
        "clock_error_ms": 100.0,
        "teams": [
            _team("schwarmwache", 40.0, 120.0),
            _team("trachtprognose", 24.0, 48.0),
            _team("waagenpflege", 40.0, 136.0),
            _team("varroa-lab", 16.0, 64.0),
            _team("imkerdienst", 40.0, 120.0),
            _team("datenarchiv", 16.0, 80.0),
        ],
        "objectives": [
            _wait("swarmwarn-train", 30.0, 0.82),
            _wait("nectarflow-fit", 20.0, 0.82),
            {"kind": "deadline", "class": "curve-backfill", "share": 0.95, "times": 1.0},
            {"kind": "guarantee", "within_s": 40.0, "share": 0.93},
        ],
        "workers": {
            "report_s": 1.0,
            "lease_s": 10.0,
            "gang_wait_s": 50.0,
            "gang_peer_s": 6.0,
            "cancel_s": 30.0,
        },
        "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 16},
        "cloud": {"rps": 5.0, "list_lag_s": 5.0},
        "limits": {"cpu_share": 0.432, "mem_mb": 146.0, "sockets": 700},
    },
}


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return a job as a user submits it, with defaults for the fields that are not given."""
    spec = {
        "id": f"wk-{number:06d}",
        "lane": "gate-rebuild",
        "crew": "chartes",
        "shape": "gang",
        "urgency": "normal",
        "frames": 1,
        "vcpus": 14.0,
        "cards": 2.0,
        "ram_gb": 51.0,
        "comb": "img-01",
        "image_gb": 7.0,
        "breeds": None,
        "apiary": None,
        "same_place": True,
        "scatter": False,
        "drones": False,
        "forage_s": 120.0,
        "cap_s": 45.0,
        "seal_s": 3.0,
        "bloom_s": None,
    }
    assert fields.keys() <= spec.keys()
    return {**spec, **fields}
