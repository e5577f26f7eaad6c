"""HTTP front ends over fake daemons, on an event loop in another thread."""

import asyncio
import threading
from contextlib import contextmanager

from click.testing import CliRunner
from twisted.internet import asyncioreactor

from foxtailhatch.callers import EntryRecommendation
from foxtailhatch.cli.main import main
from tests.callers.http import RunningServer


class EntryServer:
    """A front end that a blocking client can reach at ``address``."""

    def __init__(self, running):
        self.running = running
        self.gateway = running.gateway
        self.observability = running.observability
        self.address = f'127.0.0.1:{running.port}'
        self.gateway.recommendation = EntryRecommendation((), 30)


@contextmanager
def run_entry_servers(count=1, operators=None):
    """Yield ``count`` listening front ends, and stop them on exit."""
    loop = asyncio.new_event_loop()
    reactor = asyncioreactor.AsyncioSelectorReactor(loop)
    servers = [
        EntryServer(RunningServer(reactor, operators)) for _ in range(count)
    ]
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield servers
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        for reader in reactor.getReaders():
            reactor.removeReader(reader)
            reader.connectionLost(None)
        loop.close()


def run(*args, **options):
    """Run the command line with ``args`` and return the result."""
    return CliRunner().invoke(main, [str(arg) for arg in args], **options)
