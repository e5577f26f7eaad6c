"""The JSON document that operators publish, validated at the border.

The rules of one entry stand in :mod:`foxtailhatch.config.entry_documents`, those
between entries in :mod:`foxtailhatch.config.references`.
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

MirrorT = TypeVar('MirrorT')


class ConfigurationDocument(StrictDocument):
    """All that operators publish, in one document."""

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
    """Return the configuration in ``raw``, or every fault found in it.

    ``version`` is the number the result carries; a draft that is not yet
    accepted has 0.

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
    """Return the document of ``cfg``; equal ones give equal bytes.

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
    """Return the data classes that mirror a valid document."""
    return Configuration(
        version=version,
        accounts=_mirror(Account, document.accounts),
        callers=_mirror(CallerEntry, document.callers),
        models=_mirror(Model, document.models),
        adapters=_mirror(Adapter, document.adapters),
        services=_mirror(Service, document.services),
        endpoints=tuple(map(_endpoint, document.endpoints)),
        selectors=_mirror(Selector, document.selectors),
    )


def _mirror(
    kind: type[MirrorT],
    documents: Iterable[StrictDocument],
) -> tuple[MirrorT, ...]:
    return tuple(kind(**dict(document)) for document in documents)


def _endpoint(document: EndpointDocument) -> Endpoint:
    fields: dict[str, Any] = dict(document)
    fields['address'] = Address(**dict(document.address))
    return Endpoint(**fields)


def _all_faults(raw: bytes, exc: ValidationError) -> tuple[ConfigFault, ...]:
    own = tuple(
        ConfigFault(json_path(error['loc']), error['msg'])
        for error in exc.errors(include_url=False, include_context=False)
    )
    try:
        document = json.loads(raw)
    except (ValueError, RecursionError):
        return own
    if not isinstance(document, Mapping):
        return own
    return own + reference_faults(entries_of_document(document))
