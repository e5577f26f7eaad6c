"""The pages of readiness, advice and metrics."""

from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.status_pages import StatusPages
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import start_relay
from tests.router.fakes import board


def test_metrics_tell_why_endpoints_get_no_work():
    env = board()
    for name in ('e1', 'e2', 'e3'):
        env.endpoints.put(endpoint(name), 100)
    metrics = RouterMetrics('a')
    pages = StatusPages(env, start_relay().context, metrics)
    metrics.record_notice('leaving')
    env.endpoints.mark_leaving('e1', 1, 100)
    env.endpoints.pauses.record(endpoint('e2'), 2, 100)
    lines = pages.metrics({}).decode().splitlines()
    assert 'endpoint_notices{instance="a",kind="leaving"} 1' in lines
    assert 'endpoints{instance="a",state="leaving"} 1' in lines
    assert 'endpoints{instance="a",state="paused"} 1' in lines
    assert 'endpoints{instance="a",state="ready"} 1' in lines
    assert 'endpoints{instance="a",state="dead"} 0' in lines
    env.clock.now = 103
    later = pages.metrics({}).decode().splitlines()
    assert 'endpoints{instance="a",state="paused"} 0' in later
