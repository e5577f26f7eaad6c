"""State that an engine reports on request."""

from dataclasses import dataclass

from foxtailhatch.core import LayerRange


@dataclass(frozen=True, slots=True)
class StalledRequest:
    """A request that waits for the endpoint at ``address``."""

    request_id: str
    address: str


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine, some tenths of a second old.

    ``orders`` is the number of orders accepted since the engine's start, and
    ``incarnation`` that of the engine, 0 if it is not told.
    ``kv_used`` and ``kv_total`` count tokens once for each layer held.
    """

    is_busy: bool = False
    orders: int = 0
    layers: LayerRange | None = None
    waiting: int = 0
    running: int = 0
    kv_used: float = 0
    kv_total: float = 0
    stalled: tuple[StalledRequest, ...] = ()
    incarnation: int = 0
