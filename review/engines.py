"""Runners of generations for the scripts of the review: streams of events, backups of memory, and resumption."""

import asyncio

from standins import REQUEST_ID, WIRE, Runner, read_message, response, sealed

TOKENS_PER_EVENT = 4


class Generation:
    """One request's generation: its length in events, and the runners that work on it now."""

    def __init__(self, call, length):
        self.call, self.length, self.generated, self.working, self.backup = call, length, 0, {}, None


class Engine(Runner):
    """Generates `length` events per request, `event_s` apart.

    `spoils(call)` says whether the answer of a request is spoiled in its middle. `drops_closed` says whether this runner
    drops a request when its channel closes, as most do. All engines of a deployment share `generations`.
    """

    def __init__(self, name, zone, deployment, generations, length, event_s):
        super().__init__(name, "engine", zone, deployment, None, 24)
        self.generations, self.length, self.event_s = generations, length, event_s
        self.spoils, self.drops_closed = (lambda call: False), True
        # Requests whose memory other runners send here.
        self.backups = set()

    async def run(self, message, writer):
        call, fields = message.fields[REQUEST_ID], message.fields
        resumed = fields.get(WIRE["resume_from"].lower())
        generation = self.generations.get(call)
        if resumed:
            is_here = resumed == f"{self.address}/{call}" and call in self.backups
            if generation is None or not is_here:
                return writer.write(response(503, b"", [(WIRE["request_id"], call), (WIRE["not_run"], "1")]))
            first = int(fields.get("last-event-id", "0"))
            self.deployment.note("resumed", call=call, runner=self.name, after_event=first,
                                 working=sorted(generation.working.values()))
        else:
            generation, first = Generation(call, self.length), 0
            self.generations[call] = generation
        if holder := fields.get(WIRE["backup"].lower()):
            for engine in self.deployment.runners:
                if engine.address == holder:
                    engine.backups.add(call)
        await self.generate(generation, first, writer)

    async def generate(self, generation, first, writer):
        run = object()
        generation.working[run] = self.name
        self.deployment.note("works", call=generation.call, runner=self.name, after_event=first)
        head = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in sealed(generation.call)),
                "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        spoiled_at = generation.length // 3 if first == 0 and self.spoils(generation.call) else None
        try:
            for index in range(first + 1, generation.length + 1):
                await asyncio.sleep(self.event_s)
                is_closed = writer.transport.is_closing()
                if is_closed and self.drops_closed:
                    return
                generation.generated = max(generation.generated, index)
                if is_closed:
                    continue
                event = f"id: {index}\ndata: piece {index} of {generation.length}\n\n".encode()
                chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
                if index == spoiled_at:
                    self.deployment.note("spoiled", call=generation.call, runner=self.name, event=index)
                    chunk = bytes(byte ^ 0xA5 for byte in chunk)
                writer.write(chunk)
            writer.write(b"0\r\n\r\n")
        finally:
            del generation.working[run]
            self.deployment.note("ends work", call=generation.call, runner=self.name, events=generation.generated)


async def read_events(reader):
    """Reads one answer; returns (status, ids of its events, whether it came to its end)."""
    answer = await read_message(reader)
    if answer is None:
        return 0, [], False
    ids = [int(line[3:]) for line in answer.body.decode().split("\n") if line.startswith("id:")]
    return int(answer.start.split(" ")[1]), ids, True
