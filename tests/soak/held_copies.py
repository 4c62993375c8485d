"""The memory that engines of the soak hold of generations, and which of the streams that were cut could have gone on.

As the protocol says: a copy lives at its destination until it is used, freed or its time is well exceeded; a source that
stopped keeps its memory under the same handle; a handle is used once; and a backup is named by its call.
"""

import typing

# A VM knows a handle, an upstream's end and its notice so long after they were sent.
KNOWN_AFTER_S = 0.3
# A VM may send a resumption to an upstream whose notice to leave is so new; other notices excuse it.
NEW_NOTICE_S = 0.3
# Ends so shortly before a limit count as that limit's.
LIMIT_MARGIN_S = 0.3
# A stopped run whose memory could be asked for so long without a break has to go on: VMs ask at least each 2 s.
MAX_WAIT_S, STEP_S = 3.0, 0.05
# A notice to leave is known to all VMs after this time; no run is stopped for a copy to a place that gave one.
MAX_NOTICE_DELAY_S = 3.0
NEVER = float("inf")


class Memory:
    """Memory of one call at one upstream, from `held_from` on."""

    def __init__(self, call, handle, source, at, held_from, expires_at):
        self.call, self.handle, self.source, self.at = call, handle, source, at
        self.held_from, self.expires_at, self.told_at, self.used_at = held_from, expires_at, NEVER, NEVER

    def is_held(self, now):
        return self.held_from <= now < min(self.expires_at, self.used_at, self.at.ended_at)

    def text(self):
        return (f"{self.handle} of {self.source.name} at {self.at.name}: held from {self.held_from:.2f} to {self.expires_at:.2f}, told {self.told_at:.2f}, "
                f"used {self.used_at:.2f}, leaves {self.at.notice_at:.2f}, ended {self.at.ended_at:.2f}")

    def could_be_asked(self, now):
        """Returns whether the VM was told of it, and its upstream may take the call's resumption."""
        is_told = self.told_at + KNOWN_AFTER_S <= now
        return is_told and self.is_held(now) and now < self.at.notice_at + NEW_NOTICE_S


class HeldCopies:
    """All memory of a seed's generations, also what is held no longer."""

    def __init__(self):
        self.of_call = {}

    def add(self, memory):
        self.of_call.setdefault(memory.call, []).append(memory)
        return memory

    def of(self, call):
        return self.of_call.get(call, [])

    def copy(self, call, source, at, now):
        """Returns the copy that a further order to copy to the same place adds to."""
        return next((each for each in self.of(call) if each.source is source and each.at is at and each.is_held(now)), None)

    def find(self, call, source_address, handle, at, now):
        """Returns what a resumption at an upstream asks for, if it is held there."""
        return next((each for each in self.of(call) if each.handle == handle and each.at is at and each.is_held(now)
                     and each.source.address == source_address), None)

    def use(self, call, handle, now):
        """A handle is used once, wherever its memory is; so is one that is freed."""
        for each in self.of(call):
            if each.handle == handle:
                each.used_at = min(each.used_at, now)

    def tell(self, call, handle, now):
        for each in self.of(call):
            if each.handle == handle:
                each.told_at = min(each.told_at, now)

    def to_ask(self, call, now):
        return [each for each in self.of(call) if each.could_be_asked(now)]


class CutStream(typing.NamedTuple):
    """A stream whose caller got a part, at the time when a VM cut it."""
    call: str
    at: float
    # End of the caller's time, and of its patience between events.
    deadline: float
    patience_until: float
    # When an order stopped its run, if one did, and what could have been asked.
    stopped_at: float | None
    to_ask: list
    # The longest time without a break in which it could have gone on since it was stopped.
    could_go_on_s: float = 0.0
    # For how long the place of its copy had been known to leave when its run was stopped.
    noticed_for_s: float = 0.0


def longest_span(is_so, begin, end):
    """Returns for how long something was so without a break."""
    longest, since = 0.0, None
    for step in range(int(max(0.0, end - begin) / STEP_S) + 1):
        now = begin + step * STEP_S
        since = (now if since is None else since) if is_so(now) else None
        longest = max(longest, 0.0 if since is None else now - since)
    return longest


def limit_of_caller(cut):
    """Returns which limit of the caller's was met, if one was."""
    if cut.at >= cut.deadline - LIMIT_MARGIN_S:
        return "its caller's time was over"
    if cut.at >= cut.patience_until - LIMIT_MARGIN_S:
        return "its caller's patience was over"
    return None


def excuse_of(cut):
    """Returns why a stream could not go on, or None if it could have."""
    limit = limit_of_caller(cut)
    if cut.stopped_at is None:
        return limit
    if cut.could_go_on_s > MAX_WAIT_S or cut.noticed_for_s > MAX_NOTICE_DELAY_S:
        return None
    if limit is not None:
        return f"{limit}, memory held" if cut.to_ask else limit
    return None if cut.to_ask else "nothing that was told was held"


def violation_of(cut):
    if excuse_of(cut) is not None:
        return None
    left = min(cut.deadline, cut.patience_until) - cut.at
    if cut.stopped_at is None:
        return f"LOST: {cut.call} was cut, though nothing had stopped its run and its caller had {left:.1f} s"
    reasons = [f"its caller had {left:.1f} s and its memory was held at {each.at.name} under {each.handle} of {each.source.name}"
               for each in cut.to_ask if limit_of_caller(cut) is None]
    if cut.could_go_on_s > MAX_WAIT_S:
        reasons.append(f"it could have gone on for {cut.could_go_on_s:.1f} s")
    if cut.noticed_for_s > MAX_NOTICE_DELAY_S:
        reasons.append(f"the place of its copy had said that it leaves {cut.noticed_for_s:.1f} s before the order")
    return f"LOST: {cut.call} was stopped by an order and cut {cut.at - cut.stopped_at:.2f} s later, though {', and '.join(reasons)}"
