"""The discovery service: the published list of servers, and when each sidecar receives its updates.

Times are whole nanoseconds of simulated time.
"""

from typing import TYPE_CHECKING

from maddercart.interface import GONE, READY, SECOND, ListEntry
from maddercart.lab.scenario import Scenario
from maddercart.lab.streams import exponentials, random_stream

if TYPE_CHECKING:
    from maddercart.lab.servers import Server
    from maddercart.lab.sidecars import Sidecar
    from maddercart.lab.world import World

COALESCE_NS = SECOND // 100  # changes within this period go out in one update
LAN_DELAY_NS = SECOND // 1000  # network delay between the service and a sidecar, added to the setting `late`


class DiscoveryService:
    """Publishes the server list to the subscribed sidecars.

    Each change gets a version; a subscriber is sent all entries changed since the version that it has. The
    service sends `lines_per_s` entries a second in total, in the order in which they became due.
    """

    def __init__(self, world: "World", scenario: Scenario, seed: int) -> None:
        self.world, self.engine, self.settings = world, world.engine, scenario.listed
        self.delivery_delays = (
            exponentials(random_stream(seed, "list"), self.settings.late) if self.settings.late else None
        )
        self.ns_per_entry = SECOND / self.settings.lines_per_s
        self.busy_until = 0  # when all updates queued so far will have been sent
        self.version = 0
        self.entries: dict[int, ListEntry] = {}
        self.changed_in_version: dict[int, int] = {}  # by server: the version that last changed its entry
        self.down, self.stale, self.flushing = False, False, False
        self.entries_sent = 0  # to all sidecars; a figure of the results
        self.cache: dict[tuple[int, int], list[ListEntry]] = {}

    def update_entry(self, server: "Server", size: float | None = None) -> None:
        """Updates a server's entry under a new version; `size` overrides the server's own."""
        launched = server.started_cold_at if server.started_cold_at > 0 else 0
        self.version += 1
        self.changed_in_version[server.number] = self.version
        self.entries[server.number] = ListEntry(
            server.number,
            server.zone,
            server.kind,
            server.cell,
            server.condition,
            size or server.size,
            launched,
        )

    def publish(self, servers: list["Server"]) -> None:
        for server in servers:
            self.update_entry(server)
        self.schedule_flush()

    def publish_loads(self, _: None = None) -> None:
        """Publishes load as a reduced size: the server's size / (1 + queries held per core)."""
        for server in self.world.servers:
            if server.condition == READY:
                self.update_entry(server, server.size / (1 + server.held_count() / server.cores))
        self.schedule_flush()
        self.engine.schedule(self.engine.now + round(self.settings.loads_every * SECOND), self.publish_loads)

    def schedule_flush(self) -> None:
        if not self.flushing:
            self.flushing = True
            self.engine.schedule(self.engine.now + COALESCE_NS, self.flush)

    def flush(self, _: None = None) -> None:
        self.flushing = False
        self.cache.clear()
        if not (self.down or self.stale):
            for sidecar in self.world.sidecars:
                if sidecar.subscribed:
                    self.send_update(sidecar)

    def entries_since(self, since_version: int) -> list[ListEntry]:
        """The entries changed after a version, or those of all servers that are not gone if it is -1."""
        if (since_version, self.version) not in self.cache:
            self.cache[since_version, self.version] = (
                [entry for entry in self.entries.values() if entry.condition != GONE] if since_version < 0
                else [
                    self.entries[number]
                    for number, version in self.changed_in_version.items()
                    if version > since_version
                ]
            )  # fmt: skip
        return self.cache[since_version, self.version]

    def send_update(self, sidecar: "Sidecar") -> None:
        """Sends a sidecar the changes since its version, or the whole list if its version is -1."""
        entries, now = self.entries_since(sidecar.list_version), self.engine.now
        if not entries:
            return
        self.busy_until = max(self.busy_until, now) + int(len(entries) * self.ns_per_entry)
        self.entries_sent += len(entries)
        delivery_at = (
            self.busy_until
            + LAN_DELAY_NS
            + (int(next(self.delivery_delays) * SECOND) if self.delivery_delays else 0)
        )
        sidecar.list_delivery_at = max(sidecar.list_delivery_at, delivery_at)  # updates arrive in order
        self.engine.schedule(
            sidecar.list_delivery_at,
            sidecar.receive_list,
            (entries, sidecar.list_version < 0, sidecar.incarnation, now),
        )
        sidecar.list_version = self.version

    def subscribe(self, sidecar: "Sidecar") -> None:
        """Subscribes a sidecar, starting with the whole list; while down, tells it of the failure in 1 s."""
        if self.down:
            self.engine.schedule(self.engine.now + SECOND, sidecar.list_unavailable, sidecar.incarnation)
            return
        sidecar.subscribed, sidecar.list_version = True, -1
        if not self.stale:
            self.send_update(sidecar)

    def set_down(self, down: bool) -> None:
        self.down = down
        for sidecar in self.world.sidecars:
            if down and sidecar.subscribed and sidecar.subscribes:
                sidecar.subscribed = False
                self.engine.schedule(
                    self.engine.now + LAN_DELAY_NS, sidecar.list_unavailable, sidecar.incarnation
                )
        if not down:
            self.schedule_flush()

    def set_stale(self, stale: bool) -> None:
        self.stale = stale
        if not stale:
            self.schedule_flush()
