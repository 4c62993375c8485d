"""A caller's channel that is read slowly."""

import asyncio
import socket

# A caller with a small window and packets of an ordinary network; else the system holds a whole answer for it.
WINDOW_BYTES, SEGMENT_BYTES = 16_384, 1_448


class Channel:
    """A kept channel of a caller that reads `bytes_per_s`."""

    def __init__(self, address, bytes_per_s=1e6):
        self.address, self.bytes_per_s, self.socket, self.rest = address, bytes_per_s, None, b""

    async def open(self):
        self.close()
        self.socket, self.rest = socket.socket(), b""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self.socket, self.address)

    def close(self):
        if self.socket is not None:
            self.socket.close()
        self.socket = None

    def is_ended(self):
        """Returns whether the VM has closed the channel, as a caller sees before it sends a call."""
        try:
            return self.socket is None or self.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def take(self, size):
        """Returns `size` bytes; raises EOFError if the channel ends before."""
        while len(self.rest) < size:
            await self.fill()
        taken, self.rest = self.rest[:size], self.rest[size:]
        return taken

    async def take_line(self, end):
        while end not in self.rest:
            await self.fill()
        taken, _, self.rest = self.rest.partition(end)
        return taken

    async def fill(self):
        try:
            part = await asyncio.get_running_loop().sock_recv(self.socket, 16_384)
        except ConnectionError as error:
            raise EOFError from error
        if not part:
            raise EOFError
        self.rest += part
        await asyncio.sleep(len(part) / self.bytes_per_s)
