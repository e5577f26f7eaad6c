"""Outcomes of folding a record of the configuration stream."""

from dataclasses import dataclass

from foxtailhatch.config.configuration import Configuration
from foxtailhatch.config.diff import Difference
from foxtailhatch.config.records import MarkRecord
from foxtailhatch.config.references import ConfigFault


@dataclass(frozen=True, slots=True)
class Accepted:
    """A publication was accepted, and ``cfg`` is now in force."""

    publication_id: str
    cfg: Configuration


@dataclass(frozen=True, slots=True)
class Refused:
    """A publication was refused, and the configuration is unchanged.

    ``difference`` compares the configuration in force with the proposed one;
    ``faults`` lists the faults of a document that is not valid.
    """

    publication_id: str
    made_from: int
    in_force: int
    difference: tuple[Difference, ...] = ()
    faults: tuple[ConfigFault, ...] = ()


@dataclass(frozen=True, slots=True)
class Marked:
    """A mark of an instance was set."""

    record: MarkRecord


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The record changed nothing, for ``reason``."""

    reason: str


FoldOutcome = Accepted | Refused | Marked | Unchanged
