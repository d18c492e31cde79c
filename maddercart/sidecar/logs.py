"""Log lines on standard error, key=value, written by a thread so that a slow reader holds nothing up."""

import logging
import queue
import sys
import time
from logging.handlers import QueueHandler, QueueListener

from logfmter import Logfmter

MOST = 1000  # lines that wait; further ones are lost rather than waited for
FLUSH_WITHIN = 0.2  # seconds at the end


def start(level: str) -> "queue.Queue[logging.LogRecord]":
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MOST)
    out = logging.StreamHandler(sys.stderr)
    out.setFormatter(Logfmter(
        keys=["at", "level", "of"], mapping={"at": "asctime", "level": "levelname", "of": "name"}
    ))  # fmt: skip
    logging.raiseExceptions = False  # a full queue is no reason to print
    root = logging.getLogger()
    root.handlers = [QueueHandler(lines)]
    root.setLevel(level)
    QueueListener(lines, out).start()
    return lines


def flush(lines: "queue.Queue[logging.LogRecord]") -> None:
    until = time.monotonic() + FLUSH_WITHIN
    while not lines.empty() and time.monotonic() < until:
        time.sleep(0.002)
    sys.stderr.flush()
