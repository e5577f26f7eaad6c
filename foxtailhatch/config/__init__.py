"""Configuration: labels, selectors, publications and what is in force."""

from foxtailhatch.config.configuration import (
    Account,
    Adapter,
    CallerEntry,
    Configuration,
    Labels,
    Model,
    Selector,
    Service,
    carries,
)

__all__ = [
    'Account',
    'Adapter',
    'CallerEntry',
    'Configuration',
    'Labels',
    'Model',
    'Selector',
    'Service',
    'carries',
]
