"""What a daemon does before and after the import of its modules.

Importing the modules of a daemon takes some tenths of a second, and longer on a
busy instance.  A stop in that time is a planned stop: no listener is open and
no request was taken, so the process ends at once, with exit code 0.  The daemon
replaces these handlers by its own before it opens its first listener.

This module imports only what the interpreter has loaded anyway.
"""

import gc
import os
import signal

EXIT_OK = 0
# Subcommands that run until they are stopped.
DAEMON_SUBCOMMANDS = frozenset(('route', 'serve'))


def prepare_daemon() -> None:
    """Prepare the import of a daemon's modules.

    Until the daemon has its own handlers, SIGTERM and SIGINT end the process
    with exit code 0, and SIGHUP is ignored, as the settings are about to be
    read anyway.  Garbage is not collected, since imports leave hardly any;
    the collections would take a tenth of the time.
    """
    gc.disable()
    signal.signal(signal.SIGTERM, _exit)
    signal.signal(signal.SIGINT, _exit)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def start_collecting_garbage() -> None:
    """Enable garbage collection, without what a daemon keeps for its life.

    The modules and their classes are left out of each later collection.
    """
    gc.freeze()
    gc.enable()


def is_daemon_command(arguments: list[str]) -> bool:
    """Return whether command line arguments start a daemon.

    >>> is_daemon_command(['serve', '--settings', 'settings.json'])
    True
    >>> is_daemon_command(['status'])
    False
    """
    return bool(arguments) and arguments[0] in DAEMON_SUBCOMMANDS


def _exit(*_: object) -> None:
    # An exception could be swallowed by the import that it interrupts.
    os._exit(EXIT_OK)  # noqa: WPS437
