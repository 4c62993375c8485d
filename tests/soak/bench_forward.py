#!/usr/bin/env python3
"""Measures the processor time and delay that a forwarding entry VM adds to calls sent directly to an upstream.

usage: tests/soak/bench_forward.py [--calls N] [--streams N] [--binary FILE]
Starts one entry VM and the soak's stand-ins on loopback, and sends the same calls directly and through the
VM in one run. Prints processor time per plain call and per stream event, memory at rest and per open
stream, and the added delay of plain calls at p50 and p99.
"""
import argparse
import asyncio
import os
import pathlib
import sys
import tempfile
import time

import soak

TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
EVENTS = 60


class SteadyUpstream(soak.Upstream):
    """Answers without delay, and streams one event every 10 ms."""

    async def handle(self, message, writer):
        start, headers, _ = message
        target = start.split(" ")[1]
        if target.startswith("/v1/"):
            return writer.write(http_response(b"{}"))
        head = [("Plumdale-Request-Id", headers.get("plumdale-request-id", "")), ("Plumdale-Response-Seal", "s")]
        if not target.startswith("/draft/"):
            return writer.write(http_response(b"x" * 800, head))
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in head), "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for index in range(1, EVENTS + 1):
            await asyncio.sleep(0.01)
            event = f"id: {index}\ndata: {'x' * 380}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(b"0\r\n\r\n")


def http_response(body, fields=()):
    lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in fields), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def resident_kb(pid):
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


def request(kind, call, extra=""):
    return (f"POST /{kind}/{call} HTTP/1.1\r\nHost: soak\r\nPlumdale-Request-Id: {call}\r\nPlumdale-Key: key\r\n"
            f"Plumdale-Request-Deadline-Ms: 30000\r\nContent-Length: 0\r\n{extra}\r\n").encode()


async def plain_calls(address, count, name):
    """Returns the sorted durations of calls sent one after another on one connection."""
    reader, writer = await asyncio.open_connection(*address)
    times = []
    for number in range(count):
        start = time.perf_counter()
        writer.write(request("event", f"{name}-{number}"))
        await asyncio.wait_for(soak.Fleet.read_answer(None, reader, {"body": b""}), 10)
        times.append(time.perf_counter() - start)
    writer.close()
    return sorted(times)


async def stream(address, name):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request("draft", name, "Plumdale-Token-Usage: 100,900\r\nPlumdale-Length-Hint: 300\r\n"))
    seen = {"body": b""}
    await asyncio.wait_for(soak.Fleet.read_answer(None, reader, seen), 60)
    writer.close()
    return seen["body"].count(b"id: ")


async def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=4000)
    parser.add_argument("--streams", type=int, default=60)
    parser.add_argument("--binary", default="build/bin/plumdaled")
    options = parser.parse_args()
    soak.Upstream = SteadyUpstream
    asyncio.get_running_loop().set_exception_handler(soak.report)
    fleet = soak.Fleet(77, options.binary, pathlib.Path(tempfile.mkdtemp(prefix="plumdale-bench-")))
    try:
        await fleet.start()
        for number in (2, 3):
            fleet.vms[number].kill()
        await asyncio.sleep(4.0)
        pid, vm = fleet.vms[1].pid, (f"{fleet.host}.1", 18080)
        upstream_address = tuple(next(u for u in fleet.upstreams.values() if u.entry["service"] == "plain").entry["address"]
                         .rsplit(":", 1))
        direct = await plain_calls(upstream_address, options.calls, "direct")
        rest_kb, before = resident_kb(pid), cpu_seconds(pid)
        forwarded = await plain_calls(vm, options.calls, "through")
        cpu_used = cpu_seconds(pid) - before
        print(f"plain call: {1e6 * cpu_used / options.calls:.0f} us of processor time; delay added "
              f"p50 {1e3 * (forwarded[len(forwarded) // 2] - direct[len(direct) // 2]):.2f} ms, "
              f"p99 {1e3 * (forwarded[len(forwarded) * 99 // 100] - direct[len(direct) * 99 // 100]):.2f} ms")
        before = cpu_seconds(pid)
        running = [asyncio.create_task(stream(vm, f"draft-{number}")) for number in range(options.streams)]
        await asyncio.sleep(0.4)
        open_kb = resident_kb(pid) - rest_kb
        events = sum(await asyncio.gather(*running))
        cpu_used = cpu_seconds(pid) - before
        print(f"stream event: {1e6 * cpu_used / max(1, events):.0f} us of processor time, {events} events, opening of the "
              "streams included")
        print(f"memory: {rest_kb / 1024:.1f} MB at rest, {open_kb / options.streams:.1f} KB for each open stream")
        return 0 if events == options.streams * EVENTS else 1
    finally:
        await fleet.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
