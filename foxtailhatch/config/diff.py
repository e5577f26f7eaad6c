"""What differs between two configurations, entry by entry."""

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
    """One entry that differs; a side that lacks it has ``None``."""

    section: str
    name: str
    in_force: Entry | None
    wanted: Entry | None

    def __str__(self) -> str:
        """Return one line for an operator."""
        sides = []
        for entry in (self.in_force, self.wanted):
            sides.append('absent' if entry is None else str(entry))
        return f'{self.section}/{self.name}: {sides[0]} -> {sides[1]}'


def diff_configurations(
    in_force: Configuration,
    wanted: Configuration,
) -> tuple[Difference, ...]:
    """Return up to :data:`MAX_DIFFERENCES` differences, by section and name.

    >>> from foxtailhatch.config.configuration import Account
    >>> one = Configuration(1, accounts=(Account('ward'),))
    >>> [str(line) for line in diff_configurations(one, Configuration(2))]
    ["accounts/ward: Account(name='ward', weight=1, \
requests_per_s=None, max_running=None) -> absent"]
    """
    return tuple(islice(iter_differences(in_force, wanted), MAX_DIFFERENCES))


def iter_differences(
    in_force: Configuration,
    wanted: Configuration,
) -> Iterator[Difference]:
    """Yield all differences, by section and name."""
    for section in SECTIONS:
        ours = entries_by_name(in_force, section)
        theirs = entries_by_name(wanted, section)
        for name in sorted(ours.keys() | theirs.keys()):
            one, other = ours.get(name), theirs.get(name)
            if one != other:
                yield Difference(section, name, one, other)


def entries_by_name(
    cfg: Configuration,
    section: str,
) -> Mapping[str, Entry]:
    """Return the entries of one section by their names."""
    return {entry.name: entry for entry in getattr(cfg, section)}
