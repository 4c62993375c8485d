"""Stand-ins of the users' platform for the soak: a readable key-value store and upstreams that run calls.

The upstreams record the calls that they ran; the soak checks the promises against this record.
"""

import asyncio
import base64
import collections
import itertools
import json
import random

from path_filter import reset
from prompt_parts import CrashingParts
from unkind import Unkindness

SEAL = "Plumdale-Response-Seal"
# Rule of the users: after a generation resumes elsewhere, its former upstream may work on it for at most this long,
# because a connection reset takes time to arrive.
MAX_OVERLAP_S = 0.4
# An evacuation order must be in force within this time at every VM that receives updates: the objective of 1 s,
# doubled because other work shares the machine.
MAX_EVACUATION_DELAY_S = 2.0
# A request with this body ends each upstream that runs it. PROPAGATION_S after the third end, when all VMs have been
# informed, the request may reach at most MAX_LATE_SENDS more upstreams. Arrivals do not count until PROPAGATION_S after
# a VM was ended or paused, because that VM may not have been informed.
ENDING_BODY = b"ends its upstream"
PROPAGATION_S, MAX_ENDS, MAX_LATE_SENDS = 3.0, 3, 3
# An upstream that announces a limit in requests per second may receive at most LIMIT_FACTOR times as many, plus
# LIMIT_SLACK requests, in a window of LIMIT_WINDOW_S seconds.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5
# A call that its caller sent later than MAX_DRAIN_S after a VM passed on an answer in which an upstream said that it
# leaves may not reach that upstream from that VM.
MAX_DRAIN_S = 2.0
# From BACKOFF_DELAY_S after a refusal with Retry-After to the end of that time, a VM may send MAX_BACKOFF_REQUESTS.
BACKOFF_DELAY_S, MAX_BACKOFF_REQUESTS = 0.5, 2
CONFIGURATION = {
    "routes": [
        {"name": "fetch", "host": "soak", "prefix": "/fetch/", "routeType": "idempotent", "timeoutMs": 4000,
         "targetLatencyMs": 200, "maxAttempts": 2, "service": "plain"},
        {"name": "event", "host": "soak", "prefix": "/event/", "routeType": "non_idempotent", "timeoutMs": 4000,
         "targetLatencyMs": 200, "maxAttempts": 1, "service": "plain"},
        {"name": "draft", "host": "soak", "prefix": "/draft/", "routeType": "streaming", "timeoutMs": 20000,
         "targetLatencyMs": 1500, "targetGapMs": 180, "maxAttempts": 1, "service": "engine"}],
    "services": [{"name": "plain", "maxConnections": 200},
                 {"name": "engine", "maxConnections": 200, "inferenceEngine": {
                     "slots": 24, "kvCapacityTokens": 34288, "kvBytes": 131072, "linkMbps": 19000.0,
                     "migrations": True, "backups": True, "stride": 4, "handleTtlS": 5.0},
                  "coldPerS": 35, "coldStartS": 1.0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "customer", "apiKeys": ["key"]}]}
# What load parts are for: calls with little time, and streams that can let others of their service pass.
LOAD_ROUTES = [
    {**CONFIGURATION["routes"][0], "name": "brief-fetch", "prefix": "/fetch/load/", "timeoutMs": 1000},
    {**CONFIGURATION["routes"][2], "name": "patient-draft", "prefix": "/draft/load/", "targetLatencyMs": 4000, "priority": 2}]


async def read_message(reader):
    """Returns (start line, headers in lower case, body) of one HTTP message with a length, or None when the connection
    ended."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {n.lower(): v.strip() for n, v in (line.split(":", 1) for line in head[1:] if ":" in line)}
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def closed_response(status, body, fields):
    """Returns an answer without a length, which ends with its connection."""
    lines = [f"HTTP/1.1 {status} Text", "Connection: close", *(f"{n}: {v}" for n, v in fields)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def http_response(status, body=b"", fields=()):
    lines = [f"HTTP/1.1 {status} Text", f"Content-Length: {len(body)}", *(f"{n}: {v}" for n, v in fields)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# Result of a watch that asks for revisions that the store does not have; answered with 410.
GONE = {}


class Store:
    """Key-value store with revisions, ranges and watches. It answers 503 while `down`; a snapshot can be restored."""

    def __init__(self):
        self.items, self.revision, self.log, self.changed, self.down = {}, 0, [], asyncio.Event(), False
        self.era, self.values = 1, {}

    def snapshot(self):
        return dict(self.items), self.revision, list(self.log)

    def restore(self, snapshot):
        """Discards all writes since the snapshot; their revisions are assigned again."""
        self.items, self.revision, self.log = dict(snapshot[0]), snapshot[1], list(snapshot[2])
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.values[key] = value
        self.revision += 1
        item = {"key": key, "revision": self.revision, "createdRev": 1, "leaseId": 0}
        if value is None:
            self.items.pop(key, None)
            item["deleted"] = True
        else:
            item["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            self.items[key] = item
        self.log.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def page(self, target):
        path, _, query = target.partition("?")
        parameters = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        name = next(iter(parameters.values()), "").replace("%2F", "/")
        if path.endswith("kv-key"):
            return {**self.items[name], "atRev": self.revision} if name in self.items else None
        if path.endswith("kv-range"):
            found = [item for key, item in self.items.items() if key.startswith(name)]
            return {"items": found, "hasMore": False, "atRev": self.revision}
        after, era = int(parameters["afterRev"]), self.era
        if after > self.revision:
            return GONE
        if not [item for item in self.log if item["revision"] > after]:
            try:
                await asyncio.wait_for(self.changed.wait(), int(parameters["maxWaitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if era != self.era:
            return GONE
        return {"events": [i for i in self.log if i["revision"] > after], "atRev": self.revision}

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            page = None if self.down else await self.page(message[0].split(" ")[1])
            status = 503 if self.down else 404 if page is None else 410 if page is GONE else 200
            writer.write(http_response(status, json.dumps(page).encode(), [("Store-Era", str(self.era))]))
        writer.close()


def event_of(index, length):
    """Returns an event of a generation as it stands in an answer without chunks."""
    return f"id: {index}\ndata: {index} of {length}\n\n".encode()


def stream_violations(call, length, observed):
    """A complete stream has each event of its run once and in order; a part of one begins so."""
    events, body = b"".join(event_of(index, length) for index in range(1, length + 1)), observed["body"]
    if observed["whole"] and body != events:
        told = f"complete after event {body.count(b'id: ')} of {length}" if events.startswith(body) else "a complete stream"
        return [f"{call}: {told} with missing, duplicate or reordered events"]
    return [] if events.startswith(body) else [f"{call}: events that do not belong to the generation"]


class Run:
    """One generation: its attempts and the number of generated events.

    `active_upstreams` maps each attempt that still runs to its upstream. An upstream may have
    two of them, started one after the other.
    """

    def __init__(self, length):
        self.length, self.generated, self.active_upstreams, self.start_count = length, 0, {}, 1
        # Attempts that their upstream has stopped for a last copy.
        self.stopped = set()
        # Address of the upstream that holds a backup, and its start time when the backup was requested.
        self.backup = None


class Record:
    """The calls that all upstreams ran, and the violations of promises that the upstreams detected."""

    def __init__(self, repeats):
        self.runs, self.plain_runs, self.refused_after, self.violations = {}, {}, set(), []
        self.copies, self.handles = {}, itertools.count(1)
        # Parts of prompts that crash upstreams, and calls with a whole answer that ended with its connection.
        self.crashing, self.closed_answers = CrashingParts(), set()
        # Arrivals of requests, against the limit that all VMs have together.
        self.repeats = repeats
        # Shares of requests and of resumptions that upstreams refuse without running them.
        self.shed_share, self.shed_resumptions = 0.0, 0.0
        # Start time of the upstream at each address; a restart loses the memory that was held there.
        self.upstream_starts = {}
        # Time of each zone's evacuation order, number of active faults that keep VMs from receiving the order, and the
        # time when the last such fault ended.
        self.evacuated_at, self.active_delivery_faults, self.last_delivery_fault_end = {}, 0, 0.0
        # Arrival times of the ending request, number of arrivals later than is allowed, and the time when the last fault
        # of a VM ends.
        self.end_times, self.late_sends, self.vm_fault_until = [], 0, 0.0
        # VM at the other end of each connection to an upstream, the VMs that sent each call to one, and brittle upstreams
        # that ended of too many refusals.
        self.senders, self.call_senders, self.falls = {}, collections.defaultdict(set), 0
        # VM and time of sending of each call, upstreams that answered calls while they said that they leave, and the
        # time of each VM's last restart or pause.
        self.vm_calls, self.leaving_answers, self.vm_disturbed_at = {}, {}, {}

    def note_ending_request(self):
        """Records that another upstream received the ending request, and checks the bound on late arrivals."""
        now = asyncio.get_running_loop().time()
        is_late = len(self.end_times) >= MAX_ENDS and now > self.end_times[MAX_ENDS - 1] + PROPAGATION_S
        if is_late and now > self.vm_fault_until + PROPAGATION_S:
            self.late_sends += 1
        if self.late_sends == MAX_LATE_SENDS + 1:
            self.violations.append(f"a request under which {len(self.end_times)} upstreams ended was sent to more upstreams")
        self.end_times.append(now)


class StatementCheck:
    """Checks, for one upstream, that each VM does what the upstream stated in its answers to that VM.

    Requests are told apart by their calls: `vm_calls` has the VM and the time of sending of each call.
    """

    def __init__(self, record):
        self.record = record
        # Time at which each VM first passed on that the upstream leaves, and back-offs of each VM:
        # (refused at, end, requests since).
        self.leaving_known_at, self.backoffs = {}, {}

    def passed_on_leaving(self, vm):
        """A VM that has been disturbed since may have forgotten it, and knows it again from now on."""
        known_at, disturbed_at = self.leaving_known_at.get(vm), self.record.vm_disturbed_at.get(vm, 0.0)
        if known_at is None or known_at <= disturbed_at:
            self.leaving_known_at[vm] = asyncio.get_running_loop().time()

    def refused(self, vm, retry_after):
        now = asyncio.get_running_loop().time()
        self.backoffs.setdefault(vm, []).append([now, now + retry_after, 0])

    def arrived(self, call, vm, name, unreachable_until):
        """Returns the violations that the arrival of a request of a call from a VM means."""
        if call not in self.record.vm_calls:
            return []
        _, sent_at = self.record.vm_calls[call]
        now, disturbed_at = asyncio.get_running_loop().time(), self.record.vm_disturbed_at.get(vm, 0.0)
        violations = []
        known_at = self.leaving_known_at.get(vm)
        if known_at is not None and disturbed_at < known_at and sent_at > known_at + MAX_DRAIN_S:
            violations.append(f"{call}: VM {vm} sent it to {name}, {sent_at - known_at:.1f} s after it passed on that {name} leaves")
        for backoff in self.backoffs.get(vm, []):
            refused_at, end, _ = backoff
            if refused_at + BACKOFF_DELAY_S < now < end and max(disturbed_at, unreachable_until) < refused_at:
                backoff[2] += 1
                if backoff[2] == MAX_BACKOFF_REQUESTS + 1:
                    violations.append(f"{call}: VM {vm} sent {backoff[2]} requests to {name} in a back-off of {end - refused_at:.1f} s")
        return violations


class Upstream:
    """Runs calls and records them. The soak announces that it leaves; `crash` cuts all its streams, `restart` starts a
    new incarnation under the same name."""

    def __init__(self, name, record, seed, zone):
        self.zone = zone
        self.born, self.address, self.stale_writers = 1_784_177_000_000, None, set()
        self.name, self.record, self.random = name, record, random.Random(seed)
        self.shed_random, self.unkindness = random.Random(f"shed {seed}"), Unkindness(seed, is_kind=True)
        self.writers, self.alive, self.unreachable_until, self.leaves_at = set(), True, 0.0, None
        self.on_end = self.crash
        # The upstream says in its answers that it leaves; until when it refuses calls, and for how long VMs shall back off.
        self.says_leaving, self.refuses_until, self.retry_after = False, 0.0, 0.0
        self.statements = StatementCheck(record)
        # Announced limit in requests per second, time of the announcement, and arrival times since then.
        self.limit, self.limited_since, self.arrivals = None, 0.0, collections.deque()
        # Refusals per second that it bears while it is brittle, room for calls then, calls that run, and its refusals.
        self.brittle, self.room, self.running, self.refusals = None, None, 0, collections.deque()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.alive and (message := await read_message(reader)):
                await self.handle(message, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        self.alive = False
        for writer in list(self.writers):
            reset(writer)

    def refuse_for_room(self):
        """Counts a refusal for want of room; a brittle upstream ends of too many within a second."""
        now = asyncio.get_running_loop().time()
        self.refusals.append(now)
        while self.refusals[0] < now - 1.0:
            self.refusals.popleft()
        if self.brittle is not None and len(self.refusals) > self.brittle and self.alive:
            self.record.falls += 1
            self.on_end()

    def announce_limit(self, per_second):
        self.limit, self.limited_since = per_second, asyncio.get_running_loop().time()

    def check_request_rate(self, call):
        """Checks the announced limit. Requests count once all VMs had time to receive it,
        except after a fault that delays requests."""
        now = asyncio.get_running_loop().time()
        is_excused = now < max(self.limited_since, self.record.vm_fault_until) + PROPAGATION_S or now < self.unreachable_until + LIMIT_WINDOW_S
        if self.limit is None or is_excused:
            return self.arrivals.clear()
        self.arrivals.append(now)
        while self.arrivals[0] < now - LIMIT_WINDOW_S:
            self.arrivals.popleft()
        if len(self.arrivals) > LIMIT_FACTOR * LIMIT_WINDOW_S * self.limit + LIMIT_SLACK:
            self.record.violations.append(f"{call}: {self.name} has a limit of {self.limit} requests/s and received {len(self.arrivals)} in {LIMIT_WINDOW_S} s")

    def restart(self, silent):
        """Starts a new incarnation without the former state. Connections are reset, or silent as after a power loss."""
        self.born += 1000
        self.leaves_at, self.says_leaving, self.refuses_until = None, False, 0.0
        self.statements = StatementCheck(self.record)
        self.record.upstream_starts[self.address] = self.born
        for writer in list(self.writers):
            self.stale_writers.add(writer)
            if not silent:
                reset(writer)

    async def handle(self, message, writer):
        if writer in self.stale_writers:
            return
        start, headers, body = message
        method, target, _ = start.split(" ")
        vm = self.record.senders.get(writer.get_extra_info("peername"))
        leaving_fields = [("Server-Leaving", "1")] if self.says_leaving else []
        expected = headers.get("plumdale-expect-instance")
        if target.startswith("/v1/") and expected not in (None, self.name):
            return writer.write(http_response(421, b"", [*leaving_fields, ("Plumdale-Not-Executed", "1")]))
        if target.startswith("/v1/kv-move"):
            return await self.move(json.loads(body), writer, leaving_fields, vm)
        if target.startswith("/v1/report"):
            return writer.write(http_response(200, json.dumps(self.report()).encode(), leaving_fields))
        if target.startswith("/v1/"):
            released_call = self.record.copies.get(target.rsplit("/", 1)[1])
            self.record.violations += self.statements.arrived(released_call, vm, self.name, self.unreachable_until)
            return writer.write(http_response(200, b"{}", leaving_fields))
        call = headers.get("plumdale-request-id", "")
        fields = [("Plumdale-Request-Id", call), *leaving_fields]
        if self.brittle is not None:
            fields.append(("Server-Brittle", str(self.brittle)))
        self.record.repeats.arrived(call)
        self.record.call_senders[call].add(vm)
        self.check_request_rate(call)
        self.record.violations += self.statements.arrived(call, vm, self.name, self.unreachable_until)
        if self.limit is not None:
            fields.append(("Server-Limit", f"{self.limit:.1f}"))
        if expected != self.name:
            return writer.write(http_response(421, b"", [*fields, ("Plumdale-Not-Executed", "1")]))
        self.check_evacuation(call)
        if self.says_leaving:
            self.record.leaving_answers[call] = self
        if self.is_refusing():
            self.statements.refused(vm, self.retry_after)
            return self.unkindness.repeat(writer, http_response(503, b"", [*fields, ("Plumdale-Not-Executed", "1"), ("Retry-After", f"{self.retry_after:g}")]))
        if "plumdale-key" in headers or headers.get("plumdale-tenant") != "customer":
            self.record.violations.append(f"{call}: the API key was forwarded, or the customer is wrong")
        if body == ENDING_BODY:
            if "kv-from" not in headers:
                self.record.plain_runs[call] = self.record.plain_runs.get(call, 0) + 1
            return await self.end_during_request(target, writer, fields)
        if part := self.record.crashing.find(headers.get("plumdale-prompt-prefix", "")):
            return await self.crash_of_part(part, call, headers, vm, target, writer, fields)
        shed_share = self.record.shed_resumptions if "kv-from" in headers else self.record.shed_share
        if shed_share > self.shed_random.random():
            return writer.write(http_response(503, b"", [*fields, ("Plumdale-Not-Executed", "1")]))
        if target.startswith("/draft/"):
            return await self.generate(call, headers, writer, fields)
        if self.random.random() < 0.03:
            return self.unkindness.repeat(writer, http_response(503, b"", [*fields, ("Plumdale-Not-Executed", "1")]))
        if self.room is not None and self.running >= self.room:
            self.refuse_for_room()
            return writer.write(http_response(503, b"", [*fields, ("Plumdale-Not-Executed", "1")]))
        self.record.plain_runs[call] = self.record.plain_runs.get(call, 0) + 1
        self.running += 1
        await asyncio.sleep(self.random.uniform(0.002, 0.03) if self.room is None else 0.2)
        self.running -= 1
        failed = target.startswith("/fetch/") and self.random.random() < 0.1
        if self.closes_answers(call):
            return self.close_answer(500 if failed else 200, call, writer, [*fields, (SEAL, "s")])
        if self.random.random() < 0.02:
            return reset(writer)
        writer.write(http_response(500 if failed else 200, f"answer {call}".encode(), [*fields, (SEAL, "s")]))
        self.unkindness.follow(writer)

    def closes_answers(self, call):
        """Returns whether the answer to a call has no length: one in ten, drawn apart from all else."""
        return random.Random(f"closed {call}").random() < 0.1

    def close_answer(self, status, call, writer, fields):
        """Ends an answer with its connection; one in five is broken off and reset."""
        answer = f"answer {call}".encode()
        if random.Random(f"reset {call}").random() < 0.2:
            writer.write(closed_response(status, answer[:4], fields))
            return reset(writer)
        writer.write(closed_response(status, answer, fields))
        self.record.closed_answers.add(call)
        writer.close()

    async def crash_of_part(self, part, call, headers, vm, target, writer, fields):
        """Crashes as it begins to answer a request with the part; its port closes too."""
        now = asyncio.get_running_loop().time()
        if "kv-from" not in headers:
            self.record.plain_runs[call] = self.record.plain_runs.get(call, 0) + 1
        disturbed_at = self.record.vm_disturbed_at.get(vm, 0.0)
        is_excused = now < max(disturbed_at, self.record.vm_fault_until) + PROPAGATION_S
        self.record.violations += self.record.crashing.arrived(part, is_excused)
        self.listener.close()
        await self.end_during_request(target, writer, fields, is_request=False)

    async def end_during_request(self, target, writer, fields, is_request=True):
        """Ends before the answer, or after the first event of a stream."""
        await asyncio.sleep(self.random.uniform(0.0, 0.1))
        if not self.alive:
            return
        if is_request:
            self.record.note_ending_request()
        if target.startswith("/draft/") and self.random.random() < 0.5:
            head = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields), f"{SEAL}: s", "Transfer-Encoding: chunked"]
            event = b"id: 1\ndata: 1 of 9\n\n"
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        self.on_end()

    def is_refusing(self):
        return asyncio.get_running_loop().time() < self.refuses_until

    def check_evacuation(self, call):
        now, ordered = asyncio.get_running_loop().time(), self.record.evacuated_at.get(self.zone)
        if self.record.active_delivery_faults == 0 and ordered is not None and now - max(ordered, self.record.last_delivery_fault_end) > MAX_EVACUATION_DELAY_S:
            self.record.violations.append(f"{call}: reached {self.name} {now - ordered:.1f} s after its zone was evacuated")

    def report(self):
        """Returns a report that is half a second old: the remaining time is 500 ms too long."""
        if self.leaves_at is None:
            return {"born": self.born}
        left = int(1000 * (self.leaves_at - asyncio.get_running_loop().time())) + 500
        return {"born": self.born, "leaves_ms": left}

    async def move(self, order, writer, fields, vm):
        self.record.violations += self.statements.arrived(order["id"], vm, self.name, self.unreachable_until)
        if self.is_refusing() and order["id"] in self.record.vm_calls:
            self.statements.refused(vm, self.retry_after)
            return writer.write(http_response(503, b"", [*fields, ("Retry-After", f"{self.retry_after:g}")]))
        run = self.record.runs.get(order["id"])
        if run is None or self not in run.active_upstreams.values():
            return writer.write(http_response(404, b"", fields))
        await asyncio.sleep(0.02)
        handle = self.new_handle(order["id"])
        if order["isLast"]:
            self.stop_run(run)
        if not await self.unkindness.delay_order(writer):
            return
        writer.write(http_response(200, json.dumps({"handleId": handle, "createdRev": run.generated}).encode(), fields))

    def new_handle(self, call):
        handle = f"h{next(self.record.handles)}"
        self.record.copies[handle] = call
        return handle

    def stop_run(self, run):
        """Stops the attempts that run here; returns how many that were."""
        stopped = {attempt for attempt, upstream in run.active_upstreams.items() if upstream is self} - run.stopped
        run.stopped |= stopped
        return len(stopped)

    def draw_length(self, _):
        """Returns the number of events of a call's generation."""
        return self.random.randint(10, 90)

    def framing_of(self, call, first):
        """Returns how the end of a stream's answer is known: `chunks`, `close` or `length`."""
        return "close" if self.closes_answers(f"{call} from {first}") else "chunks"

    @staticmethod
    def framing_field(framing, run, first):
        size = sum(len(event_of(index, run.length)) for index in range(first + 1, run.length + 1))
        return {"chunks": "Transfer-Encoding: chunked", "close": "Connection: close", "length": f"Content-Length: {size}"}[framing]

    async def generate(self, call, headers, writer, fields):
        runs = self.record.runs
        if resumed := headers.get("kv-from"):
            handle = resumed.split("/", 1)[1]
            run = runs.get(self.record.copies.pop(handle, handle))
            has_backup = run is not None and run.backup is not None and self.record.upstream_starts.get(run.backup[0]) == run.backup[1]
            if run is None or (handle == call and not has_backup):
                return writer.write(http_response(503, b"", [*fields, ("Plumdale-Not-Executed", "1")]))
            if runs.get(call) is not run:
                self.record.violations.append(f"{call}: resumed from the memory of another call")
            for attempt in run.active_upstreams:
                asyncio.get_running_loop().call_later(MAX_OVERLAP_S, self.check_stopped, call, run, attempt)
            first = int(headers["last-event-id"])
        elif call in runs:
            runs[call].start_count += 1
            return writer.write(http_response(500, b"", fields))
        else:
            run, first = Run(self.draw_length(call)), 0
            runs[call] = run
        backup_address = headers.get("plumdale-kv-backup")
        run.backup = (backup_address, self.record.upstream_starts.get(backup_address)) if backup_address else None
        framing = self.framing_of(call, first)
        head = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields), f"{SEAL}: s", "Content-Type: text/event-stream",
                self.framing_field(framing, run, first)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        await self.stream(run, first, writer, framing)

    def check_stopped(self, call, run, attempt):
        """Reports a violation when a reachable upstream still works on an attempt after its connection was closed."""
        other = run.active_upstreams.get(attempt)
        if other is not None and other.alive and asyncio.get_running_loop().time() > other.unreachable_until:
            self.record.violations.append(f"{call}: resumed at {self.name} while {other.name} still works on it")

    async def stream(self, run, first, writer, framing):
        attempt, cut_after = object(), self.unkindness.cut_after(first, run.length)
        run.active_upstreams[attempt] = self
        try:
            for index in range(first + 1, run.length + 1):
                await asyncio.sleep(self.random.uniform(0.01, 0.05))
                if writer in self.stale_writers:
                    return
                if attempt in run.stopped or not self.alive or (writer.is_closing() and not self.unkindness.works_on):
                    return writer.close()
                if writer.is_closing():
                    continue
                if cut_after is not None and index > cut_after:
                    self.unkindness.cut(writer, closes=framing != "chunks")
                    continue
                event = event_of(index, run.length)
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n" if framing == "chunks" else event)
                await writer.drain()
                run.generated = max(run.generated, index)
            if framing == "chunks":
                writer.write(b"0\r\n\r\n")
            if framing == "close":
                writer.close()
        finally:
            del run.active_upstreams[attempt]
