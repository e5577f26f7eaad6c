"""The ``ask`` command resumes at another entry when its entry is killed."""

import subprocess
import sys
from itertools import pairwise

from demo.launcher import new_launcher
from demo.system import (
    LAYERS,
    MODEL,
    TOKEN,
    VERSION,
    ZONES,
    configuration,
    environment,
    start_platform,
)
from standins.toy_model import reference_answer

PROMPT = 'Strand 12?'
MAX_TOKENS = 60
SEEN_BYTES = 10
END_WAIT_S = 60


def test_answer_resumes_at_another_entry_after_a_kill():
    env = {**environment(), 'FOXTAILHATCH_TOKEN': TOKEN}
    with new_launcher(env) as launcher:
        system = start_platform(launcher)
        for number, layers in enumerate(pairwise((0, 4, 8, LAYERS))):
            name, zone = f'engine-{number}', ZONES[number]
            system.start_engine(name, zone, layers, '--base-s', '0.01')
        first = system.start_entry('entry-1', ZONES[0])
        second = system.start_entry('entry-2', ZONES[1])
        system.publish(configuration(), 0, 'entry-1')
        for name in ('entry-1', 'entry-2'):
            system.wait_until_ready(name)
        options = ['--model', MODEL, '--max-tokens', str(MAX_TOKENS)]
        entries = ['--entry', first.address, '--entry', second.address]
        command = ['-m', 'foxtailhatch', 'ask', *entries, *options, PROMPT]
        process = subprocess.Popen(
            [sys.executable, *command],
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        beginning = process.stdout.read(SEEN_BYTES)
        first.kill()
        rest, errors = process.communicate(timeout=END_WAIT_S)
    prompt = tuple(PROMPT.encode())
    tokens, _ = reference_answer(MODEL, VERSION, LAYERS, prompt, MAX_TOKENS)
    assert beginning + rest == bytes([*tokens, *b'\n'])
    assert first.address.encode() in errors
