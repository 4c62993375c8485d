"""Parts of prompts that crash the upstreams that answer them, and the checks of what VMs do about them."""

import asyncio

# Requests with a crashing part that may reach upstreams: so many before all VMs have to know the part, and after that,
# from PROPAGATION_S later, so many more. Arrivals from a VM that was disturbed within that time do not count.
MAX_CRASHES, MAX_LATE_REQUESTS, PROPAGATION_S = 5, 3, 3.0
# Twice the contact time after the fifth crash, or the last if there are fewer, sound requests begin at least this much as
# often as before the first; only with so many of each are they compared.
MIN_SOUND_SHARE, MIN_SOUND_REQUESTS = 0.5, 20
# First parts and sessions of sound prompts.
FIRST_PART, SESSIONS = "a1", 12


def prompt_of(random, call):
    """Returns the parts of a sound prompt, whose first one crashing prompts have too."""
    return f"{FIRST_PART}:79,{0xd000 + random.randrange(SESSIONS):x}:300,{abs(hash(call)):x}:900"


def crashing_prompt(random, part, call):
    """Returns the parts of a prompt with a crashing part in the middle, or as its first."""
    crashing = f"{part}:500,{0xd000 + random.randrange(SESSIONS):x}:300,{abs(hash(call)):x}:900"
    return crashing if random.random() < 0.2 else f"{FIRST_PART}:79,{crashing}"


class CrashingParts:
    """The parts that crash upstreams in one seed, and the requests with them that reached upstreams."""

    def __init__(self):
        self.parts, self.arrivals, self.reported, self.refused = [], {}, set(), ""

    def find(self, prompt):
        """Returns the crashing part of a prompt, or None; the last part is the request's own."""
        names = [entry.split(":")[0] for entry in prompt.split(",")[:-1]]
        return next((name for name in names if name in self.parts), None)

    def arrived(self, part, is_excused):
        """Records a request with the part; returns the violations that it means."""
        now = asyncio.get_running_loop().time()
        times = self.arrivals.setdefault(part, [])
        times.append((now, is_excused))
        if len(times) <= MAX_CRASHES:
            return []
        known_at = times[MAX_CRASHES - 1][0] + PROPAGATION_S
        late = [at for at, excused in times if at > known_at and not excused]
        if len(late) <= MAX_LATE_REQUESTS or part in self.reported:
            return []
        self.reported.add(part)
        return [f"part {part}: {len(late)} requests reached upstreams later than {PROPAGATION_S} s after its fifth crash"]

    def summary(self):
        counts = ", ".join(str(len(times)) for times in self.arrivals.values())
        return f"requests with crashing parts that reached upstreams: {counts or 'none'}, {self.refused}"

    def wrong_refusals(self, calls, vm_calls, contact_s):
        """Compares how many sound drafts were refused as quarantined before the first crash and after the parts are known."""
        times = [at for arrivals in self.arrivals.values() for at, _ in arrivals]
        if not times:
            return []
        known_at = max(arrivals[: MAX_CRASHES][-1][0] for arrivals in self.arrivals.values()) + 2 * contact_s
        sound = [(vm_calls[call][1], observed) for call, observed in calls.items()
                 if observed["kind"] == "draft" and observed["part"] is False and observed["status"] is not None and call in vm_calls]
        sent = [observed for at, observed in sound if at > known_at]
        refused = [observed for observed in sent if observed["status"] == 503 and b'"quarantined"' in observed["body"]]
        self.refused = f"{len(refused)} of {len(sent)} sound drafts refused after that"
        if len(sent) < MIN_SOUND_REQUESTS or len(refused) <= (1 - MIN_SOUND_SHARE) * len(sent):
            return []
        return [f"{len(refused)} of {len(sent)} sound drafts were refused for parts that crash upstreams"]
