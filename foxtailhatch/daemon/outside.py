"""The outside systems of one entry, each behind its protocol."""

from dataclasses import dataclass
from typing import Any

from foxtailhatch.daemon.settings import Settings
from foxtailhatch.platform import (
    Engine,
    InstanceList,
    LogService,
    PlainService,
)
from foxtailhatch.platform.engine_http import HttpEngine
from foxtailhatch.platform.http_client import HttpClient
from foxtailhatch.platform.instances_http import HttpInstanceList
from foxtailhatch.platform.log_http import HttpLogService
from foxtailhatch.platform.service_http import HttpPlainService
from foxtailhatch.platform.session_http import SessionTiming

HEARTBEATS_IN_SILENCE = 4


@dataclass(frozen=True, slots=True)
class Outside:
    """What an entry talks to; tests put fakes in these places."""

    engine: Engine
    service: PlainService
    log: LogService
    instances: InstanceList


def connect_outside(cfg: Settings, reactor: Any) -> Outside:
    """Return the adapters at the addresses that the settings give."""
    client = HttpClient(reactor)
    timeouts = cfg.timeouts
    silent_s = timeouts.engine_silence_s
    timing = SessionTiming(silent_s / HEARTBEATS_IN_SILENCE, silent_s)
    return Outside(
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
    )
