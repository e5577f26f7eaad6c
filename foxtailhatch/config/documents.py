"""Parsing and rendering of the JSON document that operators publish.

:mod:`foxtailhatch.config.entry_documents` validates single entries,
:mod:`foxtailhatch.config.references` the references between them.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import asdict
from typing import Any, TypeVar

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.config.configuration import (
    Account,
    Adapter,
    CallerEntry,
    Configuration,
    Model,
    Selector,
    Service,
)
from foxtailhatch.config.entry_documents import (
    AccountDocument,
    AdapterDocument,
    CallerDocument,
    EndpointDocument,
    ModelDocument,
    SelectorDocument,
    ServiceDocument,
)
from foxtailhatch.config.references import (
    ConfigFault,
    entries_of_configuration,
    entries_of_document,
    json_path,
    reference_faults,
)
from foxtailhatch.core import Address, Endpoint
from foxtailhatch.core.document_types import StrictDocument

EntryT = TypeVar('EntryT')


class ConfigurationDocument(StrictDocument):
    """The whole published document."""

    accounts: tuple[AccountDocument, ...] = ()
    callers: tuple[CallerDocument, ...] = ()
    models: tuple[ModelDocument, ...] = ()
    adapters: tuple[AdapterDocument, ...] = ()
    services: tuple[ServiceDocument, ...] = ()
    endpoints: tuple[EndpointDocument, ...] = ()
    selectors: tuple[SelectorDocument, ...] = ()


def parse_configuration(
    raw: bytes,
    version: int = 0,
) -> Result[Configuration, tuple[ConfigFault, ...]]:
    """Return the configuration in ``raw``, or all of its faults.

    ``version`` becomes the version of the result; a draft that has not been
    accepted has version 0.

    >>> parse_configuration(b'{"accounts": [{"name": 5}]}').failure()[0].path
    'accounts[0].name'
    """
    try:
        document = ConfigurationDocument.model_validate_json(raw)
    except ValidationError as exc:
        return Failure(_all_faults(raw, exc))
    cfg = build_configuration(document, version)
    faults = reference_faults(entries_of_configuration(cfg))
    return Failure(faults) if faults else Success(cfg)


def render_configuration(cfg: Configuration) -> bytes:
    """Return the JSON document of ``cfg``.

    Equal configurations give equal bytes.

    >>> cfg = Configuration(3, accounts=(Account('ward'),))
    >>> parse_configuration(render_configuration(cfg), 3).unwrap() == cfg
    True
    """
    document = asdict(cfg)
    document.pop('version')
    return json.dumps(
        document,
        sort_keys=True,
        separators=(',', ':'),
    ).encode()


def build_configuration(
    document: ConfigurationDocument,
    version: int,
) -> Configuration:
    """Return the configuration that a validated document describes."""
    return Configuration(
        version=version,
        accounts=_build_entries(Account, document.accounts),
        callers=_build_entries(CallerEntry, document.callers),
        models=_build_entries(Model, document.models),
        adapters=_build_entries(Adapter, document.adapters),
        services=_build_entries(Service, document.services),
        endpoints=tuple(map(_build_endpoint, document.endpoints)),
        selectors=_build_entries(Selector, document.selectors),
    )


def _build_entries(
    kind: type[EntryT],
    documents: Iterable[StrictDocument],
) -> tuple[EntryT, ...]:
    return tuple(kind(**dict(document)) for document in documents)


def _build_endpoint(document: EndpointDocument) -> Endpoint:
    fields: dict[str, Any] = dict(document)
    fields['address'] = Address(**dict(document.address))
    return Endpoint(**fields)


def _all_faults(raw: bytes, exc: ValidationError) -> tuple[ConfigFault, ...]:
    entry_faults = tuple(
        ConfigFault(json_path(error['loc']), error['msg'])
        for error in exc.errors(include_url=False, include_context=False)
    )
    try:
        document = json.loads(raw)
    except (ValueError, RecursionError):
        return entry_faults
    if not isinstance(document, Mapping):
        return entry_faults
    return entry_faults + reference_faults(entries_of_document(document))
