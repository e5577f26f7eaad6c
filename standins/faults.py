"""Faults that can be injected into a stand-in."""

from pydantic import BaseModel, ConfigDict


class Faults(BaseModel):
    """Fault settings of one stand-in; counts decrease by one on each use.

    ``die`` exits the process immediately and ``silence`` drops all bytes of
    the connections that are currently open; both act once and are not stored.
    ``freeze`` accepts connections but never responds; ``slow_s`` delays all
    output.
    """

    model_config = ConfigDict(extra='forbid')

    die: bool = False
    silence: bool = False
    freeze: bool = False
    slow_s: float = 0
    # For engines.
    ignore_fence: bool = False
    leaving: bool = False
    full: bool = False
    late: int = 0
    late_s: float = 0.2
    reorder: int = 0
    duplicate: int = 0
    # For the log service.
    down: bool = False
    lose_append: int = 0
    drop_before: dict[str, int] = {}
    # The log returns from a copy without this many of the latest records of
    # each stream; acts once and is not stored.
    restore: int = 0
    # For the log service and plain services: the request is executed, but no
    # response is sent.
    lose_ack: int = 0

    def consume(self, name: str) -> bool:
        """Decrement a fault count; return whether it was positive.

        >>> faults = Faults(lose_ack=1)
        >>> faults.consume('lose_ack'), faults.consume('lose_ack')
        (True, False)
        """
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True
