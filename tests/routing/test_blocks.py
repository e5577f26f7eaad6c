from foxtailhatch.routing import prompt_blocks


def test_equal_prefixes_have_equal_digests_up_to_the_difference():
    left = prompt_blocks([*range(32), 1, *range(15)])
    right = prompt_blocks([*range(32), 2, *range(15)])
    assert left[:2] == right[:2]
    assert left[2] != right[2]


def test_an_earlier_difference_changes_all_later_digests():
    left = prompt_blocks([1, *range(31)])
    right = prompt_blocks([2, *range(31)])
    assert left[1] != right[1]


def test_an_incomplete_block_has_no_digest():
    assert not prompt_blocks(range(15))
