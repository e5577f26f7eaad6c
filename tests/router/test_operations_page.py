"""The operations page describes each event that the router logs."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
FOLDERS = ('relay', 'router', 'platform')
WRITTEN = re.compile(r"log\.write\(\s*'(\w+)'")


def written_events():
    sources = (
        path.read_text()
        for folder in FOLDERS
        for path in (ROOT / 'foxtailhatch' / folder).glob('*.py')
    )
    events = {event for text in sources for event in WRITTEN.findall(text)}
    # These are in a doctest of the log.
    return events - {'first', 'second'}


def test_each_event_is_on_the_operations_page():
    page = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
    assert {
        event for event in written_events() if f'`{event}`' not in page
    } == set()


def test_only_the_adapter_uses_names_of_the_platform():
    names = re.compile('foxtailhatch-[a-z]+-|log-read|keyed\\.', re.IGNORECASE)
    adapter = ROOT / 'foxtailhatch' / 'platform'
    foreign = [
        path.name
        for path in (ROOT / 'foxtailhatch').rglob('*.py')
        if adapter not in path.parents and names.search(path.read_text())
    ]
    assert foreign == []


def test_only_the_command_line_imports_the_adapter():
    importers = {
        path.relative_to(ROOT / 'foxtailhatch').parts[0]
        for path in (ROOT / 'foxtailhatch').rglob('*.py')
        if 'foxtailhatch.platform' in path.read_text()
    }
    assert importers <= {'platform', 'cli'}
