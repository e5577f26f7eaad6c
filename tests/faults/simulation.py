"""Simulated platform, endpoints and links between the processes."""

from collections import Counter

from foxtailhatch.core import Address
from foxtailhatch.outside import LiveInstance
from tests.durable.fake_log import FakeLog
from tests.faults.engines import FakeEngine, stage_layers
from tests.faults.platform import (
    START_TIME_S,
    FakeInstanceList,
    FakeServiceEndpoint,
)
from tests.faults.virtual_loop import VirtualLoop

LINK_S = 0.0005
STAGES = 3
REPLICAS = 'ab'
ZONES = ('thrissur-a', 'irinjalakuda-b', 'chalakudy-c')


class Simulation:
    """State outside the entries: the platform, engines, services and links.

    ``on_point`` is called for each point that a request reaches on its path,
    in the process that reached it.
    """

    def __init__(self):
        self.loop = VirtualLoop()
        self.log = FakeLog()
        self.extra_delays_s = Counter()
        self.unreachable = set()
        self.dead = set()
        self.nodes = {}
        self.instances = FakeInstanceList(self)
        self.on_point = lambda point, *details: None
        self.services = {
            name: FakeServiceEndpoint(name) for name in ('desk-1', 'desk-2')
        }
        self.service_sends = []
        self.engines = {}
        for stage in range(STAGES):
            for letter in REPLICAS:
                self._add_engine(f'{letter}{stage}', stage)
        for name in self.services:
            self._register(name, 'service', {'role': 'store-desk'})
        self.services['gauge-1'] = FakeServiceEndpoint(
            'gauge-1', checks_key=True
        )
        self._register('gauge-1', 'service', {'role': 'gauge-desk'})

    def wall_time(self):
        return START_TIME_S + self.loop.time()

    def report_point(self, point, *details):
        self.on_point(point, *details)

    def delay_s(self, server):
        """Return the one-way delay to a server, ``None`` if unreachable."""
        return (
            None
            if server in self.unreachable
            else LINK_S + self.extra_delays_s[server]
        )

    def transmit(self, server, call, *args, context):
        """Make a call after the link delay; drop it if the link is cut."""
        delay_s = self.delay_s(server)
        if delay_s is not None:
            self.loop.call_later(delay_s, call, *args, context=context)

    def seeds(self):
        """Return the seed addresses for gossip between entries."""
        return list(self.nodes)[:2]

    def has_run(self, stream):
        """Return whether any engine ran a step of a stream."""
        return any(
            engine.step_counts[stream] for engine in self.engines.values()
        )

    def run_count(self, key):
        """Return how often the services ran the call with a key."""
        return sum(each.runs[key] for each in self.services.values())

    def _add_engine(self, name, stage):
        self.engines[name] = FakeEngine(self, name, stage_layers(stage))
        self._register(name, 'engine', {})

    def _register(self, name, role, labels):
        number = len(self.instances.by_name)
        self.instances.add(
            LiveInstance(
                name,
                Address('127.0.0.1', 1000 + number),
                ZONES[number % len(ZONES)],
                role,
                leaving=False,
                labels=labels,
            ),
        )
