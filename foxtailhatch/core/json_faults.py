"""Faults of a JSON document, each with the path of the value at fault."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

PathPart = str | int
ROOT_PATH = '$'


@dataclass(frozen=True, slots=True)
class JsonFault:
    """One fault: the JSON path of a value and a sentence about it.

    >>> str(JsonFault('$.model', 'Field required'))
    '$.model: Field required'
    """

    path: str
    message: str

    def __str__(self) -> str:
        """Return the path and the sentence on one line."""
        return f'{self.path}: {self.message}'


def json_faults(exc: ValidationError, raw: bytes) -> tuple[JsonFault, ...]:
    """Return every fault that a model found in the document ``raw``."""
    document = _parse(raw)
    return tuple(
        JsonFault(json_path(error['loc'], document), error['msg'])
        for error in exc.errors(include_url=False, include_context=False)
    )


def json_path(location: Sequence[PathPart], document: object) -> str:
    """Return the JSON path of a model's error location.

    Parts of the location that name a model's alternative and nothing of the
    document are left out.

    >>> json_path(('prompt', 'str'), {'prompt': 3})
    '$.prompt'
    >>> json_path(('zones', 0, 'name'), {'zones': [{}]})
    '$.zones[0].name'
    """
    path = ROOT_PATH
    here = document
    for part in location:
        if _names_member(here, part):
            path = f'{path}.{part}'
        elif _names_element(here, part):
            path = f'{path}[{part}]'
        else:
            continue
        here = _inside(here, part)
    return path


def _names_member(here: object, part: PathPart) -> bool:
    return isinstance(here, dict) and isinstance(part, str)


def _names_element(here: object, part: PathPart) -> bool:
    return isinstance(here, list) and isinstance(part, int)


def _inside(here: Any, part: PathPart) -> object:
    try:
        return here[part]
    except (KeyError, IndexError):
        return None


def _parse(raw: bytes) -> object:
    try:
        return json.loads(raw)
    except (ValueError, RecursionError):
        return None
