"""The platform, the endpoints and the links between all processes."""

from collections import Counter

from foxtailhatch.core import Address
from foxtailhatch.outside import LiveInstance
from tests.durable.fake_log import FakeLog
from tests.faults.engines import FakeEngine, stage_layers
from tests.faults.loop import VirtualLoop
from tests.faults.platform import START, Instances, PlainEndpoint

LINK_S = 0.0005
STAGES = 3
REPLICAS = 'ab'
ZONES = ('thrissur-a', 'irinjalakuda-b', 'chalakudy-c')


class World:
    """All that lasts outside the entries, and what has been reached in it.

    ``on_reached`` is called with each point of a request's way through the
    platform, in the process that reached it.
    """

    def __init__(self):
        self.loop = VirtualLoop()
        self.log = FakeLog()
        self.links = Counter()
        self.cut = set()
        self.dead = set()
        self.nodes = {}
        self.instances = Instances(self)
        self.on_reached = lambda point, *facts: None
        self.services = {
            name: PlainEndpoint(name) for name in ('desk-1', 'desk-2')
        }
        self.sends = []
        self.engines = {}
        for stage in range(STAGES):
            for letter in REPLICAS:
                self._add_engine(f'{letter}{stage}', stage)
        for name in self.services:
            self._list(name, 'service', {'role': 'store-desk'})
        self.services['gauge-1'] = PlainEndpoint('gauge-1', checks_key=True)
        self._list('gauge-1', 'service', {'role': 'gauge-desk'})

    def wall(self):
        return START + self.loop.time()

    def reached(self, point, *facts):
        self.on_reached(point, *facts)

    def delay_s(self, server):
        """Return the one-way delay to a server, ``None`` while it is cut."""
        return None if server in self.cut else LINK_S + self.links[server]

    def carry(self, server, call, *args, context):
        """Make a call at the other end of a link, if it is not cut."""
        delay_s = self.delay_s(server)
        if delay_s is not None:
            self.loop.call_later(delay_s, call, *args, context=context)

    def seeds(self):
        """Return the peer addresses that an entry starts from."""
        return list(self.nodes)[:2]

    def ran(self, stream):
        """Tell whether any engine ran any step of a stream."""
        return any(engine.ran[stream] for engine in self.engines.values())

    def runs(self, key):
        """Return how often the plain services ran a key."""
        return sum(each.runs[key] for each in self.services.values())

    def _add_engine(self, name, stage):
        self.engines[name] = FakeEngine(self, name, stage_layers(stage))
        self._list(name, 'engine', {})

    def _list(self, name, role, labels):
        number = len(self.instances.lines)
        self.instances.show(
            LiveInstance(
                name,
                Address('127.0.0.1', 1000 + number),
                ZONES[number % len(ZONES)],
                role,
                leaving=False,
                labels=labels,
            ),
        )
