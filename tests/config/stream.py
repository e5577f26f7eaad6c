"""Helpers that append to and read the configuration stream of a fake log."""

from foxtailhatch.config.configuration import Account, Configuration
from foxtailhatch.config.documents import render_configuration
from foxtailhatch.config.fold import ConfigurationFold
from foxtailhatch.config.records import (
    CONFIGURATION_STREAM,
    Publication,
    encode_record,
)


def publication(version, name, made_from=None):
    cfg = Configuration(version, accounts=(Account(name),))
    origin = version - 1 if made_from is None else made_from
    document = render_configuration(cfg)
    return Publication(version, origin, f'{version}-{name}', document)


def append_records(log, *records, now=0.0):
    for record in records:
        log.append(CONFIGURATION_STREAM, encode_record(record), now)


def catch_up(fold, log, now=0.0):
    outcomes = []
    while True:
        page = log.read(CONFIGURATION_STREAM, fold.next_offset, now, 3).unwrap()
        outcomes += fold.apply_page(page)
        if fold.next_offset >= page.end:
            return outcomes


def read_all(log, now=0.0):
    fold = ConfigurationFold()
    return fold, catch_up(fold, log, now)
