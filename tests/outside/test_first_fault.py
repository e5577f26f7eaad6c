"""Documents with very many faults."""

import json
import tracemalloc

import pytest

from foxtailhatch.outside import engine_http, instances_http, log_http
from foxtailhatch.outside.frames_json import decode_down
from foxtailhatch.outside.http_client import MAX_MESSAGE_CHARS, HttpResponse
from foxtailhatch.outside.json_responses import parse_response

FAULTS = 20_000
# What the reports of one fault take is several times the size of its item.
MAX_BYTES_PER_FAULT = 100
HOLDING = {'model': 'm', 'version': '1', 'layers': [0, 2]}
REPORT = {
    'endpoint': 'e',
    'measured_at': 0,
    'streams': 0,
    'queued_tokens': 0,
    'step_seconds': 0,
    'max_streams': 1,
}
OUTPUT = {
    'kind': 'output',
    'stream': 's',
    'attempt': 1,
    'layers': {'first': 0, 'end': 2},
    'position': 0,
}
MANY = [1] * FAULTS
BAD_LABELS = {str(name): [] for name in range(FAULTS)}
INSTANCE = {
    'name': 'i',
    'address': {'host': 'h', 'port': 1},
    'availability_zone': 'z',
    'role': 'r',
    'leaving': False,
}


def _peak_bytes(call):
    tracemalloc.start()
    try:
        call()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


# Guards against a small document whose faults take many times its memory.
@pytest.mark.parametrize(
    ('adapter', 'document'),
    [
        (instances_http._documents, {'instances': MANY}),
        (
            instances_http._documents,
            {'instances': [{**INSTANCE, 'labels': BAD_LABELS}]},
        ),
        (log_http._pages, {'records': MANY, 'first': 0, 'end': 1}),
        (engine_http._cache_page, {'events': MANY, 'gap': False}),
        (engine_http._load_report, {**REPORT, 'holdings': MANY}),
        (
            engine_http._load_report,
            {**REPORT, 'holdings': [{**HOLDING, 'adapters': MANY}]},
        ),
        (engine_http._fences, BAD_LABELS),
    ],
    ids=[
        'instances',
        'labels',
        'records',
        'events',
        'holdings',
        'adapters',
        'fences',
    ],
)
def test_a_document_with_many_faults_is_one_short_fault(adapter, document):
    response = HttpResponse(200, json.dumps(document).encode(), '')
    outcomes = []
    peak = _peak_bytes(
        lambda: outcomes.append(parse_response(adapter, response))
    )
    assert len(outcomes[0].failure().message) <= MAX_MESSAGE_CHARS
    assert peak < FAULTS * MAX_BYTES_PER_FAULT


# Guards against a frame that ends the process by the report of its faults.
def test_a_frame_with_many_faults_is_one_short_fault():
    line = json.dumps({**OUTPUT, 'activations': MANY}).encode()
    outcomes = []
    peak = _peak_bytes(lambda: outcomes.append(decode_down(line)))
    assert outcomes[0].failure().startswith('output.activations.0')
    assert peak < FAULTS * MAX_BYTES_PER_FAULT
