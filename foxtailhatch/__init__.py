"""Route requests through pipelines of model layers.

:mod:`foxtailhatch.core` has the value types that all other subpackages share.
``docs/ARCHITECTURE.md`` describes the path of a request through the
subpackages.
"""

__all__ = ['__version__']

__version__ = '0.1.0'
