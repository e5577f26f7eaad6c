"""Helpers that read answers and events in the end-to-end tests."""

import json
import time

from demo.system import (
    LAYERS,
    MODEL,
    TOKEN,
    VERSION,
    call,
    open_response,
)
from standins.toy_model import reference_answer

WAIT_S = 30
POLL_S = 0.02


def eventually(holds):
    """Poll until ``holds`` returns true; fail after ``WAIT_S`` seconds."""
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
    """One streamed answer, read incrementally."""

    def __init__(self, address, prompt, max_tokens):
        document = {
            'model': MODEL,
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }
        path = '/v1/completions'
        self.response = open_response(address, 'POST', path, document, TOKEN)
        self.request_id = self.response.headers['X-Request-Id']
        self.text = ''
        self.is_complete = False

    def read(self, tokens):
        """Read until ``tokens`` tokens were received in total, or the end."""
        while len(self.text) < tokens and not self.is_complete:
            line = self.response.readline()
            assert line, 'connection closed before the end of the answer'
            if line.startswith(b'data: [DONE]'):
                self.is_complete = True
            elif line.startswith(b'data: '):
                self.text += _text_of(line)

    def read_all(self):
        """Read to the end of the stream and return the text."""
        while not self.is_complete:
            self.read(len(self.text) + 1)
        return self.text


def _text_of(line):
    document = json.loads(line.removeprefix(b'data: '))
    assert 'choices' in document, document
    return document['choices'][0].get('text', '')


def events_of(address, subject, kind):
    """Return the details of the events of ``kind`` about a subject."""
    events = call(address, 'GET', f'/timeline?subject={subject}').json()
    return [event['detail'] for event in events if event['event'] == kind]
