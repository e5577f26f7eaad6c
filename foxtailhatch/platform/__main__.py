"""Run the router without importing the other commands, to start faster."""

from foxtailhatch.startup import prepare_daemon

if __name__ == '__main__':
    prepare_daemon()
    # The signal handlers have to be there before the longer imports.
    from foxtailhatch.cli.route import route  # noqa: WPS433

    route()
