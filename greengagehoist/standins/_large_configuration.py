"""Configurations of any size, as operators with many routes or organisations write them."""

import random
from typing import Any

STAGES_PER_ROUTE = 3
POOLS = ("pool-1", "pool-2", "pool-3")
KEY_BITS = 128


def large_configuration(
    version: int, routes: int, tenants: int, seed: int = 1, changed: int = 0
) -> dict[str, Any]:
    """Return a configuration with routes of three stages and tenants with one random key each.

    :param changed: number of routes whose timeout differs from the usual one.
    """
    rng = random.Random(seed)
    return {
        "version": version,
        "routes": [_route(number, number < changed) for number in range(routes)],
        "services": [{"name": "desk"}, {"name": "llm", "engine": {"slots": 64}}]
        + [{"name": name, "segments": _pool()} for name in POOLS],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304},
        "tenants": [_tenant(number, rng) for number in range(tenants)],
    }


def _route(number: int, changed: bool) -> dict[str, Any]:
    stages = [
        {"service": name, "after": [index - 1] if index else [], "bytes": 8000 + index}
        for index, name in enumerate(POOLS[:STAGES_PER_ROUTE])
    ]
    return {
        "name": f"route-{number}",
        "host": f"host-{number % 40}.example",
        "prefix": f"/depot-{number}/",
        "route_type": "streaming",
        "timeout_ms": 9000 if changed else 8000,
        "target_latency_ms": 1263,
        "priority": number % 10,
        "service": "llm",
        "max_attempts": 2,
        "stages": stages,
        "public": False,
        "resumable": True,
        "gap_target_ms": 800,
    }


def _pool() -> dict[str, Any]:
    return {"batch": 8, "call_ms": 150.0, "item_ms": 16.0, "headroom_mb": 46.0}


def _tenant(number: int, rng: random.Random) -> dict[str, Any]:
    key = f"{rng.getrandbits(KEY_BITS):032x}"
    return {"name": f"organisation-{number}", "api_keys": [key], "priority": number % 3}
