"""The JSON document that operators publish, validated at the border.

The models here mirror the data classes of
:mod:`foxtailhatch.config.configuration` and add the rules that one entry can
be checked against alone.  Rules between entries stand in
:mod:`foxtailhatch.config.references`.
"""

import ipaddress
import json
from collections.abc import Iterable, Mapping
from dataclasses import asdict
from typing import Annotated, Any, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)
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
from foxtailhatch.config.references import (
    ConfigFault,
    entries_of_configuration,
    entries_of_document,
    json_path,
    reference_faults,
)
from foxtailhatch.core import Address, Endpoint, EndpointKind

MirrorT = TypeVar('MirrorT')

MAX_NAME_CHARS = 200
MAX_PORT = 65535


def _ip_number(text: str) -> str:
    """Return ``text`` if it is an IP number, else raise ``ValueError``."""
    ipaddress.ip_address(text)
    return text


Name = Annotated[
    str,
    StringConstraints(pattern=r'^[^\s/]+$', max_length=MAX_NAME_CHARS),
]
Digest = Annotated[str, StringConstraints(pattern='^[0-9a-f]{64}$')]
IpNumber = Annotated[str, AfterValidator(_ip_number)]
LabelsDocument = dict[str, str]


class Document(BaseModel):
    """The base of all documents: strict types and no unknown keys."""

    model_config = ConfigDict(
        strict=True,
        extra='forbid',
        frozen=True,
        allow_inf_nan=False,
    )


class AccountDocument(Document):
    """A client account."""

    name: Name
    weight: int = Field(default=1, ge=1)
    requests_per_s: float | None = Field(default=None, gt=0)
    max_running: int | None = Field(default=None, ge=1)


class CallerDocument(Document):
    """A caller; the digest is 64 hexadecimal digits in lower case."""

    name: Name
    account: str
    token_sha256: Digest
    labels: LabelsDocument = {}


class ModelDocument(Document):
    """A model in the version that shall serve."""

    name: Name
    version: Name
    layers: int = Field(ge=1)
    labels: LabelsDocument = {}


class AdapterDocument(Document):
    """An adapter of a model."""

    name: Name
    model: str
    labels: LabelsDocument = {}


class ServiceDocument(Document):
    """A plain service."""

    name: Name
    endpoints: LabelsDocument
    not_repeatable: tuple[str, ...] = ()
    checks_key: bool = False
    labels: LabelsDocument = {}


class AddressDocument(Document):
    """An IP number and a port."""

    host: IpNumber
    port: int = Field(ge=1, le=MAX_PORT)


class EndpointDocument(Document):
    """An endpoint that the live-instance list does not show."""

    name: Name
    address: AddressDocument
    kind: EndpointKind
    availability_zone: str
    accelerator: str = ''
    labels: LabelsDocument = {}
    checks_fencing: bool = False


class SelectorDocument(Document):
    """A selector over labels."""

    name: Name
    callers: LabelsDocument
    targets: LabelsDocument
    endpoints: LabelsDocument = {}
    priority: int = 0
    repeatable: bool = True


class ConfigurationDocument(Document):
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
    cfg = configuration_of(document, version)
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


def configuration_of(
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
    documents: Iterable[Document],
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
