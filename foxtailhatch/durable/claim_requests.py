"""Requests to the claim controller and its decisions."""

from dataclasses import dataclass

from foxtailhatch.core import Refusal
from foxtailhatch.durable.claim_records import KeyOwner, Outcome


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request that may run at most once.

    ``digest`` covers the method, path, content type and body.  ``first_try``
    is the caller's assertion that it never sent this key before; without it,
    a failed try can't be reported as not run, since an earlier one may have
    run.  ``checks_key`` states that the service itself rejects a key that it
    has processed before.
    """

    request_id: str
    owner: KeyOwner
    digest: bytes
    deadline_at: float
    first_try: bool = False
    checks_key: bool = False


@dataclass(frozen=True, slots=True)
class MayRun:
    """The request may be sent, subject to ``authorize_send`` at that moment."""

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
    """A permit to send once.

    ``fence`` is the fencing token, which is the offset of the claim, or
    ``None`` for a request that is sent without a claim.
    """

    request_id: str
    key: str
    fence: int | None
