"""Prefix cache of one engine, with a bounded number of prompt blocks."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from foxtailhatch.core import LayerRange
from foxtailhatch.outside import CacheEvent, CachePage
from standins.toy_model import LayerCache

BLOCK_TOKENS: Final = 16
MAX_EVENTS: Final = 1024


Rows = list[list[int]]


@dataclass(frozen=True, slots=True)
class BlockKey:
    """Key of a cached block: everything that its KV values depend on."""

    model: str
    version: str
    layers: LayerRange
    digest: str


@dataclass(slots=True)
class PrefixCache:
    """LRU cache of the KV rows of prompt blocks.

    The newest ``late_events`` events are withheld to simulate publication
    lag.  At most ``MAX_EVENTS`` events are retained, so a slow reader finds a
    gap.
    """

    max_blocks: int
    late_events: int = 0
    blocks: OrderedDict[BlockKey, Rows] = field(
        default_factory=OrderedDict,
    )
    events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS),
    )
    last_event: int = 0

    def restore(self, keys: Sequence[BlockKey], cache: LayerCache) -> None:
        """Extend an empty ``cache`` by the longest cached prefix."""
        for key in keys:
            block = self.blocks.get(key)
            if block is None:
                return
            self.blocks.move_to_end(key)
            for row, numbers in zip(cache.rows, block, strict=True):
                row.extend(numbers)

    def store(self, keys: Sequence[BlockKey], cache: LayerCache) -> None:
        """Store the complete blocks of ``cache`` and evict old ones."""
        for index, key in enumerate(keys[: len(cache) // BLOCK_TOKENS]):
            if key not in self.blocks:
                begin = index * BLOCK_TOKENS
                end = begin + BLOCK_TOKENS
                self.blocks[key] = [row[begin:end] for row in cache.rows]
                self._add_event(key.digest, present=True)
        while len(self.blocks) > self.max_blocks:
            evicted, _ = self.blocks.popitem(last=False)
            self._add_event(evicted.digest, present=False)

    def events_after(self, after: int) -> CachePage:
        """Return published events after a number; ``gap`` if any were lost."""
        published = self.last_event - self.late_events
        first = self.events[0].number if self.events else 1
        return CachePage(
            tuple(
                event
                for event in self.events
                if after < event.number <= published
            ),
            gap=first > after + 1,
        )

    def _add_event(self, digest: str, *, present: bool) -> None:
        """Record that a block was added or evicted."""
        self.last_event += 1
        self.events.append(CacheEvent(self.last_event, digest, present))
