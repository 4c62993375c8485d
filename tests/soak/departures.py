"""Engines that leave as planned work, beside the reloads, configurations, silences and stops of reloads.py.

A service of its own has them, with engines, callers and draws of its own. Engines leave in series and in pairs, with a
notice, and end only once they run nothing, so that no engine breaks off a stream by itself. Orders to copy and to stop take
effect at once; their answers are late, lost or sound, and some are carried out twice. Places of copies leave or fill up
between first copy, last copy and resumption, and refuse resumptions for up to 3 s. Each stream that was cut though it could
have gone on is a violation (held_copies.py).
"""

import asyncio
import collections
import json
import random
import typing

from gone_upstreams import decision_lines
from held_copies import KNOWN_AFTER_S, NEVER, CutStream, HeldCopies, Memory, excuse_of, longest_span, violation_of
from path_filter import reset
from platform_standin import CONFIGURATION, MAX_OVERLAP_S, SEAL, Run, Upstream, http_response
from repeats import limit_of
from slow_channel import Channel
from soak import Proxy
from unkind import Unkindness
from uploads import body_violations

SERVICE, PREFIX, ENGINES, MIN_STAYING = "departing", "/draft/departing/", 6, 3
# The allowance of repeats of the users' sites, which no seed uses up.
SITE_ALLOWANCE = (0.2, 200)
TIGHT_TOKENS, ROOMY_TOKENS, HANDLE_TTL_S = 12_000, 34_288, 5.0
# Copies live for so many times as long as is said.
LIFETIMES = (1.2, 1.9)
TARGET_GAP_MS, DEADLINE_MS, MIN_TIMEOUT_S = 180, 20_000, 15.0
STREAMS_PER_S, REST_S = 5.0, 1.5
MIN_EVENTS, MAX_EVENTS = 60, 180
PAIR_SHARE, FOLLOW_SHARE, REFUSAL_SHARE, SLOW_SHARE, UNCOPIED_SHARE = 0.35, 0.25, 0.5, 0.3, 0.08
# What becomes of the answer to an order that was carried out; and the share of orders that are carried out again.
ANSWERS, ANSWER_WEIGHTS, TWICE_SHARE = ("sound", "late", "reset"), (6, 3, 1), 0.15
MAX_ANSWER_DELAY_S = 4.0
# What the port of an engine that has ended does.
PORTS, PORT_WEIGHTS = ("refuses", "closes"), (3, 1)
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Order(typing.NamedTuple):
    """What becomes of an order that finds its run."""
    # Refused without an effect, as the destination has no room.
    is_declined: bool
    # When it is carried out again, if it is.
    again_after_s: float | None
    answer: str
    answer_delay_s: float


class DepartureDraws:
    """Draws for one seed, or for one engine of it."""

    def __init__(self, seed):
        self.random = random.Random(f"departures {seed}")

    def order(self, is_last):
        is_declined = self.random.random() < UNCOPIED_SHARE
        again = self.random.uniform(0.1, 2.5) if self.random.random() < TWICE_SHARE else None
        answer = self.random.choices(ANSWERS, ANSWER_WEIGHTS)[0]
        delay = self.random.uniform(0.0, MAX_ANSWER_DELAY_S) if answer == "late" else 0.0
        return Order(is_declined, again if is_last else None, answer, delay)

    def refusal_s(self):
        """Returns for how long resumptions of a run are refused from the first try."""
        return 10 ** self.random.uniform(-1.3, 0.48) if self.random.random() < REFUSAL_SHARE else 0.0

    def follow_up(self, is_last):
        """Returns what the place of a copy does soon after the copy, and when, or None."""
        if self.random.random() > FOLLOW_SHARE:
            return None
        return self.random.choice(("leaves", "fills")), self.random.uniform(0.0, 0.3 if is_last else 1.5)

    def notice(self):
        """Returns after how long an engine that leaves reports when it will, and after how long it will."""
        says_after = self.random.choice((0.0, 0.0, 1.8))
        return says_after, says_after + self.random.uniform(1.0, 2.5)

    def lifetime(self):
        return HANDLE_TTL_S * self.random.uniform(*LIFETIMES)


class Stop(typing.NamedTuple):
    """A run that an order stopped, at its engine, with a copy to another."""
    at: float
    source: "DepartingEngine"
    destination: "DepartingEngine | None"


class DepartingRun(Run):
    """A generation whose events are as large as its callers are slow."""

    def __init__(self, call):
        draws = random.Random(f"departing {call}")
        super().__init__(draws.randint(MIN_EVENTS, MAX_EVENTS))
        self.gap_s, self.padding = draws.uniform(0.03, 0.06), b"x" * draws.choice((0, 0, 200, 4_000))
        # Times of its events and of its attempts' beginnings, its stops, and when orders found that nothing runs.
        self.event_times, self.began_at, self.stops, self.found_over_at = [], [], [], []
        self.refusal_s, self.asked_at = 0.0, None

    def event(self, index):
        return b"id: %d\ndata: %d of %d %s\n\n" % (index, index, self.length, self.padding)

    def body(self, first=0, last=None):
        return b"".join(self.event(index) for index in range(first + 1, (last or self.length) + 1))

    def refuses(self, now):
        """Returns whether engines refuse a resumption; the first one begins the time for which they do."""
        self.asked_at = now if self.asked_at is None else self.asked_at
        return self.was_refused(now)

    def stop_before(self, now):
        """Returns the order that stopped the run that was the last one at a time; None if it ran on."""
        began = max((each for each in self.began_at if each <= now), default=0.0)
        return next((each for each in self.stops if began <= each.at <= now), None)

    def was_refused(self, now):
        return self.asked_at is not None and self.asked_at <= now < self.asked_at + self.refusal_s


class DepartingEngine(Upstream):
    def __init__(self, name, seed, zone, departures):
        super().__init__(name, departures.fleet.record, seed, zone)
        self.departures, self.held, self.draws = departures, departures.held, DepartureDraws(seed)
        self.unkindness = Unkindness(seed, is_kind=True)
        self.notice_at, self.ended_at, self.refuses_from, self.full_until = NEVER, NEVER, NEVER, 0.0
        # Calls whose order to copy is not answered yet; half of the engines say so of a run that it has stopped, too.
        self.copying, self.hides_ends = set(), self.draws.random.random() < 0.5

    @property
    def leaves(self):
        return self.notice_at < NEVER

    def is_full(self):
        return self.departures.now() < self.full_until

    def runs(self, run):
        return any(upstream is self and attempt not in run.stopped for attempt, upstream in run.active_upstreams.items())

    def runs_something(self):
        return any(self.runs(self.record.runs[call]) for call in self.departures.calls if call in self.record.runs)

    def end(self, port):
        """Ends as a process does that has nothing to do any more: all it has written still arrives."""
        self.alive, self.ended_at = False, self.departures.now()
        if port == "refuses":
            self.refuses_from = self.ended_at
            self.listener.close()
        for writer in list(self.writers):
            writer.close()

    async def handle(self, message, writer):
        self.record.violations += body_violations(message)
        target = message[0].split(" ")[1]
        if target.startswith("/v1/kv-handle/"):
            handle = target.rsplit("/", 1)[1]
            self.held.use(self.record.copies.get(handle), handle, self.departures.now())
        await super().handle(message, writer)

    # -- orders -----------------------------------------------------------------------------------

    async def move(self, order, writer, fields, vm):
        call, is_last, run = order["id"], order["isLast"], self.record.runs.get(order["id"])
        if call in self.copying and (self.hides_ends or (run is not None and self.runs(run))):
            return writer.write(http_response(409, b"", fields))
        if run is None or not self.runs(run):
            self.departures.note("orders", "without a run")
            if run is not None:
                self.departures.note_told(self, writer, lambda now: run.found_over_at.append(now))
            return writer.write(http_response(404, b"", fields))
        draw = self.draws.order(is_last)
        self.copying.add(call)
        try:
            await asyncio.sleep(0.02)
            await self.carry_out(call, run, order["to"], is_last, draw, writer, fields)
        finally:
            self.copying.discard(call)

    async def carry_out(self, call, run, to, is_last, draw, writer, fields):
        destination = self.departures.at_address(to)
        has_room = destination is not None and destination.alive and not destination.is_full() and not draw.is_declined
        if not has_room and (draw.is_declined or not is_last):
            self.departures.note("orders", "without effect")
            return writer.write(http_response(503, b"", fields))
        handle = self.copy(call, run, destination, has_room, is_last)
        if draw.again_after_s is not None:
            asyncio.get_running_loop().call_later(draw.again_after_s, self.carry_out_again, call, run)
        if has_room and (follow_up := self.draws.follow_up(is_last)):
            self.departures.follow(destination, *follow_up)
        kind = "last" if is_last else "first"
        self.departures.note("orders", f"{kind} {draw.answer}{'' if has_room else ', no room'}")
        body = json.dumps({"handleId": handle, "createdRev": run.generated}).encode()
        await self.answer(draw, http_response(200 if has_room else 503, body, fields), writer, call, handle)

    def copy(self, call, run, destination, has_room, is_last):
        """Copies what there is, stops the run if it is the last copy, and returns the handle."""
        now = self.departures.now()
        known = self.held.copy(call, self, destination, now) if has_room else None
        handle = known.handle if known else self.new_handle(call)
        expires_at = now + self.draws.lifetime()
        if known:
            known.expires_at = expires_at
        elif has_room:
            self.held.add(Memory(call, handle, self, destination, now, expires_at))
        if is_last:
            self.stop(run, Stop(now, self, destination))
            self.held.add(Memory(call, handle, self, self, now, expires_at))
        return handle

    def stop(self, run, stop):
        run.stops.append(stop)
        run.refusal_s, run.asked_at = self.draws.refusal_s(), None
        return self.stop_run(run)

    def carry_out_again(self, call, run):
        """An order that came twice stops what runs here of the call by then; nobody is told the handle."""
        if self.alive and self.runs(run):
            self.departures.note("orders", "carried out again")
            self.copy(call, run, None, False, True)

    async def answer(self, draw, text, writer, call, handle):
        await asyncio.sleep(draw.answer_delay_s)
        if writer.is_closing() or draw.answer == "reset":
            return reset(writer)
        writer.write(text)
        self.departures.note_told(self, writer, lambda now: self.held.tell(call, handle, now))

    # -- runs -------------------------------------------------------------------------------------

    async def generate(self, call, headers, writer, fields):
        run, first, now = self.record.runs.get(call), 0, self.departures.now()
        if resumed := headers.get("kv-from"):
            source, handle = resumed.split("/", 1)
            if run is None or self.held.find(call, source, handle, self, now) is None or run.refuses(now):
                self.departures.note("resumptions", "refused")
                return writer.write(http_response(503, b"", [*fields, ("Plumdale-Not-Executed", "1")]))
            self.held.use(call, handle, now)
            self.departures.note("resumptions", "run")
            self.check_others(call, run)
            first = int(headers["last-event-id"])
        elif run is not None:
            run.start_count += 1
            return writer.write(http_response(500, b"", fields))
        else:
            run = self.record.runs[call] = DepartingRun(call)
        run.began_at.append(now)
        run.event_times.append(now)
        head = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields), f"{SEAL}: s", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        backup = self.keep_backup(call, headers.get("plumdale-kv-backup"))
        is_whole = False
        try:
            is_whole = await self.stream_events(run, first, writer)
        finally:
            if backup is not None:
                backup.expires_at = 0.0 if is_whole else self.departures.now() + self.draws.lifetime()

    def keep_backup(self, call, address):
        """The memory that a backup holds grows with the run, and is asked for under the call's id."""
        backup, now = self.departures.at_address(address), self.departures.now()
        if backup is None or not backup.alive or backup.is_full():
            return None
        memory = self.held.add(Memory(call, call, backup, backup, now + 0.1, NEVER))
        memory.told_at = now
        return memory

    def check_others(self, call, run):
        """No run of the call may go on beside the one that begins here."""
        for attempt, upstream in run.active_upstreams.items():
            if upstream.alive and attempt not in run.stopped:
                asyncio.get_running_loop().call_later(MAX_OVERLAP_S, self.check_over, call, run, attempt, upstream)

    def check_over(self, call, run, attempt, upstream):
        if attempt in run.active_upstreams and attempt not in run.stopped and upstream.alive:
            self.record.violations.append(f"TWICE: {call} was resumed at {self.name} while {upstream.name} still ran it")

    async def stream_events(self, run, first, writer):
        """Returns whether the stream got whole."""
        attempt = object()
        run.active_upstreams[attempt] = self
        try:
            for index in range(first + 1, run.length + 1):
                await asyncio.sleep(run.gap_s)
                if attempt in run.stopped or writer.is_closing():
                    writer.close()
                    return False
                event = run.event(index)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                run.event_times.append(self.departures.now())
                run.generated = max(run.generated, index)
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            del run.active_upstreams[attempt]


class EngineProxy(Proxy):
    """Remembers when it was silent."""

    def __init__(self, target, upstream):
        self.spans, self.is_silent = [], False
        super().__init__(target, upstream)

    @property
    def silent(self):
        return self.is_silent

    @silent.setter
    def silent(self, is_silent):
        now = Departures.now()
        if is_silent and not self.is_silent:
            self.spans.append([now, NEVER])
        if self.is_silent and not is_silent:
            self.spans[-1][1] = now
        self.is_silent = is_silent

    def was_silent(self, now):
        return any(begin <= now <= end for begin, end in self.spans)


class Departures:
    """The service of one seed: its engines leave and are replaced while callers read drafts."""

    def __init__(self, fleet):
        self.fleet, self.random, self.held = fleet, random.Random(f"departures {fleet.seed}"), HeldCopies()
        self.has_backups = self.random.random() < 1 / 3
        self.allowance = SITE_ALLOWANCE if self.random.random() < 0.5 else limit_of(fleet.seed)
        self.pause_s = self.random.choice((1.2, 2.0, 3.5))
        self.target_ms = self.random.choice((600, 1_500, 1_500))
        self.engines, self.calls, self.proxies, self.counts = [], {}, {}, collections.defaultdict(collections.Counter)
        self.background = set()

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    def note(self, what, kind):
        self.counts[what][kind] += 1

    def patience_s(self):
        return max(2.0, 4 * self.target_ms / 1_000, 8 * TARGET_GAP_MS / 1_000)

    async def start(self):
        published = self.fleet.store.values["op/config"]
        engine = next(service for service in CONFIGURATION["services"] if "inferenceEngine" in service)
        limits = {**engine["inferenceEngine"], "backups": self.has_backups, "handleTtlS": HANDLE_TTL_S,
                  "kvCapacityTokens": ROOMY_TOKENS if self.has_backups else TIGHT_TOKENS}
        draft = next(route for route in published["routes"] if route["name"] == "draft")
        route = {**draft, "name": "departing-draft", "prefix": PREFIX, "service": SERVICE, "targetLatencyMs": self.target_ms,
                 "targetGapMs": TARGET_GAP_MS}
        self.fleet.store.put("op/config", {**published, "version": published["version"] + 1, "routes": [*published["routes"], route],
                                           "services": [*published["services"], {**engine, "name": SERVICE, "inferenceEngine": limits}]})
        for _ in range(ENGINES):
            await self.add()

    def tasks(self, until):
        return [asyncio.create_task(each(until)) for each in (self.send, self.depart)]

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    # -- engines ----------------------------------------------------------------------------------

    async def add(self):
        number = len(self.engines) + 1
        engine = DepartingEngine(f"d-{number}", f"{self.fleet.seed} {number}", "ab"[number % 2], self)
        engine.born += 1000 * number
        self.engines.append(engine)
        proxy = self.proxies[engine] = EngineProxy(await self.fleet.listen(engine.serve), engine)
        proxy.path_filter = self.fleet.path_filter
        # Others silence it, too.
        self.fleet.proxies.append(proxy)
        host, port = await self.fleet.listen(proxy.serve)
        engine.listener, engine.address = self.fleet.servers[-1], f"{host}:{port}"
        self.fleet.path_filter.add_listener(engine.listener.sockets[0])
        engine.entry = {"service": SERVICE, "address": engine.address, "zone": engine.zone, "version": "v1", "slots": 24,
                        "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": engine.born}
        self.fleet.store.put(f"servers/{engine.name}", engine.entry)

    def at_address(self, address):
        return next((each for each in self.engines if each.address == address and address is not None), None)

    def staying(self):
        return [each for each in self.engines if each.alive and not each.leaves]

    async def depart(self, until):
        """Engines leave in series, some of them in pairs."""
        while self.now() < until:
            for _ in range(2 if self.random.random() < PAIR_SHARE else 1):
                if len(self.staying()) > MIN_STAYING:
                    self.spawn(self.leave(self.random.choice(self.staying())))
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * self.pause_s)

    async def leave(self, engine):
        if engine.leaves:
            return
        engine.notice_at, (says_after, leaves_after) = self.now(), engine.draws.notice()
        self.fleet.store.put(f"servers/{engine.name}", {**engine.entry, "state": "draining"})
        is_replaced_first = self.random.random() < 0.5
        if is_replaced_first:
            await self.add()
        await asyncio.sleep(says_after)
        engine.leaves_at = engine.notice_at + leaves_after
        await asyncio.sleep(engine.leaves_at - self.now())
        while engine.runs_something():
            await asyncio.sleep(0.05)
        port = self.random.choices(PORTS, PORT_WEIGHTS)[0]
        self.note("ends", port)
        engine.end(port)
        if not is_replaced_first:
            await self.add()
        await asyncio.sleep(self.random.uniform(0.0, 0.4))
        self.fleet.store.put(f"servers/{engine.name}", None)

    def follow(self, engine, what, after_s):
        """The place of a copy leaves, or fills up for some time."""
        self.spawn(self.leave_later(engine, after_s) if what == "leaves" else self.fill_later(engine, after_s))

    async def leave_later(self, engine, after_s):
        await asyncio.sleep(after_s)
        if engine.alive and len(self.staying()) > MIN_STAYING:
            await self.leave(engine)

    async def fill_later(self, engine, after_s):
        await asyncio.sleep(after_s)
        engine.full_until = self.now() + self.random.uniform(0.3, 2.0)

    def note_told(self, engine, writer, note):
        """Notes when a VM is told what an engine answers, if it is."""
        self.spawn(self.tell(engine, writer, note))

    async def tell(self, engine, writer, note):
        # The proxy may be silent.
        while self.proxies[engine].silent:
            await asyncio.sleep(0.05)
        if not writer.is_closing():
            note(self.now())

    # -- callers ----------------------------------------------------------------------------------

    async def send(self, until):
        tasks = []
        while self.now() < until - REST_S:
            tasks.append(asyncio.create_task(self.call(f"{self.fleet.seed:x}-departing-{len(tasks)}")))
            await asyncio.sleep(self.random.expovariate(STREAMS_PER_S))
        await asyncio.gather(*tasks)

    async def call(self, call):
        vm, prompt = self.random.randint(1, 3), f"{self.random.getrandbits(40):x}:900"
        bytes_per_s = 10 ** self.random.uniform(5.0, 5.5) if self.random.random() < SLOW_SHARE else 1e7
        seen = self.calls[call] = {"vm": vm, "status": None, "whole": False, "body": b"", "sent_at": self.now(), "ended_at": None}
        channel = Channel((f"{self.fleet.host}.{vm}", 18080), bytes_per_s)
        fields = {"Host": "soak", "Plumdale-Request-Id": call, "Plumdale-Key": "key", "Plumdale-Request-Deadline-Ms": f"{DEADLINE_MS}",
                  "Plumdale-Token-Usage": "900,900", "Plumdale-Length-Hint": "300", "Plumdale-Prompt-Prefix": prompt}
        head = f"POST {PREFIX}{call} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items())
        self.fleet.record.repeats.requested(call, SERVICE)
        try:
            await channel.open()
            await self.fleet.uploads.upload(call, head).send(channel.socket)
            await asyncio.wait_for(self.read_answer(channel, seen), DEADLINE_MS / 1_000 + 2)
        except (EOFError, OSError, asyncio.TimeoutError):
            pass
        seen["ended_at"] = self.now()
        channel.close()

    @staticmethod
    async def read_answer(channel, seen):
        head = (await channel.take_line(b"\r\n\r\n")).decode("latin-1").lower()
        seen["status"], seen["head"] = int(head.split(" ")[1]), head
        if "transfer-encoding: chunked" not in head:
            return await channel.take(int(head.split("content-length:")[1].split("\r\n")[0]))
        while size := int(await channel.take_line(b"\r\n"), 16):
            seen["body"] += await channel.take(size)
            await channel.take(2)
        await channel.take(2)
        seen["whole"] = True

    # -- promises ---------------------------------------------------------------------------------

    def log_lines(self, *decisions):
        """Returns the lines of this service's calls with these decisions, of all VMs, in order."""
        lines = (line for log in self.fleet.folder.glob("vm-*.log") for line in decision_lines(log))
        return sorted((line for line in lines if line["decision"] in decisions and line.get("id") in self.calls), key=lambda line: line["time_ms"])

    def cut_times(self):
        """Returns when a VM broke off each stream, by its log."""
        times = {}
        for line in self.log_lines("broken off"):
            times.setdefault(line["id"], line["time_ms"] / 1_000 - self.fleet.wall_offset_s)
        return times

    def is_excused(self, seen):
        """A VM ran to the end of its grace meanwhile: the caller's, or in odd seeds one that may have been its peer."""
        vms = (1, 2, 3) if self.fleet.seed % 2 and seen["vm"] == 1 else (seen["vm"],)
        return any(self.fleet.is_excused(vm, seen["sent_at"], seen["ended_at"]) for vm in vms)

    def cut_streams(self):
        """Returns the streams whose callers got a part, but for those that a VM's stop excuses."""
        times = self.cut_times()
        return [self.cut_stream(call, seen, min(seen["ended_at"], times.get(call, seen["ended_at"]))) for call, seen in self.calls.items()
                if seen["status"] == 200 and not seen["whole"] and call in self.fleet.record.runs and not self.is_excused(seen)]

    def cut_stream(self, call, seen, at):
        run = self.fleet.record.runs[call]
        last_event_at = max((each for each in run.event_times if each <= at), default=seen["sent_at"])
        limits, stop = (seen["sent_at"] + MIN_TIMEOUT_S, last_event_at + self.patience_s()), run.stop_before(at)
        if stop is None:
            return CutStream(call, at, *limits, None, [])
        noticed_for_s = 0.0 if stop.destination is None else stop.at - stop.destination.notice_at
        return CutStream(call, at, *limits, stop.at, self.held.to_ask(call, at), self.could_go_on_s(call, run, stop, at), noticed_for_s)

    def known_over_at(self, call, run, stop):
        """Returns when a VM could know that the run which an order stopped is over."""
        told = [each.told_at for each in self.held.of(call) if each.at is stop.source and each.held_from >= stop.at]
        return min([*told, *(at for at in run.found_over_at if at >= stop.at), stop.source.refuses_from])

    def could_go_on_s(self, call, run, stop, until):
        """Returns the longest time in which a VM could have known that the run is over, and asked for its memory."""
        known_at = self.known_over_at(call, run, stop)

        def can_go_on(now):
            return not run.was_refused(now) and any(not self.proxies[each.at].was_silent(now) for each in self.held.to_ask(call, now))

        return longest_span(can_go_on, known_at + KNOWN_AFTER_S, until) if known_at < until else 0.0

    def violations(self):
        found = [violation for each in self.cut_streams() if (violation := violation_of(each))]
        for call, seen in self.calls.items():
            run = self.fleet.record.runs.get(call)
            if run is not None:
                found += self.violations_of_run(call, seen, run)
            elif seen["status"] == 200:
                found.append(f"{call}: a success though nothing ran")
        return found + self.fleet.record.repeats.end()

    def violations_of_run(self, call, seen, run):
        found, status = [], seen["status"]
        if run.start_count > 1:
            found.append(f"TWICE: {call} started {run.start_count} times")
        if status in NOT_RUN_STATUSES:
            found.append(f"REFUSED: {call} ran, and was told {status}")
        elif status != 200 and not self.is_excused(seen):
            found.append(f"LOST: {call} ran, and was told {status}")
        if status == 200 and f"{SEAL.lower()}: s" not in seen["head"]:
            found.append(f"{call}: a success without the upstream's seal")
        whole = run.body()
        if status == 200 and (seen["body"] != whole if seen["whole"] else not whole.startswith(seen["body"])):
            found.append(f"ORDER: {call} has missing, duplicate or reordered events")
        return found

    def explain_cuts(self):
        """Returns a line for each cut stream: why it ended, and what became of its memory."""
        return [self.explain_cut(each, self.fleet.record.runs[each.call]) for each in self.cut_streams()]

    def explain_cut(self, cut, run):
        text = f"{cut.call}: {excuse_of(cut) or violation_of(cut)}; cut at {cut.at:.2f}"
        if (stop := run.stop_before(cut.at)) is None:
            return text
        asked = "never asked for" if run.asked_at is None else f"first asked for at {run.asked_at:.2f}, refused for {run.refusal_s:.2f} s"
        places = "; ".join(held.text() for held in self.held.of(cut.call) if held.is_held(stop.at))
        return (f"{text}, stopped at {stop.at:.2f}, known at {self.known_over_at(cut.call, run, stop):.2f}, could go on for {cut.could_go_on_s:.2f} s, "
                f"{asked}; {places}")

    def summary(self):
        runs = [run for call, run in self.fleet.record.runs.items() if call in self.calls]
        cuts = self.log_lines("answer cut")
        by_reason = collections.Counter(f"{line['cause']}, {line['why']}" for line in cuts)
        excuses = collections.Counter(excuse_of(each) or "LOST" for each in self.cut_streams())
        streams = sum(1 for seen in self.calls.values() if seen["status"] == 200)
        stopped = sum(1 for run in runs if run.stops)
        resumed = sum(1 for run in runs if len(run.began_at) > 1)
        whole = sum(1 for seen in self.calls.values() if seen["whole"])
        kinds = "; ".join(f"{what}: {text_of(counts)}" for what, counts in sorted(self.counts.items()))
        return (f"{'roomy with' if self.has_backups else 'tight without'} backups, allowance {self.allowance}, patience {self.patience_s():.1f} s: "
                f"{streams} streams, {whole} whole, {stopped} stopped, {resumed} resumed; cut: {text_of(excuses)}; "
                f"the VMs' reasons: {text_of(by_reason)}\n  {kinds}")


def text_of(counts):
    return ", ".join(f"{count} {kind}" for kind, count in sorted(counts.items())) or "none"
