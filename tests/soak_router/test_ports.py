"""Each port of a router under test is given out once."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from foxtailhatch.router.app import EXIT_LISTEN
from tests.soak_router.ports import PortBlocks
from tests.soak_router.test_router import run_scenario, wait_until_served
from tests.soak_router.world import World

ROOT = Path(__file__).parents[2]
PROCESSES = 4
WORLDS = 200
ROUTERS = 14
PORTS_PER_ROUTER = 3
DRAW = """
import sys
from tests.soak_router.world import free_port

for _ in range(int(sys.argv[1])):
    print(free_port())
print('end', flush=True)
sys.stdin.read()
"""


def start_drawing(count):
    return subprocess.Popen(
        [sys.executable, '-c', DRAW, str(count)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def drawn(process):
    return list(iter(process.stdout.readline, 'end\n'))


# Guards against two routers with one port, the second of which can't listen.
def test_processes_that_draw_at_once_get_no_port_twice():
    count = WORLDS // PROCESSES * ROUTERS * PORTS_PER_ROUTER
    processes = [start_drawing(count) for _ in range(PROCESSES)]
    ports = [port for process in processes for port in drawn(process)]
    for process in processes:
        process.communicate()
    assert len(ports) == WORLDS * ROUTERS * PORTS_PER_ROUTER
    assert len(set(ports)) == len(ports)


def test_port_in_use_is_passed_over(tmp_path):
    blocks = PortBlocks(tmp_path, range(31_000, 31_010), size=5)
    with socket.create_server(('127.0.0.1', 31_001)):
        assert [blocks.take() for _ in range(3)] == [31_000, 31_002, 31_003]


def test_blocks_of_another_process_are_passed_over(tmp_path):
    first = PortBlocks(tmp_path, range(31_000, 31_010), size=5)
    second = PortBlocks(tmp_path, range(31_000, 31_010), size=5)
    assert (first.take(), second.take(), first.take()) == (
        31_000,
        31_005,
        31_001,
    )


def test_ports_are_given_out_again_once_all_were(tmp_path):
    blocks = PortBlocks(tmp_path, range(31_000, 31_004), size=2)
    drawn_ports = [blocks.take() for _ in range(6)]
    assert drawn_ports == [31_000, 31_001, 31_002, 31_003, 31_000, 31_001]


# Guards against a wait of 30 s for a router that has ended.
def test_world_whose_router_cannot_listen_fails_at_once(tmp_path):
    class TakenWorld(World):
        def start_router(self, router):
            port = router.ports['ready']
            self.taken = socket.create_server(('127.0.0.1', port))
            super().start_router(router)

        def stop(self):
            self.taken.close()
            super().stop()

    with pytest.raises(AssertionError) as caught:
        run_scenario(tmp_path, wait_until_served, world_type=TakenWorld)
    text = str(caught.value)
    assert 'cannot listen' in text
    assert f'exit code {EXIT_LISTEN}' in text
    assert 'listen_failed' in text
