"""Validation across entries: unique names and references.

The checks run on a lenient view of the document, so that faults of references
are reported also for a document in which some entries are malformed.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from foxtailhatch.config.configuration import Configuration

SECTIONS = (
    'accounts',
    'callers',
    'models',
    'adapters',
    'services',
    'endpoints',
    'selectors',
)
TARGET_SECTIONS = frozenset(('models', 'adapters', 'services'))
TARGET_NAMESPACE = 'targets'


@dataclass(frozen=True, slots=True)
class ConfigFault:
    """A fault of a configuration: the JSON path of a value and a message."""

    path: str
    message: str


@dataclass(frozen=True, slots=True)
class EntryView:
    """The parts of an entry that the checks across entries need.

    ``reference`` is the name of the entry in another section that this one
    refers to, and ``digest`` the token digest of a caller; either may be
    ``None``.
    """

    section: str
    path: str
    name: str | None
    reference: str | None = None
    digest: str | None = None


@dataclass(frozen=True, slots=True)
class ReferenceRule:
    """``field`` of an entry must name an entry of ``target_section``."""

    field: str
    target_section: str


REFERENCE_RULES: Mapping[str, ReferenceRule] = {
    'callers': ReferenceRule('account', 'accounts'),
    'adapters': ReferenceRule('model', 'models'),
}


def json_path(parts: Iterable[int | str]) -> str:
    """Return the JSON path of a value, ``$`` for the whole document.

    >>> json_path(('callers', 3, 'account'))
    'callers[3].account'
    """
    path = ''
    for part in parts:
        if isinstance(part, int):
            path = f'{path}[{part}]'
        else:
            path = f'{path}.{part}' if path else part
    return path or '$'


def entries_of_document(document: Mapping[str, Any]) -> Iterator[EntryView]:
    """Yield a view of each entry, skipping values of a wrong type."""
    for section in SECTIONS:
        entries = document.get(section)
        if not isinstance(entries, Sequence):
            continue
        for index, entry in enumerate(entries):
            if isinstance(entry, Mapping):
                yield _view(section, index, entry)


def entries_of_configuration(cfg: Configuration) -> Iterator[EntryView]:
    """Yield a view of each entry of a parsed configuration."""
    for section in SECTIONS:
        rule = REFERENCE_RULES.get(section)
        for index, entry in enumerate(getattr(cfg, section)):
            yield EntryView(
                section,
                f'{section}[{index}]',
                entry.name,
                None if rule is None else getattr(entry, rule.field),
                getattr(entry, 'token_sha256', None),
            )


def reference_faults(entries: Iterable[EntryView]) -> tuple[ConfigFault, ...]:
    """Return all duplicate names and digests and all unknown references."""
    views = tuple(entries)
    return (
        *_duplicate_names(views),
        *_duplicate_digests(views),
        *_unknown_references(views),
    )


def _view(section: str, index: int, entry: Mapping[str, Any]) -> EntryView:
    rule = REFERENCE_RULES.get(section)
    reference = None if rule is None else _text(entry, rule.field)
    return EntryView(
        section,
        f'{section}[{index}]',
        _text(entry, 'name'),
        reference,
        _text(entry, 'token_sha256'),
    )


def _text(entry: Mapping[str, Any], field: str) -> str | None:
    text = entry.get(field)
    return text if isinstance(text, str) else None


def _namespace(section: str) -> str:
    """Return the namespace of a section.

    Models, adapters and services share one, because callers request them by
    name alone.
    """
    return TARGET_NAMESPACE if section in TARGET_SECTIONS else section


def _duplicate_names(views: Sequence[EntryView]) -> Iterator[ConfigFault]:
    seen: dict[tuple[str, str], str] = {}
    for view in views:
        if view.name is None:
            continue
        first = seen.setdefault(
            (_namespace(view.section), view.name), view.path
        )
        if first != view.path:
            yield ConfigFault(
                f'{view.path}.name',
                f'duplicate name {view.name!r}, already used by {first}',
            )


def _duplicate_digests(views: Sequence[EntryView]) -> Iterator[ConfigFault]:
    seen: dict[str, str] = {}
    for view in views:
        if view.digest is None:
            continue
        first = seen.setdefault(view.digest, view.path)
        if first != view.path:
            yield ConfigFault(
                f'{view.path}.token_sha256',
                f'duplicate token, already used by {first}',
            )


def _unknown_references(views: Sequence[EntryView]) -> Iterator[ConfigFault]:
    names = {(view.section, view.name) for view in views}
    for view in views:
        rule = REFERENCE_RULES.get(view.section)
        if rule is None or view.reference is None:
            continue
        if (rule.target_section, view.reference) not in names:
            yield ConfigFault(
                f'{view.path}.{rule.field}',
                f'unknown name {view.reference!r}, not found in {rule.target_section}',
            )
