"""Loopback addresses and ports for the processes that tests start."""

import itertools
import os
import socket

# Below the kernel's default range of ephemeral ports.
TARGET_PORT = 21_003
_ADDRESS_NUMBERS = itertools.count()


def unique_loopback_address() -> str:
    """Returns a loopback IP address that this process has not returned before.

    Other processes get other addresses, unless their IDs are equal modulo 1024;
    after 8000 calls, addresses repeat. The addresses are the source of no other
    connections, so a fixed port on them stays free, whereas a port that was
    just free on 127.0.0.1 can be taken by any outgoing connection.
    """
    pid, number = os.getpid(), next(_ADDRESS_NUMBERS)
    # Each process ID, modulo 1024, maps to 8000 addresses of its own, so that a
    # long test run repeats none.
    third_octet = 32 * ((pid >> 7) % 8) + (number // 250) % 32
    return f"127.{64 + pid % 128}.{third_octet}.{1 + number % 250}"


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port that the kernel reports as free.

    Another process may take the port before the caller binds it.
    """
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        return sock.getsockname()[1]
