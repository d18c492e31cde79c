"""Creation of descriptors. The rig replaces it with a simulated network and clock."""

import select
import socket


class SystemCalls:
    def epoll(self) -> select.epoll:
        return select.epoll()

    def tcp(self) -> socket.socket:
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    def udp(self) -> socket.socket:
        return socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)


SYSTEM_CALLS = SystemCalls()
