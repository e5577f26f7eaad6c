"""Validators that stop at the first fault of a collection.

pydantic reports every fault of a document.  A list of a million wrong items
would make a million reports, each many times the size of its item.
"""

from typing import Any, Final, TypeVar

from pydantic import TypeAdapter
from pydantic_core import SchemaValidator

_Document = TypeVar('_Document')
_COLLECTIONS: Final = frozenset(('dict', 'frozenset', 'list', 'set', 'tuple'))


def first_fault_only(
    adapter: TypeAdapter[_Document],
) -> TypeAdapter[_Document]:
    """Make an adapter stop at the first fault of each collection; return it.

    >>> from pydantic import ValidationError
    >>> adapter = first_fault_only(TypeAdapter(list[list[str]]))
    >>> try:
    ...     adapter.validate_json('[[1, 2, 3], [4, 5]]')
    ... except ValidationError as exc:
    ...     exc.error_count()
    1
    """
    schema: Any = _stop_early(adapter.core_schema)
    # A validator that its class already has would not stop early.
    adapter.validator = SchemaValidator(schema, _use_prebuilt=False)
    return adapter


def _stop_early(schema: Any) -> Any:
    """Return a copy of a core schema whose collections stop early."""
    if isinstance(schema, list):
        return [_stop_early(part) for part in schema]
    if not isinstance(schema, dict):
        return schema
    changed = {name: _stop_early(part) for name, part in schema.items()}
    if schema.get('type') in _COLLECTIONS:
        changed['fail_fast'] = True
    return changed
