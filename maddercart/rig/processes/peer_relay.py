"""Relays the datagrams between sidecars.

The relay has one address for each sidecar and one for the whole group; these are the peer addresses in the
sidecars' configurations.
"""

import asyncio
from typing import Any

from maddercart.rig.processes.loopback import ANY_PORT, Address, soak_host


class PeerRelay:
    """Forwards datagrams between sidecars, each from the relay address of its sender."""

    def __init__(self, sidecar_addresses: list[Address]) -> None:
        self.sidecar_addresses = sidecar_addresses
        self.transports: list[asyncio.DatagramTransport] = []  # one for each sidecar, then the group's

    async def start(self) -> tuple[list[Address], Address]:
        """Returns the relay addresses of the sidecars, in their order, and the group address."""
        loop = asyncio.get_running_loop()
        for target in [*range(len(self.sidecar_addresses)), None]:
            transport, _ = await loop.create_datagram_endpoint(
                lambda target=target: RelayProtocol(self, target),  # type: ignore[misc]
                local_addr=(soak_host(), ANY_PORT),
            )
            self.transports.append(transport)
        *peer_addresses, group_address = [
            transport.get_extra_info("sockname") for transport in self.transports
        ]
        return peer_addresses, group_address

    def forward(self, data: bytes, sender: Address, target: int | None) -> None:
        """Sends a datagram on to the sidecar with the index `target`; None: to all but the sender."""
        if sender not in self.sidecar_addresses:
            return
        source = self.sidecar_addresses.index(sender)
        indices = range(len(self.sidecar_addresses)) if target is None else [target]
        for index in indices:
            if index != source:
                self.transports[source].sendto(data, self.sidecar_addresses[index])


class RelayProtocol(asyncio.DatagramProtocol):
    """Receives on one relay address; `target` is the index of its sidecar, None for the group address."""

    def __init__(self, relay: PeerRelay, target: int | None) -> None:
        self.relay, self.target = relay, target

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.relay.forward(data, addr, self.target)
