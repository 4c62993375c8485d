"""What upstreams of the soak do that sound ones don't: they work on when a channel closes, cut streams, and send answers that
nobody asked for, twice, late, or not at all. Drawn apart from all else, so that a seed's other faults stay as they were.
"""

import asyncio
import random

from path_filter import reset

# Shares of streams that are cut, of whole answers after which an unasked one comes, of refusals that come twice, and of
# orders whose answer is late or cut. A cut stream's upstream works on in WORKING_ON_SHARE of all upstreams.
CUT_SHARE, UNASKED_SHARE, TWICE_SHARE, ORDER_SHARE, WORKING_ON_SHARE = 0.08, 0.04, 0.1, 0.2, 0.5
MAX_UNASKED_DELAY_S, MAX_ORDER_DELAY_S = 0.2, 1.5
# What comes on a channel at rest and names no call.
UNASKED = (
    b"HTTP/1.1 503 Text\r\nPlumdale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 408 Text\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 429 Text\r\nPlumdale-Not-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 400 Text\r\nPlumdale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")


class Unkindness:
    """Draws for one upstream; a kind one works on never and sends what it was asked for, once."""

    def __init__(self, seed, is_kind=False):
        self.random = random.Random(f"unkind {seed}")
        self.is_kind = is_kind
        self.works_on = not is_kind and self.random.random() < WORKING_ON_SHARE
        self.counts = {"cut": 0, "unasked": 0, "twice": 0, "orders": 0}

    def draws(self, share, what):
        is_drawn = not self.is_kind and self.random.random() < share
        self.counts[what] += 1 if is_drawn else 0
        return is_drawn

    def cut_after(self, first, length):
        """Returns the event after which a stream is cut, or None."""
        return self.random.randint(first, length) if self.draws(CUT_SHARE, "cut") and first < length else None

    def cut(self, writer, closes):
        """Ends a stream's channel: reset, in the middle of a chunk, or in order after a whole event. Without a length the last
        would be a whole answer."""
        how = self.random.choice(("reset", "torn") if closes else ("reset", "torn", "ended"))
        if how == "torn":
            writer.write(b"id: 9" if closes else b"40\r\nid: 9")
        if how == "ended" or (how == "torn" and not closes):
            return writer.close()
        reset(writer)

    def follow(self, writer):
        """After a whole answer: sometimes an unasked one, on a channel that may be kept."""
        if self.draws(UNASKED_SHARE, "unasked"):
            delay = self.random.choice((0.0, self.random.uniform(0, MAX_UNASKED_DELAY_S)))
            asyncio.get_running_loop().call_later(delay, self.write, writer, self.random.choice(UNASKED))

    def repeat(self, writer, refusal):
        """A refusal, sometimes a second time."""
        writer.write(refusal)
        if self.draws(TWICE_SHARE, "twice"):
            delay = self.random.uniform(0, MAX_UNASKED_DELAY_S)
            asyncio.get_running_loop().call_later(delay, self.write, writer, refusal)

    async def delay_order(self, writer):
        """Returns whether the answer to an order that was carried out reaches its sender; it may be late."""
        if not self.draws(ORDER_SHARE, "orders"):
            return True
        if self.random.random() < 0.5:
            reset(writer)
            return False
        await asyncio.sleep(self.random.uniform(0, MAX_ORDER_DELAY_S))
        return True

    @staticmethod
    def write(writer, data):
        if not writer.is_closing():
            writer.write(data)
