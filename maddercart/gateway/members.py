"""Members of a pool that are listed in the configuration or in a watched file, as versions of a list."""

import logging
import os
from collections.abc import Callable, Sequence
from pathlib import Path

from maddercart.gateway.check import read_members
from maddercart.gateway.config import ConfigFileError, Pool, Server
from maddercart.interface import MILLISECOND, SECOND
from maddercart.messages.upstreams import Listing
from maddercart.net.loop import Coroutine, Wait

log = logging.getLogger(__name__)

POLL_INTERVAL_NS = SECOND
DEFAULT_NAME = "-"  # the only zone, or kind, of a pool that names none


class MemberList:
    """Turns configured servers into numbered versions of a list.

    A server that the previous version lacked, or had at another address, counts as just started if the
    pool's `fresh_is_cold` is set. Those of the first version count as warm: otherwise a restart of the
    gateway would limit all of them as cold at once.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.seq = 0  # of the latest version; 0: none yet
        # By server name and address: when it started, in milliseconds; 0: warm.
        self.started_ms: dict[tuple[str, str], float] = {}

    def listing(self, servers: Sequence[Server], pool: Pool) -> Listing:
        """The next version, with the whole list."""
        now_ms = self.clock() / MILLISECOND if self.seq and pool.fresh_is_cold else 0.0
        names = [server.name or server.address for server in servers]
        keys = [(name, server.address) for name, server in zip(names, servers, strict=True)]
        self.started_ms = {key: self.started_ms.get(key, now_ms) for key in keys}
        self.seq += 1
        hosts = [
            {
                "host": name, "dial": server.address, "site": server.zone or zone_names(pool)[0],
                "class": server.kind or kind_names(pool)[0], "block": server.cell, "share": server.size,
                "born_ms": self.started_ms[name, server.address],
                "health": "SERVING" if server.state == "ready" else "DRAINING",
            }
            for name, server in zip(names, servers, strict=True)
        ]  # fmt: skip
        return Listing(self.seq, hosts, whole=True)


def zone_names(pool: Pool) -> list[str]:
    return pool.zones or [DEFAULT_NAME]


def kind_names(pool: Pool) -> list[str]:
    return pool.kinds or [DEFAULT_NAME]


def file_stamp(path: Path) -> tuple[int, int, int] | None:
    """Inode, modification time in nanoseconds and size; None if the file cannot be accessed."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_ino, status.st_mtime_ns, status.st_size


class MembersFileWatcher:
    """Polls a members file and passes its servers to `on_change` when it has changed.

    An unusable version is logged once, and the last usable one stays in effect.
    """

    def __init__(
        self, clock: Callable[[], int], path: Path, pool: Pool, on_change: Callable[[list[Server]], None]
    ) -> None:
        self.clock, self.path, self.pool, self.on_change = clock, path, pool, on_change
        self.last_stamp = file_stamp(path)

    def poll(self) -> None:
        stamp = file_stamp(self.path)
        if stamp == self.last_stamp:
            return
        self.last_stamp = stamp
        try:
            servers = read_members(self.path, self.pool)
        except ConfigFileError as error:
            for line in str(error).splitlines():
                log.error("cannot use members file", extra={"pool": self.pool.name, "reason": line})
            return
        log.info("members file reloaded", extra={"pool": self.pool.name, "servers": len(servers)})
        self.on_change(servers)

    def run(self) -> Coroutine:
        while True:
            yield Wait(deadline=self.clock() + POLL_INTERVAL_NS)
            self.poll()
