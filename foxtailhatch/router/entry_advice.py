"""Which entries a caller is advised to use, by the strength of the entries.

Callers pick one of the advised addresses at random.  So an entry gets callers in
proportion to the share of the lists that name it.
"""

from collections.abc import Sequence
from hashlib import blake2b
from statistics import median
from typing import Protocol

# Entries whose cores or link rates differ by no more than this ratio count as
# equally strong.
EQUAL_RATIO = 1.2
# The least strength of an entry.  Each entry gets some callers, so that a wrong
# report of its load does not leave it without any.
MIN_STRENGTH = 0.25
# A list has no fewer addresses, so that a caller can change to another entry.
MIN_ADVISED = 2
# Cores and link rates above it are taken for malformed.
_MAX_FIGURE = 1e6
# A float holds so many bits of a hash exactly, half a step included.
_HASH_BITS = 48
_HASH_RANGE = 1 << _HASH_BITS


class AdvisedEntry(Protocol):
    """What advice has to know of an entry."""

    @property
    def name(self) -> str:
        """Return the name of the entry."""

    @property
    def address(self) -> str:
        """Return its address for callers."""

    @property
    def cpu_cores(self) -> float:
        """Return its share of processors."""

    @property
    def load_factor(self) -> float:
        """Return the factor of its strength, below 1 if it is overloaded."""

    @property
    def link_mbps(self) -> float:
        """Return the rate of its link, or 0 if it is not known."""


def advised_addresses(
    scope: Sequence[AdvisedEntry],
    caller: str,
    limit: int,
    left_out: str = '',
) -> list[str]:
    """Return up to ``limit`` addresses of the entries in ``scope``.

    If the entries differ, each one is on the list with a probability in
    proportion to its strength.  The list depends on ``caller`` alone while the
    strengths are the same.  The address ``left_out`` is never on it.
    """
    if not differ(scope):
        listed = sorted(entry.address for entry in scope)[:limit]
        return [address for address in listed if address != left_out]
    remaining = [entry for entry in scope if entry.address != left_out]
    by_name = dict(zip(_names(scope), strengths(scope), strict=True))
    weights = [by_name[entry.name] for entry in remaining]
    keys = _sampling_keys(remaining, weights, caller, limit)
    ordered = sorted(zip(keys, remaining, strict=True), key=_first)
    count = _list_length(weights, limit)
    return sorted(entry.address for _, entry in ordered[:count])


def differ(scope: Sequence[AdvisedEntry]) -> bool:
    """Return whether cores or link rates differ by more than a fifth."""
    return _is_uneven(_cores(scope)) or _is_uneven(_link_rates(scope))


def strengths(scope: Sequence[AdvisedEntry]) -> list[float]:
    """Return the strength of each entry, between ``MIN_STRENGTH`` and 1.

    It is the lesser of its cores and its link rate, relative to the median of
    the scope, and lower if the entry is overloaded.  What is not known of an
    entry does not lower its strength.
    """
    cores = _relative(_cores(scope))
    link_rates = _relative(_link_rates(scope))
    return [
        max(MIN_STRENGTH, min(1, of_cores, of_link) * entry.load_factor)
        for entry, of_cores, of_link in zip(
            scope, cores, link_rates, strict=True
        )
    ]


def strength_of(name: str, scope: Sequence[AdvisedEntry]) -> float:
    """Return the strength of the named entry, or 1 if the scope lacks it."""
    if not differ(scope):
        return 1
    return dict(zip(_names(scope), strengths(scope), strict=True)).get(name, 1)


def _sampling_keys(
    entries: Sequence[AdvisedEntry],
    weights: Sequence[float],
    caller: str,
    limit: int,
) -> list[float]:
    """Return a key for each entry; the lowest ones are on the list.

    This is Pareto sampling (Rosén): lists have a fixed length, and an entry is
    on a list with a probability very close to the intended one.  A change of
    one weight changes few lists.
    """
    scale = _list_length(weights, limit) / max(sum(weights), MIN_STRENGTH)
    return [
        _sampling_key(min(weight * scale, 1), _uniform(caller, entry.name))
        for entry, weight in zip(entries, weights, strict=True)
    ]


def _sampling_key(probability: float, uniform: float) -> float:
    return uniform * (1 - probability) / ((1 - uniform) * probability)


def _list_length(weights: Sequence[float], limit: int) -> int:
    """Return the longest length at which no probability is above 1."""
    return min(limit, max(MIN_ADVISED, int(sum(weights))))


def _uniform(caller: str, name: str) -> float:
    """Return a hash between 0 and 1, both excluded.

    The same caller gets the same values from each process.
    """
    text = f'{caller}\0{name}'.encode('utf-8', 'replace')
    digest = blake2b(text, digest_size=_HASH_BITS // 8).digest()
    # Half a step away from either end, where the sampling key is not defined.
    return (int.from_bytes(digest, 'big') + 0.5) / _HASH_RANGE


def _cores(scope: Sequence[AdvisedEntry]) -> list[float]:
    return [entry.cpu_cores for entry in scope]


def _link_rates(scope: Sequence[AdvisedEntry]) -> list[float]:
    return [entry.link_mbps for entry in scope]


def _names(scope: Sequence[AdvisedEntry]) -> list[str]:
    return [entry.name for entry in scope]


def _is_uneven(figures: Sequence[float]) -> bool:
    known = _known(figures)
    return bool(known) and max(known) > EQUAL_RATIO * min(known)


def _relative(figures: Sequence[float]) -> list[float]:
    """Return the figures in relation to their median, or 1 if not known."""
    known = _known(figures)
    middle = median(known) if known else 1
    return [figure / middle if _is_known(figure) else 1.0 for figure in figures]


def _known(figures: Sequence[float]) -> list[float]:
    return [figure for figure in figures if _is_known(figure)]


def _is_known(figure: float) -> bool:
    return 0 < figure <= _MAX_FIGURE


def _first(pair: tuple[float, AdvisedEntry]) -> float:
    return pair[0]
