import os

from foxtailhatch.router.line_writer import (
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
