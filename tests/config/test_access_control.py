import hashlib

from foxtailhatch.config.access_control import (
    evaluate_access,
    find_caller,
    index_configuration,
    reachable_models,
    reachable_services,
    requires_at_most_once,
)
from foxtailhatch.config.configuration import (
    Account,
    Adapter,
    CallerEntry,
    Configuration,
    Model,
    Selector,
    Service,
)

LINE = {'team': 'line'}
FLEET = {'pool': 'fleet'}
DIGEST = hashlib.sha256(b'secret').hexdigest()
DESK = Service('desk', {'role': 'desk'}, ('POST /reels',), labels=FLEET)
CFG = Configuration(
    1,
    accounts=(Account('ward'),),
    callers=(CallerEntry('ann', 'ward', DIGEST, LINE),),
    models=(Model('guide', 'v1', 4, FLEET), Model('lab', 'v1', 4)),
    adapters=(Adapter('guide-ml', 'guide', FLEET),),
    services=(DESK,),
    selectors=(
        Selector('all', LINE, FLEET, {'gpu': 'big'}, priority=1),
        Selector('late', LINE, {'pool': 'fleet'}, {'gpu': 'mid'}, 5, False),
        Selector('desk', {'team': 'desk'}, {}),
    ),
)
INDEX = index_configuration(CFG)
ANN = find_caller(INDEX, 'secret')


def test_a_token_authenticates_only_its_own_caller():
    assert (ANN.name, ANN.account) == ('ann', 'ward')
    assert find_caller(INDEX, DIGEST) is None


def test_matching_selectors_combine_priority_and_repeatability():
    granted = evaluate_access(INDEX, ANN, 'guide')
    assert granted.priority == 5
    assert not granted.repeatable
    assert granted.allows_endpoint({'gpu': 'mid', 'zone': 'a'})
    assert not granted.allows_endpoint({'gpu': 'small'})


def test_access_needs_a_matching_selector_and_a_known_target():
    assert evaluate_access(INDEX, ANN, 'lab') is None
    assert evaluate_access(INDEX, ANN, 'gone') is None


def test_reachable_targets_are_sorted_by_name():
    assert [model.name for model in reachable_models(INDEX, ANN)] == [
        'guide',
        'guide-ml',
    ]
    assert reachable_services(INDEX, ANN) == (DESK,)


def test_a_non_repeatable_selector_applies_to_every_call():
    granted = evaluate_access(INDEX, ANN, 'desk')
    assert requires_at_most_once(DESK, granted, 'GET', '/reels')
