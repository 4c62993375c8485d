"""Planned stop of an entry VM while callers with slow links still read their answers."""

import asyncio
import pathlib
import signal
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins as s

ANSWER = bytes(range(256)) * 8192  # 2 MiB, half of maxBodyBytes
READ_BYTES_PER_S = 300_000  # a link of 2.4 Mbit/s
CALLERS, DEADLINE_MS = 6, 12_000
ROUTES = [s.route("page-fetch", "/page/", "non_idempotent", "api", 12_000, 300)]


class Runner:
    """A sound runner: it runs each request once and answers with a length."""

    def __init__(self, name, record):
        self.name, self.record, self.runs = name, record, {}

    async def serve(self, reader, writer):
        while received := await s.read_message(reader):
            _, headers, _ = received
            call = headers.get("plumdale-request-id", "")
            fields = [("Plumdale-Request-Id", call), ("Plumdale-Instance-Id", self.name)]
            if headers.get("plumdale-expect-instance") != self.name:
                writer.write(s.message(421, b"", [*fields, ("Plumdale-Not-Executed", "1")]))
                continue
            self.runs[call] = self.runs.get(call, 0) + 1
            self.record.note(f"{self.name} runs {call}")
            await asyncio.sleep(0.06)
            writer.write(s.message(200, ANSWER, [*fields, ("Plumdale-Response-Seal", "seal")]))
            self.record.note(f"{self.name} has answered {call} with {len(ANSWER)} bytes")
        writer.close()


async def slow_call(address, call, record):
    """Sends one request and reads its answer at the speed of a slow link; returns whether it came whole."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    # The window and segment size of a connection over a slow link.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    await loop.sock_connect(sock, (address, 18740))
    await loop.sock_sendall(sock, s.request_text("POST", f"/page/{call}", call, DEADLINE_MS, b"{}"))
    sent_at, received = record.now(), b""
    record.note(f"caller sent {call}")
    length, ending = None, "the time budget passed"
    try:
        while record.now() < sent_at + DEADLINE_MS / 1000:
            data = await asyncio.wait_for(loop.sock_recv(sock, 8192), sent_at + DEADLINE_MS / 1000 - record.now())
            if not data:
                ending = "the VM closed the channel"
                break
            received += data
            head, gap, body = received.partition(b"\r\n\r\n")
            if gap and length is None:
                length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                record.note(f"{call}: answer begins, status {head.split(b' ')[1].decode()}, {length} bytes")
            if length is not None and len(body) >= length:
                ending = "whole"
                break
            await asyncio.sleep(len(data) / READ_BYTES_PER_S)
    except (ConnectionError, asyncio.TimeoutError) as error:
        ending = f"the VM cut the channel ({error!r})" if isinstance(error, ConnectionError) else ending
    sock.close()
    whole = ending == "whole" and received.partition(b"\r\n\r\n")[2] == ANSWER
    record.note(f"{call}: {ending} after {record.now() - sent_at:.2f} s, {len(received)} bytes read")
    return ending


async def main(deployment, record, trouble):
    deployment.store.put("op/config", s.configuration(7, ROUTES))
    runners = [Runner(f"i-{n}", record) for n in range(3)]
    for runner, zone in zip(runners, s.ZONES):
        deployment.store.put(f"servers/{runner.name}", s.beat("api", await deployment.listen(runner.serve), zone))
    await deployment.start()
    await asyncio.sleep(3.5)  # longer than contactMs
    calls = [asyncio.create_task(slow_call(deployment.address(1), f"c{n:015x}", record)) for n in range(CALLERS)]
    await asyncio.sleep(0.5)
    if trouble:
        record.note("SIGTERM to front-1")
        deployment.send_signal(1, signal.SIGTERM)
    endings = await asyncio.gather(*calls)
    if trouble:
        await asyncio.wait_for(deployment.processes[1].wait(), 10)
        record.note(f"front-1 has ended with {deployment.processes[1].returncode}")
    runs = sum(sum(runner.runs.values()) for runner in runners)
    record.note(f"{CALLERS} sent, {runs} run, {endings.count('whole')} answered whole")
    # LOST: passed on to a runner, and the channel ends without a complete answer within the time budget.
    return any(ending.startswith("the VM") for ending in endings)


s.run(main, FOLDER)
