import os

from foxtailhatch.router.line_writer import WAITING_LINES, NonBlockingLineWriter


def test_full_pipe_never_blocks_and_drops_what_is_too_much():
    reader, writer = os.pipe()
    output = NonBlockingLineWriter(writer)
    for _ in range(WAITING_LINES + 2000):
        output.emit('x' * 200)
    assert output.dropped > 0
    os.close(reader)
    os.close(writer)


def test_lines_that_waited_come_out_whole():
    reader, writer = os.pipe()
    output = NonBlockingLineWriter(writer)
    for number in range(1000):
        output.emit(f'{number:0200}')
    found = b''
    while found.count(b'\n') < 1000:
        found += os.read(reader, 65_536)
        output.flush()
    assert [int(line) for line in found.split()] == list(range(1000))
    os.close(reader)
    os.close(writer)


def test_reader_that_is_gone_is_no_error():
    reader, writer = os.pipe()
    output = NonBlockingLineWriter(writer)
    os.close(reader)
    output.emit('nobody reads this')
    assert output.dropped == 1
    os.close(writer)
