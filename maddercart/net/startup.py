"""Retries at startup for resources that are temporarily exhausted."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from maddercart.net.sockets import LOCAL_RESOURCE_ERRNOS

RETRIED_ERRNOS = LOCAL_RESOURCE_ERRNOS | {errno.EADDRINUSE, errno.EINTR}
RETRY_FOR_SECONDS, RETRY_INTERVAL_SECONDS = 5.0, 0.02

Result = TypeVar("Result")


def retry_while_exhausted(make: Callable[[], Result]) -> Result:
    """Calls `make` until it succeeds and returns its result.

    Blocks, so use it only at startup. Raises the `OSError` if it persists for 5 s or is not a temporary one.
    """
    deadline = time.monotonic() + RETRY_FOR_SECONDS
    while True:
        try:
            return make()
        except OSError as error:
            if error.errno not in RETRIED_ERRNOS or time.monotonic() > deadline:
                raise
        time.sleep(RETRY_INTERVAL_SECONDS)
