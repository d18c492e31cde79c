"""What a process needs from the start, had a little later where the machine lacks it for a moment."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from maddercart.net.sockets import OUR_LACK

RETRIED = OUR_LACK | {errno.EADDRINUSE, errno.EINTR}
WITHIN, PAUSE = 5.0, 0.02  # seconds

Made = TypeVar("Made")


def retry_lack(make: Callable[[], Made]) -> Made:
    """What `make` returns. Blocks, so for the start alone. Raises an `OSError` that lasts for 5 s."""
    until = time.monotonic() + WITHIN
    while True:
        try:
            return make()
        except OSError as error:
            if error.errno not in RETRIED or time.monotonic() > until:
                raise
        time.sleep(PAUSE)
