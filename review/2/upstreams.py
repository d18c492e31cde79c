"""The upstreams of this case: sound servers that drop repeats by key within their zone, as the settings say.

A small share of the requests run and are then answered with 500, as on a day without trouble. `effects` holds
for each key where it took effect.
"""

import asyncio
import random
import time
from collections.abc import Callable

WINDOW_SECONDS = 1.0  # for which the servers of a zone drop a repeat


class Zone:
    """The servers of one zone share which keys they have seen."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.seen_at: dict[str, float] = {}

    def is_repeat(self, key: str) -> bool:
        now, then = time.monotonic(), self.seen_at.get(key)
        if then is not None and now - then < WINDOW_SECONDS:
            return True
        self.seen_at[key] = now
        return False


class Upstream:
    def __init__(
        self, name: str, zone: Zone, error_rate: float, effects: dict[str, list[str]],
        note: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.name, self.zone, self.error_rate, self.effects, self.note = name, zone, error_rate, effects, note
        self.random = random.Random(name)

    async def start(self, port: int) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")[1:]
                fields = {name.lower(): value.strip() for name, _, value in (s.partition(":") for s in lines)}
                await reader.readexactly(int(fields.get("content-length", "0")))
                await self.answer(writer, fields)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, writer: asyncio.StreamWriter, fields: dict[str, str]) -> None:
        await asyncio.sleep(self.random.uniform(0.002, 0.008))
        trace, key = fields.get("x-trace-id", ""), fields.get("idempotency-key", "")
        status = 500 if self.random.random() < self.error_rate else 200
        if key and not self.zone.is_repeat(key):
            self.effects.setdefault(key, []).append(f"{self.name} ({self.zone.name})")
            self.note(f"ran {trace} key {key} at {self.name} ({self.zone.name}), answered {status}")
        elif key:
            self.note(f"dropped as a repeat {trace} key {key} at {self.name} ({self.zone.name})")
        body = f"served {trace}\n".encode() if status == 200 else b"failed\n"
        writer.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
