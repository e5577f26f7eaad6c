"""Coordination parts and a daemon for routing pipelines of model layers.

The subpackages are named for what they hold.  Start with
:mod:`foxtailhatch.core` for the values that all the others share, then read
``docs/ARCHITECTURE.md`` for the way of a request through them.
"""

__all__ = ['__version__']

__version__ = '0.1.0'
