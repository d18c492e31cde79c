"""The datagrams between sidecars: each knows the others, and all of them at once, by addresses of a relay."""

import asyncio
from typing import Any

Address = tuple[str, int]


class PeerRelay:
    """Carries datagrams between sidecars, each from the address that stands for its sender."""

    def __init__(self, sidecars: list[Address]) -> None:
        self.sidecars = sidecars
        self.transports: list[asyncio.DatagramTransport] = []

    async def start(self) -> tuple[list[Address], Address]:
        """Returns the address that stands for each sidecar, and the one for all."""
        loop = asyncio.get_running_loop()
        for to in [*range(len(self.sidecars)), None]:
            transport, _ = await loop.create_datagram_endpoint(
                lambda to=to: Receiver(self, to),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self.transports.append(transport)
        *each, everyone = [transport.get_extra_info("sockname") for transport in self.transports]
        return each, everyone

    def carry(self, data: bytes, sender: Address, to: int | None) -> None:
        if sender not in self.sidecars:
            return
        source = self.sidecars.index(sender)
        targets = range(len(self.sidecars)) if to is None else [to]
        for target in targets:
            if target != source:
                self.transports[source].sendto(data, self.sidecars[target])


class Receiver(asyncio.DatagramProtocol):
    def __init__(self, relay: PeerRelay, to: int | None) -> None:
        self.relay, self.to = relay, to

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.relay.carry(data, addr, self.to)
