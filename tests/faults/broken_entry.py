"""Entry that exits on SIGTERM without draining a running request."""

from unittest import mock

from foxtailhatch.cli.main import main
from foxtailhatch.daemon.entry import EntryComponents
from tests.faults.test_invariants import STOP_WITHOUT_DRAIN

if __name__ == '__main__':
    with (
        STOP_WITHOUT_DRAIN,
        mock.patch.object(EntryComponents, 'running', lambda _: 1),
    ):
        main()
