"""Tests of the logs: rate-limited, non-blocking, one JSON object per line."""

import json
import logging
import os
import unittest

from pythonjsonlogger.json import JsonFormatter

from berylshift.log import (
    BURST_LINES,
    FIELDS,
    LINES_PER_SECOND,
    BoundedHandler,
    DescriptorSink,
)


class ListSink:
    """Collects lines; refuses them while ``full`` is set."""

    def __init__(self) -> None:
        self.lines: list[dict] = []
        self.full = False

    def write(self, data: bytes) -> bool:
        if self.full:
            return False
        self.lines.append(json.loads(data))
        return True


class BoundedHandlerTest(unittest.TestCase):
    """Rate limits and dropped lines."""

    def setUp(self):
        self.time = 0.0
        self.sink = ListSink()
        handler = BoundedHandler(self.sink, lambda: self.time)
        handler.setFormatter(JsonFormatter(FIELDS, static_fields={"host": "h"}))
        self.logger = logging.Logger("x", logging.INFO)
        self.logger.addHandler(handler)

    def test_excess_lines_of_one_message_are_counted_not_written(self):
        for number in range(1000):
            self.logger.info("request ended", extra={"request": number})
        self.logger.info("settings reloaded")
        self.time = 1.0
        self.logger.info("request ended", extra={"request": 1001})
        texts = [line["message"] for line in self.sink.lines]
        self.assertEqual(texts.count("request ended"), BURST_LINES + 1)
        self.assertIn("settings reloaded", texts)
        self.assertEqual(self.sink.lines[-1]["left_out"], 1000 - BURST_LINES)

    def test_lines_within_the_rate_are_all_written(self):
        for tick in range(10 * LINES_PER_SECOND):
            self.time = tick / LINES_PER_SECOND
            self.logger.info("request ended")
        self.assertEqual(len(self.sink.lines), 10 * LINES_PER_SECOND)

    def test_lines_that_can_not_be_written_are_counted(self):
        self.sink.full = True
        for _ in range(3):
            self.logger.info("a")
        self.sink.full = False
        self.logger.info("b")
        self.assertEqual(self.sink.lines[0]["dropped"], 3)


class DescriptorSinkTest(unittest.TestCase):
    """A pipe whose reader does not read."""

    def test_full_pipe_does_not_block_or_cut_lines(self):
        """Guards against a blocking write to standard output, which stops requests."""
        read_fd, write_fd = os.pipe()
        self.addCleanup(os.close, read_fd)
        self.addCleanup(os.close, write_fd)
        sink = DescriptorSink(write_fd)
        line = b"x" * 999 + b"\n"
        written = sum(sink.write(line) for _ in range(500))
        self.assertLess(written, 500)
        data = os.read(read_fd, 1 << 20)
        self.assertTrue(sink.write(b"y\n"))
        data += os.read(read_fd, 1 << 20)
        lines = data.split(b"\n")
        self.assertEqual({len(part) for part in lines[:-2]}, {999})
        self.assertEqual(lines[-2], b"y")
