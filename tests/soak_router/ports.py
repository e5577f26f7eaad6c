"""Ports for the processes under test, each given out once.

A port is bound seconds after it was chosen, by a process that was started later,
so that to look whether it is free is not enough.  Each process of tests takes
blocks of ports by locks, which end with it, and gives out their ports in turn.
"""

import fcntl
import os
import socket
import tempfile
from itertools import chain
from pathlib import Path

# These are below the ephemeral ports of the system.  An ephemeral port could be
# assigned to a connection before a router has bound it.
PORTS = range(15_000, 31_000)
BLOCK = 250


class PortBlocks:
    """The blocks of this process; used ports are given out again at the end."""

    def __init__(self, folder, ports=PORTS, size=BLOCK):
        self._folder = Path(folder)
        self._blocks = [
            ports[begin : begin + size] for begin in range(0, len(ports), size)
        ]
        self._locks = []
        self._taken = []
        self._next = iter(())
        self._folder.mkdir(exist_ok=True)

    def take(self):
        """Return a port of a block of this process on which nothing listens."""
        for port in self._next:
            if is_free(port):
                return port
        if not self._take_block():
            # The world that had the first ports has ended long ago.
            assert self._taken, 'all ports belong to other processes'
            self._next = chain.from_iterable(self._taken)
        return self.take()

    def _take_block(self):
        for block in self._blocks:
            if block in self._taken:
                continue
            lock = (self._folder / f'{block[0]}.lock').open('w')
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                lock.close()
                continue
            self._locks.append(lock)
            self._taken.append(block)
            self._next = iter(block)
            return True
        return False


def is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
        return True


_blocks = {}


def free_port():
    """Return a port that no other process of tests gets."""
    # A forked process shares the locks of its parent, and needs others.
    own = os.getpid()
    if own not in _blocks:
        folder = Path(tempfile.gettempdir()) / 'foxtailhatch-test-ports'
        _blocks[own] = PortBlocks(folder)
    return _blocks[own].take()
