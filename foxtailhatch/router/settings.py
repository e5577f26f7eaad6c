"""Settings of the router's process."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times, in seconds, and shares that the operators hold us to.

    ``revocation_s`` is how long a key may still be used after it was taken
    away; ``stop_grace_s`` how long a process may take to stop;
    ``stall_s`` how long work waits on a dead endpoint before it is cut off.
    Retries of a service may be ``retry_ratio`` of its requests and
    ``retry_slack`` more in ``retry_window_s``, over all entries.
    """

    revocation_s: float = 5.0
    stop_grace_s: float = 8.0
    stall_s: float = 3.0
    leaving_s: float = 2.0
    advice_max_s: float = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 200.0


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Who this entry is, where it listens and whom it asks.

    ``peer_address`` is for other entries, and ``cpu_cores`` the processor
    share in cores.

    Addresses are ``host:port``; an empty one is not served.  ``zones`` maps
    each availability zone to its region.
    """

    instance: str
    zone: str
    region: str
    zones: Mapping[str, str]
    callers_address: str
    ready_address: str
    advice_address: str
    metrics_address: str
    peer_address: str
    cpu_cores: float
    store_address: str
    bounds: Bounds
