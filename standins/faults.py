"""The faults that a stand-in can be told to show."""

from pydantic import BaseModel, ConfigDict


class Faults(BaseModel):
    """The switches of one stand-in; a count falls by one at each use.

    ``die`` ends the process at once and ``silence`` stops all bytes of the
    connections that are open now; neither is kept.  ``freeze`` accepts
    connections and never answers; ``slow_s`` delays all that is sent.
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
    # For the log service and the plain services: done, but not answered.
    lose_ack: int = 0

    def consume(self, name: str) -> bool:
        """Use up one of a count; tell whether there was one.

        >>> faults = Faults(lose_ack=1)
        >>> faults.consume('lose_ack'), faults.consume('lose_ack')
        (True, False)
        """
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True
