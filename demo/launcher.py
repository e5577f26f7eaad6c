"""Start and stop processes for the demonstration and the tests.

The daemon itself starts no processes.
"""

import json
import subprocess
import sys
import tempfile
import threading
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

EXIT_TIMEOUT_S = 5.0


@dataclass(slots=True)
class StartedProcess:
    """A process that has printed its addresses on its first output line."""

    name: str
    address: str
    process: 'subprocess.Popen[str]'
    log: Path
    admin: str = ''
    peers: str = ''

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.process.kill()
        self.process.wait(EXIT_TIMEOUT_S)

    def wait(self, seconds: float) -> int:
        """Wait for the process to exit and return its exit code."""
        return self.process.wait(seconds)

    def log_text(self) -> str:
        """Return the standard error output of the process."""
        return self.log.read_text()


@dataclass(slots=True)
class Launcher:
    """Launcher of the processes of one run; leaving the context kills them."""

    folder: Path
    environment: Mapping[str, str]
    started: list[StartedProcess] = field(default_factory=list)

    def __enter__(self) -> 'Launcher':
        """Return the launcher."""
        return self

    def __exit__(self, *failure: object) -> None:
        """Kill all processes that are still running."""
        for item in self.started:
            item.process.kill()
        for item in self.started:
            item.process.wait(EXIT_TIMEOUT_S)

    def start(self, module: str, *arguments: str) -> StartedProcess:
        """Run ``python -m MODULE`` and wait for its first output line."""
        log = self.folder / f'{len(self.started)}.log'
        with log.open('w') as log_file:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=subprocess.PIPE,
                stderr=log_file,
                text=True,
                env=dict(self.environment),
            )
        line = _first_line(process, log)
        started = StartedProcess(
            line['name'],
            line['address'],
            process,
            log,
            line.get('admin', ''),
            line.get('peers', ''),
        )
        self.started.append(started)
        return started

    def write_json(self, name: str, document: object) -> Path:
        """Write a JSON file to the run folder and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(document))
        return path


def new_launcher(environment: Mapping[str, str]) -> Launcher:
    """Return a launcher with a new folder for logs and settings."""
    folder = Path(tempfile.mkdtemp(prefix='foxtailhatch-'))
    return Launcher(folder, environment)


def _first_line(
    process: 'subprocess.Popen[str]',
    log: Path,
) -> dict[str, Any]:
    if process.stdout is None:
        raise RuntimeError('The process has no standard output pipe.')
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f'No output from process: {log.read_text()}')
    # A full pipe would block the process, so later output is drained.
    threading.Thread(target=_drain, args=(process,), daemon=True).start()
    fields: dict[str, Any] = json.loads(line)
    return fields


def _drain(process: 'subprocess.Popen[str]') -> None:
    if process.stdout is not None:
        process.stdout.read()


def loopback(address: str) -> dict[str, object]:
    """Convert ``host:port`` to the address format of the settings."""
    host, _, port = address.partition(':')
    return {'host': host, 'port': int(port)}


def entry_settings(
    name: str,
    zone: str,
    platform: Mapping[str, str],
    seeds: Sequence[str] = (),
    **more: object,
) -> dict[str, object]:
    """Return the settings document of an entry on free loopback ports."""
    free = {'host': '127.0.0.1', 'port': 0}
    return {
        'instance': name,
        'region': 'south',
        'availability_zone': zone,
        'listen': {'callers': free, 'peers': free},
        'platform': {
            role: loopback(address) for role, address in platform.items()
        },
        'seeds': [loopback(seed) for seed in seeds],
        'secrets': {
            'peer_key': {'environment': 'FOXTAILHATCH_PEER_KEY'},
            'operator_key': {'environment': 'FOXTAILHATCH_OPERATOR_KEY'},
        },
        **more,
    }
