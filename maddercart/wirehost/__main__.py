"""Runs many instances of the load balancer for the simulator, over standard input and output."""

import sys
from typing import BinaryIO

from maddercart.balancer_settings import SettingsError
from maddercart.wirehost.host import FrameError, WireHost


def main(source: BinaryIO, sink: BinaryIO) -> int:
    try:
        WireHost().serve(source, sink)
    except (FrameError, SettingsError) as error:
        print(f"maddercart.wirehost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
