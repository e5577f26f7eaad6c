"""What all stand-in processes share: loop, ports, first line and faults."""

import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, Protocol, runtime_checkable

import click
from twisted.internet import asyncioreactor
from twisted.web.server import Site

from foxtailhatch.core import Address
from standins.connections import FaultyFactory
from standins.faults import Faults
from standins.http_app import Call, CallHandler, JsonApp, Reply, reply

LOOPBACK: Final = '127.0.0.1'
BACKLOG: Final = 1024
FAULTS_PATH: Final = ('faults',)


class StandIn(Protocol):
    """A stand-in: its faults and the answer to each of its calls."""

    faults: Faults

    def answer(self, call: Call) -> Reply | None:
        """Answer one call, or never if ``None``."""


@runtime_checkable
class SiteProvider(Protocol):
    """A stand-in whose site has more than whole calls."""

    def site(self, reactor: Any, answer: CallHandler) -> Site:
        """Return the site; ``answer`` answers its whole calls."""


def json_site(reactor: Any, answer: CallHandler) -> Site:
    """Return a site that answers whole calls with JSON."""
    return Site(JsonApp(answer), reactor=reactor, timeout=None)


@dataclass(frozen=True, slots=True)
class ListeningStandIn:
    """A listening stand-in: its port, and one for faults only."""

    port: Any
    admin: Any
    factory: FaultyFactory

    def address(self) -> Address:
        """Return the address of the service."""
        return _port_address(self.port)

    def silence(self) -> None:
        """Make the connections that are open now silent for good."""
        self.factory.silence()

    def abort(self) -> None:
        """Close the port and cut all connections, as a kill does."""
        self.port.stopListening()
        for conn in tuple(self.factory.protocols):
            conn.abort()

    def admin_address(self) -> Address:
        """Return the address that takes faults even when frozen."""
        return _port_address(self.admin)


def _port_address(port: Any) -> Address:
    """Return where a port listens."""
    return Address(LOOPBACK, port.getHost().port)


@dataclass(slots=True)
class FaultHandler:
    """Take orders to show faults; leave all other calls to the stand-in."""

    standin: StandIn
    silence: Callable[[], None] = lambda: None

    def answer(self, call: Call) -> Reply | None:
        """Show or set the switches, or answer as the stand-in does."""
        if call.path != FAULTS_PATH:
            return self.standin.answer(call)
        faults = self.standin.faults
        if call.method == 'POST':
            requested = Faults.model_validate_json(call.body)
            for name in requested.model_fields_set:
                setattr(faults, name, getattr(requested, name))
            self._apply_once(faults)
        return reply(faults)

    def _apply_once(self, faults: Faults) -> None:
        """Do what is done once and not kept."""
        if faults.die:
            os._exit(1)
        if faults.silence:
            faults.silence = False
            self.silence()


def listen(
    reactor: Any,
    port: int,
    standin: StandIn,
) -> ListeningStandIn:
    """Serve a stand-in on a loopback port, 0 for any free one."""
    handler = FaultHandler(standin)
    if isinstance(standin, SiteProvider):
        site = standin.site(reactor, handler.answer)
    else:
        site = json_site(reactor, handler.answer)
    factory = FaultyFactory(site, standin.faults, reactor)
    handler.silence = factory.silence
    return ListeningStandIn(
        reactor.listenTCP(port, factory, BACKLOG, LOOPBACK),
        reactor.listenTCP(
            0,
            json_site(reactor, handler.answer),
            interface=LOOPBACK,
        ),
        factory,
    )


def install_reactor() -> Any:
    """Install the asyncio reactor of this process and return it."""
    asyncioreactor.install()
    from twisted.internet import reactor  # noqa: WPS433

    return reactor


def serve(
    name: str,
    port: int,
    make_standin: Callable[[Any], StandIn],
) -> None:
    """Listen, print the line that a launcher waits for, and run the loop."""
    reactor = install_reactor()
    listening = listen(reactor, port, make_standin(reactor))
    line = {
        'name': name,
        'address': str(listening.address()),
        'admin': str(listening.admin_address()),
    }
    click.echo(json.dumps(line))
    reactor.run()
