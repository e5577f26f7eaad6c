"""The entries of the published document, validated one by one.

The models mirror the data classes of
:mod:`foxtailhatch.config.configuration`.
"""

import ipaddress
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
)

from foxtailhatch.core import EndpointKind

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
