"""What an entry asks of the claim controller and what it decides."""

from dataclasses import dataclass

from foxtailhatch.core import Refusal
from foxtailhatch.durable.claim_records import KeyOwner, Outcome


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request that may run at most once.

    ``digest`` is of the method, path, content type and body.  ``first_try``
    is the caller's word that it never sent this key before; without it, a
    try that fails cannot be called not run, as an earlier one may have run.
    ``checks_key`` says that the service itself refuses a key it has seen.
    """

    request_id: str
    owner: KeyOwner
    digest: bytes
    deadline_at: float
    first_try: bool = False
    checks_key: bool = False


@dataclass(frozen=True, slots=True)
class MayRun:
    """The request may be sent; ask ``authorise_send`` at that moment."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Replay:
    """The outcome of the first request under this key."""

    request_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not run by this entry."""

    request_id: str
    refusal: Refusal


Decision = MayRun | Replay | Refuse


@dataclass(frozen=True, slots=True)
class SendPermit:
    """The right to send once; ``fence`` is the claim's offset, if any."""

    request_id: str
    key: str
    fence: int | None
