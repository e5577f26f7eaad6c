"""The parts of an entry made from its settings."""

import time
from random import SystemRandom
from typing import Any

from twisted.web.server import Site

from foxtailhatch.callers.front import FrontLimits
from foxtailhatch.callers.operations import OperatorAccess
from foxtailhatch.callers.site import build_site
from foxtailhatch.config.snapshots import SnapshotWriter
from foxtailhatch.core import Address
from foxtailhatch.daemon.blackboard import Blackboard, new_blackboard
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.daemon.entry import EntryParts
from foxtailhatch.daemon.metrics import Metrics
from foxtailhatch.daemon.observability import EntryObservability
from foxtailhatch.daemon.operations import EntryOperations
from foxtailhatch.daemon.secrets import Secrets
from foxtailhatch.daemon.settings import Settings
from foxtailhatch.membership import Entry, EntryTable, PlannedStop
from foxtailhatch.platform import LogService

MILLISECONDS = 1000
RANDOM_BITS = 64


def own_entry(cfg: Settings, listening: Address) -> Entry:
    """Return this instance's account of itself as it starts."""
    advertised = cfg.advertise
    callers = advertised.callers.address() if advertised else listening
    peers = (advertised or cfg.listen).peers.address()
    return Entry(
        cfg.instance,
        callers,
        peers,
        cfg.availability_zone,
        cfg.region,
        incarnation=int(time.time() * MILLISECONDS),
    )


def empty_blackboard(cfg: Settings, own: Entry) -> Blackboard:
    """Return the blackboard of an entry that starts."""
    keep_s = cfg.periods.entry_advice_keep_s
    return new_blackboard(
        cfg.instance,
        cfg.availability_zone,
        SystemRandom().getrandbits(RANDOM_BITS),
        EntryTable(own, keep_s),
        PlannedStop(keep_s, wait_max_s=cfg.timeouts.planned_stop_s),
        time.time,
    )


def configuration_loop(
    cfg: Settings,
    parts: EntryParts,
    log: LogService,
    now: Any,
) -> ConfigurationLoop:
    """Return the loop that follows the configuration stream."""
    rng = parts.board.random
    return ConfigurationLoop(
        parts.board,
        log,
        parts.care,
        parts.follower,
        SnapshotWriter(cfg.periods.log_retention_s, rng),
        now,
    )


def front_site(
    cfg: Settings,
    secrets: Secrets,
    parts: EntryParts,
    configuration: ConfigurationLoop,
    reactor: Any,
) -> Site:
    """Return the site towards callers, operators and monitoring."""
    observability = EntryObservability(
        parts.board,
        Metrics(cfg.instance),
        parts.answers,
        parts.care,
        parts.guard,
    )
    operators = None
    if secrets.operator_key is not None:
        operations = EntryOperations(parts.board, configuration)
        operators = OperatorAccess(operations, secrets.operator_key)
    limits = FrontLimits(
        cfg.limits.body_bytes,
        cfg.timeouts.request_body_s,
        cfg.timeouts.slow_caller_s,
        cfg.timeouts.first_token_s,
    )
    return build_site(parts.gateway, observability, limits, reactor, operators)
