"""Run a small system, exercise it, and print the results.

Three entries and the stand-ins run as separate processes on loopback ports.
The last line is ``demo: ok``; any failure gives a non-zero exit
code.
"""

import json
import signal
import sys
import time
from collections.abc import Iterator
from http.client import HTTPResponse

from demo.launcher import new_launcher
from demo.system import (
    LAYERS,
    MODEL,
    TOKEN,
    VERSION,
    ZONES,
    BufferedResponse,
    System,
    call,
    configuration,
    environment,
    open_response,
    start_engines,
    start_platform,
)
from standins.toy_model import reference_answer

PROMPT = 'Two strands at ward seven stay dark.'
ANSWER_TOKENS = 160
STOP_AFTER_CHUNKS = 20
STOP_TIMEOUT_S = 30.0
EVENT_PREFIX = b'data: '
END_MARKER = b'[DONE]'


class DemoError(Exception):
    """A step of the demonstration did not give the expected result."""


def main() -> None:
    """Run the demonstration."""
    started_at = time.monotonic()
    with new_launcher(environment()) as launcher:
        system = start_platform(launcher)
        _start_system(system)
        _check_streaming(system)
        _check_idempotency(system)
        _check_shutdown(system)
        _show_events(system)
    seconds = round(time.monotonic() - started_at, 1)
    print_line(f'took {seconds} s')
    print_line('demo: ok')


def print_line(line: str) -> None:
    """Print and flush one line."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def require(condition: bool, message: str) -> None:
    """Raise ``DemoError`` with ``message`` unless ``condition`` is true."""
    if not condition:
        raise DemoError(message)


def _start_system(system: System) -> None:
    start_engines(system, (0, 4, 8, LAYERS))
    for engine in system.engines.values():
        # Delays each step, so that the shutdown falls within an answer.
        call(engine.admin, 'POST', '/faults', {'slow_s': 0.002})
    system.start_service('desk-1', ZONES[0])
    for number, zone in enumerate(ZONES):
        seeds = [entry.peers for entry in system.entries.values()]
        peer_settings = {'entry_advice_keep_s': 0.1}
        system.start_entry(
            f'entry-{number}', zone, seeds, periods=peer_settings
        )
    print_line('started 3 engines, a store desk, the platform and 3 entries')
    published = system.publish(configuration(), 0, 'entry-0')
    require(published.status == 200, f'publish failed: {published.body!r}')
    for name in system.entries:
        system.wait_until_ready(name)
    print_line(
        f'published version {published.json()["version"]}; all entries ready'
    )


def _check_streaming(system: System) -> None:
    chunks = list(_text_chunks(_open_stream(system, 'entry-0')))
    _check_complete(chunks)
    print_line(
        f'streamed {ANSWER_TOKENS} tokens over 3 endpoints; output correct'
    )


def _check_idempotency(system: System) -> None:
    key = f'{int(time.time())}-reel-7'
    answers = [
        _send_booking(system, entry, key) for entry in ('entry-0', 'entry-1')
    ]
    require(
        all(answer.status == 200 for answer in answers),
        f'expected status 200 for both bookings, got {answers}',
    )
    runs = call(system.services['desk-1'].address, 'GET', '/runs').json()
    require(runs['runs'] == {key: 1}, f'expected one run of {key}: {runs}')
    print_line('sent a booking to two entries with one key; executed once')


def _send_booking(system: System, entry: str, key: str) -> BufferedResponse:
    return call(
        system.entries[entry].address,
        'POST',
        '/v1/services/store-desk/bookings',
        {'reel': 7},
        TOKEN,
        Idempotency_Key=key,
    )


def _check_shutdown(system: System) -> None:
    entry = system.entries['entry-2']
    chunks = _text_chunks(_open_stream(system, 'entry-2'))
    received = [next(chunks) for _ in range(STOP_AFTER_CHUNKS)]
    entry.process.send_signal(signal.SIGTERM)
    received.extend(chunks)
    _check_complete(received)
    code = entry.wait(STOP_TIMEOUT_S)
    require(code == 0, f'expected exit code 0 of the stopped entry, got {code}')
    print_line('stopped entry-2 during an answer; the answer was completed')


def _show_events(system: System) -> None:
    address = system.entries['entry-0'].address
    events = call(address, 'GET', '/timeline').json()
    kinds = sorted({event['event'] for event in events})
    print_line(f'timeline events: {", ".join(kinds)}')


def _open_stream(system: System, entry: str) -> HTTPResponse:
    document = {
        'model': MODEL,
        'prompt': PROMPT,
        'max_tokens': ANSWER_TOKENS,
        'stream': True,
    }
    address = system.entries[entry].address
    return open_response(address, 'POST', '/v1/completions', document, TOKEN)


def _text_chunks(response: HTTPResponse) -> Iterator[str | None]:
    """Yield the text of each event, and ``None`` for the end marker."""
    for line in response:
        if not line.startswith(EVENT_PREFIX):
            continue
        event = line.removeprefix(EVENT_PREFIX).strip()
        if event == END_MARKER:
            yield None
            continue
        document = json.loads(event)
        require('choices' in document, f'event without choices: {document}')
        yield document['choices'][0].get('text', '')


def _check_complete(chunks: list[str | None]) -> None:
    require(chunks[-1] is None, 'the stream ended without an end marker')
    text = ''.join(chunk for chunk in chunks if chunk)
    tokens, _ = reference_answer(
        MODEL,
        VERSION,
        LAYERS,
        tuple(PROMPT.encode()),
        ANSWER_TOKENS,
    )
    require(
        text == bytes(tokens).decode(), f'answer differs from reference: {text}'
    )


if __name__ == '__main__':
    main()
