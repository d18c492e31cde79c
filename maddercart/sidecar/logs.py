"""Logging to standard error. A thread writes the lines, so that a slow reader blocks nothing."""

import logging
import queue
import sys
import time
from logging.handlers import QueueHandler, QueueListener

import msgspec
from logfmter import Logfmter

MAX_QUEUED_LINES = 1000  # further lines are dropped, so that logging never blocks
FLUSH_TIMEOUT_SECONDS = 0.2


STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object: at, level, of, msg, then the keys of `extra`."""

    def format(self, record: logging.LogRecord) -> str:
        extra = {name: value for name, value in vars(record).items() if name not in STANDARD_ATTRIBUTES}
        head = {"at": self.formatTime(record), "level": record.levelname, "of": record.name}
        line = {**head, "msg": record.getMessage(), **extra}
        if record.exc_info:
            line["exc_info"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def formatter(form: str) -> logging.Formatter:
    if form == "json":
        return JsonFormatter()
    return Logfmter(keys=["at", "level", "of"], mapping={"at": "asctime", "level": "levelname", "of": "name"})


def start(level: str, form: str = "logfmt") -> "queue.Queue[logging.LogRecord]":
    """Configures the root logger and starts the writing thread.

    `form` is "json"; anything else is logfmt. Returns the queue of lines for `flush`.
    """
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    output = logging.StreamHandler(sys.stderr)
    output.setFormatter(formatter(form))
    logging.raiseExceptions = False  # a full queue must not print a traceback
    root = logging.getLogger()
    root.handlers = [QueueHandler(lines)]
    root.setLevel(level)
    QueueListener(lines, output).start()
    return lines


def flush(lines: "queue.Queue[logging.LogRecord]") -> None:
    """Waits until the queue is empty, for at most `FLUSH_TIMEOUT_SECONDS`."""
    deadline = time.monotonic() + FLUSH_TIMEOUT_SECONDS
    while not lines.empty() and time.monotonic() < deadline:
        time.sleep(0.002)
    sys.stderr.flush()
