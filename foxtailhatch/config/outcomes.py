"""What a record of the configuration stream did."""

from dataclasses import dataclass

from foxtailhatch.config.configuration import Configuration
from foxtailhatch.config.diff import Difference
from foxtailhatch.config.records import MarkRecord
from foxtailhatch.config.references import ConfigFault


@dataclass(frozen=True, slots=True)
class Accepted:
    """A publication was accepted; ``cfg`` is in force from here on."""

    publication_id: str
    cfg: Configuration


@dataclass(frozen=True, slots=True)
class Refused:
    """A publication was refused; nothing changed.

    ``difference`` shows what is in force against what was wanted, and
    ``faults`` what is wrong with the document; one of them may be empty.
    """

    publication_id: str
    made_from: int
    in_force: int
    difference: tuple[Difference, ...] = ()
    faults: tuple[ConfigFault, ...] = ()


@dataclass(frozen=True, slots=True)
class Marked:
    """A mark counts from here on."""

    record: MarkRecord


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The record changes nothing; ``reason`` says why."""

    reason: str


FoldOutcome = Accepted | Refused | Marked | Unchanged
