"""The settings of an instance: one JSON file, read once at startup."""

from pathlib import Path
from typing import Annotated

from pydantic import Field, ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.core import Address
from foxtailhatch.core.document_types import (
    MAX_PORT,
    IpAddress,
    Name,
    StrictDocument,
)
from foxtailhatch.core.json_faults import ROOT_PATH, JsonFault, json_faults

Seconds = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]
Size = Annotated[int, Field(ge=0)]


class AddressSettings(StrictDocument):
    """An IP address and a port; port 0 makes a listener use a free port."""

    host: IpAddress
    port: int = Field(ge=0, le=MAX_PORT)

    def address(self) -> Address:
        """Return the address as a :class:`~foxtailhatch.core.Address`."""
        return Address(self.host, self.port)


class FrontAddresses(StrictDocument):
    """One address for callers and one for the other entries."""

    callers: AddressSettings
    peers: AddressSettings


class PlatformAddresses(StrictDocument):
    """The addresses of the platform's services."""

    log: AddressSettings
    instance_list: AddressSettings
    weight_store: AddressSettings


class SecretSource(StrictDocument):
    """The source of a secret; exactly one of the two fields is set."""

    file: str | None = None
    environment: str | None = None


class SecretSources(StrictDocument):
    """The sources of the secrets of an instance.

    ``peer_key`` is shared by all entries of one user.  Without an
    ``operator_key`` the operator endpoints are disabled.
    """

    peer_key: SecretSource
    operator_key: SecretSource | None = None


class Timeouts(StrictDocument):
    """Timeouts for calls and callers, in seconds."""

    request_body_s: Seconds = 10
    slow_caller_s: Seconds = 30
    first_token_s: Seconds = 30
    service_call_s: Seconds = 10
    log_call_s: Seconds = 2
    instance_list_call_s: Seconds = 2
    engine_call_s: Seconds = 2
    engine_silence_s: Seconds = 3
    planned_stop_s: Seconds | None = None


class Periods(StrictDocument):
    """Polling periods and retention times, in seconds."""

    log_poll_s: Seconds = 1
    log_retention_s: Seconds = 86_400
    instance_list_poll_s: Seconds = 1
    entry_advice_keep_s: Seconds = 30


class Limits(StrictDocument):
    """Limits on request sizes, concurrency and buffers."""

    body_bytes: Count = 1_048_576
    running_answers: Count = 128
    queued_requests: Count = 1000
    timeline_events: Count = 20_000
    claim_streams: Count = 4
    retained_bytes: Size = 1_048_576


class Placement(StrictDocument):
    """Settings for an instance that is a candidate for placing models.

    ``load_bytes_per_s`` is the read rate that the weight store sustains.
    """

    load_bytes_per_s: Annotated[float, Field(gt=0)]


class Settings(StrictDocument):
    """All settings of one entry instance.

    ``advertise`` holds the addresses that others are given to connect to; by
    default these are the addresses that the instance listens on.
    """

    instance: Name
    region: Name
    availability_zone: Name
    listen: FrontAddresses
    advertise: FrontAddresses | None = None
    platform: PlatformAddresses
    seeds: tuple[AddressSettings, ...] = ()
    secrets: SecretSources
    timeouts: Timeouts = Timeouts()
    periods: Periods = Periods()
    limits: Limits = Limits()
    placement: Placement | None = None


def load_settings(path: Path) -> Result[Settings, tuple[JsonFault, ...]]:
    """Return the settings in the file at ``path``, or all its faults."""
    try:
        raw = path.read_bytes()
    except OSError as exc:
        fault = JsonFault(ROOT_PATH, f'The file cannot be read: {exc.strerror}')
        return Failure((fault,))
    return parse_settings(raw)


def parse_settings(raw: bytes) -> Result[Settings, tuple[JsonFault, ...]]:
    """Return the settings in the JSON text ``raw``, or all its faults.

    >>> faults = parse_settings(b'{"instance": 7}').failure()
    >>> str(faults[0])
    '$.instance: Input should be a valid string'
    """
    try:
        cfg = Settings.model_validate_json(raw)
    except ValidationError as exc:
        return Failure(json_faults(exc, raw))
    faults = _secret_faults(cfg)
    return Failure(faults) if faults else Success(cfg)


def _secret_faults(cfg: Settings) -> tuple[JsonFault, ...]:
    sources = {
        'peer_key': cfg.secrets.peer_key,
        'operator_key': cfg.secrets.operator_key,
    }
    return tuple(
        JsonFault(
            f'$.secrets.{name}', 'Give exactly one of file and environment.'
        )
        for name, source in sources.items()
        if source is not None and not _has_one_source(source)
    )


def _has_one_source(source: SecretSource) -> bool:
    return (source.file is None) != (source.environment is None)
