"""Cost of a configuration publication for a node at the target size."""

import hashlib
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial

from bench.memory_log import MemoryLog
from bench.report import report
from foxtailhatch.config import (
    CONFIGURATION_STREAM,
    Account,
    CallerEntry,
    Configuration,
    ConfigurationFold,
    ConfigurationIndex,
    Model,
    Publication,
    Selector,
    encode_record,
    evaluate_access,
    find_caller,
    index_configuration,
    make_snapshot,
    parse_configuration,
    render_configuration,
)
from foxtailhatch.config.changes import render_changes
from foxtailhatch.core import Caller

ACCOUNTS = 580
MODELS = 37
CALLERS = 5000
SELECTORS = 200
CHANGES_PER_DAY = 950
DAY_S = 86_400
NODE_BYTES_PER_S = 6000
ROUNDS = 10


def target_configuration() -> Configuration:
    """Return a configuration of the target size."""
    return Configuration(
        1,
        accounts=tuple(
            Account(f'account-{number}') for number in range(ACCOUNTS)
        ),
        callers=tuple(
            CallerEntry(
                f'caller-{number}',
                f'account-{number % ACCOUNTS}',
                hashlib.sha256(str(number).encode()).hexdigest(),
                {
                    'account': f'account-{number % ACCOUNTS}',
                    'team': f't{number % 9}',
                },
            )
            for number in range(CALLERS)
        ),
        models=tuple(
            Model(f'model-{number}', 'v1', 32, {'pool': f'pool-{number % 5}'})
            for number in range(MODELS)
        ),
        selectors=tuple(
            Selector(
                f'selector-{number}',
                {'account': f'account-{number * 3 % ACCOUNTS}'},
                {'pool': f'pool-{number % 5}'},
                priority=number % 4,
            )
            for number in range(SELECTORS)
        ),
    )


def next_version(cfg: Configuration, version: int) -> Configuration:
    """Return a new version in which one account differs."""
    accounts = (Account('account-0', weight=version), *cfg.accounts[1:])
    return replace(cfg, version=version, accounts=accounts)


def publication_log(as_documents: bool) -> tuple[MemoryLog, float]:
    """Return a log of the first version and :data:`ROUNDS` changes of it.

    The second value is the mean record size of a change in bytes.
    """
    log = MemoryLog()
    cfg = target_configuration()
    first = Publication(1, 0, 'p1', render_configuration(cfg))
    log.append(CONFIGURATION_STREAM, encode_record(first), 0)
    before = log.size()
    for version in range(2, 2 + ROUNDS):
        newer = next_version(cfg, version)
        document = (
            render_configuration(newer)
            if as_documents
            else render_changes(cfg, newer)
        )
        record = Publication(
            version,
            version - 1,
            f'p{version}',
            document,
            as_documents,
        )
        log.append(CONFIGURATION_STREAM, encode_record(record), 0)
        cfg = newer
    return log, (log.size() - before) / ROUNDS


def processor_ms(action: Callable[[], object]) -> float:
    """Return the processor time of ``action`` in milliseconds."""
    started_at = time.process_time()
    action()
    return (time.process_time() - started_at) * 1000


def fold_ms(log: MemoryLog) -> float:
    """Return the processor time to fold one change, in milliseconds."""
    fold = ConfigurationFold()
    page = log.read(CONFIGURATION_STREAM, 0)
    fold.apply_page(replace(page, records=page.records[:1]))
    remaining = replace(page, records=page.records[1:])
    spent_ms = processor_ms(lambda: fold.apply_page(remaining))
    assert fold.version == 1 + ROUNDS
    return spent_ms / ROUNDS


def measure_configuration() -> None:
    """Report changes against full documents, and the costs of a version."""
    changes_log, small_bytes = publication_log(as_documents=False)
    documents_log, large_bytes = publication_log(as_documents=True)
    report(
        'processor time to fold a publication',
        round(fold_ms(changes_log), 2),
        'ms',
        round(fold_ms(documents_log), 2),
        accounts=ACCOUNTS,
        models=MODELS,
        callers=CALLERS,
    )
    for name, record_size in (
        ('a change', small_bytes),
        ('a document', large_bytes),
    ):
        report(
            f'bytes a node reads if publications are {name}',
            round(record_size * CHANGES_PER_DAY / DAY_S, 2),
            'bytes/s',
            NODE_BYTES_PER_S,
            record_bytes=round(record_size),
        )
    measure_version(changes_log)
    measure_access(target_configuration())


def measure_version(log: MemoryLog) -> None:
    """Report the size of a snapshot and the time to index a version."""
    cfg = target_configuration()
    document = render_configuration(cfg)
    fold = ConfigurationFold()
    fold.apply_page(log.read(CONFIGURATION_STREAM, 0))
    report(
        'bytes of a snapshot',
        len(encode_record(make_snapshot(fold.export_state()))),
        'bytes',
        len(document),
    )
    report(
        'processor time to index a version',
        round(processor_ms(lambda: index_configuration(cfg)), 2),
        'ms',
        round(processor_ms(lambda: parse_configuration(document)), 2),
        baseline_is='parsing the document',
    )


def evaluate_all(index: ConfigurationIndex, callers: Sequence[Caller]) -> None:
    """Evaluate the access of each caller to one model."""
    for number, caller in enumerate(callers):
        evaluate_access(index, caller, f'model-{number % MODELS}')


def measure_access(cfg: Configuration) -> None:
    """Report a cached access look-up against its first evaluation."""
    index = index_configuration(cfg)
    callers = [index.callers[entry.token_sha256] for entry in cfg.callers]
    evaluate = partial(evaluate_all, index, callers)
    first_ms = processor_ms(evaluate)
    repeated_ms = processor_ms(evaluate)
    token_ms = processor_ms(
        lambda: [find_caller(index, 'x' * 32) for _ in callers]
    )
    report(
        'processor time of an access',
        round(repeated_ms / CALLERS * 1000, 2),
        'us',
        round(first_ms / CALLERS * 1000, 2),
        baseline_is='its first evaluation in a version',
        token_us=round(token_ms / CALLERS * 1000, 2),
    )
