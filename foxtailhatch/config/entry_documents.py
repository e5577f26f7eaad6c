"""Pydantic models of the entries of the published document.

Their fields are those of the data classes in
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
    """A client account; see :class:`.configuration.Account`."""

    name: Name
    weight: int = Field(default=1, ge=1)
    requests_per_s: float | None = Field(default=None, gt=0)
    max_running: int | None = Field(default=None, ge=1)


class CallerDocument(StrictDocument):
    """A caller; its token digest is 64 lower-case hexadecimal digits."""

    name: Name
    account: str
    token_sha256: Digest
    labels: LabelsDocument = {}


class ModelDocument(StrictDocument):
    """A model and the version of it to serve."""

    name: Name
    version: Name
    layers: int = Field(ge=1)
    labels: LabelsDocument = {}


class AdapterDocument(StrictDocument):
    """An adapter; ``model`` is the name of the model it belongs to."""

    name: Name
    model: str
    labels: LabelsDocument = {}


class ServiceDocument(StrictDocument):
    """An HTTP service and the labels of its endpoints."""

    name: Name
    endpoints: LabelsDocument
    not_repeatable: tuple[str, ...] = ()
    checks_key: bool = False
    labels: LabelsDocument = {}


class AddressDocument(StrictDocument):
    """An IP address and a TCP port."""

    host: IpAddress
    port: int = Field(ge=1, le=MAX_PORT)


class EndpointDocument(StrictDocument):
    """An endpoint that is not on the live-instance list."""

    name: Name
    address: AddressDocument
    kind: EndpointKind
    availability_zone: str
    accelerator: str = ''
    labels: LabelsDocument = {}
    checks_fencing: bool = False


class SelectorDocument(StrictDocument):
    """An access rule; see :class:`.configuration.Selector`."""

    name: Name
    callers: LabelsDocument
    targets: LabelsDocument
    endpoints: LabelsDocument = {}
    priority: int = 0
    repeatable: bool = True
