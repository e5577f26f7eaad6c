"""What an engine reports when it is asked."""

from dataclasses import dataclass

from foxtailhatch.core import LayerRange


@dataclass(frozen=True, slots=True)
class StalledRequest:
    """A request that waits for the endpoint at ``address``."""

    request_id: str
    address: str


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's state some tenths of a second ago.

    ``orders`` counts the orders accepted since the engine's start.  Tokens
    are counted once for each layer held.
    """

    is_busy: bool = False
    orders: int = 0
    layers: LayerRange | None = None
    waiting: int = 0
    running: int = 0
    kv_used: float = 0
    kv_total: float = 0
    stalled: tuple[StalledRequest, ...] = ()
