"""Cost and propagation delay of membership: ``python -m bench.membership``.

The controllers without I/O and the codec run in virtual time; the baseline is
a full mesh in which every entry sends a heartbeat to every other once a
second.  Bytes are those of frames with authentication tags and websocket
headers, sent and received, without TCP and IP headers.  A second part runs
nine nodes on real sockets in one process, with full-mesh heartbeats on the
same sockets as the baseline.  Each line printed is one JSON object.
"""

import asyncio
import time
from dataclasses import replace

import click

from bench.membership_sockets import measure_sockets
from bench.report import report
from bench.virtual_mesh import (
    STEP_S,
    VirtualMesh,
    build,
    location_of,
    populate_tables,
)
from foxtailhatch.core import HybridTimestamp
from foxtailhatch.membership import Digest, Entry, EntryTable
from foxtailhatch.peers import decode, encode
from foxtailhatch.peers.handshake import TAG_BYTES

SIZES = (9, 90, 360)
CURRENT_ENTRIES = 9
WARM_UP_S = 15
MEASURED_S = 20
LIMIT_S = 120
WEBSOCKET_HEADER_BYTES = 8
OVERHEAD_BYTES = TAG_BYTES + WEBSOCKET_HEADER_BYTES
STAMP = HybridTimestamp(1_800_000_000.125, 3, 'entry-000')
REPETITIONS = 5


class Meter:
    """Encode and decode digests, counting the bytes of their frames."""

    def __init__(self) -> None:
        """Start with a byte count of zero."""
        self.frame_bytes = 0

    def transform(self, digest: Digest) -> Digest:
        """Return the digest after encoding and decoding."""
        frame = encode(digest, STAMP)
        self.frame_bytes += len(frame) + OVERHEAD_BYTES
        message = decode(frame).unwrap().message
        return message if isinstance(message, Digest) else digest


def converged_mesh(count: int, seed: int) -> VirtualMesh:
    """Return a mesh whose entries all know each other, after warm-up."""
    is_current = count <= CURRENT_ENTRIES
    mesh = build(
        count,
        seed,
        zones=3 if is_current else 8,
        regions=1 if is_current else 3,
    )
    populate_tables(mesh)
    mesh.run(WARM_UP_S)
    return mesh


def full_mesh_cost(own: Entry, count: int) -> tuple[float, float]:
    """Return bytes and processor seconds per second of full-mesh heartbeats."""
    meter = Meter()
    table = EntryTable(own)
    start = time.process_time()
    for heartbeat in range(REPETITIONS):
        for number in range(count - 1):
            # One heartbeat sent, and one received and merged.
            encode(Digest(own), STAMP)
            peer = replace(own, name=f'peer-{number:03}', heartbeat=heartbeat)
            table.merge(meter.transform(Digest(peer)).sender, float(heartbeat))
    spent_s = time.process_time() - start
    return 2 * meter.frame_bytes / REPETITIONS, spent_s / REPETITIONS


def report_cost(mesh: VirtualMesh, count: int) -> None:
    """Report the cost per entry in a stable membership."""
    meter = Meter()
    mesh.transform = meter.transform
    start = time.process_time()
    mesh.run(MEASURED_S)
    spent_s = time.process_time() - start
    mesh.transform = lambda digest: digest
    node_seconds = count * MEASURED_S
    own = next(iter(mesh.nodes.values())).table.own
    mesh_bytes, mesh_spent_s = full_mesh_cost(own, count)
    report(
        f'membership_bytes_{count}',
        round(2 * meter.frame_bytes / node_seconds, 1),
        'bytes/s/node',
        round(mesh_bytes, 1),
    )
    report(
        f'membership_processor_{count}',
        round(spent_s / node_seconds, 6),
        's/s/node',
        round(mesh_spent_s, 6),
    )


def leave_propagation_s(mesh: VirtualMesh, number: int) -> float:
    """Return the seconds until all entries know that an endpoint is leaving."""
    first = next(iter(mesh.nodes.values()))
    endpoint = f'gpu-{number}'
    first.announce_endpoint_leaving(endpoint, mesh.now)
    others = list(mesh.received_leaves.values())[1:]
    return mesh.run_until(
        lambda: all(
            leaves and leaves[-1].endpoint == endpoint for leaves in others
        ),
        LIMIT_S,
    )


def version_propagation_s(mesh: VirtualMesh, version: int) -> float:
    """Return the seconds until all entries know a configuration version."""
    tables = [gossip.table for gossip in mesh.nodes.values()]
    tables[0].update_own(configuration_version=version)
    return mesh.run_until(
        lambda: all(
            table.own.configuration_version == version for table in tables
        ),
        LIMIT_S,
    )


def report_propagation(mesh: VirtualMesh, count: int) -> None:
    """Report propagation delays; the baseline is one message of a full mesh."""
    numbers = range(1, REPETITIONS + 1)
    leaves = [leave_propagation_s(mesh, number) for number in numbers]
    report(
        f'membership_leave_known_{count}', round(max(leaves), 2), 's', STEP_S
    )
    versions = [version_propagation_s(mesh, number) for number in numbers]
    report(
        f'membership_version_known_{count}',
        round(max(versions), 2),
        's',
        STEP_S,
    )


def report_join(mesh: VirtualMesh, count: int) -> None:
    """Report how soon a joining entry knows 95 % of the members."""
    wanted = 0.95 * count
    seeds = list(mesh.nodes)[:3]
    newcomer = mesh.add('newcomer', location_of(0, 3, 1), seeds)
    spent_s = mesh.run_until(lambda: newcomer.table.count() >= wanted, LIMIT_S)
    report(f'membership_newcomer_{count}', round(spent_s, 2), 's', STEP_S)


def report_sockets(seconds: int) -> None:
    """Report the processor time on real sockets against a full mesh."""
    costs = [
        asyncio.run(
            measure_sockets(CURRENT_ENTRIES, seconds, full_mesh=full_mesh),
        )
        for full_mesh in (False, True)
    ]
    gossip, mesh = costs
    report(
        f'membership_socket_processor_{CURRENT_ENTRIES}',
        round(gossip.processor_s, 6),
        's/s/node',
        round(mesh.processor_s, 6),
        links=round(gossip.links, 1),
        baseline_links=round(mesh.links, 1),
    )


@click.command()
@click.option('--seed', default=1)
@click.option('--socket-seconds', default=10)
def main(seed: int, socket_seconds: int) -> None:
    """Measure membership at each cluster size."""
    for count in SIZES:
        mesh = converged_mesh(count, seed)
        report_cost(mesh, count)
        report_propagation(mesh, count)
        report_join(mesh, count)
    report_sockets(socket_seconds)


if __name__ == '__main__':
    main()
