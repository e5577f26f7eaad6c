"""Run the router without importing the other commands, to start faster."""

from foxtailhatch.startup import exit_on_stop_signals

if __name__ == '__main__':
    exit_on_stop_signals()
    # The signal handlers have to be there before the longer imports.
    from foxtailhatch.cli.route import route  # noqa: WPS433

    route()
