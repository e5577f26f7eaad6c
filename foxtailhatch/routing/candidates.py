"""Which endpoints are asked for an offer at all."""

import random
from collections.abc import Collection, Iterable

from foxtailhatch.config.configuration import carries
from foxtailhatch.routing.pool import Holder, HolderGroup
from foxtailhatch.routing.query import ChainQuery
from foxtailhatch.routing.view import EndpointView

SAMPLED_HOLDERS = 16


def eligible(view: EndpointView, query: ChainQuery) -> bool:
    """Tell whether a query may use an endpoint, its load left aside."""
    if not view.usable or view.endpoint.name in query.excluded:
        return False
    return carries(view.endpoint.labels, query.endpoint_labels)


def candidates(
    group: HolderGroup,
    query: ChainQuery,
    rng: random.Random,
    cached: Collection[str],
) -> list[Holder]:
    """Return whom to ask among the holders of one range.

    Of many only a random sample is asked, and those in ``cached``, which
    likely have the prompt's prefix.  That bounds the cost of a decision, and
    keeps entries that know the same from going to the same endpoint.
    """
    if len(group) > SAMPLED_HOLDERS:
        asked = set(rng.sample(range(len(group)), SAMPLED_HOLDERS))
        sampled = usable(
            (
                holder
                for index, holder in enumerate(group)
                if index in asked or holder.view.endpoint.name in cached
            ),
            query,
        )
        if sampled:
            return sampled
    return usable(group, query)


def usable(group: Iterable[Holder], query: ChainQuery) -> list[Holder]:
    """Return the holders that a query may use and that have room."""
    return [
        holder
        for holder in group
        if eligible(holder.view, query) and holder.view.has_room()
    ]
