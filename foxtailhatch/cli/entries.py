"""Which entries there are, and what they say of themselves."""

from collections.abc import Iterable, Sequence

from pydantic import BaseModel, ValidationError

from foxtailhatch.cli.client import Answer, Call, make_call

ADVICE = Call('GET', '/v1/entry')
STATUS = Call('GET', '/status')


class Advice(BaseModel):
    """The answer of ``/v1/entry``."""

    addresses: tuple[str, ...]
    keep_s: float


class Status(BaseModel):
    """What the command line needs of ``/status``."""

    instance: str
    configuration_version: int


def all_entries(known: Iterable[str]) -> tuple[str, ...]:
    """Return the known addresses and those that they advise, each once."""
    found: dict[str, None] = {}
    for address in known:
        found[address] = None
        found.update(dict.fromkeys(advised_by(address)))
    return tuple(found)


def advised_by(address: str) -> Sequence[str]:
    """Return the addresses that one entry advises; none if it is silent."""
    return make_call(address, ADVICE).map(_addresses).value_or(())


def status_of(address: str) -> Status | None:
    """Return what an entry says of itself, if it answers."""
    return make_call(address, STATUS).map(_status).value_or(None)


def _addresses(answer: Answer) -> Sequence[str]:
    try:
        return Advice.model_validate_json(answer.body).addresses
    except ValidationError:
        return ()


def _status(answer: Answer) -> Status | None:
    try:
        return Status.model_validate_json(answer.body)
    except ValidationError:
        return None
