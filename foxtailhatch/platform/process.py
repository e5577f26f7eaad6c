"""Run the router on the platform."""

import os
from pathlib import Path
from typing import Any

from returns.result import Success

from foxtailhatch.platform import names
from foxtailhatch.platform.configuration import decode_configuration
from foxtailhatch.platform.endpoints import decode_endpoint
from foxtailhatch.platform.engines import EngineCalls
from foxtailhatch.platform.requests import PlatformWire, decode_request
from foxtailhatch.platform.settings import (
    DEFAULT_PATH,
    SETTINGS_VARIABLE,
    read_settings,
)
from foxtailhatch.platform.store import LogStore
from foxtailhatch.relay.http_call import HttpCaller
from foxtailhatch.router.app import Adapter, run_router

EXIT_SETTINGS = 2


def run(metrics_port: int) -> int:
    """Run a router as the settings file says; return the exit code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    settings = read_settings(path, metrics_port)
    if not isinstance(settings, Success):
        os.write(2, f'{settings.failure()}\n'.encode())
        return EXIT_SETTINGS
    cfg = settings.unwrap()

    def make_adapter(reactor: Any) -> Adapter:
        store = LogStore(HttpCaller(reactor, cfg.store_address))
        return Adapter(
            store=store,
            prepare_store=store.create_decider_topic,
            engines=EngineCalls(reactor),
            wire=PlatformWire(),
            decode_request=decode_request,
            decode_configuration=decode_configuration,
            decode_endpoint=decode_endpoint,
            configuration_key=names.CONFIGURATION_KEY,
            ready_path=names.READY_PATH,
            advice_path=names.ADVICE_PATH,
        )

    return run_router(
        cfg,
        make_adapter,
        lambda: read_settings(path, metrics_port).map(lambda _: 'unchanged'),
    )
