"""Types that documents at the border share, validated by pydantic."""

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
    """Return ``text`` if it is an IP number, else raise ``ValueError``.

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
    """The base of documents: strict types and no unknown fields."""

    model_config = ConfigDict(
        strict=True,
        extra='forbid',
        frozen=True,
        allow_inf_nan=False,
    )
