"""Which answers of other entries confirm that the store is away for all."""

import pytest

from foxtailhatch.router.lease_peers import PeerSilent, PeerUnaware
from foxtailhatch.router.outage_confirmation import confirms_outage

SILENT = PeerSilent()
UNAWARE = PeerUnaware()


@pytest.mark.parametrize('ages', [[3.0], [3.0, 3.0], [3.0, SILENT]])
def test_old_data_of_half_of_the_peers_confirm_an_outage(ages):
    assert confirms_outage(ages, lapsed_s=1.5)


@pytest.mark.parametrize(
    'ages',
    [
        [],
        [SILENT],
        [0.5],
        [3.0, 0.5],
        [3.0, 3.0, 1.0],
        # An older build may hold the lease.
        [3.0, UNAWARE],
        # The entries of a zone that is cut off must not confirm each other.
        [3.0, SILENT, SILENT],
    ],
)
def test_other_answers_do_not_confirm_an_outage(ages):
    assert not confirms_outage(ages, lapsed_s=1.5)


# Guards against a lease that moved while the store was back for a moment.
def test_peer_that_has_reached_the_store_since_the_lapse_confirms_nothing():
    assert not confirms_outage([5.0], lapsed_s=5.1)
    assert confirms_outage([5.0], lapsed_s=4.9)


def test_endless_age_confirms_an_outage():
    assert confirms_outage([float('inf')], lapsed_s=60)
