"""Communication between entries: messages, authentication, connections."""

from foxtailhatch.peers.codec import FrameFault, decode, encode
from foxtailhatch.peers.handshake import PeerIdentity
from foxtailhatch.peers.messages import (
    AccountUsage,
    ConfigurationPush,
    ConfigurationRequest,
    EndpointStreams,
    Envelope,
    Message,
    StreamsReport,
    UsageReport,
)
from foxtailhatch.peers.node import PeerNode
from foxtailhatch.peers.outbox import SendOutcome
from foxtailhatch.peers.settings import PeerCounters, PeerSettings

__all__ = [
    'AccountUsage',
    'ConfigurationRequest',
    'ConfigurationPush',
    'EndpointStreams',
    'Envelope',
    'FrameFault',
    'Message',
    'PeerCounters',
    'PeerIdentity',
    'PeerNode',
    'PeerSettings',
    'SendOutcome',
    'StreamsReport',
    'UsageReport',
    'decode',
    'encode',
]
