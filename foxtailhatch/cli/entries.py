"""Discovery and status of entries."""

from collections.abc import Iterable, Sequence

from pydantic import BaseModel, ValidationError

from foxtailhatch.cli.client import EntryRequest, EntryResponse, send_request

ENTRY_LIST_REQUEST = EntryRequest('GET', '/v1/entry')
STATUS_REQUEST = EntryRequest('GET', '/status')


class EntryList(BaseModel):
    """The response of ``/v1/entry``."""

    addresses: tuple[str, ...]
    keep_s: float


class EntryStatus(BaseModel):
    """The fields of ``/status`` that are used here."""

    instance: str
    configuration_version: int


def discover_entries(known: Iterable[str]) -> tuple[str, ...]:
    """Return ``known`` and the addresses that these entries list, each once."""
    known_addresses: dict[str, None] = {}
    for address in known:
        known_addresses[address] = None
        known_addresses.update(dict.fromkeys(fetch_entry_list(address)))
    return tuple(known_addresses)


def fetch_entry_list(address: str) -> Sequence[str]:
    """Return the addresses that an entry lists; none if it does not answer."""
    return (
        send_request(address, ENTRY_LIST_REQUEST).map(_addresses).value_or(())
    )


def fetch_status(address: str) -> EntryStatus | None:
    """Return the status of an entry, or ``None`` if it does not answer."""
    return send_request(address, STATUS_REQUEST).map(_status).value_or(None)


def _addresses(response: EntryResponse) -> Sequence[str]:
    try:
        return EntryList.model_validate_json(response.body).addresses
    except ValidationError:
        return ()


def _status(response: EntryResponse) -> EntryStatus | None:
    try:
        return EntryStatus.model_validate_json(response.body)
    except ValidationError:
        return None
