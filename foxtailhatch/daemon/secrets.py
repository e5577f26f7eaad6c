"""Read the secrets of an instance from files or the environment."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from returns.result import Failure, Result, Success

from foxtailhatch.core.json_faults import JsonFault
from foxtailhatch.daemon.settings import SecretSource, Settings

MIN_SECRET_BYTES = 16
SECRETS_PATH = '$.secrets'


@dataclass(frozen=True, slots=True)
class Secrets:
    """The secret values; ``repr`` leaves them out."""

    peer_key: bytes = field(repr=False)
    operator_key: bytes | None = field(repr=False, default=None)


def read_secrets(
    cfg: Settings,
    environment: Mapping[str, str],
) -> Result[Secrets, JsonFault]:
    """Return the secrets that ``cfg`` refers to, or the first fault."""
    sources = cfg.secrets
    return Result.do(
        Secrets(peer_key, operator_key)
        for peer_key in _read('peer_key', sources.peer_key, environment)
        for operator_key in _read_operator_key(
            sources.operator_key,
            environment,
        )
    )


def _read_operator_key(
    source: SecretSource | None,
    environment: Mapping[str, str],
) -> Result[bytes | None, JsonFault]:
    if source is None:
        return Success(None)
    return _read('operator_key', source, environment).map(_optional)


def _optional(secret: bytes) -> bytes | None:
    return secret


def _read(
    name: str,
    source: SecretSource,
    environment: Mapping[str, str],
) -> Result[bytes, JsonFault]:
    if source.file is None:
        secret = environment.get(source.environment or '', '').encode()
    else:
        try:
            secret = Path(source.file).read_bytes()
        except OSError as exc:
            message = f'The file cannot be read: {exc.strerror}'
            return Failure(JsonFault(f'{SECRETS_PATH}.{name}.file', message))
    return _check_length(name, secret.strip())


def _check_length(name: str, secret: bytes) -> Result[bytes, JsonFault]:
    if len(secret) >= MIN_SECRET_BYTES:
        return Success(secret)
    message = f'The secret must have at least {MIN_SECRET_BYTES} bytes.'
    return Failure(JsonFault(f'{SECRETS_PATH}.{name}', message))
