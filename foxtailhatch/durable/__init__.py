"""What the platform's log decides: claims, leases and orders."""

from foxtailhatch.durable.appends import (
    AppendAttempt,
    AppendRecord,
    AppendStep,
)
from foxtailhatch.durable.claim_desk import (
    AppendClaims,
    ClaimAction,
    ClaimDesk,
    NotFollowed,
)
from foxtailhatch.durable.claim_records import KeyOwner, Outcome
from foxtailhatch.durable.claim_requests import (
    ClaimRequest,
    Decision,
    MayRun,
    Refuse,
    Replay,
    SendRight,
)
from foxtailhatch.durable.claims import ClaimController, ClaimSettings
from foxtailhatch.durable.follower import (
    LogAvailability,
    LogFollower,
    ReadStream,
)
from foxtailhatch.durable.keys import issue_key, key_time, part_readers

__all__ = [
    'AppendAttempt',
    'AppendClaims',
    'AppendRecord',
    'AppendStep',
    'ClaimAction',
    'ClaimController',
    'ClaimDesk',
    'ClaimRequest',
    'ClaimSettings',
    'Decision',
    'KeyOwner',
    'LogAvailability',
    'LogFollower',
    'MayRun',
    'NotFollowed',
    'Outcome',
    'ReadStream',
    'Refuse',
    'Replay',
    'SendRight',
    'issue_key',
    'key_time',
    'part_readers',
]
