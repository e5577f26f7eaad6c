"""A published configuration as the controllers read it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailhatch.core import Endpoint

Labels = Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Account:
    """A client account: its fair-share weight and its limits.

    ``requests_per_s`` bounds the rate over all entries together and
    ``max_running`` the answers in progress; ``None`` sets no bound.
    """

    name: str
    weight: int = 1
    requests_per_s: float | None = None
    max_running: int | None = None


@dataclass(frozen=True, slots=True)
class CallerEntry:
    """A caller, known by the SHA-256 digest of its bearer token."""

    name: str
    account: str
    token_sha256: str
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Model:
    """A model in one version; ``layers`` is how many layers it has."""

    name: str
    version: str
    layers: int
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Adapter:
    """A model adapter that callers may ask for by its own name."""

    name: str
    model: str
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service and the labels of the endpoints that offer it.

    Requests whose ``METHOD /path`` starts with one of ``not_repeatable`` run
    at most once.  ``checks_key`` says that the service itself refuses an
    idempotency key it has seen, so that sending again is safe.
    """

    name: str
    endpoints: Labels
    not_repeatable: tuple[str, ...] = ()
    checks_key: bool = False
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Selector:
    """Who may reach what, at which priority, and what must not repeat.

    Each group of labels selects what carries all of them; an empty group
    selects everything.  A higher ``priority`` is served first.
    """

    name: str
    callers: Labels
    targets: Labels
    endpoints: Labels = field(default_factory=dict)
    priority: int = 0
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of everything that operators publish."""

    version: int
    accounts: tuple[Account, ...] = ()
    callers: tuple[CallerEntry, ...] = ()
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    selectors: tuple[Selector, ...] = ()


def has_labels(labels: Labels, wanted: Labels) -> bool:
    """Tell whether ``labels`` has every label of ``wanted``.

    >>> has_labels({'team': 'line', 'ward': '7'}, {'team': 'line'})
    True
    >>> has_labels({'team': 'line'}, {'team': 'desk'})
    False
    """
    return all(labels.get(key) == label for key, label in wanted.items())
