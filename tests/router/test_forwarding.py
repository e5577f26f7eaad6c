"""Requests at an entry that is cut off, and the load on the others."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from foxtailhatch.relay.context import SelectionRequest
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.entry_table import Heartbeat
from foxtailhatch.router.forwarding import (
    CONNECT_PAUSE_S,
    CUT_OFF_PAUSE_S,
    FORWARDED_PAUSE_S,
    CutOffWatch,
    ForwardingSelector,
)
from foxtailhatch.routes import RouteKind
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import start_relay
from tests.router.fakes import Clock, board, engine
from tests.router.test_admission import request
from tests.router.test_entry_table import entry
from tests.routes.configurations import MODEL

STREAM = {'kind': RouteKind.STREAM, 'resumable': True, 'layered': True}


def selector_at(name, peers, unreached=(), seed=1):
    """Return the selector of an entry that is cut off from the model."""
    env = board(Clock())
    env.cfg = replace(env.cfg, instance=name)
    env.endpoints.put(engine('e1', layers=(0, 80)), 0)
    listed = [
        replace(
            entry(peer), unreached=(MODEL.name,) if peer in unreached else ()
        )
        for peer in peers
    ]
    env.entries.record_heartbeat(peers[0], Heartbeat(listed), env.clock())
    env.reach.record_sample(MODEL.name, accepted=0, asked=4)
    return env, ForwardingSelector(env, Random(seed))


def select(selector, req=None, exclude=()):
    selection = SelectionRequest(MODEL, req or request(), frozenset(exclude))
    return selector.select(selection, 100.0)


# Guards against requests that are lost at an entry without reach.
def test_entry_that_is_cut_off_selects_another_one():
    _, selector = selector_at('a', ['a', 'b', 'c'], unreached=['c'])
    (stage,) = select(selector)
    assert (stage.endpoint.name, stage.is_entry) == ('b', True)


def test_entry_with_reach_selects_endpoints():
    env, selector = selector_at('a', ['a', 'b'])
    env.reach.record_sample(MODEL.name, accepted=4, asked=4)
    chosen = select(selector)
    assert chosen is None or not chosen[0].is_entry


def test_forwarded_request_is_not_forwarded_again():
    _, selector = selector_at('a', ['a', 'b'])
    assert select(selector, replace(request(), is_forwarded=True)) is None


# Guards against refusals of all requests while a service is in trouble itself.
def test_endpoints_are_tried_if_no_entry_has_reach():
    env, selector = selector_at('a', ['a', 'b'], unreached=['b'])
    direct = LoadAwareSelector(env, Random(1))
    selection = SelectionRequest(MODEL, request())
    assert selector.select(selection, 100.0) == direct.select(selection, 100.0)


def test_waiting_stream_is_left_alone_if_no_entry_has_reach():
    watched = Watched(**STREAM)
    connection = watched.env.accept_connection()
    watched.advance(CUT_OFF_PAUSE_S + 0.1, cut_off=True)
    assert not connection.is_aborted


def test_entries_that_failed_a_request_are_left_out():
    _, selector = selector_at('a', ['a', 'b', 'c'])
    assert select(selector, exclude=['b'])[0].endpoint.name == 'c'
    assert select(selector, exclude=['b', 'c']) is None


# Guards against one entry that gets the load of its whole zone.
def test_load_of_a_zone_that_is_cut_off_is_spread_over_all_others():
    peers = [f'entry-{number}' for number in range(9)]
    cut = peers[:3]
    counts = Counter()
    for seed, name in enumerate(cut):
        _, selector = selector_at(name, peers, cut, seed)
        counts.update(select(selector)[0].endpoint.name for _ in range(200))
    assert set(counts) == set(peers[3:])
    assert max(counts.values()) <= 1.3 * 600 / 6


class Watched:
    """A running request, and the watch over it."""

    def __init__(self, peers=(), **kind):
        self.env = start_relay(**kind)
        self.board = board(self.env.reactor.seconds, has_configuration=False)
        self.service = self.env.relay.admitted.service.name
        self.watch = CutOffWatch(self.board, self.env.context)
        if peers:
            self.board.entries.record_heartbeat(
                peers[0], Heartbeat([entry(peer) for peer in peers]), 0
            )

    def advance(self, seconds, *, cut_off=False):
        self.env.reactor.advance(seconds)
        if cut_off:
            self.board.reach.record_sample(self.service, accepted=0, asked=4)
        self.watch.step()


# Guards against bookings that wait a second for each lost connection.
def test_unsent_request_moves_on_even_if_it_may_run_once():
    watched = Watched(['b'], kind=RouteKind.AT_MOST_ONCE, attempts=1)
    watched.advance(CONNECT_PAUSE_S + 0.1)
    assert watched.board.reach.due_for_sample(1.0) == [watched.service]
    watched.advance(0.1, cut_off=True)
    watched.env.reactor.tcpClients.pop(0)
    other = watched.env.accept_connection()
    assert b'X-To: e2' in other.request


# Guards against bookings that run twice.
def test_request_that_was_sent_and_may_run_once_stays():
    watched = Watched(['b'], kind=RouteKind.AT_MOST_ONCE, attempts=1)
    watched.env.accept_connection()
    watched.advance(2.0, cut_off=True)
    assert watched.env.reactor.tcpClients == []


def test_stream_without_progress_resumes_elsewhere():
    watched = Watched(['b'], **STREAM)
    connection = watched.env.accept_connection()
    connection.start_stream()
    connection.send_event(1)
    watched.advance(CUT_OFF_PAUSE_S + 0.1, cut_off=True)
    assert b'X-After: 1' in watched.env.accept_connection().request


# Guards against streams that are cut although their connection lives on.
def test_stream_with_progress_goes_on():
    watched = Watched(['b'], **STREAM)
    connection = watched.env.accept_connection()
    connection.start_stream()
    for number in range(1, 6):
        connection.send_event(number)
        watched.advance(CUT_OFF_PAUSE_S / 2, cut_off=True)
    connection.end_stream()
    assert watched.env.caller.finished


class ForwardedRelay:
    """A request that was forwarded to another entry."""

    def __init__(self, **kind):
        self.watched = Watched(**kind)
        env = self.watched.env
        selector = ForwardingSelector(self.watched.board, Random(1))
        self.watched.board.entries.record_heartbeat(
            'b', Heartbeat([entry('b'), entry('c')]), env.reactor.seconds()
        )
        env.context.selector = selector
        env.reactor.tcpClients.clear()
        self.watched.advance(CONNECT_PAUSE_S + 0.1)
        self.watched.advance(0.1, cut_off=True)
        self.env = env


def test_forwarded_request_is_answered_by_the_other_entry():
    forwarded = ForwardedRelay()
    forwarded.env.accept_connection().respond(b'answer')
    assert forwarded.env.caller.body == b'answer'


def test_refusal_of_an_entry_is_true_and_another_one_is_asked():
    forwarded = ForwardedRelay(kind=RouteKind.AT_MOST_ONCE)
    forwarded.env.accept_connection().respond(status=503)
    forwarded.env.accept_connection().respond(b'answer')
    assert forwarded.env.caller.body == b'answer'


# Guards against bookings that run twice.
def test_entry_that_closes_leaves_the_outcome_unknown():
    forwarded = ForwardedRelay(kind=RouteKind.AT_MOST_ONCE)
    forwarded.env.accept_connection().close()
    assert forwarded.env.reactor.tcpClients == []
    assert forwarded.env.caller.status == 502


LEAVING = 'X-Leaving: 1\r\n'


# Guards against new work, at an entry that is in reach again, for an endpoint whose
# answer it has passed on with the word that it leaves.
@pytest.mark.parametrize('status', [200, 404])
def test_endpoint_that_leaves_behind_an_entry_gets_no_work(status):
    forwarded = ForwardedRelay()
    endpoints = forwarded.env.context.endpoints
    forwarded.env.accept_connection().respond(
        status=status, headers=f'{LEAVING}X-Who: e1/1\r\n'
    )
    assert not endpoints.accepts_work(endpoints.get('e1'))
    assert endpoints.accepts_work(endpoints.get('e2'))
    line = forwarded.env.log.of('endpoint_leaves')[0]
    assert (line['endpoint'], line['by']) in {('e1', 'b'), ('e1', 'c')}


def test_endpoint_that_leaves_behind_an_entry_is_known_before_it_is_listed():
    forwarded = ForwardedRelay()
    endpoints = forwarded.env.context.endpoints
    forwarded.env.accept_connection().respond(
        headers=f'{LEAVING}X-Who: e9/7\r\n'
    )
    endpoints.put(endpoint('e9', incarnation=7), 1)
    assert not endpoints.accepts_work(endpoints.get('e9'))
    endpoints.put(endpoint('e9', incarnation=8), 2)
    assert endpoints.accepts_work(endpoints.get('e9'))


@pytest.mark.parametrize(
    'headers',
    [LEAVING, f'{LEAVING}X-Who: other/1\r\n', 'X-Who: e1/1\r\n'],
    ids=['older entry', 'other service', 'no word of the endpoint'],
)
def test_word_of_an_entry_without_an_endpoint_that_may_have_answered(headers):
    forwarded = ForwardedRelay()
    endpoints = forwarded.env.context.endpoints
    endpoints.put(endpoint('other', service='another'), 0)
    forwarded.env.accept_connection().respond(headers=headers)
    assert all(
        endpoints.accepts_work(endpoints.get(name))
        for name in endpoints.names()
    )
    assert forwarded.env.log.of('endpoint_leaves') == []
    unnamed = forwarded.env.log.of('leaving_unnamed')
    assert len(unnamed) == headers.startswith(LEAVING)


def test_pause_in_the_refusal_of_an_entry_is_for_callers():
    forwarded = ForwardedRelay()
    endpoints = forwarded.env.context.endpoints
    forwarded.env.accept_connection().respond(
        status=503, headers='X-Pause: 3\r\n'
    )
    assert len(endpoints.pauses) == 0


# Guards against entries that do not tell the one before them who leaves.
def test_answer_to_a_forwarded_request_names_the_endpoint_that_leaves():
    env = start_relay(is_forwarded=True)
    env.accept_connection().respond(headers=LEAVING)
    assert env.caller.headers[b'x-who'] == b'e1/1'
    assert env.caller.headers[b'x-leaving'] == b'1'


def test_stream_for_another_entry_names_the_endpoint_that_leaves():
    env = start_relay(kind=RouteKind.STREAM, resumable=True, is_forwarded=True)
    stream = env.accept_connection()
    stream.start_stream(headers=LEAVING)
    stream.send_event(1)
    assert env.caller.headers[b'x-who'] == b'e1/1'


@pytest.mark.parametrize(
    ('is_forwarded', 'headers'), [(False, LEAVING), (True, '')]
)
def test_no_endpoint_is_named_to_callers_or_without_need(is_forwarded, headers):
    env = start_relay(is_forwarded=is_forwarded)
    env.accept_connection().respond(headers=headers)
    assert b'x-who' not in env.caller.headers


def test_silent_entry_is_left():
    forwarded = ForwardedRelay()
    forwarded.env.accept_connection()
    forwarded.watched.advance(FORWARDED_PAUSE_S + 0.1)
    forwarded.env.accept_connection().respond(b'answer')
    assert forwarded.env.caller.body == b'answer'


# Guards against prompts that are quarantined for the cut of an entry.
@pytest.mark.parametrize('parts', [(), ('shared', 'own')])
def test_request_that_an_entry_lost_is_no_evidence_of_a_crash(parts):
    forwarded = ForwardedRelay(parts=parts)
    forwarded.env.accept_connection().close()
    assert forwarded.env.context.prompts.lost == []
    assert forwarded.env.context.prompts.lost_requests == []
