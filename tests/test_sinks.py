"""Write log lines without making anybody wait."""

import itertools
import os

from nutmegchute_daemon.sinks import KEPT_LINES
from nutmegchute_daemon.sinks import LINES_PER_S
from nutmegchute_daemon.sinks import LineSink


def test_lines_come_out_whole_and_in_order() -> None:
    """Write what was given."""
    reading, writing = os.pipe()
    sink = LineSink(writing, lambda: str)
    for number in range(5):
        sink.put(f"line {number}")
    sink.close()
    assert os.read(reading, 4096).decode().splitlines() == [
        f"line {number}" for number in range(5)
    ]


def test_reader_that_stops_reading_holds_nobody() -> None:
    """Drop and count lines while nobody reads.

    The collector of the logs hangs and the pipe is full. A daemon that
    wrote in its loop would stop with it; here the lines beyond the bound
    are lost and their number is told.
    """
    reading, writing = os.pipe()
    seconds = itertools.count()
    sink = LineSink(writing, lambda: str, lambda: next(seconds))
    line = "x" * 1000
    for _ in range(3 * KEPT_LINES):
        sink.put(line)
    assert sink.take_lost() >= KEPT_LINES
    os.close(reading)


def test_lines_of_a_second_are_bounded() -> None:
    """Drop and count what comes beyond the bound of a second."""
    reading, writing = os.pipe()
    sink = LineSink(writing, lambda: str, lambda: 5.0)
    for _ in range(LINES_PER_S + 7):
        sink.put("x")
    assert sink.take_lost() == 7
    sink.close()
    assert os.read(reading, 65536).count(b"x") == LINES_PER_S


def test_sink_outlives_a_closed_reader() -> None:
    """Count what could not be written and write what comes later.

    The file of the log has reached its limit, or the pipe has no reader.
    Raised in the loop, the error would end the daemon.
    """
    reading, writing = os.pipe()
    os.close(reading)
    sink = LineSink(writing, lambda: str)
    sink.put("lost")
    sink.close()
    assert sink.take_lost() == 1
    reading, again = os.pipe()
    os.dup2(again, writing)
    sink.put("written")
    sink.close()
    assert os.read(reading, 100) == b"written\n"


def test_record_that_cannot_be_rendered_is_counted() -> None:
    """Go on with the next line after one that cannot be written.

    A field changes while its line is rendered, or is of a type that JSON
    does not know. An error would end the thread that writes, and with it
    the log.
    """
    reading, writing = os.pipe()
    sink = LineSink(writing, lambda: _render_even)
    for number in range(4):
        sink.put(number)
    sink.close()
    assert sink.take_lost() == 2
    assert os.read(reading, 100) == b"0\n2\n"


def _render_even(number: int) -> str:
    if number % 2:
        raise TypeError("odd")
    return str(number)
