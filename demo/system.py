"""A small system of separate processes: platform, endpoints and entries."""

import hashlib
import json
import os
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPResponse
from itertools import pairwise
from typing import Any

from demo.launcher import Launcher, StartedProcess, entry_settings, loopback

CALL_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 15.0
READY_POLL_INTERVAL_S = 0.05
OPERATOR_KEY = 'operator-key-of-this-run'
PEER_KEY = 'peer-key-of-this-run-only'
TOKEN = 'token-of-the-line-crew'
MODEL = 'guidance'
VERSION = '1'
LAYERS = 12
ZONES = ('thrissur-a', 'irinjalakuda-b', 'chalakudy-c')


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """An HTTP response with its complete body."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the body decoded as JSON."""
        return json.loads(self.body)


@dataclass(slots=True)
class System:
    """All processes by role; engines and entries by name."""

    launcher: Launcher
    log: StartedProcess
    instances: StartedProcess
    weights: StartedProcess
    engines: dict[str, StartedProcess] = field(default_factory=dict)
    services: dict[str, StartedProcess] = field(default_factory=dict)
    entries: dict[str, StartedProcess] = field(default_factory=dict)

    def start_engine(
        self,
        name: str,
        zone: str,
        layers: tuple[int, int],
        *options: str,
    ) -> StartedProcess:
        """Start and register an engine with a range of the model's layers."""
        first, end = layers
        engine = self.launcher.start(
            'standins.engine',
            '--name',
            name,
            '--hold',
            f'{MODEL}:{VERSION}:{first}-{end}',
            '--model-layers',
            f'{MODEL}={LAYERS}',
            *options,
        )
        self.engines[name] = engine
        self._register(engine, zone, 'engine', {})
        return engine

    def start_service(
        self, name: str, zone: str, *options: str
    ) -> StartedProcess:
        """Start and register an endpoint of the ``store-desk`` service."""
        service = self.launcher.start(
            'standins.plain_service',
            '--name',
            name,
            *options,
        )
        self.services[name] = service
        self._register(service, zone, 'service', {'role': 'store-desk'})
        return service

    def start_entry(
        self,
        name: str,
        zone: str,
        seeds: Sequence[str] = (),
        **more: object,
    ) -> StartedProcess:
        """Start an entry and wait until its ports are open."""
        platform = {
            'log': self.log.address,
            'instance_list': self.instances.address,
            'weight_store': self.weights.address,
        }
        settings = entry_settings(name, zone, platform, seeds, **more)
        path = self.launcher.write_json(f'{name}.json', settings)
        entry = self.launcher.start(
            'foxtailhatch',
            'serve',
            '--settings',
            str(path),
        )
        self.entries[name] = entry
        return entry

    def publish(
        self,
        document: Mapping[str, object],
        made_from: int,
        entry: str,
    ) -> BufferedResponse:
        """Publish a configuration through an entry."""
        return call(
            self.entries[entry].address,
            'POST',
            f'/admin/publish?made_from={made_from}',
            document,
            OPERATOR_KEY,
        )

    def mark(self, instance: str, mark: str, entry: str) -> BufferedResponse:
        """Mark an instance through an entry."""
        return call(
            self.entries[entry].address,
            'POST',
            '/admin/marks',
            {'instance': instance, 'mark': mark},
            OPERATOR_KEY,
        )

    def status(self, entry: str) -> Any:
        """Return the status document of an entry."""
        return call(self.entries[entry].address, 'GET', '/status').json()

    def wait_until_ready(self, entry: str) -> None:
        """Wait until an entry answers a short prompt with status 200."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        address = self.entries[entry].address
        while request_completion(address, 'ready?', 1).status != 200:
            if time.monotonic() > deadline:
                raise TimeoutError(f'{entry} not ready in {READY_TIMEOUT_S} s')
            time.sleep(READY_POLL_INTERVAL_S)

    def _register(
        self,
        started: StartedProcess,
        zone: str,
        role: str,
        labels: Mapping[str, str],
    ) -> None:
        listed = {
            'name': started.name,
            'address': loopback(started.address),
            'availability_zone': zone,
            'role': role,
            'leaving': False,
            'labels': dict(labels),
        }
        path = f'/instances/{started.name}'
        call(self.instances.address, 'POST', path, listed)


def start_platform(launcher: Launcher, *log_options: str) -> System:
    """Start the platform's log, instance list and weight store."""
    return System(
        launcher,
        launcher.start('standins.log_service', *log_options),
        launcher.start('standins.instance_list'),
        launcher.start('standins.weight_store'),
    )


def start_engines(system: System, bounds: Sequence[int]) -> None:
    """Start one engine for each layer range between consecutive bounds."""
    for number, layers in enumerate(pairwise(bounds)):
        zone = ZONES[number % len(ZONES)]
        system.start_engine(f'engine-{number}', zone, layers)


def configuration(**more: object) -> dict[str, object]:
    """Return a configuration with one account, model and service."""
    return {
        'accounts': [{'name': 'festoon'}],
        'callers': [
            {
                'name': 'line-crew',
                'account': 'festoon',
                'token_sha256': hashlib.sha256(TOKEN.encode()).hexdigest(),
                'labels': {'team': 'line'},
            },
        ],
        'models': [
            {'name': MODEL, 'version': VERSION, 'layers': LAYERS},
        ],
        'services': [
            {
                'name': 'store-desk',
                'endpoints': {'role': 'store-desk'},
                'not_repeatable': ['POST /bookings'],
            },
        ],
        'selectors': [
            {'name': 'crews', 'callers': {'team': 'line'}, 'targets': {}},
        ],
        **more,
    }


def environment() -> dict[str, str]:
    """Return the environment of the processes, with the test keys."""
    return {
        **os.environ,
        'FOXTAILHATCH_PEER_KEY': PEER_KEY,
        'FOXTAILHATCH_OPERATOR_KEY': OPERATOR_KEY,
    }


def call(
    address: str,
    method: str,
    path: str,
    document: object = None,
    token: str = '',
    **headers: str,
) -> BufferedResponse:
    """Send an HTTP request and return the complete response."""
    response = open_response(address, method, path, document, token, **headers)
    return BufferedResponse(response.status, response.read())


def open_response(
    address: str,
    method: str,
    path: str,
    document: object = None,
    token: str = '',
    **headers: str,
) -> HTTPResponse:
    """Send an HTTP request and return the response with its body unread."""
    conn = HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    body = None if document is None else json.dumps(document)
    sent = {name.replace('_', '-'): text for name, text in headers.items()}
    if token:
        sent['Authorization'] = f'Bearer {token}'
    if body is not None:
        sent['Content-Type'] = 'application/json'
    conn.request(method, path, body, sent)
    return conn.getresponse()


def request_completion(
    address: str, prompt: str, max_tokens: int
) -> BufferedResponse:
    """Request a completion and return the complete response."""
    document = {
        'model': MODEL,
        'prompt': prompt,
        'max_tokens': max_tokens,
    }
    return call(address, 'POST', '/v1/completions', document, TOKEN)
