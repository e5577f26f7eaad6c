"""Run all benchmarks one after the other: ``python -m bench``.

Each is a process of its own, so that one does not warm another's caches.
Every line printed is one JSON object.
"""

import subprocess
import sys

BENCHMARKS = (
    'bench.relay',
    'bench.daemon_relay',
    'bench.recovery',
    'bench.durable',
    'bench.membership',
    'bench.limits',
    'bench.routing',
    'bench.control',
)


def main() -> int:
    """Run every benchmark; return how many failed."""
    failed = 0
    for module in BENCHMARKS:
        ended = subprocess.run([sys.executable, '-m', module])
        failed += ended.returncode != 0
    return failed


if __name__ == '__main__':
    sys.exit(main())
