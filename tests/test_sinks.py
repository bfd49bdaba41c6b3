"""Test that log lines are written without blocking the caller."""

import itertools
import os

from nutmegchute_daemon.sinks import LineSink
from nutmegchute_daemon.sinks import MAX_LINES_PER_S
from nutmegchute_daemon.sinks import MAX_QUEUED_LINES


def test_lines_are_written_in_order() -> None:
    """All lines are written, in order."""
    reading, writing = os.pipe()
    sink = LineSink(writing, lambda: str)
    for number in range(5):
        sink.put(f"line {number}")
    sink.close()
    assert os.read(reading, 4096).decode().splitlines() == [
        f"line {number}" for number in range(5)
    ]


def test_stopped_reader_does_not_block() -> None:
    """Lines are dropped and counted while the pipe is full.

    The log collector hangs. A daemon that wrote to the pipe on its event
    loop would hang with it.
    """
    reading, writing = os.pipe()
    seconds = itertools.count()
    sink = LineSink(writing, lambda: str, lambda: next(seconds))
    line = "x" * 1000
    for _ in range(3 * MAX_QUEUED_LINES):
        sink.put(line)
    assert sink.pop_lost_count() >= MAX_QUEUED_LINES
    os.close(reading)


def test_lines_per_second_are_limited() -> None:
    """Lines above the limit of a second are dropped and counted."""
    reading, writing = os.pipe()
    sink = LineSink(writing, lambda: str, lambda: 5.0)
    for _ in range(MAX_LINES_PER_S + 7):
        sink.put("x")
    assert sink.pop_lost_count() == 7
    sink.close()
    assert os.read(reading, 65536).count(b"x") == MAX_LINES_PER_S


def test_sink_survives_a_closed_reader() -> None:
    """Lines that cannot be written are counted; later ones are written.

    The log file has reached its size limit, or the pipe has no reader. On
    the event loop, the error would end the daemon.
    """
    reading, writing = os.pipe()
    os.close(reading)
    sink = LineSink(writing, lambda: str)
    sink.put("lost")
    sink.close()
    assert sink.pop_lost_count() == 1
    reading, again = os.pipe()
    os.dup2(again, writing)
    sink.put("written")
    sink.close()
    assert os.read(reading, 100) == b"written\n"


def test_record_that_cannot_be_rendered_is_counted() -> None:
    """The next record is written after one that cannot be rendered.

    A field changes while its line is rendered, or has a type that JSON lacks.
    An error that ended the writing thread would end all logging.
    """
    reading, writing = os.pipe()
    sink = LineSink(writing, lambda: _render_even)
    for number in range(4):
        sink.put(number)
    sink.close()
    assert sink.pop_lost_count() == 2
    assert os.read(reading, 100) == b"0\n2\n"


def _render_even(number: int) -> str:
    if number % 2:
        raise TypeError("odd")
    return str(number)
