"""Asyncio event loop in virtual time that simulates several processes.

Time advances to the next timer when no callback is ready.  Each callback
belongs to a process, identified by a context variable that tasks, timers and
futures inherit.  Callbacks of a paused process are deferred until it resumes,
as with ``SIGSTOP``; a killed process is paused and never resumed.
"""

import asyncio
from collections import defaultdict
from contextvars import Context, ContextVar, copy_context

PLATFORM = 'platform'
PROCESS = ContextVar('owner', default=PLATFORM)


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop that never blocks and opens no socket."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self._selector = self
        self._paused = set()
        self._deferred = defaultdict(list)

    def time(self):
        return self.now

    def select(self, timeout):
        """Advance the virtual time instead of polling sockets."""
        if timeout is None:
            raise RuntimeError(
                'Deadlock: no callback is ready and no timer is set.'
            )
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
        """Defer the callbacks of a process until it resumes."""
        self._paused.add(process)

    def resume(self, process):
        """Resume a paused process and schedule its deferred callbacks."""
        self._paused.discard(process)
        for context, callback, args in self._deferred.pop(process, ()):
            self.call_soon(callback, *args, context=context)

    def any_paused(self, processes):
        """Return whether any of these processes is paused."""
        return not self._paused.isdisjoint(processes)

    def context_of(self, process) -> Context:
        """Return a context for callbacks of a process."""
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
        """Do nothing: there are no socket events."""

    def _write_to_self(self):
        """Do nothing: no other thread uses this loop."""


class DelayedCall:
    """Delayed call that can be cancelled, also while it is deferred."""

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
    """``ReactorClock`` on top of the virtual loop."""

    def __init__(self, loop):
        self._loop = loop

    def seconds(self):
        return self._loop.time()

    def callLater(self, delay, func, *args):
        call = DelayedCall(func, args)
        self._loop.call_later(delay, call)
        return call
