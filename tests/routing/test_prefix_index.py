from foxtailhatch.outside import CacheEvent, CachePage
from foxtailhatch.routing import ChainQuery, PrefixIndex, ShortestPathChooser
from foxtailhatch.routing.prefix_index import HALF_LIFE_S
from tests.routing.factories import pool_of, report

BLOCKS = ('a', 'ab', 'abc')


def expected_tokens(index, now=0.0, endpoint='one'):
    return index.cached_tokens(BLOCKS, now).get(endpoint, 0)


def test_a_prefill_of_this_entry_counts_as_likely_cached():
    index = PrefixIndex()
    index.record_prefilled('one', BLOCKS, 0.0)
    assert 24 < expected_tokens(index) <= 48
    assert not expected_tokens(index, endpoint='two')


def test_a_block_counts_only_if_all_before_it_are_cached():
    index = PrefixIndex()
    index.record_prefilled('one', BLOCKS[1:], 0.0)
    assert not expected_tokens(index)


def test_cache_events_confirm_or_drop_estimates():
    index = PrefixIndex()
    index.record_prefilled('one', BLOCKS, 0.0)
    before = expected_tokens(index)
    page = CachePage(
        (CacheEvent(1, 'a', True), CacheEvent(2, 'ab', False)), False
    )
    index.apply_events('one', page, 0.0)
    assert expected_tokens(index) == 16
    assert before > 16


def test_a_gap_lowers_earlier_estimates_but_not_later_ones():
    index = PrefixIndex()
    index.record_prefilled('one', BLOCKS, 0.0)
    before = expected_tokens(index)
    index.apply_events('one', CachePage((), gap=True), 0.0)
    assert expected_tokens(index) == before / 2
    index.record_prefilled('one', BLOCKS, 0.0)
    assert expected_tokens(index) == before


def test_estimates_decay_with_time():
    index = PrefixIndex()
    index.record_prefilled('one', BLOCKS, 0.0)
    assert expected_tokens(index, HALF_LIFE_S) == expected_tokens(index) / 2


def test_the_engine_report_at_stage_opening_overrides_estimates():
    index = PrefixIndex()
    index.record_prefilled('one', BLOCKS, 0.0)
    index.record_stage_opened('one', BLOCKS, 16, 1.0)
    assert expected_tokens(index, 1.0) == 16


def test_memory_is_bounded_and_the_oldest_blocks_are_evicted():
    index = PrefixIndex(max_estimates=2)
    for block in BLOCKS:
        index.record_prefilled('one', (block,), 0.0)
    assert len(index) == 2
    assert not expected_tokens(index)


def test_estimates_for_a_removed_endpoint_are_dropped():
    index = PrefixIndex()
    index.record_prefilled('one', BLOCKS, 0.0)
    index.record_prefilled('two', BLOCKS, 0.0)
    index.remove_endpoint('one')
    assert not expected_tokens(index)
    assert len(index) == 3


def chosen_endpoint(queued_tokens):
    pool = pool_of(
        report('cold', 0, 4, step_seconds=0.0099),
        report('warm', 0, 4, step_seconds=0.01, queued_tokens=queued_tokens),
    )
    pool.prefix_index.record_prefilled('warm', BLOCKS, 0.0)
    query = ChainQuery('m', '1', 4, BLOCKS, 60, 1)
    chosen = ShortestPathChooser().choose(query, pool, 0.0).unwrap()
    return chosen.stages[0].endpoint


def test_a_request_goes_where_its_prefix_is_cached():
    assert chosen_endpoint(queued_tokens=0) == 'warm'


def test_a_long_queue_outweighs_a_cached_prefix():
    assert chosen_endpoint(queued_tokens=1000) == 'cold'
