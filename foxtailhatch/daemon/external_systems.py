"""Clients of the external systems that an entry depends on."""

from dataclasses import dataclass
from typing import Any

from foxtailhatch.daemon.settings import Settings
from foxtailhatch.outside import (
    Engine,
    InstanceList,
    LogService,
    PlainService,
    WeightStore,
)
from foxtailhatch.outside.engine_http import HttpEngine
from foxtailhatch.outside.http_client import HttpClient
from foxtailhatch.outside.instances_http import HttpInstanceList
from foxtailhatch.outside.log_http import HttpLogService
from foxtailhatch.outside.service_http import HttpPlainService
from foxtailhatch.outside.session_http import SessionTiming
from foxtailhatch.outside.weights_http import HttpWeightStore

HEARTBEATS_PER_TIMEOUT = 4


@dataclass(frozen=True, slots=True)
class ExternalSystems:
    """The external systems behind protocols, so that tests can fake them."""

    engine: Engine
    service: PlainService
    log: LogService
    instances: InstanceList
    weights: WeightStore


def connect_external_systems(cfg: Settings, reactor: Any) -> ExternalSystems:
    """Return HTTP clients for the addresses in the settings."""
    client = HttpClient(reactor)
    timeouts = cfg.timeouts
    silence_timeout_s = timeouts.engine_silence_s
    timing = SessionTiming(
        silence_timeout_s / HEARTBEATS_PER_TIMEOUT, silence_timeout_s
    )
    return ExternalSystems(
        HttpEngine(client, timing, timeouts.engine_call_s),
        HttpPlainService(client),
        HttpLogService(
            client,
            cfg.platform.log.address(),
            timeouts.log_call_s,
        ),
        HttpInstanceList(
            client,
            cfg.platform.instance_list.address(),
            timeouts.instance_list_call_s,
        ),
        HttpWeightStore(client, cfg.platform.weight_store.address()),
    )
