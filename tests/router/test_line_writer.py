import os

from foxtailhatch.router.line_writer import (
    MAX_QUEUED_BYTES,
    MAX_QUEUED_LINES,
    NonBlockingLineWriter,
)


def test_full_pipe_does_not_block_and_excess_lines_are_dropped():
    reader, writer = os.pipe()
    output = NonBlockingLineWriter(writer)
    for _ in range(MAX_QUEUED_LINES + 2000):
        output.write_line('x' * 200)
    assert output.dropped > 0
    os.close(reader)
    os.close(writer)


def test_size_of_queued_lines_is_bounded():
    """Lines of any length were queued up to their number alone."""
    reader, writer = os.pipe()
    output = NonBlockingLineWriter(writer)
    line_bytes = 64 * 1024
    for _ in range(MAX_QUEUED_LINES):
        output.write_line('x' * line_bytes)
    queued = 0
    os.set_blocking(reader, False)
    while True:
        output.flush()
        try:
            queued += len(os.read(reader, 1_048_576))
        except BlockingIOError:
            break
    # A part of the first line was in the pipe rather than in the queue.
    assert 0 < queued <= MAX_QUEUED_BYTES + 2 * line_bytes
    output.write_line('room again')
    assert os.read(reader, 100) == b'room again\n'
    os.close(reader)
    os.close(writer)


def test_queued_lines_are_written_completely():
    reader, writer = os.pipe()
    output = NonBlockingLineWriter(writer)
    for number in range(1000):
        output.write_line(f'{number:0200}')
    written = b''
    while written.count(b'\n') < 1000:
        written += os.read(reader, 65_536)
        output.flush()
    assert [int(line) for line in written.split()] == list(range(1000))
    os.close(reader)
    os.close(writer)


def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    output = NonBlockingLineWriter(writer)
    os.close(reader)
    output.write_line('nobody reads this')
    assert output.dropped == 1
    os.close(writer)
