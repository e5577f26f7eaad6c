import hashlib

from foxtailhatch.config.access import (
    access,
    caller_of,
    index_configuration,
    must_not_repeat,
    reachable_models,
    reachable_services,
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
ANN = caller_of(INDEX, 'secret')


def test_a_token_names_its_caller_and_no_other():
    assert (ANN.name, ANN.account) == ('ann', 'ward')
    assert caller_of(INDEX, DIGEST) is None


def test_matching_selectors_combine_on_the_safe_side():
    granted = access(INDEX, ANN, 'guide')
    assert granted.priority == 5
    assert not granted.repeatable
    assert granted.allows({'gpu': 'mid', 'zone': 'a'})
    assert not granted.allows({'gpu': 'small'})


def test_nothing_is_granted_without_a_selector_or_a_target():
    assert access(INDEX, ANN, 'lab') is None
    assert access(INDEX, ANN, 'gone') is None


def test_reachable_targets_are_listed_by_name():
    assert [model.name for model in reachable_models(INDEX, ANN)] == [
        'guide',
        'guide-ml',
    ]
    assert reachable_services(INDEX, ANN) == (DESK,)


def test_a_selector_forbids_repeating_any_call():
    granted = access(INDEX, ANN, 'desk')
    assert must_not_repeat(DESK, granted, 'GET', '/reels')
