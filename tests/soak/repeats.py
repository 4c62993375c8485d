"""Checks the fleet's retry limit at the upstreams, while they run, and ends all VMs at once in series."""

import asyncio
import bisect
import collections

# The limit that all VMs have together: in any window, arrivals of a service beyond the first of each request are at most
# a ratio of its requests and a slack.
WINDOW_S = 4.0


def has_kills_in_series(seed):
    """Returns whether all VMs are killed together, some times within a window, while upstreams refuse much."""
    return seed % 4 == 0


def has_reclaims_in_series(seed):
    """Returns whether engines are reclaimed one after the other while they refuse most resumptions."""
    return seed % 4 == 2


def limit_of(seed):
    """Returns ratio and slack. In a series they are so low that repeats which nothing pays for exceed them."""
    return (0.05, 3) if has_kills_in_series(seed) or has_reclaims_in_series(seed) else (0.2, 10)


def count_between(times, begin, end):
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)


class RepeatCheck:
    """Counts arrivals by request, whatever a VM sent them for, and checks each window at each arrival beyond a first."""

    def __init__(self, ratio, slack):
        self.ratio, self.slack = ratio, slack
        self.requests, self.repeats = collections.defaultdict(list), collections.defaultdict(list)
        # Service of each request that a caller sent, and the requests of which one has arrived.
        self.services, self.arrived_once = {}, set()
        self.violations = []

    def requested(self, call, service):
        """A caller sends a request on a route to the service."""
        self.services[call] = service
        self.requests[service].append(asyncio.get_running_loop().time())

    def arrived(self, call):
        """A request reaches an upstream, which may reject it."""
        service = self.services.get(call)
        if service is None:
            return
        if call not in self.arrived_once:
            return self.arrived_once.add(call)
        now = asyncio.get_running_loop().time()
        self.repeats[service].append(now)
        self.check(call, service, now - WINDOW_S)

    def allowed(self, service, begin):
        requests = self.requests[service]
        spans = (begin, begin - WINDOW_S, begin - WINDOW_S / 2)
        return self.ratio * max(count_between(requests, each, each + WINDOW_S) for each in spans) + self.slack

    def check(self, call, service, begin):
        found = count_between(self.repeats[service], begin, begin + WINDOW_S)
        if found > self.allowed(service, begin):
            self.violations.append(f"{call}: {found} arrivals of {service} beyond the first of each request in {WINDOW_S:g} s, {self.allowed(service, begin):.0f} allowed")

    def summary(self):
        """Returns the number of repeats of each service, and the largest share of its limit that was used in a window."""
        texts = []
        for service, repeats in sorted(self.repeats.items()):
            used = max(count_between(repeats, each - WINDOW_S, each) / self.allowed(service, each - WINDOW_S) for each in repeats)
            texts.append(f"{len(repeats)} repeats of {service}, {100 * used:.0f}% of the limit at most")
        return "; ".join(texts) or "no repeats"

    def end(self):
        """Checks the windows that begin with a repeat, once all have passed, and returns the violations."""
        for service, repeats in self.repeats.items():
            for begin in repeats:
                self.check("a window", service, begin)
        return self.violations
