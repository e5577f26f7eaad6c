"""An instance's settings: one JSON file, read once at the start."""

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
    """An IP number and a port; a listener may leave its port open with 0."""

    host: IpAddress
    port: int = Field(ge=0, le=MAX_PORT)

    def address(self) -> Address:
        """Return the address as the rest of the program knows it."""
        return Address(self.host, self.port)


class FrontAddresses(StrictDocument):
    """One address towards callers and one towards the other entries."""

    callers: AddressSettings
    peers: AddressSettings


class PlatformAddresses(StrictDocument):
    """Where the platform's services are."""

    log: AddressSettings
    instance_list: AddressSettings
    weight_store: AddressSettings


class SecretSource(StrictDocument):
    """Where a secret is read from; exactly one of the two is given."""

    file: str | None = None
    environment: str | None = None


class SecretSources(StrictDocument):
    """The secrets of an instance.

    ``peer_key`` is shared by all entries of one user; without an
    ``operator_key`` the operators' paths are closed.
    """

    peer_key: SecretSource
    operator_key: SecretSource | None = None


class Timeouts(StrictDocument):
    """How long the instance waits for others, in seconds."""

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
    """How often the instance looks or tells, in seconds."""

    log_poll_s: Seconds = 1
    log_retention_s: Seconds = 86_400
    instance_list_poll_s: Seconds = 1
    entry_advice_keep_s: Seconds = 30


class Limits(StrictDocument):
    """Bounds on what the instance takes in."""

    body_bytes: Count = 1_048_576
    running_answers: Count = 128
    queued_requests: Count = 1000
    timeline_events: Count = 20_000
    claim_streams: Count = 4
    retained_bytes: Size = 1_048_576


class Placement(StrictDocument):
    """How this instance may decide what engines load.

    ``load_bytes_per_s`` is the rate that the weight store bears.
    """

    load_bytes_per_s: Annotated[float, Field(gt=0)]


class Settings(StrictDocument):
    """All settings of one entry instance.

    ``advertise`` is what others are told to connect to; without it they are
    told the addresses that the instance listens on.
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
    """Read the settings from a file, or return every fault found in it."""
    try:
        raw = path.read_bytes()
    except OSError as exc:
        fault = JsonFault(ROOT_PATH, f'The file cannot be read: {exc.strerror}')
        return Failure((fault,))
    return parse_settings(raw)


def parse_settings(raw: bytes) -> Result[Settings, tuple[JsonFault, ...]]:
    """Return the settings in ``raw``, or every fault found in it.

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
        JsonFault(f'$.secrets.{name}', 'Give either file or environment.')
        for name, source in sources.items()
        if source is not None and not _has_one_place(source)
    )


def _has_one_place(source: SecretSource) -> bool:
    return (source.file is None) != (source.environment is None)
