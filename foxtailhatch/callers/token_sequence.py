"""The check that a caller gets its own answer, whole and in order."""

from foxtailhatch.core import Invariant, check_invariant


class TokenSequenceCheck:
    """Follow one answer and require that no token is missing or repeated.

    >>> check = TokenSequenceCheck('req-1', first=2)
    >>> check.check_token(2)
    >>> check.check_end()
    """

    def __init__(self, request_id: str, first: int) -> None:
        """Expect token number ``first`` next."""
        self.request_id = request_id
        self.next_index = first
        self.has_ended = False

    def check_token(self, index: int) -> None:
        """Require that ``index`` is the token due now."""
        due = not self.has_ended and index == self.next_index
        evidence = f'{self.request_id}: token {index}, due {self.next_index}'
        check_invariant(Invariant.COMPLETE_OWN_RESPONSE, due, evidence)
        self.next_index += 1

    def check_end(self) -> None:
        """Require that the answer ends once."""
        evidence = f'{self.request_id}: a second end'
        check_invariant(
            Invariant.COMPLETE_OWN_RESPONSE, not self.has_ended, evidence
        )
        self.has_ended = True
