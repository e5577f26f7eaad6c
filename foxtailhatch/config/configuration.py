"""Data classes of a published configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailhatch.core import Endpoint

Labels = Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Account:
    """A client account with its fair-share weight and limits.

    ``requests_per_s`` limits the request rate summed over all entries and
    ``max_running`` the number of running requests; ``None`` means no limit.
    """

    name: str
    weight: int = 1
    requests_per_s: float | None = None
    max_running: int | None = None


@dataclass(frozen=True, slots=True)
class CallerEntry:
    """A caller, identified by the SHA-256 digest of its bearer token."""

    name: str
    account: str
    token_sha256: str
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Model:
    """A version of a model; ``layers`` is its number of layers."""

    name: str
    version: str
    layers: int
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Adapter:
    """An adapter of a model, which callers request by its own name."""

    name: str
    model: str
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """An HTTP service and the labels of the endpoints that provide it.

    Requests whose ``METHOD /path`` starts with one of ``not_repeatable`` run
    at most once.  If ``checks_key`` is set, the service itself rejects a
    repeated idempotency key, so that a retry is safe.
    """

    name: str
    endpoints: Labels
    not_repeatable: tuple[str, ...] = ()
    checks_key: bool = False
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Selector:
    """A rule that grants callers access to targets.

    A group of labels matches an object that has all of these labels; an empty
    group matches everything.  Requests of a higher ``priority`` are served
    first.  Requests are sent again after a failure only if ``repeatable``.
    """

    name: str
    callers: Labels
    targets: Labels
    endpoints: Labels = field(default_factory=dict)
    priority: int = 0
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the whole configuration."""

    version: int
    accounts: tuple[Account, ...] = ()
    callers: tuple[CallerEntry, ...] = ()
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    selectors: tuple[Selector, ...] = ()


def has_labels(labels: Labels, required: Labels) -> bool:
    """Return whether ``labels`` has every label of ``required``.

    >>> has_labels({'team': 'line', 'ward': '7'}, {'team': 'line'})
    True
    >>> has_labels({'team': 'line'}, {'team': 'desk'})
    False
    """
    return all(labels.get(key) == label for key, label in required.items())
