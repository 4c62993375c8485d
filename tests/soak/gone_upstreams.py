"""Counts tries of calls at upstreams that are gone while the store still lists them, from the VMs' decision lines."""

import collections
import json
import time
import typing

# A finding of one VM has reached the others after this time; only later tries can be saved by sharing it.
SHARED_MS = 500
# With shared findings, fewer than this part of the tries without them may end at upstreams that are gone.
MAX_TRIES_RATIO = 0.2


class Try(typing.NamedTuple):
    time_ms: int
    vm: str
    upstream: str
    # Whether another upstream could have been chosen.
    had_choice: bool


def decision_lines(log):
    """Yields the lines of a VM's log; a VM that is killed may leave one that is cut off."""
    for text in log.read_text(errors="replace").splitlines():
        if text.startswith('{"time_ms"'):
            try:
                yield json.loads(text)
            except ValueError:
                continue


class GoneUpstreams:
    def __init__(self):
        self.gone_at = {}

    def add(self, name):
        self.gone_at[name] = 1000 * time.time()

    def tries(self, folder):
        """Returns the tries of calls that could not reach a gone upstream, in order."""
        lines = (line for log in folder.glob("vm-*.log") for line in decision_lines(log))
        return sorted(Try(line["time_ms"], line["node"], line["upstream"], line["looked_at"] > 1) for line in lines
                      if line["decision"] == "upstream passed over" and line["why"] == "unreachable"
                      and line["time_ms"] >= self.gone_at.get(line["upstream"], float("inf")))

    def summary(self, tries):
        by_vm = collections.Counter(each.vm for each in tries)
        text = ", ".join(f"{vm} {by_vm[vm]}" for vm in sorted(by_vm)) or "none"
        without_choice = sum(1 for each in tries if not each.had_choice)
        return (f"tries at {len(self.gone_at)} upstreams that were gone: {len(tries)} ({text}), {without_choice} of them "
                f"without another to choose, {len(avoidable(tries))} avoidable")


def avoidable(tries):
    """Returns the tries with a choice at upstreams that some VM had found gone so long before that all could know it."""
    first = {}
    return [each for each in tries if each.time_ms > first.setdefault(each.upstream, each.time_ms) + SHARED_MS and each.had_choice]


def comparison_violations(without, shared):
    """Returns the violation if sharing findings saves too few of the avoidable tries."""
    if len(shared) < MAX_TRIES_RATIO * len(without):
        return []
    return [f"{len(shared)} avoidable tries at gone upstreams with shared_suspicions, {len(without)} without"]
