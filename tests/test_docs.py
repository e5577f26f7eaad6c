"""The documentation covers all error codes, settings, metrics and events."""

import re
from pathlib import Path

import pytest

from foxtailhatch.callers.errors import HTTP_STATUSES
from foxtailhatch.config.documents import ConfigurationDocument
from foxtailhatch.core import EventKind
from foxtailhatch.daemon.metrics import Metrics
from foxtailhatch.daemon.settings import Settings

DOCS = Path(__file__).parent.parent / 'docs'


@pytest.mark.parametrize('code', HTTP_STATUSES)
def test_each_error_code_is_documented_with_its_status(code):
    page = (DOCS / 'ERRORS.md').read_text()
    assert page.count(f'| `{code.value}` | {HTTP_STATUSES[code]} | ') == 1


def field_names(kind):
    """Return the field names of a model and of its nested models."""
    names = set()
    for name, field in kind.model_fields.items():
        names.add(name)
        for inner in (
            field.annotation,
            *getattr(field.annotation, '__args__', ()),
        ):
            if hasattr(inner, 'model_fields'):
                names |= field_names(inner)
    return names


@pytest.mark.parametrize('kind', [Settings, ConfigurationDocument])
def test_each_field_is_documented(kind):
    page = (DOCS / 'CONFIGURATION.md').read_text()
    words = page.replace('.', '`').replace('"', '`').split('`')
    assert field_names(kind) - set(words) == set()


@pytest.mark.parametrize('section', ['timeouts', 'periods', 'limits'])
def test_each_default_is_documented(section):
    page = (DOCS / 'CONFIGURATION.md').read_text()
    defaults = Settings.model_fields[section].default.model_dump()
    for name, value in defaults.items():
        shown = 'none' if value is None else f'{value:g}'
        shown = str(value) if value and value >= 1e6 else shown
        assert f'| `{name}` | {shown} | ' in page


def first_cells(page, heading):
    """Return the first cells of the table under a heading."""
    _, _, part = (DOCS / page).read_text().partition(f'## {heading}\n')
    section, _, _ = part.partition('\n## ')
    return re.findall(r'^\| `(\w+)` \|', section, re.MULTILINE)


def test_each_metric_is_documented_once():
    text = Metrics('entry-1').render().decode()
    names = re.findall(r'^# TYPE (\w+) ', text, re.MULTILINE)
    assert first_cells('OPERATING.md', 'Metrics') == sorted(names)


def test_each_event_is_documented_once():
    kinds = sorted(kind.value for kind in EventKind)
    assert first_cells('OPERATING.md', 'Events') == kinds
