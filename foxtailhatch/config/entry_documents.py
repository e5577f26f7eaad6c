"""The entries of the published document, validated one by one.

The models mirror the data classes of
:mod:`foxtailhatch.config.configuration`.
"""

from typing import Annotated

from pydantic import Field, StringConstraints

from foxtailhatch.core import EndpointKind
from foxtailhatch.core.document_types import (
    MAX_PORT,
    IpAddress,
    Name,
    StrictDocument,
)

Digest = Annotated[str, StringConstraints(pattern='^[0-9a-f]{64}$')]
LabelsDocument = dict[str, str]


class AccountDocument(StrictDocument):
    """A client account."""

    name: Name
    weight: int = Field(default=1, ge=1)
    requests_per_s: float | None = Field(default=None, gt=0)
    max_running: int | None = Field(default=None, ge=1)


class CallerDocument(StrictDocument):
    """A caller; the digest is 64 hexadecimal digits in lower case."""

    name: Name
    account: str
    token_sha256: Digest
    labels: LabelsDocument = {}


class ModelDocument(StrictDocument):
    """A model in the version that shall serve."""

    name: Name
    version: Name
    layers: int = Field(ge=1)
    labels: LabelsDocument = {}


class AdapterDocument(StrictDocument):
    """An adapter of a model."""

    name: Name
    model: str
    labels: LabelsDocument = {}


class ServiceDocument(StrictDocument):
    """A plain service."""

    name: Name
    endpoints: LabelsDocument
    not_repeatable: tuple[str, ...] = ()
    checks_key: bool = False
    labels: LabelsDocument = {}


class AddressDocument(StrictDocument):
    """An IP number and a port."""

    host: IpAddress
    port: int = Field(ge=1, le=MAX_PORT)


class EndpointDocument(StrictDocument):
    """An endpoint that the live-instance list does not show."""

    name: Name
    address: AddressDocument
    kind: EndpointKind
    availability_zone: str
    accelerator: str = ''
    labels: LabelsDocument = {}
    checks_fencing: bool = False


class SelectorDocument(StrictDocument):
    """A selector over labels."""

    name: Name
    callers: LabelsDocument
    targets: LabelsDocument
    endpoints: LabelsDocument = {}
    priority: int = 0
    repeatable: bool = True
