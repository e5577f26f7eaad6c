"""Settings of a router process."""

from collections.abc import Mapping
from dataclasses import dataclass

DEFAULT_MEMORY_BYTES = 300_000_000


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the operators set; times are in seconds.

    ``revocation_s`` is how long a key may still be used after its
    revocation, ``change_s`` how long after any other change of the
    configuration the one before may still be applied, and ``leaving_s`` how
    long an endpoint that leaves may still get requests; ``settling_s`` how long
    after an outage the store counts as sound again.  ``stop_grace_s`` is how
    long a process may take to stop, and ``stall_s`` how long work waits for a
    dead endpoint before it is cancelled.  ``advice_max_s`` is the longest time for which callers may
    cache advice.  In any ``retry_window_s``, retries of a service may be
    ``retry_ratio`` of its requests plus ``retry_slack``, over all entries.
    """

    revocation_s: float = 5.0
    change_s: float = 2.0
    stop_grace_s: float = 8.0
    stall_s: float = 3.0
    leaving_s: float = 2.0
    settling_s: float = 3.0
    advice_max_s: float = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 200.0


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """The identity of an entry, its addresses and its limits.

    Addresses are ``host:port``; an empty one is not served.
    ``peer_address`` is for other entries, and ``cpu_cores`` the processor
    share in cores.  The process is killed beyond ``memory_bytes``.  ``zones``
    maps each availability zone to its region.  ``link_mbps`` is the rate of the
    instance's link in Mbit/s, 0 if it is not known.
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
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    link_mbps: float = 0
