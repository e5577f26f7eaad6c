"""Fetch the configuration in force from an entry."""

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Success

from foxtailhatch.cli.client import (
    EntryRequest,
    EntryResponse,
    bearer_header,
    send_request,
)
from foxtailhatch.cli.exit_codes import ExitCode, exit_with_error
from foxtailhatch.core import ErrorCode

NO_VERSION = 0


class ConfigurationInForce(BaseModel):
    """The response of ``/admin/configuration``."""

    version: int
    document: dict[str, object]


def fetch_configuration(entry: str, key: str) -> ConfigurationInForce | None:
    """Return the configuration in force at ``entry``, or ``None``.

    Exit if the entry is unreachable or refuses the request.
    """
    request = EntryRequest(
        'GET', '/admin/configuration', headers=bearer_header(key)
    )
    match send_request(entry, request):
        case Success(response):
            return _parse_configuration(response)
        case Failure(unreachable):
            exit_with_error(str(unreachable), ExitCode.UNREACHABLE)
    raise AssertionError(entry)


def fetch_version(entry: str, key: str) -> int:
    """Return the version in force at ``entry``, or 0 if there is none."""
    in_force = fetch_configuration(entry, key)
    return NO_VERSION if in_force is None else in_force.version


def _parse_configuration(
    response: EntryResponse,
) -> ConfigurationInForce | None:
    if response.is_ok():
        try:
            return ConfigurationInForce.model_validate_json(response.body)
        except ValidationError as exc:
            exit_with_error(f'Malformed response: {exc}', ExitCode.REFUSED)
    error = response.error()
    if error.code == ErrorCode.NO_CONFIGURATION:
        return None
    exit_with_error(error.message, ExitCode.REFUSED)
