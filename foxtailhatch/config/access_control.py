"""Access control: selectors matched against callers and their targets.

The index is built once for each configuration version.  It looks callers up
by the digest of their token and caches the result of evaluating the selectors
for each pair of caller labels and target.
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
    """The combined grant of all selectors that match a caller and a target.

    ``priority`` is the highest of the matching selectors.  A request may be
    sent again only if every matching selector is repeatable.  ``endpoints``
    holds the endpoint labels of each matching selector; an endpoint may serve
    the request if it has all labels of any of these groups.
    """

    priority: int
    repeatable: bool
    endpoints: tuple[Labels, ...]

    def allows_endpoint(self, labels: Labels) -> bool:
        """Return whether an endpoint with ``labels`` may serve the request."""
        return any(has_labels(labels, required) for required in self.endpoints)


_AccessKey = tuple[frozenset[tuple[str, str]], str]


@dataclass(frozen=True, slots=True)
class ConfigurationIndex:
    """Lookup tables of one configuration version, and a cache of grants."""

    cfg: Configuration
    callers: Mapping[str, Caller]
    targets: Mapping[str, Target]
    access_cache: dict[_AccessKey, Access | None] = field(default_factory=dict)


def index_configuration(cfg: Configuration) -> ConfigurationIndex:
    """Build the lookup tables of a configuration."""
    callers = {
        entry.token_sha256: Caller(entry.name, entry.account, entry.labels)
        for entry in cfg.callers
    }
    all_targets: tuple[Target, ...] = (
        *cfg.models,
        *cfg.adapters,
        *cfg.services,
    )
    targets = {target.name: target for target in all_targets}
    return ConfigurationIndex(
        cfg,
        MappingProxyType(callers),
        MappingProxyType(targets),
    )


def find_caller(index: ConfigurationIndex, token: str) -> Caller | None:
    """Return the caller authenticated by a bearer token, or ``None``.

    The table is keyed by the SHA-256 digest of the token, so that the time of
    a lookup leaks nothing about the tokens.
    """
    digest = hashlib.sha256(token.encode(errors='surrogatepass')).hexdigest()
    return index.callers.get(digest)


def evaluate_access(
    index: ConfigurationIndex,
    caller: Caller,
    target_name: str,
) -> Access | None:
    """Return the access of ``caller`` to a target.

    The result is ``None`` if no selector matches or the target is unknown.
    """
    key = (frozenset(caller.labels.items()), target_name)
    if key not in index.access_cache and target_name in index.targets:
        index.access_cache[key] = _combine_selectors(
            index.cfg.selectors,
            caller.labels,
            index.targets[target_name].labels,
        )
    return index.access_cache.get(key)


def reachable_models(
    index: ConfigurationIndex,
    caller: Caller,
) -> tuple[Model | Adapter, ...]:
    """Return the models and adapters that a caller may use, sorted by name."""
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
    """Return the services that a caller may use, sorted by name."""
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
    """Return whether a call of a service must run at most once.

    Method and path are normalized first: otherwise a client could make a
    non-repeatable call repeatable by spelling its path differently.

    >>> desk = Service('desk', {}, not_repeatable=('POST /reels',))
    >>> granted = Access(0, True, ())
    >>> requires_at_most_once(desk, granted, 'post', '//Reels/./%31?day=2')
    True
    >>> requires_at_most_once(desk, granted, 'GET', '/reels')
    False
    """
    if not granted.repeatable:
        return True
    request_line = _normalize_request_line(f'{method} {path}')
    return any(
        request_line.startswith(_normalize_request_line(prefix))
        for prefix in service.not_repeatable
    )


def _normalize_request_line(line: str) -> str:
    method, _, path = line.partition(' ')
    path = path.partition('?')[0].partition('#')[0]
    path = _unquote_repeatedly(path)
    path = posixpath.normpath(f'/{path.strip()}').lstrip('/')
    return f'{method} /{path}'.casefold()


def _unquote_repeatedly(path: str) -> str:
    """Undo nested percent-encoding, up to :data:`MAX_UNQUOTE_ROUNDS` deep."""
    for _ in range(MAX_UNQUOTE_ROUNDS):
        path = unquote(path)
    return path


def _combine_selectors(
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
