"""A machine that was suspended while a runner left goes on sending that runner requests for good."""

import asyncio
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins as s

VMS = 6
ROUTES = [s.route("page-fetch", "/page/", "non_idempotent", "api", 1500, 300),
          s.route("answer-check", "/check/", "streaming", "pool", 6000, 1500, targetGapMs=180),
          s.route("faq-draft", "/draft/", "streaming", "pool", 39_000, 1800, targetGapMs=180)]
SUSPENDED_S = 5.0      # the bench's `node_freeze` takes 5 s
REMOVED_AFTER_S = 4.7  # of the suspension
CONTACT_S, DRAIN_S = s.BOUNDS["contactMs"] / 1000, s.BOUNDS["drainMs"] / 1000
SERVED_ON_S = 15.0     # "drainMs after the store has accepted that report and a little longer (at times many seconds)"
# Generations a second on the site's sheet, 4.63 drafts and 6.46 answer-checks, and the tokens of each.
LOAD_PER_S, DRAFTS = 11.09, 4.63 / 11.09
TOKENS = {"draft": "3079,932", "check": "2550,12"}
EVENTS = {"draft": 40, "check": 3}


class Runner:
    """A sound runner of either service."""

    def __init__(self, name, record):
        self.name, self.record, self.arrived, self.leaves_at = name, record, {}, None

    async def serve(self, reader, writer):
        try:
            while received := await s.read_message(reader):
                await self.handle(received, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    async def handle(self, received, writer):
        start, headers, _ = received
        call, target = headers.get(s.WIRE["request_id"].lower(), ""), start.split(" ")[1]
        if target.startswith("/v1/report"):
            return writer.write(s.message(200, b'{"phase":"both","busy":false,"sequence":1}', [("Content-Type", "application/json")]))
        if target.startswith("/v1/"):
            return writer.write(s.message(404))
        fields = [(s.WIRE["request_id"], call), (s.WIRE["runner"], self.name)]
        if headers.get(s.WIRE["expected_runner"].lower()) != self.name:
            return writer.write(s.message(421, b"", [*fields, (s.WIRE["not_run"], "1")]))
        self.arrived[call] = self.record.now()
        fields.append((s.WIRE["signature"], "seal"))
        kind = target.split("/")[1]
        if kind not in EVENTS:
            self.record.note(f"{self.name} runs {call}")
            await asyncio.sleep(0.02)
            return writer.write(s.message(200, f"answer {call}".encode(), fields))
        head = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields), "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for index in range(1, EVENTS[kind] + 1):
            await asyncio.sleep(0.02)
            event = f"id: {index}\ndata: {index}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(b"0\r\n\r\n")


async def ask(address, text, wait_s):
    """Sends a request on a new channel; returns the status of its answer, or 0."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, 18740), 1)
        writer.write(text)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), wait_s)
        if b"chunked" in head:
            await asyncio.wait_for(reader.readuntil(b"\r\n0\r\n\r\n"), wait_s)
        writer.close()
        return int(head.split(b" ")[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0


async def reads_store(address):
    """Returns whether a machine is one of those that read the store now, as `plumctl forward status` shows it."""
    reader, writer = await asyncio.open_connection(address, 18749)
    writer.write(b"GET /status HTTP/1.1\r\nHost: status\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
    page = json.loads(await reader.readexactly(length))
    writer.close()
    return page["entry"]["reads_platform"] if "entry" in page else page["reads_platform"]


class Case:
    def __init__(self, deployment, record, trouble):
        self.deployment, self.record, self.trouble, self.loading, self.generations = deployment, record, trouble, True, 0
        self.suspended = None

    async def load(self):
        """Keeps the machines that run busy with generations."""
        tasks, number = set(), 0
        while self.loading:
            number += 1
            vm = number % VMS + 1
            if vm != self.suspended:
                kind = "draft" if number * DRAFTS % 1 < DRAFTS else "check"
                text = s.request_text("POST", f"/{kind}/{number}", f"a{number:015x}", 6000, b"{}", [
                    (s.WIRE["model"], "m"), (s.WIRE["token_demand"], TOKENS[kind]),
                    (s.WIRE["prompt_parts"], f"5c1e07a2:79,{number:08x}:2471")])
                task = asyncio.create_task(ask(self.deployment.address(vm), text, 6))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                self.generations += 1
            await asyncio.sleep(1 / LOAD_PER_S)

    async def fetch(self, vm, name):
        sent_at = self.record.now()
        text = s.request_text("POST", f"/page/{name}", name, 1500, b"{}")
        status = await ask(self.deployment.address(vm), text, 2)
        self.record.note(f"{name}: sent at {sent_at:.3f} s to front-{vm}, answered {status}")
        return sent_at

    async def run(self):
        deployment, record = self.deployment, self.record
        deployment.store.put("op/config", s.configuration(7, ROUTES))
        for n in range(3):
            for service in ("api", "pool"):
                runner = Runner(f"i-{service}{n}", record)
                deployment.store.put(f"servers/{runner.name}", s.beat(service, await deployment.listen(runner.serve), s.ZONES[n], slots=6 if service == "api" else 24))
        await deployment.start()
        load = asyncio.create_task(self.load())
        await asyncio.sleep(4)
        added = Runner("i-added", record)
        deployment.store.put("servers/i-added", s.beat("api", await deployment.listen(added.serve), s.ZONES[0]))
        record.note("i-added is listed")
        await asyncio.sleep(2)
        readers = [n for n in deployment.numbers if await reads_store(deployment.address(n))]
        vm = next(n for n in deployment.numbers if n not in readers)
        record.note(f"machines that read the store: {readers}")
        for n in range(8):
            await self.fetch(vm, f"b{n:015x}")
        if self.trouble:
            self.suspended = vm
            deployment.send_signal(vm, signal.SIGSTOP)
            record.note(f"front-{vm} is suspended")
        await asyncio.sleep(REMOVED_AFTER_S)
        deployment.store.put("servers/i-added", None)
        removed_at = record.now()
        record.note("i-added is removed from the store; it serves on")
        await asyncio.sleep(SUSPENDED_S - REMOVED_AFTER_S)
        resumed_at = record.now()
        if self.trouble:
            deployment.send_signal(vm, signal.SIGCONT)
            self.suspended = None
            record.note(f"front-{vm} runs again")
        # From here on the machine is in touch, and drainMs have passed since the store's confirmation.
        await asyncio.sleep(max(resumed_at + CONTACT_S, removed_at + DRAIN_S) + 0.5 - record.now())
        sent = {}
        while record.now() < removed_at + SERVED_ON_S:
            names = [f"d{len(sent) + n:015x}" for n in range(3)]
            sent.update(zip(names, await asyncio.gather(*(self.fetch(vm, name) for name in names))))
            await asyncio.sleep(0.1)
        self.loading = False
        await load
        late = [name for name in sent if name in added.arrived]
        for name in late:
            record.note(f"{name} reached i-added {added.arrived[name] - removed_at:.2f} s after its removal was confirmed")
        record.note(f"{self.generations} generations as load; {len(sent)} page-fetches sent, {len(late)} of them reached i-added")
        return bool(late)


async def main(deployment, record, trouble):
    return await Case(deployment, record, trouble).run()


s.run(main, FOLDER, VMS)
