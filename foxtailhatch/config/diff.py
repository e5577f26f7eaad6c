"""Differences between two configurations, entry by entry."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import islice

from foxtailhatch.config.configuration import (
    Account,
    Adapter,
    CallerEntry,
    Configuration,
    Model,
    Selector,
    Service,
)
from foxtailhatch.config.references import SECTIONS
from foxtailhatch.core import Endpoint

MAX_DIFFERENCES = 100

Entry = Account | CallerEntry | Model | Adapter | Service | Endpoint | Selector


@dataclass(frozen=True, slots=True)
class Difference:
    """An entry that differs; it is ``None`` on a side that lacks it."""

    section: str
    name: str
    in_force: Entry | None
    proposed: Entry | None

    def __str__(self) -> str:
        """Return the entry's section and name and both of its values."""
        sides = []
        for entry in (self.in_force, self.proposed):
            sides.append('absent' if entry is None else str(entry))
        return f'{self.section}/{self.name}: {sides[0]} -> {sides[1]}'


def diff_configurations(
    in_force: Configuration,
    proposed: Configuration,
) -> tuple[Difference, ...]:
    """Return the first :data:`MAX_DIFFERENCES` differences.

    They are ordered by section and name.

    >>> from foxtailhatch.config.configuration import Account
    >>> one = Configuration(1, accounts=(Account('ward'),))
    >>> [str(line) for line in diff_configurations(one, Configuration(2))]
    ["accounts/ward: Account(name='ward', weight=1, \
requests_per_s=None, max_running=None) -> absent"]
    """
    return tuple(islice(iter_differences(in_force, proposed), MAX_DIFFERENCES))


def iter_differences(
    in_force: Configuration,
    proposed: Configuration,
) -> Iterator[Difference]:
    """Yield all differences, ordered by section and name."""
    for section in SECTIONS:
        current_entries = entries_by_name(in_force, section)
        proposed_entries = entries_by_name(proposed, section)
        for name in sorted(current_entries.keys() | proposed_entries.keys()):
            current, other = (
                current_entries.get(name),
                proposed_entries.get(name),
            )
            if current != other:
                yield Difference(section, name, current, other)


def entries_by_name(
    cfg: Configuration,
    section: str,
) -> Mapping[str, Entry]:
    """Return the entries of one section, keyed by name."""
    return {entry.name: entry for entry in getattr(cfg, section)}
