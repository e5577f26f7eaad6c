"""Who may reach what: selectors applied to callers and their targets.

The index is built once for each version in force.  It finds a caller by the
digest of its token and remembers what the selectors say of each pair of
caller labels and target.
"""

import hashlib
import posixpath
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from urllib.parse import unquote

from foxtailhatch.config.configuration import (
    Adapter,
    Configuration,
    Labels,
    Model,
    Selector,
    Service,
    has_labels,
)
from foxtailhatch.core import Caller

Target = Model | Adapter | Service
MAX_UNQUOTE_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class Access:
    """What the selectors grant a caller at one target.

    The highest priority counts.  The request may repeat only if every
    matching selector allows it.  ``endpoints`` holds one group of labels for
    each matching selector; an endpoint may serve if it carries any of them.
    """

    priority: int
    repeatable: bool
    endpoints: tuple[Labels, ...]

    def allows_endpoint(self, labels: Labels) -> bool:
        """Tell whether an endpoint with ``labels`` may serve the request."""
        return any(has_labels(labels, wanted) for wanted in self.endpoints)


_AccessKey = tuple[frozenset[tuple[str, str]], str]


@dataclass(frozen=True, slots=True)
class ConfigurationIndex:
    """A configuration with its lookup tables; build it once a version."""

    cfg: Configuration
    callers: Mapping[str, Caller]
    targets: Mapping[str, Target]
    access_cache: dict[_AccessKey, Access | None] = field(default_factory=dict)


def index_configuration(cfg: Configuration) -> ConfigurationIndex:
    """Return the index of one version."""
    callers = {
        entry.token_sha256: Caller(entry.name, entry.account, entry.labels)
        for entry in cfg.callers
    }
    listed: tuple[Target, ...] = (*cfg.models, *cfg.adapters, *cfg.services)
    targets = {target.name: target for target in listed}
    return ConfigurationIndex(
        cfg,
        MappingProxyType(callers),
        MappingProxyType(targets),
    )


def find_caller(index: ConfigurationIndex, token: str) -> Caller | None:
    """Return the caller that a bearer token proves, if any.

    The table is keyed by the digest, so that the time of the look-up tells
    nothing about the tokens themselves.
    """
    digest = hashlib.sha256(token.encode(errors='surrogatepass')).hexdigest()
    return index.callers.get(digest)


def evaluate_access(
    index: ConfigurationIndex,
    caller: Caller,
    target_name: str,
) -> Access | None:
    """Return what the selectors grant, or ``None`` if nothing or unknown."""
    key = (frozenset(caller.labels.items()), target_name)
    if key not in index.access_cache and target_name in index.targets:
        index.access_cache[key] = _granted(
            index.cfg.selectors,
            caller.labels,
            index.targets[target_name].labels,
        )
    return index.access_cache.get(key)


def reachable_models(
    index: ConfigurationIndex,
    caller: Caller,
) -> tuple[Model | Adapter, ...]:
    """Return the models and adapters a caller may reach, by name."""
    return tuple(
        target
        for name, target in sorted(index.targets.items())
        if not isinstance(target, Service)
        and evaluate_access(index, caller, name) is not None
    )


def reachable_services(
    index: ConfigurationIndex,
    caller: Caller,
) -> tuple[Service, ...]:
    """Return the services a caller may reach, by name."""
    return tuple(
        target
        for name, target in sorted(index.targets.items())
        if isinstance(target, Service)
        and evaluate_access(index, caller, name) is not None
    )


def requires_at_most_once(
    service: Service,
    granted: Access,
    method: str,
    path: str,
) -> bool:
    """Tell whether a call of a service may run at most once.

    The path is brought to its plain form first, so that an unusual spelling
    of a path cannot make a booking repeatable.

    >>> desk = Service('desk', {}, not_repeatable=('POST /reels',))
    >>> granted = Access(0, True, ())
    >>> requires_at_most_once(desk, granted, 'post', '//Reels/./%31?day=2')
    True
    >>> requires_at_most_once(desk, granted, 'GET', '/reels')
    False
    """
    if not granted.repeatable:
        return True
    asked = _plain(f'{method} {path}')
    return any(
        asked.startswith(_plain(prefix)) for prefix in service.not_repeatable
    )


def _plain(line: str) -> str:
    method, _, path = line.partition(' ')
    path = path.partition('?')[0].partition('#')[0]
    path = _unquoted(path)
    path = posixpath.normpath(f'/{path.strip()}').lstrip('/')
    return f'{method} /{path}'.casefold()


def _unquoted(path: str) -> str:
    """Undo percent-encoding, also where it was applied several times."""
    for _ in range(MAX_UNQUOTE_ROUNDS):
        path = unquote(path)
    return path


def _granted(
    selectors: Iterable[Selector],
    caller: Labels,
    target: Labels,
) -> Access | None:
    matching = [
        selector
        for selector in selectors
        if has_labels(caller, selector.callers)
        and has_labels(target, selector.targets)
    ]
    if not matching:
        return None
    return Access(
        max(selector.priority for selector in matching),
        all(selector.repeatable for selector in matching),
        tuple(selector.endpoints for selector in matching),
    )
