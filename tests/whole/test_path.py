"""The whole path over separate processes."""

import pytest

from demo.launcher import new_launcher
from demo.system import (
    LAYERS,
    MODEL,
    VERSION,
    ask,
    configuration,
    environment,
    start_engines,
    start_platform,
)
from standins.toy_model import reference_answer


@pytest.fixture(scope='module')
def system():
    with new_launcher(environment()) as launcher:
        running = start_platform(launcher)
        start_engines(running, (0, 4, 8, LAYERS))
        running.start_service('desk-1', 'thrissur-a')
        running.start_entry('entry-1', 'thrissur-a')
        published = running.publish(configuration(), 0, 'entry-1')
        assert published.json() == {'version': 1}
        running.wait_until_served('entry-1')
        yield running


def expected_text(prompt: str, max_tokens: int) -> str:
    tokens, _ = reference_answer(
        MODEL, VERSION, LAYERS, tuple(prompt.encode()), max_tokens
    )
    return bytes(tokens).decode()


def test_an_answer_crosses_three_endpoints_token_by_token(system):
    answer = ask(system.entries['entry-1'].address, 'Untangle it.', 40)
    text = answer.json()['choices'][0]['text']
    assert text == expected_text('Untangle it.', 40)
