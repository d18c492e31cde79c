"""Case 2: a broken configuration file, short of one key, is put in force, and keyed requests run twice."""

import asyncio
import copy
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import (
    BROKEN,
    HELD,
    NOT_RUN,
    CaseError,
    Client,
    Discovery,
    Record,
    Sidecar,
    configuration,
    free_ports,
    host,
    query,
    tally,
    temporary_folder,
    trouble,
)
from upstreams import Upstream, Zone

SECONDS, RELOAD_AT, RATE = 60.0, 8.0, 200.0
ERROR_RATE = 0.003  # of the site's servers, on a day without trouble
PLACES = {"s-a1": "bangna", "s-b1": "chaengwattana", "s-b2": "chaengwattana", "s-b3": "chaengwattana",
          "s-b4": "chaengwattana", "s-b5": "chaengwattana", "s-b6": "chaengwattana"}  # fmt: skip


async def play(record: Record, folder: Path) -> int:
    ports = free_ports(len(PLACES) + 2)
    upstream_ports = dict(zip(PLACES, ports[2:], strict=True))
    hosts = [host(name, upstream_ports[name], zone) for name, zone in PLACES.items()]
    config = configuration(ports[0], ports[1], hosts)
    sidecar = Sidecar(config, folder, folder / "sidecar.log")
    zones, effects = {zone: Zone(zone) for zone in set(PLACES.values())}, dict[str, list[str]]()
    for name, zone in PLACES.items():
        upstream = Upstream(name, zones[zone], ERROR_RATE, effects, record.note)
        await upstream.start(upstream_ports[name])
    try:
        await Discovery(hosts).start(ports[1])
        sidecar.start()
        await sidecar.until_ready()
        client = Client(sidecar.address)
        await load(record, client, RELOAD_AT)
        new = copy.deepcopy(config)
        if trouble():
            del new["settings"]["offerings"][1]["group"]
        sidecar.write_config(new)
        record.say("SIGHUP, the file is " + ("short of offerings.1.group" if trouble() else "whole"))
        sidecar.send_signal(signal.SIGHUP)
        await asyncio.sleep(2.0)
        await load(record, client, SECONDS - RELOAD_AT)
        client.close()
        await asyncio.sleep(2.0)
        if sidecar.has_ended():
            raise CaseError("the sidecar has ended")
    finally:
        sidecar.end()
        for line in sidecar.log.read_text().splitlines():
            record.note(f"the sidecar's log: {line}")
    twice = {key: places for key, places in effects.items() if len(places) > 1}
    for key, places in twice.items():
        record.say(f"RAN TWICE: key {key} took effect at {' and '.join(places)}")
    record.say(f"{len(effects)} keys took effect, {len(twice)} of them twice")
    return BROKEN if twice else HELD


async def load(record: Record, client: Client, seconds: float) -> None:
    rng, asked, how, number = random.Random(seconds), set[asyncio.Task[None]](), list[str](), 0

    async def ask(trace: str, is_view: bool) -> None:
        offering, left = ("account-view", 2000) if is_view else ("repayment-post", 1500)
        key = "" if is_view else f"k{trace}"
        record.note(f"sent {trace} {offering}")
        try:
            answer = await client.ask(query(offering, trace, left, b"" if is_view else b"amount=5", key), 3.0)
        except (TimeoutError, OSError, EOFError) as error:
            how.append("no answer")
            record.note(f"no answer {trace}: {error!r}")
            return
        how.append(str(answer.status))
        record.note(f"answered {trace} {answer.status}")

    end = time.monotonic() + seconds
    while time.monotonic() < end:
        number += 1
        task = asyncio.create_task(ask(f"{rng.getrandbits(48):012x}{number:06x}", rng.random() < 0.61))
        asked.add(task)
        task.add_done_callback(asked.discard)
        await asyncio.sleep(rng.expovariate(RATE))
    await asyncio.gather(*asked)
    record.say(f"{number} sent: {tally(how)}")


def main() -> int:
    record = Record(__file__)
    try:
        with temporary_folder() as folder:
            return asyncio.run(asyncio.wait_for(play(record, Path(folder)), 110))
    except (TimeoutError, CaseError, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
