"""Invariant check: an answer reaches its caller complete and in order."""

from foxtailhatch.core import Invariant, check_invariant


class TokenSequenceCheck:
    """Require that no token of one answer is missing or repeated.

    >>> check = TokenSequenceCheck('req-1', first=2)
    >>> check.check_token(2)
    >>> check.check_end()
    """

    def __init__(self, request_id: str, first: int) -> None:
        """Expect ``first`` as the index of the next token."""
        self.request_id = request_id
        self.next_index = first
        self.has_ended = False

    def check_token(self, index: int) -> None:
        """Require that ``index`` is the index of the next token."""
        in_sequence = not self.has_ended and index == self.next_index
        evidence = (
            f'{self.request_id}: token {index}, expected {self.next_index}'
        )
        check_invariant(Invariant.COMPLETE_OWN_RESPONSE, in_sequence, evidence)
        self.next_index += 1

    def check_end(self) -> None:
        """Require that the answer has not ended before."""
        evidence = f'{self.request_id}: the answer ended twice'
        check_invariant(
            Invariant.COMPLETE_OWN_RESPONSE, not self.has_ended, evidence
        )
        self.has_ended = True
