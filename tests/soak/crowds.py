"""Most new connections come to one VM: the load, and the check of what its callers get."""

import asyncio

# Idle connections that are opened beside the calls, and calls a second on new connections.
HELD_CONNECTIONS, CALLS_PER_S = 120, 120
# Descriptors of each VM in seeds with crowds: fewer than all of these need.
DESCRIPTORS = 320
# Calls that the VM has read are served at least this much as often as those at the others, less some that fail by chance.
MIN_SHARE, MAX_BY_CHANCE = 0.75, 10


def has_crowd(seed):
    return seed % 5 == 4


class Crowd:
    """Calls on new connections to one VM, and when they came."""

    def __init__(self, host):
        self.host, self.begin, self.end, self.vm, self.calls, self.held = host, 0.0, 0.0, None, set(), []

    async def hold(self, port):
        """Opens connections that stay idle until the VM closes them."""
        for _ in range(HELD_CONNECTIONS):
            try:
                self.held.append(await asyncio.wait_for(asyncio.open_connection(f"{self.host}.{self.vm}", port), 0.5))
            except (OSError, asyncio.TimeoutError):
                pass

    def release(self):
        for _, writer in self.held:
            writer.close()
        self.held.clear()

    def violations(self, calls, vm_calls):
        """Compares the calls that the VM has read with those of the others at the same time."""
        if self.vm is None:
            return []
        read, others = [], []
        for call, observed in calls.items():
            vm, sent_at = vm_calls.get(call, (None, 0.0))
            if vm is None or not self.begin <= sent_at <= self.end or observed["status"] is None or observed.get("part"):
                continue
            (read if call in self.calls else others).append(observed["status"] in (200, 500))
        if not read or not others:
            return []
        bound = MIN_SHARE * sum(others) / len(others) * len(read) - MAX_BY_CHANCE
        if sum(read) >= bound:
            return []
        return [f"VM {self.vm} served {sum(read)} of {len(read)} calls that it read of a crowd, the others {sum(others)} of {len(others)}"]

    def summary(self, calls):
        if self.vm is None:
            return "no crowd"
        unread = sum(1 for call in self.calls if calls[call]["status"] is None)
        return f"crowd at VM {self.vm}: {len(self.calls)} calls, {unread} without an answer"
