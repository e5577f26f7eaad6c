"""Run the command line with ``python -m foxtailhatch``."""

import sys

from foxtailhatch.startup import is_daemon_command, prepare_daemon


def main() -> None:
    """Run the command line; daemons can be stopped from the start on."""
    if is_daemon_command(sys.argv[1:]):
        prepare_daemon()
    # The signal handlers have to be there before the longer imports.
    from foxtailhatch.cli.main import main as run  # noqa: WPS433

    run()


if __name__ == '__main__':
    main()
