"""Common parts of stand-in processes: event loop, ports and fault API."""

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
    """Interface of a stand-in: its faults and its call handler."""

    faults: Faults

    def answer(self, call: Call) -> Reply | None:
        """Return the response to a call, or ``None`` for no response."""


@runtime_checkable
class SiteProvider(Protocol):
    """A stand-in that provides its own site."""

    def site(self, reactor: Any, answer: CallHandler) -> Site:
        """Return the site; ``answer`` handles its single calls."""


def json_site(reactor: Any, answer: CallHandler) -> Site:
    """Return a site that responds to single calls with JSON."""
    return Site(JsonApp(answer), reactor=reactor, timeout=None)


@dataclass(frozen=True, slots=True)
class ListeningStandIn:
    """A listening stand-in with its service port and its admin port."""

    port: Any
    admin: Any
    factory: FaultyFactory

    def address(self) -> Address:
        """Return the address of the service."""
        return _port_address(self.port)

    def silence(self) -> None:
        """Permanently silence the connections that are currently open."""
        self.factory.silence()

    def abort(self) -> None:
        """Close the port and abort all connections, like a crash."""
        self.port.stopListening()
        for conn in tuple(self.factory.protocols):
            conn.abort()

    def admin_address(self) -> Address:
        """Return the address that accepts faults even while frozen."""
        return _port_address(self.admin)


def _port_address(port: Any) -> Address:
    """Return the loopback address of a listening port."""
    return Address(LOOPBACK, port.getHost().port)


@dataclass(slots=True)
class FaultHandler:
    """Handle ``/faults`` and forward all other calls to the stand-in."""

    standin: StandIn
    silence: Callable[[], None] = lambda: None

    def answer(self, call: Call) -> Reply | None:
        """Return or change the faults, or forward the call."""
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
        """Apply ``die`` and ``silence``, which act once and are not stored."""
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
    """Serve a stand-in on a loopback port; port 0 selects a free one."""
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
    """Listen, print the addresses as one JSON line, and run the event loop."""
    reactor = install_reactor()
    listening = listen(reactor, port, make_standin(reactor))
    line = {
        'name': name,
        'address': str(listening.address()),
        'admin': str(listening.admin_address()),
    }
    click.echo(json.dumps(line))
    reactor.run()
