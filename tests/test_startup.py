"""Stop signals that arrive while a daemon starts.

A stand-in for a library that both daemons import blocks the start, so that
the signal is certain to arrive during the imports.
"""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from foxtailhatch.router.app import EXIT_LISTEN
from tests.soak_router.ports import free_port

ROOT = Path(__file__).parent.parent
PROGRAMS = (
    ('foxtailhatch.platform',),
    ('foxtailhatch', 'route'),
    ('foxtailhatch', 'serve', '--settings', 'none.json'),
)
BLOCKING_LIBRARY = """
import pathlib, time
pathlib.Path({marker!r}).touch()
time.sleep(60)
"""
WAIT_S = 30
TRIES = 8


def wait_until(is_done):
    for _ in range(WAIT_S * 100):
        if is_done():
            return
        time.sleep(0.01)
    raise TimeoutError


def start(program, path, **env):
    search_path = os.pathsep.join((str(path), str(ROOT)))
    return subprocess.Popen(
        [sys.executable, '-m', *program],
        env=os.environ | env | {'PYTHONPATH': search_path},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def start_blocked(program, folder):
    """Start a program that stays in the import of ``click``."""
    marker = folder / 'marker'
    library = folder / 'click.py'
    library.write_text(BLOCKING_LIBRARY.format(marker=str(marker)))
    process = start(program, folder)
    wait_until(marker.exists)
    return process


def catches(process, number):
    """Return whether a process has installed a handler for a signal."""
    status = Path(f'/proc/{process.pid}/status').read_text()
    mask = next(line for line in status.splitlines() if 'SigCgt' in line)
    return bool(int(mask.split()[1], 16) >> (number - 1) & 1)


@pytest.mark.parametrize('program', PROGRAMS)
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_stop_during_the_imports_is_a_planned_stop(tmp_path, program, number):
    process = start_blocked(program, tmp_path)
    process.send_signal(number)
    assert process.wait(WAIT_S) == 0


@pytest.mark.parametrize('program', PROGRAMS)
def test_reload_during_the_imports_does_not_end_a_daemon(tmp_path, program):
    process = start_blocked(program, tmp_path)
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_S) == 0


def test_other_subcommands_are_interrupted(tmp_path):
    """A command that has not done its work must not report success."""
    process = start_blocked(('foxtailhatch', 'status'), tmp_path)
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_S) == -signal.SIGTERM


@pytest.mark.parametrize('seed', range(TRIES))
def test_router_can_be_stopped_at_any_moment_of_its_start(tmp_path, seed):
    settings = tmp_path / 'settings.conf'
    fields = {
        'node_name': 'r1',
        'ip': '127.0.0.1',
        'zone': 'z1',
        'region': 'here',
        'listen.front': f'127.0.0.1:{free_port()}',
        'listen.ready': f'127.0.0.1:{free_port()}',
        'port_range': f'{free_port()},{free_port()}',
        'platform.address': f'127.0.0.1:{free_port()}',
    }
    settings.write_text(
        ''.join(f'{key}={text}\n' for key, text in fields.items())
    )
    process = start(PROGRAMS[0], tmp_path, FOXTAILHATCH_SETTINGS=str(settings))
    wait_until(lambda: catches(process, signal.SIGTERM))
    time.sleep(random.Random(seed).uniform(0, 0.8))
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_S) == 0


SETTINGS = """
node_name=entry-1
ip=127.0.0.1
zone=z1
region=here
platform.address=127.0.0.1:{store}
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
"""


# Guards against a router that lives on without one of its ports, and refuses all
# requests at the others for good.
@pytest.mark.parametrize('part', ['front', 'ready'])
def test_router_that_cannot_listen_ends(tmp_path, part):
    ports = {name: free_port() for name in ('store', 'front', 'ready')}
    settings = tmp_path / 'settings.conf'
    settings.write_text(SETTINGS.format(**ports))
    with socket.create_server(('127.0.0.1', ports[part])):
        process = start(
            ('foxtailhatch.platform',),
            tmp_path,
            FOXTAILHATCH_SETTINGS=str(settings),
        )
        assert process.wait(WAIT_S) == EXIT_LISTEN
