"""Differential publications: only the entries that change.

The size of a publication then depends on the size of the change, not on that
of the configuration.
"""

import json
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.config.configuration import Configuration
from foxtailhatch.config.diff import entries_by_name, iter_differences
from foxtailhatch.config.documents import (
    ConfigurationDocument,
    build_configuration,
)
from foxtailhatch.config.references import (
    SECTIONS,
    ConfigFault,
    entries_of_configuration,
    json_path,
    reference_faults,
)
from foxtailhatch.core.document_types import StrictDocument

_Fields = Mapping[str, Any]


class ChangesDocument(StrictDocument):
    """Entries to add or replace and names to remove, by section."""

    put: ConfigurationDocument = ConfigurationDocument()
    remove: dict[str, tuple[str, ...]] = {}


def render_changes(before: Configuration, after: Configuration) -> bytes:
    """Return the JSON document that changes ``before`` into ``after``."""
    put: dict[str, list[_Fields]] = {}
    remove: dict[str, list[str]] = {}
    for difference in iter_differences(before, after):
        if difference.proposed is None:
            remove.setdefault(difference.section, []).append(difference.name)
        else:
            entry = asdict(difference.proposed)
            put.setdefault(difference.section, []).append(entry)
    document = {'put': put, 'remove': remove}
    return json.dumps(document, separators=(',', ':')).encode()


def apply_changes(
    cfg: Configuration,
    raw: bytes,
    version: int,
) -> Result[Configuration, tuple[ConfigFault, ...]]:
    """Return ``cfg`` with the changes in ``raw`` applied, as ``version``.

    The failure lists every fault of the document, or of the configuration
    that results from it.  Removing a name that does not exist is not a fault.
    """
    try:
        document = ChangesDocument.model_validate_json(raw)
    except ValidationError as exc:
        return Failure(
            tuple(
                ConfigFault(json_path(error['loc']), error['msg'])
                for error in exc.errors(include_url=False)
            ),
        )
    put = build_configuration(document.put, version)
    sections = {
        section: _merge_section(
            cfg, put, section, document.remove.get(section, ())
        )
        for section in SECTIONS
    }
    changed = Configuration(version, **sections)
    faults = reference_faults(entries_of_configuration(changed))
    return Failure(faults) if faults else Success(changed)


def _merge_section(
    cfg: Configuration,
    put: Configuration,
    section: str,
    removed: tuple[str, ...],
) -> tuple[Any, ...]:
    if not removed and not getattr(put, section):
        return tuple(getattr(cfg, section))
    entries = dict(entries_by_name(cfg, section))
    for name in removed:
        entries.pop(name, None)
    entries.update(entries_by_name(put, section))
    return tuple(entries.values())
