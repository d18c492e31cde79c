"""Case 5: where lists are pushed, a drain from an outage of discovery is missed for longer than the grace."""

import copy
import random
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    SETTINGS,
    TROUBLE,
    CannotRunError,
    Discovery,
    Messages,
    Record,
    Sidecar,
    Upstreams,
    host_line,
    new_folder,
    now,
    request_bytes,
)

SIDECARS, CLIENTS_EACH, MEAN_PAUSE_SECONDS = 8, 8, 0.08
ZONES, SERVERS, ROUNDS = ["brussel", "gent"], 8, 11
WORK_SECONDS = (0.087, 0.158)  # of a `sign-record`, with its waits on others
GRACE_SECONDS, SLACK_SECONDS = 1.0, 0.05  # `rules.stop_sending_within`; each limit is 50 ms longer on sockets
# Of each round: how long discovery is down, when the release begins in it, and the time after its return.
DOWN_SECONDS, RELEASE_AFTER_SECONDS, AFTER_SECONDS = 5.0, 2.0, 3.3
DRAIN_SECONDS = 4.25  # from when a server begins to drain to its end
OFFERINGS: list[dict[str, Any]] = [
    {"name": "sign-record", "semantics": "single_shot", "agreed_time": 0.75, "hard_stop": 2.5,
     "earnings": 5.0, "tardy_earnings": 0.0, "stream": False},
    {"name": "draft-build", "semantics": "guarded", "group": "zone", "window": 3.0, "agreed_time": 0.6,
     "hard_stop": 1.5, "earnings": 3.0, "tardy_earnings": 0.0, "stream": False},
]  # fmt: skip


def settings(index: int) -> dict[str, Any]:
    terms = copy.deepcopy(SETTINGS)
    terms |= {"discovery": "push", "offerings": OFFERINGS, "zones": ZONES, "zone": index % len(ZONES)}
    terms |= {"self_index": index, "group_size": SIDECARS}
    terms["rules"]["stop_sending_within"] = GRACE_SECONDS
    terms["limits"] |= {"most_dispatches": 3}
    return terms


def client(name: str, sidecar: Sidecar, record: Record, until: float) -> None:
    """A usual client: one request at a time on a connection that it keeps."""
    draw, count = random.Random(name), 0
    sock = sidecar.connect()
    messages = Messages(sock)
    while now() < until:
        count += 1
        trace, offering = f"{sidecar.name}-{name}-{count:06d}", draw.choice(OFFERINGS)
        record.add("sent", id=trace, line=offering["name"])
        body, expires_ms = b"clause=1", int(offering["hard_stop"] * 1000)
        sock.sendall(request_bytes(offering["name"], trace, expires_ms, body, offering["semantics"]))
        if (answer := messages.next()) is None:
            raise CannotRunError("a connection ended without an answer")
        record.add("answered", id=trace, status=answer[0].split()[1])
        if answer[1].get("connection", "").lower() == "close":
            sock.close()
            sock = sidecar.connect()
            messages = Messages(sock)
        time.sleep(draw.expovariate(1 / MEAN_PAUSE_SECONDS))
    sock.close()


def release(discovery: Discovery, upstreams: Upstreams, record: Record) -> dict[str, float]:
    """Replaces two servers a round, one of each zone. Returns when each counts as told that it drains."""
    ports, told_at = upstreams.ports, dict[str, float]()
    names = list(ports)
    for turn in range(ROUNDS):
        began = now()
        if TROUBLE:
            record.add("discovery is down")
            discovery.set_down(True)
        time.sleep(RELEASE_AFTER_SECONDS)
        leaving = [names[turn * 2 + zone] for zone in range(len(ZONES))]
        coming = [names[SERVERS + turn * 2 + zone] for zone in range(len(ZONES))]
        for zone, name in enumerate(leaving):
            discovery.tell(
                host_line(name, ports[name], ZONES[zone], "DRAINING"),
                host_line(coming[zone], ports[coming[zone]], ZONES[zone]),
            )
            record.add("drains", upstream=name, replaced_by=coming[zone])
            told_at[name] = now()
        time.sleep(max(0.0, began + DOWN_SECONDS - now()))
        if TROUBLE:
            discovery.set_down(False)
            record.add("discovery is back")
            told_at |= dict.fromkeys(leaving, now())
        time.sleep(max(0.0, began + RELEASE_AFTER_SECONDS + DRAIN_SECONDS - now()))
        for name in leaving:
            upstreams.end_server(name)
        time.sleep(max(0.0, began + DOWN_SECONDS + AFTER_SECONDS - now()))
        for zone, name in enumerate(leaving):
            discovery.tell(host_line(name, ports[name], ZONES[zone], "DELETED"))
    return told_at


def play(folder: Path, record: Record) -> tuple[dict[str, float], list[dict[str, Any]]]:
    servers = [{"name": f"s-{n:02d}", "work_s": WORK_SECONDS} for n in range(SERVERS + 2 * ROUNDS)]
    upstreams = Upstreams(folder, servers)
    sidecars: list[Sidecar] = []
    try:
        first = list(upstreams.ports.items())[:SERVERS]
        discovery = Discovery([host_line(name, port, ZONES[n % 2]) for n, (name, port) in enumerate(first)])
        sidecars += [
            Sidecar(folder, discovery, settings(index), name=f"n{index}") for index in range(SIDECARS)
        ]
        for sidecar in sidecars:
            sidecar.wait_until_ready()
        until = now() + 2 + ROUNDS * (DOWN_SECONDS + AFTER_SECONDS)
        threads = [
            threading.Thread(target=client, args=(f"c{number}", sidecar, record, until))
            for sidecar in sidecars
            for number in range(CLIENTS_EACH)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1)
        told_at = release(discovery, upstreams, record)
        for thread in threads:
            thread.join(10)
        if any(sidecar.process.poll() is not None for sidecar in sidecars):
            raise CannotRunError("a sidecar ended")
        return told_at, upstreams.entries()
    finally:
        for sidecar in sidecars:
            sidecar.end()
        upstreams.end()


def main() -> int:
    record = Record()
    with new_folder() as folder:
        told_at, entries = play(Path(folder), record)
    late = [
        (entry["at"] - told_at[entry["upstream"]], entry["id"], entry["upstream"])
        for entry in entries
        if entry["what"] == "run"
        and entry["at"] - told_at.get(entry["upstream"], entry["at"]) > GRACE_SECONDS + SLACK_SECONDS
    ]
    aborted = {entry["id"] for entry in record.entries if entry.get("status") == "502"}
    cut = len({name for _, name, _ in late} & aborted)
    runs = sum(entry["what"] == "run" for entry in entries)
    summary = [
        f"trouble {TROUBLE}: {runs} requests came to upstreams, {len(told_at)} of which were told to drain;",
        f"{len(late)} came over {GRACE_SECONDS + SLACK_SECONDS} s after that,"
        f" the latest after {max(late, default=(0.0,))[0]:.3f} s; {cut} of these requests were aborted (502)",
        *(f"{name} came to {upstream} {after:.3f} s after it was told" for after, name, upstream in late),
    ]
    record.write(Path(__file__).parent / "record.txt", entries, summary)
    print("\n".join(summary[:2]))
    if runs < 1000:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    try:
        code = main()
    except (CannotRunError, OSError) as error:
        print(f"can't run: {error}")
        code = 2
    sys.exit(code)
