"""The interface of the router to the platform."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from returns.result import Result

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement.protocols import EngineClient
from foxtailhatch.relay.refusals import RelayRefusal
from foxtailhatch.relay.request import RelayRequest, WireCodec
from foxtailhatch.router.keyed_log import KeyedLog
from foxtailhatch.routes import RoutingConfiguration

DecodeRequest = Callable[
    [str, str, Iterable[tuple[bytes, bytes]], bytes],
    Result[RelayRequest, RelayRefusal],
]
DecodeConfiguration = Callable[[bytes], Result[RoutingConfiguration, str]]
DecodeEndpoint = Callable[[str, bytes], Result[LiveEndpoint, str]]


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Access to the store, engines and formats of the platform.

    ``configuration_key`` is the key of the operators' configuration record.
    ``ready_path`` and ``advice_path`` are the HTTP paths that the platform
    and the callers request.
    """

    store: KeyedLog
    engines: EngineClient
    codec: WireCodec
    decode_request: DecodeRequest
    decode_configuration: DecodeConfiguration
    decode_endpoint: DecodeEndpoint
    configuration_key: str
    ready_path: bytes
    advice_path: bytes


AdapterFactory = Callable[[Any], PlatformAdapter]
ReloadSettings = Callable[[], object]
