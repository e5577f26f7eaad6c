"""Reading the configuration in force from an entry."""

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Success

from foxtailhatch.cli.client import Answer, Call, bearer, make_call
from foxtailhatch.cli.exits import Exit, leave
from foxtailhatch.core import ErrorCode

NONE_IN_FORCE = 0


class InForce(BaseModel):
    """The answer of ``/admin/configuration``."""

    version: int
    document: dict[str, object]


def configuration_in_force(entry: str, key: str) -> InForce | None:
    """Return what is in force at ``entry``; exit if it does not say."""
    call = Call('GET', '/admin/configuration', headers=bearer(key))
    match make_call(entry, call):
        case Success(answer):
            return _in_force(answer)
        case Failure(unreachable):
            leave(str(unreachable), Exit.UNREACHABLE)
    raise AssertionError(entry)


def version_in_force(entry: str, key: str) -> int:
    """Return the version in force at ``entry``, 0 for none."""
    in_force = configuration_in_force(entry, key)
    return NONE_IN_FORCE if in_force is None else in_force.version


def _in_force(answer: Answer) -> InForce | None:
    if answer.is_ok():
        try:
            return InForce.model_validate_json(answer.body)
        except ValidationError as exc:
            leave(f'The answer is not understood: {exc}', Exit.REFUSED)
    error = answer.error()
    if error.code == ErrorCode.NO_CONFIGURATION:
        return None
    leave(error.message, Exit.REFUSED)
