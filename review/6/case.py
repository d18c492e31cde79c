"""Case 6: attempts begin for a client that has sent much at once and gone."""

import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
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

# Bad clients, one after the other; each sends hundreds of requests at once, in the protocol's form.
BAD_CLIENTS, REQUESTS, BODY, PAUSE_SECONDS = 12, 400, b"x" * 212, 2.0
SERVERS, WORK_SECONDS = 8, (0.13, 0.23)  # the work of a `repayment-post`
GONE_SECONDS = 0.15  # 0.1 s after the close; each time limit is 50 ms longer on sockets


def usual_client(sidecar: Sidecar, record: Record, until: float) -> None:
    """One request at a time on a connection that it keeps."""
    sock = sidecar.connect()
    messages, count = Messages(sock), 0
    while now() < until:
        count += 1
        trace = f"usual-{count:06d}"
        record.add("sent", id=trace)
        sock.sendall(request_bytes("account-view", trace, 1500))
        if (answer := messages.next()) is None:
            raise CannotRunError("a usual client's connection ended without an answer")
        record.add("answered", id=trace, status=answer[0].split()[1])
        time.sleep(0.1)


def bad_clients(sidecar: Sidecar, record: Record) -> dict[str, float]:
    """Returns when each client closed its connection."""
    closed_at: dict[str, float] = {}
    staying = []
    for number in range(BAD_CLIENTS):
        name = f"bad{number:02d}"
        requests = [
            request_bytes("repayment-post", f"{name}-{index:04d}", 1500, BODY) for index in range(REQUESTS)
        ]
        sock = sidecar.connect()
        sock.sendall(b"".join(requests))
        record.add("sent", client=name, requests=REQUESTS, size=sum(map(len, requests)))
        if TROUBLE:
            sock.close()
            closed_at[name] = now()
            record.add("closed", client=name, at=closed_at[name])
        else:
            staying.append(sock)
        time.sleep(PAUSE_SECONDS)
    return closed_at


def play(folder: Path, record: Record) -> tuple[dict[str, float], list[dict[str, Any]]]:
    servers = [{"name": f"s-{n}", "work_s": WORK_SECONDS} for n in range(SERVERS)]
    upstreams = Upstreams(folder, servers)
    try:
        zones = ["bangna", "chaengwattana"]
        discovery = Discovery(
            [
                host_line(name, port, zones[n * 2 // SERVERS])
                for n, (name, port) in enumerate(upstreams.ports.items())
            ]
        )
        sidecar = Sidecar(folder, discovery)
        try:
            sidecar.wait_until_ready()
            until = now() + BAD_CLIENTS * PAUSE_SECONDS
            usual = threading.Thread(target=usual_client, args=(sidecar, record, until))
            usual.start()
            closed_at = bad_clients(sidecar, record)
            usual.join(5)
            if sidecar.process.poll() is not None or usual.is_alive():
                raise CannotRunError("the usual client did not come to its end")
        finally:
            sidecar.end()
        return closed_at, upstreams.entries()
    finally:
        upstreams.end()


def main() -> int:
    record = Record()
    with new_folder() as folder:
        closed_at, entries = play(Path(folder), record)
    late = [
        (entry["id"], entry["at"] - closed_at[name])
        for entry in entries
        if (name := entry["id"].partition("-")[0]) in closed_at
        and entry["at"] - closed_at[name] > GONE_SECONDS
    ]
    usual = sum(entry["id"].startswith("usual") for entry in entries)
    summary = [
        f"trouble {TROUBLE}: {BAD_CLIENTS} clients sent {REQUESTS} requests at once, {len(closed_at)} left;",
        f"{len(late)} attempts began over {GONE_SECONDS} s after their client's close",
        *(f"{trace} came to an upstream {after:.3f} s after the close" for trace, after in late),
    ]
    record.write(Path(__file__).parent / "record.txt", entries, summary)
    print("\n".join(summary[:2]))
    if usual < 20:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    try:
        code = main()
    except (CannotRunError, OSError) as error:
        print(f"can't run: {error}")
        code = 2
    sys.exit(code)
