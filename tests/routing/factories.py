"""Factories of small pools for the routing tests."""

from foxtailhatch.core import (
    Address,
    Endpoint,
    EndpointKind,
    Holding,
    LayerRange,
    LoadReport,
)
from foxtailhatch.routing import Pool


def endpoint(name, zone='a', labels=None):
    return Endpoint(
        name,
        Address('127.0.0.1', 1),
        EndpointKind.ENGINE,
        zone,
        labels=labels or {},
    )


def report(name, first, end, **fields):
    load = {
        'measured_at': 0.0,
        'streams': 0,
        'queued_tokens': 0,
        'step_seconds': 0.01 * (end - first),
        'max_streams': 8,
    }
    load.update(fields)
    holding = Holding('m', '1', LayerRange(first, end))
    return LoadReport(endpoint=name, holdings=(holding,), **load)


def pool_of(*reports, zone='a', zones=None):
    pool = Pool(zone)
    for each in reports:
        pool.add(endpoint(each.endpoint, (zones or {}).get(each.endpoint, 'a')))
        pool.update_report(each, each.measured_at)
    return pool
