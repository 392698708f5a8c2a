"""Catalogue documents with many routes."""

import json


def large_manifest(version, routes, changed=()):
    """Return a document of many routes; those in ``changed`` have another timeout."""
    document = {
        "version": version,
        "routes": large_routes(routes, changed),
        "services": [{"name": "s", "health_path": "/health", "max_conns": 50}],
    }
    return json.dumps(document).encode()


def large_routes(count, changed=()):
    """Return routes of different hosts; those in ``changed`` have another timeout."""
    return [_route(number, number in changed) for number in range(count)]


def _route(number, is_changed):
    return {
        "name": f"r-{number * 7919:07x}",
        "host": f"{number * 104729 % 999983:06x}.example",
        "path_prefix": f"/{number * 15485863 % 99999989:08x}/",
        "route_type": ("safe", "unsafe", "streaming")[number % 3],
        "timeout_ms": 7000 if is_changed else 5000,
        "target_latency_ms": 1000,
        "priority": 1,
        "traffic_split": [{"service": "s", "weight": 90}],
        "max_attempts": 2,
        "sticky": True,
        "resumable": True,
        "gap_aim_ms": 300,
        "home_regions": [],
    }
