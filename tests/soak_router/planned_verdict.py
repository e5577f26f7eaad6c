"""What callers may see around planned work, judged by their own sockets."""

import json
from collections import Counter
from pathlib import Path

from tests.soak_router.silent_endpoint import (
    read_body,
    stream_body,
    write_body,
)

GRACE_S = 8.0
# A request that takes so long to end may end with its router.
EXEMPT_SHARE = 5 / 6
EXEMPT_SENT_S = 3.0
EXEMPT_BEYOND_GRACE_S = 1.0
# A connection that ends this soon after a request was sent may have crossed it.
CROSSING_S = 0.2
# A time without a silence, and with routers that have long been up, is calm.
CALM_MARGIN_S = 1.5
OK = 200
LOST = frozenset(('closed', 'reset'))
NOT_RUN = frozenset((408, 421, 429, 503))
FAILURES = frozenset((500, 502, 504))
MAX_LOG_LINES = 12


def violations_of(exchanges, world):
    """Return a description of each guarantee that a caller missed."""
    judged = ((each, _judge(each, world)) for each in exchanges)
    return [_describe(each, world, text) for each, text in judged if text]


def exempt_of(exchanges, world):
    """Return what ended with its router though it was lost, as is allowed."""
    return [
        _describe(exchange, world, 'ended with its router')
        for exchange in exchanges
        if exchange.ending in LOST
        and exchange.whole_at is not None
        and not exchange.is_unprocessed
        and _is_exempt(exchange, world, _is_read(exchange, world))
    ]


def refused_in_calm(exchanges, world):
    """Return how many requests were refused without any planned work near."""
    return sum(
        exchange.status in NOT_RUN and _is_calm(exchange, world)
        for exchange in exchanges
    )


def outcomes_of(exchanges):
    """Count requests by kind, status and how they ended."""
    return Counter(
        (each.kind, each.status, _ending_of(each)) for each in exchanges
    )


def _ending_of(exchange):
    return 'unprocessed' if exchange.is_unprocessed else exchange.ending


def log_lines(folder, request_id):
    """Return the last lines that routers wrote about a request."""
    lines = [
        line
        for path in sorted(Path(folder).glob('*.log'))
        for line in path.read_text().splitlines()
        if f'"id":"{request_id}"' in line
    ]
    return sorted(lines, key=_time_of)[-MAX_LOG_LINES:]


def _time_of(line):
    return json.loads(line)['t']


def _judge(exchange, world):
    runs = world.pool.runs[exchange.request_id]
    if exchange.kind == 'once' and runs > 1:
        return f'ran {runs} times'
    if exchange.status in NOT_RUN and runs:
        return f'was refused with {exchange.status} but ran'
    if exchange.ending == 'answered':
        return _judge_answer(exchange)
    if exchange.is_unprocessed:
        return 'ran after an answer that announced the end' if runs else ''
    if exchange.ending == 'late':
        return 'got no whole answer in its time'
    return _judge_loss(exchange, world)


def _judge_answer(exchange):
    if exchange.status == OK:
        is_right = exchange.answer == _expected(exchange)
        return '' if is_right and _is_own(exchange) else 'got a wrong answer'
    if exchange.status in NOT_RUN | FAILURES:
        return ''
    return f'got status {exchange.status}'


def _expected(exchange):
    if exchange.kind == 'm':
        return stream_body(exchange.request_id)
    if exchange.method == 'POST':
        return write_body(exchange.request_id, exchange.body)
    size = int(exchange.path.split('/')[2])
    return read_body(exchange.request_id, size)


def _is_own(exchange):
    seal = exchange.headers.get('foxtailhatch-response-seal')
    return seal == f'seal-{exchange.request_id}'


def _judge_loss(exchange, world):
    if _is_left_unread(exchange, world):
        return ''
    if exchange.whole_at is None:
        is_crossing = exchange.ended_at - exchange.began_at <= CROSSING_S
        return '' if is_crossing else 'was cut in its body without an answer'
    is_read = _is_read(exchange, world)
    is_late = exchange.ended_at - exchange.whole_at > CROSSING_S
    if not (is_read or is_late) or _is_exempt(exchange, world, is_read):
        return ''
    return f'was lost ({exchange.ending})'


def _is_left_unread(exchange, world):
    """Return whether a broken answer was reset before this request was read.

    A connection that ends without unread bytes is closed, not reset.
    """
    return (
        exchange.is_behind_cut
        and exchange.ending == 'reset'
        and not _is_read(exchange, world)
    )


def _is_read(exchange, world):
    has_run = world.pool.runs[exchange.request_id] > 0
    return has_run or exchange.status is not None


def _is_exempt(exchange, world, is_read):
    last_part_s = GRACE_S * EXEMPT_SHARE
    last_s = GRACE_S + EXEMPT_BEYOND_GRACE_S
    return is_read and any(
        exchange.whole_at <= stop.asked_at + EXEMPT_SENT_S
        and last_part_s <= _cut_at(exchange, stop) - stop.asked_at <= last_s
        for stop in _stops(exchange, world)
    )


def _cut_at(exchange, stop):
    """Return when an entry has cut an answer; a slow reader sees it later."""
    return min(exchange.ended_at, stop.ended_at or exchange.ended_at)


def _stops(exchange, world):
    return [stop for stop in world.stops if stop.router == exchange.router]


def _is_calm(exchange, world):
    began_at = exchange.began_at - CALM_MARGIN_S
    silences = [
        silence
        for node in world.pool.nodes.values()
        for silence in node.silences
    ]
    stops = [
        (stop.asked_at, (stop.served_at or exchange.ended_at) + CALM_MARGIN_S)
        for stop in world.stops
    ]
    return not any(
        first <= exchange.ended_at and began_at <= last
        for first, last in silences + stops
    )


def _describe(exchange, world, text):
    runs = world.pool.runs[exchange.request_id]
    whole_at = exchange.whole_at
    took_s = exchange.ended_at - exchange.began_at
    since_whole = None if whole_at is None else exchange.ended_at - whole_at
    offsets = [
        f'{stop.router} asked to stop {exchange.began_at - stop.asked_at:+.2f}'
        f' s before it was sent, ended'
        f' {(stop.ended_at or 0) - exchange.ended_at:+.2f} s after its end'
        for stop in _stops(exchange, world)
        if stop.asked_at <= exchange.ended_at
        and exchange.began_at <= (stop.ended_at or exchange.ended_at) + 1
    ]
    return (
        f'{exchange.request_id} ({exchange.method} {exchange.path},'
        f' {exchange.router}) {text}; status {exchange.status},'
        f' {len(exchange.answer)} bytes, {runs} runs, sent at'
        f' {exchange.began_at:.3f}, ended {exchange.ending} after'
        f' {took_s:.3f} s, since whole {since_whole}; {offsets}'
    )
