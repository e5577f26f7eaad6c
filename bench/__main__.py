"""Run all benchmarks one after the other: ``python -m bench``.

Each runs in its own process, so that none warms another's caches.
Every line printed is one JSON object.
"""

import subprocess
import sys

BENCHMARKS = (
    ('bench.relay', '--tokens', '60', '--rounds', '1'),
    ('bench.daemon_relay',),
    ('bench.recovery', '--length', '50', '--length', '800', '--repeats', '1'),
    ('bench.durable',),
    ('bench.membership',),
    ('bench.limits',),
    ('bench.control',),
    ('bench.routing',),
)


def main() -> int:
    """Run every benchmark; return the number that failed."""
    failed = 0
    for benchmark in BENCHMARKS:
        ended = subprocess.run([sys.executable, '-m', *benchmark])
        failed += ended.returncode != 0
    return failed


if __name__ == '__main__':
    sys.exit(main())
