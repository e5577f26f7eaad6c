"""Coordination through the platform's log: claims, leases and orders."""

from foxtailhatch.durable.append_attempt import (
    AppendAttempt,
    AppendRecord,
    AppendStep,
)
from foxtailhatch.durable.claim_controller import ClaimController
from foxtailhatch.durable.claim_manager import (
    AppendClaimBatch,
    ClaimAction,
    ClaimManager,
    NotFollowed,
)
from foxtailhatch.durable.claim_records import KeyOwner, Outcome
from foxtailhatch.durable.claim_requests import (
    ClaimRequest,
    Decision,
    MayRun,
    Refuse,
    Replay,
    SendPermit,
)
from foxtailhatch.durable.claim_settings import ClaimSettings
from foxtailhatch.durable.desired_state import (
    DESIRED_STATE_STREAM,
    DesiredState,
    DesiredStateRecord,
    DesiredStateTable,
    encode_desired_state,
    may_serve,
    record_to_refresh,
)
from foxtailhatch.durable.fleet import FleetView
from foxtailhatch.durable.holding_plan import (
    EndpointCapacity,
    HoldingChange,
    RequiredModel,
)
from foxtailhatch.durable.keys import issue_key, key_time, partition_readers
from foxtailhatch.durable.lease_holder import HeldLease, LeaseHolder
from foxtailhatch.durable.leases import LEASE_STREAM, LeaseTable
from foxtailhatch.durable.load_rate_limiter import LoadRateLimiter
from foxtailhatch.durable.log_follower import (
    LogAvailability,
    LogFollower,
    ReadStream,
)
from foxtailhatch.durable.orders import OrderController, SendOrder
from foxtailhatch.durable.placement import PlacementController

__all__ = [
    'LEASE_STREAM',
    'DESIRED_STATE_STREAM',
    'AppendAttempt',
    'AppendClaimBatch',
    'AppendRecord',
    'AppendStep',
    'ClaimAction',
    'ClaimController',
    'ClaimManager',
    'ClaimRequest',
    'ClaimSettings',
    'Decision',
    'EndpointCapacity',
    'FleetView',
    'HeldLease',
    'KeyOwner',
    'LeaseHolder',
    'LeaseTable',
    'LoadRateLimiter',
    'LogAvailability',
    'LogFollower',
    'MayRun',
    'RequiredModel',
    'HoldingChange',
    'NotFollowed',
    'OrderController',
    'Outcome',
    'PlacementController',
    'ReadStream',
    'Refuse',
    'Replay',
    'SendOrder',
    'SendPermit',
    'DesiredState',
    'DesiredStateRecord',
    'DesiredStateTable',
    'encode_desired_state',
    'issue_key',
    'key_time',
    'may_serve',
    'partition_readers',
    'record_to_refresh',
]
