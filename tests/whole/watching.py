"""What the tests of the whole system watch and wait for."""

import json
import time

from demo.system import (
    LAYERS,
    MODEL,
    TOKEN,
    VERSION,
    call,
    open_call,
)
from standins.toy_model import reference_answer

WAIT_S = 30
POLL_S = 0.02


def eventually(holds):
    """Poll until ``holds`` is true; the bound only ends a failing test."""
    deadline = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < deadline
        time.sleep(POLL_S)


def expected_text(prompt, max_tokens):
    tokens, _ = reference_answer(
        MODEL, VERSION, LAYERS, tuple(prompt.encode()), max_tokens
    )
    return bytes(tokens).decode()


class Stream:
    """One streamed answer, read part by part."""

    def __init__(self, address, prompt, max_tokens):
        document = {
            'model': MODEL,
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }
        path = '/v1/completions'
        self.response = open_call(address, 'POST', path, document, TOKEN)
        self.request_id = self.response.headers['X-Request-Id']
        self.text = ''
        self.whole = False

    def read(self, tokens):
        """Read on until so many tokens came in all, or the end."""
        while len(self.text) < tokens and not self.whole:
            line = self.response.readline()
            assert line, 'the answer was cut off'
            if line.startswith(b'data: [DONE]'):
                self.whole = True
            elif line.startswith(b'data: '):
                self.text += _text_of(line)

    def read_all(self):
        """Read to the end mark and return the text."""
        while not self.whole:
            self.read(len(self.text) + 1)
        return self.text


def _text_of(line):
    document = json.loads(line.removeprefix(b'data: '))
    assert 'choices' in document, document
    return document['choices'][0].get('text', '')


def events_of(address, subject, kind):
    """Return the details of an entry's events about a subject."""
    events = call(address, 'GET', f'/timeline?subject={subject}').json()
    return [event['detail'] for event in events if event['event'] == kind]
