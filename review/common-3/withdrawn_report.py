"""A report of work that is withdrawn after the sums have dropped its endpoint.

Run it in the root of the repository, with ``target/deps`` on Python's path.  It
prints what the third entry is told of the work of the others, 5 of which are real.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / 'target' / 'deps'), str(ROOT)]

from foxtailhatch.fleet import Work  # noqa: E402
from foxtailhatch.router.work_totals import WorkTotals  # noqa: E402

totals = WorkTotals()
# Both entries know of the limit of e1 and have sent nothing there.
totals.report('first', {'e1': Work(limit_per_s=2.0)}, 0)
second = {'e1': Work(), 'e2': Work(sent=5, limit_per_s=2.0)}
totals.report('second', second, 0)
# The limit ends at the first entry, and the sum of e1 is dropped.
totals.report('first', {}, 0.5)
later = {'e2': Work(sent=5, limit_per_s=2.0)}
try:
    totals.report('second', later, 1.0)
except KeyError as exc:
    print(f'a report failed with KeyError {exc}')
totals.report('second', later, 2.0)
sent = totals.excluding('third', 2.0)['e2'].sent
print(f'sent to e2 by others: {sent}')
sys.exit(sent != 5)
