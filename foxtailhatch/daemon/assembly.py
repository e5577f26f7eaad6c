"""The parts of an entry made from its settings."""

import time
from random import SystemRandom
from typing import Any

from twisted.web.server import Site

from foxtailhatch.callers.api_context import HttpLimits
from foxtailhatch.callers.operations import OperatorAccess
from foxtailhatch.callers.site import build_site
from foxtailhatch.config.snapshots import SnapshotWriter
from foxtailhatch.core import Address, HybridClock
from foxtailhatch.daemon.blackboard import Blackboard, new_blackboard
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.daemon.entry import EntryComponents
from foxtailhatch.daemon.observability import EntryObservability
from foxtailhatch.daemon.operations import EntryOperations
from foxtailhatch.daemon.peer_inbox import PeerInbox
from foxtailhatch.daemon.peer_loop import PeerLoop
from foxtailhatch.daemon.secrets import Secrets
from foxtailhatch.daemon.settings import Settings
from foxtailhatch.daemon.usage_exchange import UsageExchange
from foxtailhatch.membership import (
    Entry,
    EntryTable,
    Gossip,
    PlannedStop,
)
from foxtailhatch.outside import LogService
from foxtailhatch.peers import (
    PeerCounters,
    PeerIdentity,
    PeerNode,
    PeerSettings,
)

MILLISECONDS = 1000
RANDOM_BITS = 64


def own_entry(cfg: Settings, callers: Address, peers: Address) -> Entry:
    """Return this instance's account of itself as it starts.

    The addresses are those it listens on; advertised ones replace them.
    """
    advertised = cfg.advertise
    if advertised is not None:
        callers = advertised.callers.address()
        peers = advertised.peers.address()
    return Entry(
        cfg.instance,
        callers,
        peers,
        cfg.availability_zone,
        cfg.region,
        incarnation=int(time.time() * MILLISECONDS),
    )


def empty_blackboard(
    cfg: Settings,
    own: Entry,
    clock: HybridClock,
) -> Blackboard:
    """Return the blackboard of an entry that starts."""
    keep_s = cfg.periods.entry_advice_keep_s
    return new_blackboard(
        clock,
        cfg.availability_zone,
        SystemRandom().getrandbits(RANDOM_BITS),
        EntryTable(own, keep_s),
        PlannedStop(keep_s, timeout_s=cfg.timeouts.planned_stop_s),
        time.time,
        cfg.limits,
    )


def configuration_loop(
    cfg: Settings,
    parts: EntryComponents,
    log: LogService,
    now: Any,
) -> ConfigurationLoop:
    """Return the loop that follows the configuration stream."""
    rng = parts.board.random
    return ConfigurationLoop(
        parts.board,
        log,
        parts.endpoint_monitor,
        parts.follower,
        SnapshotWriter(cfg.periods.log_retention_s, rng),
        now,
    )


def build_front_site(
    cfg: Settings,
    secrets: Secrets,
    parts: EntryComponents,
    configuration: ConfigurationLoop,
    peers: PeerCounters,
    reactor: Any,
) -> Site:
    """Return the site towards callers, operators and monitoring."""
    observability = EntryObservability(
        parts.board,
        parts.answers,
        parts.endpoint_monitor,
        parts.guard,
        peers,
    )
    operators = None
    if secrets.operator_key is not None:
        operations = EntryOperations(parts.board, configuration)
        operators = OperatorAccess(operations, secrets.operator_key)
    limits = HttpLimits(
        cfg.limits.body_bytes,
        cfg.timeouts.request_body_s,
        cfg.timeouts.slow_caller_s,
        cfg.timeouts.first_token_s,
    )
    return build_site(parts.gateway, observability, limits, reactor, operators)


def peer_node(
    cfg: Settings,
    secrets: Secrets,
    clock: HybridClock,
    inbox: PeerInbox,
) -> PeerNode:
    """Return the node that talks with other entries."""
    identity = PeerIdentity(cfg.instance, cfg.listen.peers.address())
    settings = PeerSettings(identity, secrets.peer_key)
    return PeerNode(settings, clock, inbox.receive, inbox.handle_unreachable)


def peer_loop(
    cfg: Settings,
    parts: EntryComponents,
    configuration: ConfigurationLoop,
    node: PeerNode,
    now: Any,
) -> PeerLoop:
    """Return the loop that exchanges with other entries."""
    seeds = [seed.address() for seed in cfg.seeds]
    board = parts.board
    gossip = Gossip(board.entries, board.random, seeds)
    usage_exchange = UsageExchange(
        board, parts.answers.open_requests_by_account
    )
    return PeerLoop(
        board,
        parts.endpoint_monitor,
        configuration,
        gossip,
        usage_exchange,
        node,
        now,
    )
