"""Run state of a call that is refused before its key is claimed."""

from dataclasses import replace

from foxtailhatch.core import Refusal, RunState


def refusal_without_claim(
    refusal: Refusal,
    key: str | None,
    first_try: bool,
) -> Refusal:
    """Return the refusal; its run state is unknown if this is a retry.

    The claims in the log were not read, so a call that has a key and is not
    the first attempt may have run before.

    >>> from foxtailhatch.core import ErrorCode
    >>> refusal = Refusal(ErrorCode.SHUTTING_DOWN, 'The entry stops.')
    >>> refusal_without_claim(refusal, 'k', first_try=False).run.value
    'unknown'
    """
    if key is None or first_try:
        return refusal
    return replace(refusal, run=RunState.UNKNOWN)
