"""Settings of the deployments, as their pages have them."""

from __future__ import annotations

from deployment import Site


def airport() -> Site:
    """Airport indoor maps, grown, at its small size (three controllers)."""
    return Site(
        machine={
            "label": "pyxida16", "vcpus": 16.0, "cards": 2.0, "ram_gb": 64.0, "local_gb": 150.0,
            "fetch_gb_per_s": 0.8, "hourly": 5.65, "market_price": 2.05, "ready_s": 50.0,
            "apiaries": ["attiki", "makedonia", "kriti"],
        },
        workers={
            "report_s": 4.0, "lease_s": 24.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0,
            "cancel_s": 49.0,
        },
        state={"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 24},
        cloud_rps=6.0, list_lag_s=8.0,
        teams={
            "chartes": (8.0, 18.0), "odigisi": (8.0, 24.0), "prosvasi": (8.0, 40.0),
            "kiosks": (8.0, 24.0), "epitopia": (8.0, 24.0),
        },
        objectives=[
            ("wait", "gate-rebuild", 60.0, 0.85), ("wait", "gate-rebuild", 180.0, 0.94),
            ("wait", "route-layer", 10.0, 0.78), ("wait", "route-layer", 50.0, 0.95),
        ],
        limits={"cpu_share": 0.18, "mem_mb": 146.0, "sockets": 700},
    )  # fmt: skip


def hive() -> Site:
    """Hive scale network: the first deployment (three controllers, twelve machines)."""
    return Site(
        machine={
            "label": "wabe96", "vcpus": 96.0, "cards": 8.0, "ram_gb": 576.0, "local_gb": 90.0,
            "fetch_gb_per_s": 0.6, "hourly": 29.11, "market_price": 12.77, "ready_s": 30.0,
            "apiaries": ["jura-rack", "wallis-rack"],
        },
        workers={
            "report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 50.0, "gang_peer_s": 6.0,
            "cancel_s": 30.0,
        },
        state={"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 16},
        cloud_rps=5.0, list_lag_s=5.0,
        teams={
            "schwarmwache": (40.0, 120.0), "trachtprognose": (24.0, 48.0),
            "waagenpflege": (40.0, 136.0), "varroa-lab": (16.0, 64.0),
            "imkerdienst": (40.0, 120.0), "datenarchiv": (16.0, 80.0),
        },
        objectives=[
            ("wait", "swarmwarn-train", 30.0, 0.82), ("wait", "nectarflow-fit", 20.0, 0.82),
        ],
        limits={"cpu_share": 0.432, "mem_mb": 146.0, "sockets": 700},
    )  # fmt: skip
