"""Select the endpoints that a routing decision considers."""

import random
from collections.abc import Collection, Iterable

from foxtailhatch.config.configuration import carries
from foxtailhatch.routing.pool import Holder, HolderGroup
from foxtailhatch.routing.query import ChainQuery
from foxtailhatch.routing.view import EndpointView

SAMPLED_HOLDERS = 16


def is_eligible(view: EndpointView, query: ChainQuery) -> bool:
    """Return whether a query may use an endpoint, regardless of its load."""
    if not view.usable or view.endpoint.name in query.excluded:
        return False
    return carries(view.endpoint.labels, query.endpoint_labels)


def candidate_holders(
    group: HolderGroup,
    query: ChainQuery,
    rng: random.Random,
    cached: Collection[str],
) -> list[Holder]:
    """Return the holders of one range that a decision considers.

    From more than ``SAMPLED_HOLDERS`` holders only a random sample is taken,
    plus the endpoints in ``cached``, which likely hold the prompt's prefix.
    This bounds the cost of a decision and prevents entries with the same
    information from all choosing the same endpoint.  If the sample contains
    no usable holder, all holders are considered.
    """
    if len(group) > SAMPLED_HOLDERS:
        sample = set(rng.sample(range(len(group)), SAMPLED_HOLDERS))
        sampled = usable_holders(
            (
                holder
                for index, holder in enumerate(group)
                if index in sample or holder.view.endpoint.name in cached
            ),
            query,
        )
        if sampled:
            return sampled
    return usable_holders(group, query)


def usable_holders(group: Iterable[Holder], query: ChainQuery) -> list[Holder]:
    """Return the holders that a query may use and that have free capacity."""
    return [
        holder
        for holder in group
        if is_eligible(holder.view, query) and holder.view.has_capacity()
    ]
