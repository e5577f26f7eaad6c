"""Validation faults of JSON documents, with the JSON path of the value."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

PathPart = str | int
ROOT_PATH = '$'


@dataclass(frozen=True, slots=True)
class JsonFault:
    """A validation fault: the JSON path of a value and a message.

    >>> str(JsonFault('$.model', 'Field required'))
    '$.model: Field required'
    """

    path: str
    message: str

    def __str__(self) -> str:
        """Return the path and the message on one line."""
        return f'{self.path}: {self.message}'


def json_faults(exc: ValidationError, raw: bytes) -> tuple[JsonFault, ...]:
    """Return all faults of the document ``raw`` that ``exc`` reports."""
    document = _parse(raw)
    return tuple(
        JsonFault(json_path(error['loc'], document), error['msg'])
        for error in exc.errors(include_url=False, include_context=False)
    )


def json_path(location: Sequence[PathPart], document: object) -> str:
    """Return the JSON path of a pydantic error location.

    Parts of the location that name a member of a union, and not a part of the
    document, are left out.

    >>> json_path(('prompt', 'str'), {'prompt': 3})
    '$.prompt'
    >>> json_path(('zones', 0, 'name'), {'zones': [{}]})
    '$.zones[0].name'
    """
    path = ROOT_PATH
    node = document
    for part in location:
        if _is_member(node, part):
            path = f'{path}.{part}'
        elif _is_element(node, part):
            path = f'{path}[{part}]'
        else:
            continue
        node = _child_of(node, part)
    return path


def _is_member(node: object, part: PathPart) -> bool:
    return isinstance(node, dict) and isinstance(part, str)


def _is_element(node: object, part: PathPart) -> bool:
    return isinstance(node, list) and isinstance(part, int)


def _child_of(node: Any, part: PathPart) -> object:
    try:
        return node[part]
    except (KeyError, IndexError):
        return None


def _parse(raw: bytes) -> object:
    try:
        return json.loads(raw)
    except (ValueError, RecursionError):
        return None
