"""Manifests with many routes."""

from common.world import HOST

# The limit of the store on a record (record_bytes).
RECORD_BYTES = 262_144


def idle_route(number):
    return {
        'name': f'r-idle-{number:05d}',
        'host': HOST,
        'path_prefix': f'/idle{number:05d}/',
        'route_kind': 'idempotent',
        'timeout_ms': 1500,
        'target_latency_ms': 300,
        'priority': 2,
        'public': False,
        'sticky': False,
        'resumable': False,
        'service': 'desk',
        'max_attempts': 2,
    }


def grow(world, most=350):
    """Add 350 routes, or as many as a record of the store holds."""
    count = len(world.extra_routes)
    world.configure()
    room = RECORD_BYTES - 2000 - manifest_bytes(world)
    # The bytes of one route in the manifest.
    more = min(most, int(room / 262))
    world.extra_routes += [idle_route(count + n) for n in range(more)]
    world.configure()


def manifest_bytes(world):
    return len(world.store.newest('keyed.op')['config'][0])
