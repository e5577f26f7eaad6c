"""An asyncio loop in virtual time that runs several processes at once.

Time stands still while anything is ready and then jumps to the next timer.
Each callback belongs to a process, known by a context variable that tasks,
timers and futures inherit.  A paused process has its callbacks kept until it
wakes, as ``SIGSTOP`` does; one that never wakes is dead.
"""

import asyncio
from collections import defaultdict
from contextvars import Context, ContextVar, copy_context

PLATFORM = 'platform'
PROCESS = ContextVar('owner', default=PLATFORM)


class VirtualLoop(asyncio.BaseEventLoop):
    """A loop that waits for nothing and opens no socket."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self._selector = self
        self._paused = set()
        self._deferred = defaultdict(list)

    def time(self):
        return self.now

    def select(self, timeout):
        """Let time pass instead of waiting for sockets."""
        if timeout is None:
            raise RuntimeError('Nothing will ever happen.')
        self.now += timeout
        return ()

    def call_soon(self, callback, *args, context=None):
        context = context or copy_context()
        return super().call_soon(
            self._run_as, context, callback, args, context=context
        )

    def call_at(self, when, callback, *args, context=None):
        context = context or copy_context()
        return super().call_at(
            when, self._run_as, context, callback, args, context=context
        )

    def pause(self, process):
        """Stop a process where it is."""
        self._paused.add(process)

    def resume(self, process):
        """Let a paused process go on with all that waited for it."""
        self._paused.discard(process)
        for context, callback, args in self._deferred.pop(process, ()):
            self.call_soon(callback, *args, context=context)

    def any_paused(self, processes):
        """Tell whether any of these processes is paused."""
        return not self._paused.isdisjoint(processes)

    def context_of(self, process) -> Context:
        """Return the context in which a process' callbacks run."""
        context = copy_context()
        context.run(PROCESS.set, process)
        return context

    def _run_as(self, context, callback, args):
        process = context[PROCESS] if PROCESS in context else PLATFORM
        if process in self._paused:
            self._deferred[process].append((context, callback, args))
        else:
            callback(*args)

    def _process_events(self, events):
        """There are none."""

    def _write_to_self(self):
        """No other thread wakes this loop."""


class DelayedCall:
    """A call made later, which may be cancelled while it is kept."""

    def __init__(self, func, args):
        self._func = func
        self._args = args
        self.cancelled = False

    def cancel(self):
        self.cancelled = True

    def __call__(self):
        if not self.cancelled:
            self._func(*self._args)


class VirtualClock:
    """The loop as the program's ``ReactorClock``."""

    def __init__(self, loop):
        self._loop = loop

    def seconds(self):
        return self._loop.time()

    def callLater(self, delay, func, *args):
        call = DelayedCall(func, args)
        self._loop.call_later(delay, call)
        return call
