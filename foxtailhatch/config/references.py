"""The rules between entries of a configuration: names and references.

They are checked on a lenient view of the document, so that a document with
malformed entries still has all its wrong references named.
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
    """One fault of a configuration: its JSON path and a plain sentence."""

    path: str
    message: str


@dataclass(frozen=True, slots=True)
class EntryView:
    """What the rules between entries need to know of one entry.

    ``refers`` is the name of the entry in another section that this one
    refers to, and ``digest`` a caller's token digest; either may be absent.
    """

    section: str
    path: str
    name: str | None
    refers: str | None = None
    digest: str | None = None


@dataclass(frozen=True, slots=True)
class ReferenceRule:
    """Entries name one of section ``into`` in their ``field``."""

    field: str
    into: str


RULES: Mapping[str, ReferenceRule] = {
    'callers': ReferenceRule('account', 'accounts'),
    'adapters': ReferenceRule('model', 'models'),
}


def json_path(parts: Iterable[int | str]) -> str:
    """Return a JSON path in its customary form.

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
    """Yield the view of each entry, skipping what has the wrong shape."""
    for section in SECTIONS:
        entries = document.get(section)
        if not isinstance(entries, Sequence):
            continue
        for index, entry in enumerate(entries):
            if isinstance(entry, Mapping):
                yield _view(section, index, entry)


def entries_of_configuration(cfg: Configuration) -> Iterator[EntryView]:
    """Yield the view of each entry of a parsed configuration."""
    for section in SECTIONS:
        rule = RULES.get(section)
        for index, entry in enumerate(getattr(cfg, section)):
            yield EntryView(
                section,
                f'{section}[{index}]',
                entry.name,
                None if rule is None else getattr(entry, rule.field),
                getattr(entry, 'token_sha256', None),
            )


def reference_faults(entries: Iterable[EntryView]) -> tuple[ConfigFault, ...]:
    """Return the faults between entries: duplicates and unknown names."""
    views = tuple(entries)
    return (
        *_duplicate_names(views),
        *_duplicate_digests(views),
        *_unknown_references(views),
    )


def _view(section: str, index: int, entry: Mapping[str, Any]) -> EntryView:
    rule = RULES.get(section)
    refers = None if rule is None else _text(entry, rule.field)
    return EntryView(
        section,
        f'{section}[{index}]',
        _text(entry, 'name'),
        refers,
        _text(entry, 'token_sha256'),
    )


def _text(entry: Mapping[str, Any], field: str) -> str | None:
    text = entry.get(field)
    return text if isinstance(text, str) else None


def _namespace(section: str) -> str:
    """Return the space of names: all that callers ask for share one."""
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
                f'The name {view.name!r} is taken by {first}.',
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
                f'The token is that of {first} too.',
            )


def _unknown_references(views: Sequence[EntryView]) -> Iterator[ConfigFault]:
    names = {(view.section, view.name) for view in views}
    for view in views:
        rule = RULES.get(view.section)
        if rule is None or view.refers is None:
            continue
        if (rule.into, view.refers) not in names:
            yield ConfigFault(
                f'{view.path}.{rule.field}',
                f'There is no {view.refers!r} in {rule.into}.',
            )
