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
from foxtailhatch.durable.claim_settings import ClaimSettings
from foxtailhatch.durable.claims import ClaimController
from foxtailhatch.durable.fleet import FleetView
from foxtailhatch.durable.follower import (
    LogAvailability,
    LogFollower,
    ReadStream,
)
from foxtailhatch.durable.keys import issue_key, key_time, part_readers
from foxtailhatch.durable.lease_holder import HeldLease, LeaseHolder
from foxtailhatch.durable.leases import LEASE_STREAM, LeaseTable
from foxtailhatch.durable.load_rate import LoadRate
from foxtailhatch.durable.orders import OrderController, SendOrder
from foxtailhatch.durable.placement import PlacementController
from foxtailhatch.durable.rollout import EndpointCapacity, ModelNeed, Move
from foxtailhatch.durable.wishes import (
    WISH_STREAM,
    Wish,
    WishRecord,
    WishTable,
    encode_wish,
    may_serve,
    restatement,
)

__all__ = [
    'LEASE_STREAM',
    'WISH_STREAM',
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
    'EndpointCapacity',
    'FleetView',
    'HeldLease',
    'KeyOwner',
    'LeaseHolder',
    'LeaseTable',
    'LoadRate',
    'LogAvailability',
    'LogFollower',
    'MayRun',
    'ModelNeed',
    'Move',
    'NotFollowed',
    'OrderController',
    'Outcome',
    'PlacementController',
    'ReadStream',
    'Refuse',
    'Replay',
    'SendOrder',
    'SendRight',
    'Wish',
    'WishRecord',
    'WishTable',
    'encode_wish',
    'issue_key',
    'key_time',
    'may_serve',
    'part_readers',
    'restatement',
]
