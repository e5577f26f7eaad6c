"""Run the router with the platform adapter."""

import os
from functools import partial
from pathlib import Path
from typing import Any

from returns.result import Result, Success

from foxtailhatch.platform import names
from foxtailhatch.platform.configuration import decode_configuration
from foxtailhatch.platform.endpoints import decode_endpoint
from foxtailhatch.platform.engines import HttpEngineClient
from foxtailhatch.platform.requests import PlatformCodec, decode_request
from foxtailhatch.platform.settings import (
    DEFAULT_PATH,
    SETTINGS_VARIABLE,
    read_settings,
)
from foxtailhatch.platform.store import LogStore
from foxtailhatch.relay.http_client import HttpClient
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.app import run_router

EXIT_SETTINGS = 2


def run(metrics_port: int) -> int:
    """Run a router with the settings file; return the exit code.

    ``metrics_port`` is the port of the metrics page, or 0 for none.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    settings = read_settings(path, metrics_port)
    if not isinstance(settings, Success):
        os.write(2, f'{settings.failure()}\n'.encode())
        return EXIT_SETTINGS
    cfg = settings.unwrap()
    return run_router(
        cfg,
        partial(_adapter, cfg.store_address),
        partial(_reload, path, metrics_port),
    )


def _reload(path: Path, metrics_port: int) -> Result[str, str]:
    """Validate the settings file; addresses change only on a restart."""
    return read_settings(path, metrics_port).map(lambda _: 'checked')


def _adapter(store_address: str, reactor: Any) -> PlatformAdapter:
    return PlatformAdapter(
        store=LogStore(HttpClient(reactor, store_address)),
        engines=HttpEngineClient(reactor),
        codec=PlatformCodec(),
        decode_request=decode_request,
        decode_configuration=decode_configuration,
        decode_endpoint=decode_endpoint,
        configuration_key=names.CONFIGURATION_KEY,
        ready_path=names.READY_PATH,
        advice_path=names.ADVICE_PATH,
    )
