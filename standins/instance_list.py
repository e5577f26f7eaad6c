"""Run the live-instance list: ``python -m standins.instance_list --help``.

``POST /instances`` replaces the list, which ``GET /instances`` returns after
the lag.  ``POST /instances/NAME`` adds or replaces one instance, ``DELETE``
removes it, and ``POST /instances/NAME/leaving`` marks it as draining.
"""

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import click
from pydantic import TypeAdapter

from foxtailhatch.outside import LiveInstance
from foxtailhatch.outside.instances_http import InstancesDocument
from standins.faults import Faults
from standins.http_app import NOT_FOUND, Call, Reply, reply
from standins.process import serve

_instance_adapter = TypeAdapter(LiveInstance)


@dataclass(frozen=True, slots=True)
class ListChange:
    """A version of the list that is published from ``visible_at`` on."""

    visible_at: float
    listed: tuple[LiveInstance, ...]


@dataclass(slots=True)
class InstanceStandIn:
    """The current list, and the version published after the lag."""

    lag_s: float = 0
    now: Callable[[], float] = time.time
    faults: Faults = field(default_factory=Faults)
    current: dict[str, LiveInstance] = field(default_factory=dict)
    published: tuple[LiveInstance, ...] = ()
    changes: deque[ListChange] = field(default_factory=deque)

    def answer(self, call: Call) -> Reply | None:
        """Return or change the list."""
        match (call.method, call.path):
            case ('GET', ('instances',)):
                self._publish_due_changes()
            case ('POST', ('instances',)):
                listed = InstancesDocument.model_validate_json(call.body)
                self.put(listed.instances, replace_all=True)
            case ('POST', ('instances', _)):
                self.put([_instance_adapter.validate_json(call.body)])
            case ('POST', ('instances', name, 'leaving')):
                self.put([replace(self._find_instance(name), leaving=True)])
            case ('DELETE', ('instances', name)):
                self.current.pop(name, None)
                self.put([])
            case _:
                return reply({'error': 'unknown path'}, NOT_FOUND)
        return reply(InstancesDocument(instances=list(self.published)))

    def put(
        self,
        instances: Iterable[LiveInstance],
        *,
        replace_all: bool = False,
    ) -> None:
        """Add or replace instances; with ``replace_all``, remove all others."""
        if replace_all:
            self.current.clear()
        for instance in instances:
            self.current[instance.name] = instance
        visible_at = self.now() + self.lag_s
        self.changes.append(
            ListChange(visible_at, tuple(self.current.values()))
        )

    def _find_instance(self, name: str) -> LiveInstance:
        """Return an instance; raise ``ValueError`` if it is not listed."""
        if name not in self.current:
            raise ValueError(f'unknown instance: {name}')
        return self.current[name]

    def _publish_due_changes(self) -> None:
        """Publish the changes whose lag has elapsed."""
        while self.changes and self.changes[0].visible_at <= self.now():
            self.published = self.changes.popleft().listed


@click.command()
@click.option('--name', default='instances')
@click.option('--port', default=0)
@click.option('--lag-s', default=0, type=float)
def main(name: str, port: int, lag_s: float) -> None:
    """Run a stand-in for the platform's live-instance list."""
    serve(name, port, lambda _: InstanceStandIn(lag_s))


if __name__ == '__main__':
    main()
