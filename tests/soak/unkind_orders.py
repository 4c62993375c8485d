"""Orders to stop a run that take effect and whose answers are lost, and processes that end between two events, beside
streams whose ends are known in each way. A service of its own has them, with upstreams, calls and draws of its own, so that
a seed's other faults stay as they were.
"""

import asyncio
import collections
import json
import random
import typing

from path_filter import reset
from platform_standin import CONFIGURATION, Run, Upstream, http_response, stream_violations
from unkind import Unkindness

SERVICE, PREFIX, UPSTREAMS = "moved", "/draft/moved/", 4
# What becomes of the answer to an order that took effect. `unfinished` is a 503 with the handle: the source keeps the memory.
SOUND_ANSWERS = ("sound", "unfinished")
LOST_ANSWERS = ("closed", "reset", "late", "past timeout", "cut", "garbled", "500", "000", "409", "503")
# When an order takes effect: as it comes, then and once more, or only after its connection is gone, unanswered.
EFFECTS, LATE_ANSWERS = ("once", "twice", "late"), ("closed", "reset", "held")
FRAMINGS = ("chunks", "close", "length")
# What becomes of an upstream: reset, or closed in order as a killed process is. Its port refuses then, or a new incarnation
# comes there, under another name or the same.
ENDS = ("reset", "refuses", "another name", "same name")
SECOND_LOST_SHARE, BACKUP_SHARE = 0.3, 1 / 3
# Share of sound answers. With one the run may go on at the same upstream, where an order's second effect meets it.
SOUND_SHARES = {"once": 0.3, "twice": 0.6}
EFFECT_WEIGHTS, FRAMING_WEIGHTS = (5, 2, 2), (2, 3, 1)
# The VMs' time limit of an order.
ORDER_TIMEOUT_S = 2.5
MIN_EVENTS, MAX_EVENTS, DRAFTS_PER_S = 30, 140, 9
# So long before a seed's end the last draft is sent.
REST_S = 1.5


class Order(typing.NamedTuple):
    effect: str
    effect_delay_s: float
    answer: str
    answer_delay_s: float


class OrderDraws:
    """Draws for one upstream."""

    def __init__(self, seed):
        self.random = random.Random(f"unkind orders {seed}")

    def order(self):
        """Returns what becomes of an order that finds its run."""
        effect = self.random.choices(EFFECTS, EFFECT_WEIGHTS)[0]
        if effect == "late":
            return Order(effect, self.late_effect_delay(), self.random.choice(LATE_ANSWERS), 0.0)
        answer = self.random.choice(SOUND_ANSWERS if self.random.random() < SOUND_SHARES[effect] else LOST_ANSWERS)
        return Order(effect, self.random.uniform(0.1, 2.5), answer, self.answer_delay(answer))

    def second_answer(self):
        """Returns the answer to an order whose run an earlier one stopped: there is none."""
        return self.random.choice(LOST_ANSWERS) if self.random.random() < SECOND_LOST_SHARE else "404"

    def late_effect_delay(self):
        """Half of the late orders take effect after their sender's timeout, the others soon after their connection ended."""
        return self.random.choice((self.random.uniform(0.05, 0.6), ORDER_TIMEOUT_S + self.random.uniform(0.1, 2.0)))

    def answer_delay(self, answer):
        if answer == "late":
            return self.random.uniform(0.2, ORDER_TIMEOUT_S - 0.3)
        if answer == "past timeout":
            return ORDER_TIMEOUT_S + self.random.uniform(0.1, 1.0)
        # Before or after the stream's end, which comes within 50 ms.
        return self.random.choice((0.0, self.random.uniform(0.06, 0.3)))

    def framing(self):
        return self.random.choices(FRAMINGS, FRAMING_WEIGHTS)[0]

    def length(self):
        return self.random.randint(MIN_EVENTS, MAX_EVENTS)


class MovedUpstream(Upstream):
    """Runs drafts of the service; `end_in_order` ends it as a killed process ends."""

    def __init__(self, name, fleet, seed, zone, moved):
        super().__init__(name, fleet.record, seed, zone)
        self.draws, self.moved, self.leaves = OrderDraws(seed), moved, False
        self.unkindness = Unkindness(seed)
        # Calls whose runs orders stopped here.
        self.stopped_calls = set()

    def draw_length(self, call):
        return self.draws.length()

    def framing_of(self, call, first):
        framing = self.draws.framing()
        self.moved.note(call, "streams", framing, self.name)
        return framing

    def end_in_order(self):
        """The system closes a killed process's connections in order, each after what was written."""
        self.alive = False
        self.listener.close()
        for writer in list(self.writers):
            writer.close()

    def runs(self, run):
        return any(upstream is self and attempt not in run.stopped for attempt, upstream in run.active_upstreams.items())

    async def move(self, order, writer, fields, vm):
        call, run = order["id"], self.record.runs.get(order["id"])
        if not order["isLast"]:
            return await super().move(order, writer, fields, vm)
        if run is None or not self.runs(run):
            return await self.answer_without_run(call, writer, fields)
        draw = self.draws.order()
        self.moved.note(call, "orders", draw.effect, self.name)
        if draw.effect != "late":
            self.stop(call, run)
        if draw.effect != "once":
            asyncio.get_running_loop().call_later(draw.effect_delay_s, self.stop_late, call, run)
        await self.answer(draw.answer, draw.answer_delay_s, call, run, writer, fields)

    async def answer_without_run(self, call, writer, fields):
        answer = self.draws.second_answer() if call in self.stopped_calls else "404"
        run = self.record.runs.get(call, Run(0))
        self.moved.note(call, "second orders" if call in self.stopped_calls else "orders without a run", answer, self.name)
        await self.answer(answer, self.draws.answer_delay(answer), call, run, writer, fields, is_noted=True)

    def stop(self, call, run):
        self.stopped_calls.add(call)
        return self.stop_run(run)

    def stop_late(self, call, run):
        """Also stops a run of the call that began here after the order was given up."""
        if self.alive and self.stop(call, run):
            self.moved.note(call, "late effects", "stopped a run", self.name)

    async def answer(self, answer, delay_s, call, run, writer, fields, is_noted=False):
        if not is_noted:
            self.moved.note(call, "answers", answer, self.name)
        await asyncio.sleep(delay_s)
        body = json.dumps({"handleId": self.new_handle(call), "createdRev": run.generated}).encode()
        if answer == "held" or writer.is_closing():
            return
        if answer == "reset":
            return reset(writer)
        if answer not in ("closed", "cut"):
            return writer.write(self.text_of(answer, body, fields))
        if answer == "cut":
            writer.write(http_response(200, body, fields)[:-len(body) // 2])
        writer.close()

    @staticmethod
    def text_of(answer, body, fields):
        if answer == "garbled":
            return b"\x01\x02 no answer\r\n\r\n"
        if answer == "unfinished":
            return http_response(503, body, fields)
        return http_response(answer, b"{}", fields) if answer.isdigit() else http_response(200, body, fields)


def text_of_counts(counts):
    return ", ".join(f"{count} {kind}" for kind, count in sorted(counts.items()))


class MovedDrafts:
    """The service of one seed: its upstreams leave, are killed and come back while callers read drafts."""

    def __init__(self, fleet):
        self.fleet, self.random = fleet, random.Random(f"moved drafts {fleet.seed}")
        self.has_backups = self.random.random() < BACKUP_SHARE
        self.upstreams, self.calls, self.next_number = [], {}, 0
        # Counts by what is counted and its kind, and what became of each call.
        self.counts, self.history = collections.defaultdict(collections.Counter), collections.defaultdict(list)

    def note(self, call, what, kind, upstream):
        self.counts[what][kind] += 1
        self.history[call].append(f"{what}: {kind} at {upstream}")

    async def start(self):
        published = self.fleet.store.values["op/config"]
        engine = next(service for service in CONFIGURATION["services"] if "inferenceEngine" in service)
        service = {**engine, "name": SERVICE, "inferenceEngine": {**engine["inferenceEngine"], "backups": self.has_backups}}
        draft = next(route for route in CONFIGURATION["routes"] if route["name"] == "draft")
        route = {**draft, "name": "moved-draft", "prefix": PREFIX, "service": SERVICE}
        self.fleet.store.put("op/config", {**published, "version": published["version"] + 1, "routes": [*published["routes"], route],
                                           "services": [*published["services"], service]})
        for _ in range(UPSTREAMS):
            await self.add()

    def tasks(self, until):
        return [asyncio.create_task(each(until)) for each in (self.send, self.depart, self.kill)]

    # -- upstreams --------------------------------------------------------------------------------

    async def add(self, former=None, has_same_name=False):
        """Adds an upstream: at an address of its own, or at that of a former one."""
        self.next_number += 1
        name = former.name if has_same_name else f"m-{self.next_number}"
        zone = former.zone if former else "ab"[self.next_number % 2]
        upstream = MovedUpstream(name, self.fleet, f"{self.fleet.seed} {self.next_number}", zone, self)
        upstream.born += 1000 * self.next_number
        await self.listen(upstream, former)
        self.fleet.record.upstream_starts[upstream.address] = upstream.born
        upstream.entry = {"service": SERVICE, "address": upstream.address, "zone": zone, "version": "v1", "slots": 24,
                          "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": upstream.born}
        self.upstreams.append(upstream)
        self.fleet.store.put(f"servers/{name}", upstream.entry)

    async def listen(self, upstream, former):
        proxy = self.fleet.proxy_type(await self.fleet.listen(upstream.serve), upstream)
        proxy.path_filter = self.fleet.path_filter
        host, port = former.address.split(":") if former else (f"{self.fleet.host}.200", 0)
        upstream.listener = await asyncio.start_server(proxy.serve, host, int(port))
        self.fleet.servers.append(upstream.listener)
        self.fleet.path_filter.add_listener(upstream.listener.sockets[0])
        upstream.address = "%s:%d" % upstream.listener.sockets[0].getsockname()[:2]

    def alive(self):
        return [upstream for upstream in self.upstreams if upstream.alive]

    async def depart(self, until):
        """Upstreams leave one after the other, each for some seconds."""
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.random.uniform(0.3, 0.9))
            staying = [upstream for upstream in self.alive() if not upstream.leaves]
            if staying:
                asyncio.create_task(self.leave(self.random.choice(staying)))

    async def leave(self, upstream):
        """Half of the upstreams report when they will end."""
        upstream.leaves, duration = True, self.random.uniform(1.2, 4.0)
        self.fleet.store.put(f"servers/{upstream.name}", {**upstream.entry, "state": "draining"})
        if self.random.random() < 0.5:
            upstream.leaves_at = asyncio.get_running_loop().time() + duration
        await self.add()
        await asyncio.sleep(duration)
        await self.end(upstream, self.random.choice(("reset", "refuses")))

    async def kill(self, until):
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.random.uniform(1.0, 2.5))
            if self.alive():
                await self.end(self.random.choice(self.alive()), self.random.choice(ENDS))

    async def end(self, upstream, how):
        if not upstream.alive:
            return
        self.counts["ends"][how] += 1
        self.note_ended_runs(upstream, how)
        upstream.crash() if how == "reset" else upstream.end_in_order()
        if how in ("reset", "refuses"):
            return await self.replace(upstream)
        await asyncio.sleep(self.random.choice((0.0, self.random.uniform(0.0, 0.5))))
        await self.add(upstream, has_same_name=how == "same name")
        if how == "another name":
            await self.remove_entry(upstream)

    def note_ended_runs(self, upstream, how):
        for call in self.calls:
            run = self.fleet.record.runs.get(call)
            if run is not None and upstream.runs(run):
                self.history[call].append(f"process: {how} at {upstream.name}")

    async def replace(self, upstream):
        """One that leaves has been replaced already."""
        if not upstream.leaves:
            await self.add()
        await self.remove_entry(upstream)

    async def remove_entry(self, upstream):
        await asyncio.sleep(self.random.uniform(0.0, 0.4))
        self.fleet.store.put(f"servers/{upstream.name}", None)

    # -- callers ----------------------------------------------------------------------------------

    async def send(self, until):
        calls = []
        while asyncio.get_running_loop().time() < until - REST_S:
            calls.append(asyncio.create_task(self.call(f"{self.fleet.seed:x}-moved-{len(calls)}")))
            await asyncio.sleep(self.random.expovariate(DRAFTS_PER_S))
        await asyncio.gather(*calls)

    async def call(self, call):
        observed = self.calls[call] = {"status": None, "whole": False, "body": b""}
        vm, prompt = self.random.randint(1, 3), f"{self.random.getrandbits(40):x}:900"
        fields = {"Host": "soak", "Plumdale-Request-Id": call, "Plumdale-Key": "key", "Plumdale-Request-Deadline-Ms": "15000",
                  "Plumdale-Token-Usage": "900,900", "Plumdale-Length-Hint": "300", "Plumdale-Prompt-Prefix": prompt, "Content-Length": "0"}
        text = f"POST {PREFIX}{call} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n"
        self.fleet.record.repeats.requested(call, SERVICE)
        try:
            reader, writer = await self.fleet.open(vm)
            writer.write(text.encode())
            await asyncio.wait_for(self.read_answer(reader, observed), 20)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass

    @staticmethod
    async def read_answer(reader, observed):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        observed["status"], observed["head"] = int(head.split(" ")[1]), head
        if "transfer-encoding: chunked" not in head:
            return await reader.readexactly(int(head.split("content-length:")[1].split("\r\n")[0]))
        while size := int(await reader.readuntil(b"\r\n"), 16):
            observed["body"] += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        observed["whole"] = True

    # -- promises ---------------------------------------------------------------------------------

    def violations(self, not_run_statuses):
        found = []
        for call, observed in self.calls.items():
            run = self.fleet.record.runs.get(call)
            if observed["status"] in not_run_statuses and run is not None:
                found.append(f"{call}: refused as not run with {observed['status']}, but it ran")
            if observed["status"] == 200 and "plumdale-response-seal: s" not in observed["head"]:
                found.append(f"{call}: a success without the upstream's seal")
            elif observed["status"] == 200:
                found += stream_violations(call, run.length, observed)
        return [f"{each}; {', '.join(self.history[each.split(':')[0]])}" for each in found]

    def false_ends(self):
        """Returns the calls that were told a complete stream and have part of one."""
        return [call for call, observed in self.calls.items() if observed["status"] == 200 and observed["whole"]
                and stream_violations(call, self.fleet.record.runs[call].length, observed)]

    def broken_streams(self):
        """Returns how many streams were broken off, and how many of them after their last event."""
        broken = [call for call, observed in self.calls.items() if observed["status"] == 200 and not observed["whole"]]
        with_all = [call for call in broken if self.calls[call]["body"].count(b"id: ") == self.fleet.record.runs[call].length]
        return len(broken), len(with_all)

    def summary(self):
        streams = [observed for observed in self.calls.values() if observed["status"] == 200]
        (broken, with_all), false_ends = self.broken_streams(), self.false_ends()
        share = 100 * broken / max(1, len(streams))
        lost = sum(count for kind, count in self.counts["answers"].items() if kind not in SOUND_ANSWERS)
        carried_out = sum(self.counts["orders"].values())
        killed = sum(count for how, count in self.counts["ends"].items() if how != "reset")
        kinds = "; ".join(f"{what}: {text_of_counts(counts)}" for what, counts in sorted(self.counts.items()) if counts)
        return (f"{len(self.calls)} moved drafts {'with' if self.has_backups else 'without'} backups, {len(streams)} streams, "
                f"{broken} of them broken off ({share:.0f}%), {with_all} after the last event; {carried_out} orders to stop carried out, {lost} of their answers lost; {killed} processes killed; "
                f"{len(false_ends)} false ends{''.join(f' {call}' for call in false_ends)}\n  {kinds}")
