from foxtailhatch.outside import CacheEvent, CachePage
from foxtailhatch.routing import ChainQuery, PrefixIndex, ShortestPathChooser
from foxtailhatch.routing.prefix_index import HALF_LIFE_S
from tests.routing.worlds import pool_of, report

BLOCKS = ('a', 'ab', 'abc')


def expected(index, now=0.0, endpoint='one'):
    return index.cached_tokens(BLOCKS, now).get(endpoint, 0)


def test_an_own_sending_is_believed():
    index = PrefixIndex()
    index.note_prefilled('one', BLOCKS, 0.0)
    assert 24 < expected(index) <= 48
    assert not expected(index, endpoint='two')


def test_a_block_counts_only_after_all_before_it():
    index = PrefixIndex()
    index.note_prefilled('one', BLOCKS[1:], 0.0)
    assert not expected(index)


def test_an_event_makes_certain_and_its_contrary_ends_the_belief():
    index = PrefixIndex()
    index.note_prefilled('one', BLOCKS, 0.0)
    before = expected(index)
    page = CachePage(
        (CacheEvent(1, 'a', True), CacheEvent(2, 'ab', False)), False
    )
    index.apply_events('one', page, 0.0)
    assert expected(index) == 16
    assert before > 16


def test_a_gap_makes_older_beliefs_less_certain_but_not_newer_ones():
    index = PrefixIndex()
    index.note_prefilled('one', BLOCKS, 0.0)
    before = expected(index)
    index.apply_events('one', CachePage((), gap=True), 0.0)
    assert expected(index) == before / 2
    index.note_prefilled('one', BLOCKS, 0.0)
    assert expected(index) == before


def test_beliefs_fade():
    index = PrefixIndex()
    index.note_prefilled('one', BLOCKS, 0.0)
    assert expected(index, HALF_LIFE_S) == expected(index) / 2


def test_what_the_engine_says_at_the_opening_counts_most():
    index = PrefixIndex()
    index.note_prefilled('one', BLOCKS, 0.0)
    index.note_stage_opened('one', BLOCKS, 16, 1.0)
    assert expected(index, 1.0) == 16


def test_memory_is_bounded_and_the_oldest_go_first():
    index = PrefixIndex(max_beliefs=2)
    for block in BLOCKS:
        index.note_prefilled('one', (block,), 0.0)
    assert len(index) == 2
    assert not expected(index)


def test_a_replaced_endpoint_is_forgotten():
    index = PrefixIndex()
    index.note_prefilled('one', BLOCKS, 0.0)
    index.note_prefilled('two', BLOCKS, 0.0)
    index.remove_endpoint('one')
    assert not expected(index)
    assert len(index) == 3


def prefixed(queued_tokens):
    pool = pool_of(
        report('cold', 0, 4, step_seconds=0.0099),
        report('warm', 0, 4, step_seconds=0.01, queued_tokens=queued_tokens),
    )
    pool.prefix_index.note_prefilled('warm', BLOCKS, 0.0)
    query = ChainQuery('m', '1', 4, BLOCKS, 60, 1)
    chosen = ShortestPathChooser().choose(query, pool, 0.0).unwrap()
    return chosen.stages[0].endpoint


def test_a_request_goes_where_its_prefix_is_cached():
    assert prefixed(queued_tokens=0) == 'warm'


def test_a_long_queue_outweighs_a_cached_prefix():
    assert prefixed(queued_tokens=1000) == 'cold'
