"""Pydantic types shared by the documents that enter the process."""

import ipaddress
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    StringConstraints,
)

MAX_NAME_CHARS = 200
MAX_PORT = 65_535


def validate_ip_address(text: str) -> str:
    """Return ``text`` if it is an IP address, else raise ``ValueError``.

    >>> validate_ip_address('10.20.1.11')
    '10.20.1.11'
    """
    ipaddress.ip_address(text)
    return text


IpAddress = Annotated[str, AfterValidator(validate_ip_address)]
Name = Annotated[
    str,
    StringConstraints(pattern=r'^[^\s/]+$', max_length=MAX_NAME_CHARS),
]


class StrictDocument(BaseModel):
    """Base class of documents: strict types, unknown fields rejected."""

    model_config = ConfigDict(
        strict=True,
        extra='forbid',
        frozen=True,
        allow_inf_nan=False,
    )
