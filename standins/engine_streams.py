"""Streams of one engine and their KV caches."""

from dataclasses import dataclass, field
from typing import Final

from foxtailhatch.core import Holding
from foxtailhatch.outside import (
    CancelStage,
    OpenStage,
    StageFault,
    StageOpened,
    StageOutput,
    StageRefused,
    StepStage,
)
from standins.prefix_cache import BlockKey, PrefixCache
from standins.toy_model import (
    END_TOKEN,
    LayerCache,
    decode_activation,
    embed,
    encode_activation,
    run_layers,
    token_from_state,
)

DEFAULT_MAX_STREAMS: Final = 64
DEFAULT_CACHE_BLOCKS: Final = 512


@dataclass(slots=True)
class StageStream:
    """An open stage of a stream, with its KV cache and session."""

    opened: OpenStage
    cache: LayerCache
    session: str
    used_at: float

    def block_keys(self) -> list[BlockKey]:
        """Return the prefix cache keys of the prompt blocks in this stage."""
        opened = self.opened
        return [
            BlockKey(opened.model, opened.version, opened.layers, digest)
            for digest in opened.prompt
        ]

    def has_same_work(self, other: OpenStage) -> bool:
        """Return whether ``other`` has the same model, layers and adapter."""
        own = self.opened
        return (own.model, own.version, own.layers, own.adapter) == (
            other.model,
            other.version,
            other.layers,
            other.adapter,
        )


@dataclass(slots=True)
class EngineStreams:
    """State of an engine, without its sessions and its clock.

    ``model_layers`` maps each model to its layer count, which identifies the
    last stage.
    """

    holdings: tuple[Holding, ...]
    model_layers: dict[str, int]
    max_streams: int = DEFAULT_MAX_STREAMS
    activation_bytes: int = 0
    leaving: bool = False
    prefix_cache: PrefixCache = field(
        default_factory=lambda: PrefixCache(DEFAULT_CACHE_BLOCKS),
    )
    streams: dict[str, StageStream] = field(default_factory=dict)

    def open(
        self,
        frame: OpenStage,
        session: str,
        now: float,
    ) -> StageOpened | StageRefused:
        """Open a stage, or take over an open one with a newer attempt."""
        fault = self._find_open_fault(frame)
        if fault is not None:
            return StageRefused(frame.stream, frame.attempt, fault)
        known = self.streams.get(frame.stream)
        if known is not None and known.has_same_work(frame):
            cache = known.cache
        else:
            cache = LayerCache.empty(frame.layers)
        stream = StageStream(frame, cache, session, now)
        if not len(cache):
            self.prefix_cache.restore(stream.block_keys(), cache)
        self.streams[frame.stream] = stream
        return StageOpened(
            frame.stream,
            frame.attempt,
            frame.layers,
            len(cache),
        )

    def step(self, frame: StepStage, now: float) -> StageOutput | StageRefused:
        """Run the layers of the stage over the positions of the step."""
        fault = self.find_step_fault(frame)
        if fault is not None:
            return StageRefused(frame.stream, frame.attempt, fault)
        stream = self.streams[frame.stream]
        stream.used_at = now
        stream.cache.truncate(frame.position)
        states = run_layers(
            stream.opened.model,
            stream.opened.version,
            stream.cache,
            frame.position,
            self._input_states(stream, frame),
        )
        self.prefix_cache.store(stream.block_keys(), stream.cache)
        return self._make_output(stream, frame, states)

    def cancel(self, frame: CancelStage) -> None:
        """Close a stream, unless a newer attempt took it over."""
        stream = self.streams.get(frame.stream)
        if stream is not None and stream.opened.attempt <= frame.attempt:
            self.streams.pop(frame.stream)

    def find_step_fault(self, frame: StepStage) -> StageFault | None:
        """Return the reason to refuse a step, or ``None``."""
        stream = self.streams.get(frame.stream)
        if stream is None or frame.attempt > stream.opened.attempt:
            return StageFault.UNKNOWN_STREAM
        if frame.attempt < stream.opened.attempt:
            return StageFault.STALE_ATTEMPT
        if not self._has_holding_for(stream.opened):
            return StageFault.WRONG_HOLDING
        return (
            None if _is_valid_step(stream, frame) else StageFault.BAD_POSITION
        )

    def _find_open_fault(self, frame: OpenStage) -> StageFault | None:
        """Return the reason to refuse opening a stage, or ``None``."""
        known = self.streams.get(frame.stream)
        if known is not None and frame.attempt < known.opened.attempt:
            return StageFault.STALE_ATTEMPT
        if not self._has_holding_for(frame):
            return StageFault.WRONG_HOLDING
        return self._find_admission_fault() if known is None else None

    def _find_admission_fault(self) -> StageFault | None:
        """Return the reason to refuse new streams, or ``None``."""
        if self.leaving:
            return StageFault.LEAVING
        if len(self.streams) >= self.max_streams:
            return StageFault.FULL
        return None

    def _has_holding_for(self, frame: OpenStage) -> bool:
        """Return whether a holding covers the requested layers and adapter."""
        return bool(frame.layers) and any(
            holding.layers.covers(frame.layers)
            and (holding.model, holding.version) == (frame.model, frame.version)
            and frame.adapter in {None, *holding.adapters}
            for holding in self.holdings
        )

    def _input_states(self, stream: StageStream, frame: StepStage) -> list[int]:
        """Return the input states of the step."""
        if frame.tokens:
            opened = stream.opened
            return embed(opened.model, opened.version, frame.tokens)
        return [
            decode_activation(activation) for activation in frame.activations
        ]

    def _make_output(
        self,
        stream: StageStream,
        frame: StepStage,
        states: list[int],
    ) -> StageOutput:
        """Return activations, or the token for the last stage."""
        layers = stream.opened.layers
        if layers.end < self.model_layers[stream.opened.model]:
            return StageOutput(
                frame.stream,
                frame.attempt,
                layers,
                frame.position,
                activations=tuple(
                    encode_activation(state, self.activation_bytes)
                    for state in states
                ),
            )
        token = token_from_state(states[-1])
        return StageOutput(
            frame.stream,
            frame.attempt,
            layers,
            frame.position,
            token=token,
            end=token == END_TOKEN,
        )


def _is_valid_step(stream: StageStream, frame: StepStage) -> bool:
    """Return whether the position and the input kind of a step are valid.

    The first stage requires tokens, all others activations.
    """
    if not 0 <= frame.position <= len(stream.cache):
        return False
    first: bool = stream.opened.layers.first == 0
    return bool(frame.tokens) is first and bool(frame.activations) is not first
