"""Cuts the paths between VMs and the upstreams of a soak: packets are dropped where they arrive, by a socket filter.

A filter on a listening socket drops the first packets of new connections, and one on an open connection all that arrives
on it. VMs are told apart by their addresses.
"""

import ctypes
import socket
import struct

SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
# Instructions of classic BPF: load a word, compare it, return.
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
# The source address in the network header.
SOURCE_ADDRESS = (0x100000000 - 0x100000) + 12
KEEP, DROP = 0xFFFFFFFF, 0


def instruction(code, if_true, if_false, value):
    return struct.pack("HBBI", code, if_true, if_false, value)


def program_that_drops(addresses):
    code = [instruction(LOAD_WORD, 0, 0, SOURCE_ADDRESS)]
    for index, address in enumerate(addresses):
        value = struct.unpack(">I", socket.inet_aton(address))[0]
        code.append(instruction(JUMP_IF_EQUAL, len(addresses) - index, 0, value))
    return [*code, instruction(RETURN, 0, 0, KEEP), instruction(RETURN, 0, 0, DROP)]


def reset(writer):
    """Ends a connection with a reset: closing it would look like the end of an answer without a length."""
    if (sock := writer.get_extra_info("socket")) is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def attach(sock, addresses):
    code = program_that_drops(addresses)
    buffer = ctypes.create_string_buffer(b"".join(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HL", len(code), ctypes.addressof(buffer)))


def detach(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
    except OSError:
        pass  # It has none, or is closed.


class PathFilter:
    """Cuts VMs from all upstreams at once."""

    def __init__(self, host):
        self.host, self.listeners, self.connections = host, [], []
        self.cut_addresses = []

    def add_listener(self, sock):
        self.listeners.append(sock)
        if self.cut_addresses:
            attach(sock, self.cut_addresses)

    def accepted(self, writer):
        self.connections.append(writer)

    def cut(self, vms, how):
        """`silent`: open connections hang; `reset`: they end; `new`: they live on. New ones get no answer."""
        self.cut_addresses = [f"{self.host}.{vm}" for vm in vms]
        for sock in self.listeners:
            if sock.fileno() >= 0:
                attach(sock, self.cut_addresses)
        for writer in self.connections:
            peer = writer.get_extra_info("peername")
            if writer.is_closing() or peer[0] not in self.cut_addresses:
                continue
            if how == "reset":
                reset(writer)
            elif how == "silent":
                attach(writer.get_extra_info("socket"), self.cut_addresses)

    def restore(self):
        self.cut_addresses = []
        for sock in [*self.listeners, *(writer.get_extra_info("socket") for writer in self.connections)]:
            if sock is not None and sock.fileno() >= 0:
                detach(sock)
