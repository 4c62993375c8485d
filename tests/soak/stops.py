"""Soak of one planned stop: what each call that an entry VM reads around its SIGTERM is told.

usage: tests/soak/stops.py [--seeds N] [--first SEED] [--parallel P] [--binary FILE]

Each seed starts three entry VMs and the upstreams of reloads.py. Calls of each kind are sent to one VM from shortly before
its SIGTERM to the end of its grace. In even seeds all upstreams are silent from then on, so that nothing is answered; in
odd seeds they are sound, and the calls are uploaded slowly. Each call that was sent whole is owed an answer, a refusal
states the truth, and one that may run once is not cut. In two of four seeds (4 and 5 first) the settings state a shorter
grace while the VM stops, with a SIGHUP: the stop goes on for the grace of its begin, and no call is given up before. The
last line is `N passed, N failed`; a failed seed prints its violations and the folder of its logs.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import signal
import sys
import tempfile

from reloads import GRACE_S, PlannedFleet
from soak import report

STOPPED_VM = 2
BEFORE_S, STEP_S = 0.3, 0.3
# The routes allow more than the whole grace; callers of uploaded calls have less.
LONG_MS, SHORT_MS = 20_000, 1_200
# Longer than the balancer needs to see a stop: a VM without calls ends then.
UPLOAD_S = 2.2
# When the settings state a shorter grace, and which.
SHORTENED_AFTER_S, SHORTENED_GRACE_S = 2.0, 1.0
KINDS = ("event", "fetch", "draft")
DRAFT_FIELDS = "Plumdale-Token-Usage: 3000,300\r\nPlumdale-Length-Hint: 100\r\n"
# A process stops so long before its grace ends.
GRACE_MARGIN_S = 0.3


class StopFleet(PlannedFleet):
    async def start(self):
        await super().start()
        self.path_filter.restore()
        self.told = []

    async def shorten_grace(self):
        """Has the settings state a shorter grace during the stop, as the platform may at any time."""
        await asyncio.sleep(SHORTENED_AFTER_S)
        self.grace_s = SHORTENED_GRACE_S
        (self.folder / f"vm-{STOPPED_VM}.json").write_text(json.dumps(self.settings_of(STOPPED_VM)))
        self.send_signal(STOPPED_VM, signal.SIGHUP)

    def silence(self):
        for proxy in self.proxies:
            proxy.silent = proxy.upstream is not None

    async def send_call(self, kind, number, upload_s, began):
        """Sends a call, its last byte `upload_s` after its first, and records what it is told."""
        loop, call = asyncio.get_running_loop(), f"{self.seed:x}-{kind}-{number}"
        self.record.repeats.requested(call, "engine" if kind == "draft" else "plain")
        time_ms = SHORT_MS if upload_s else LONG_MS
        text = (f"POST /{kind}/{call} HTTP/1.1\r\nHost: soak\r\nPlumdale-Request-Id: {call}\r\nPlumdale-Key: key\r\n"
                f"Plumdale-Request-Deadline-Ms: {time_ms}\r\n{DRAFT_FIELDS if kind == 'draft' else ''}Content-Length: 1\r\n\r\nx")
        sent_at, answer, is_sent = None, b"", False
        try:
            reader, writer = await asyncio.open_connection(f"{self.host}.{STOPPED_VM}", 18080)
            writer.write(text[:-1].encode())
            await asyncio.sleep(upload_s)
            sent_at = loop.time() - began
            writer.write(text[-1:].encode())
            is_sent = True
            answer = await reader.read(-1 if upload_s else 4096)
            writer.close()
        except OSError:
            pass
        self.told.append((call, kind, sent_at, loop.time() - began, answer, is_sent))

    def ran(self, call):
        return call in self.record.plain_runs or call in self.record.runs

    def violations(self):
        found = list(self.record.violations)
        for call, _, sent_at, ended_at, answer, is_sent in self.told:
            status = answer.split(b" ")[1].decode() if answer.startswith(b"HTTP/1.1 ") else None
            was_in_time = is_sent and sent_at < GRACE_S - GRACE_MARGIN_S
            if was_in_time and status is None:
                found.append(f"LOST: {call}, sent at {sent_at:.2f} s, was closed at {ended_at:.2f} s without an answer")
            if was_in_time and status == "502" and ended_at < GRACE_S - GRACE_MARGIN_S:
                found.append(f"LOST: {call}, sent at {sent_at:.2f} s, was given up at {ended_at:.2f} s, before the grace was over")
            if status == "503" and self.ran(call):
                found.append(f"REFUSED: {call} ran, and was told 503")
            if status == "503" and b"Retry-After: " not in answer:
                found.append(f"{call} was told 503 without a time to return")
        return found


async def soak(seed, binary):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"plumdale-stops-{seed}-"))
    fleet, loop = StopFleet(seed, binary, folder), asyncio.get_running_loop()
    upload_s = UPLOAD_S if seed % 2 else 0.0
    try:
        await fleet.start()
        await asyncio.sleep(2.0)
        began = loop.time() + BEFORE_S
        if not upload_s:
            fleet.silence()

        async def send_later(kind, at):
            await asyncio.sleep(began + at - loop.time())
            await fleet.send_call(kind, f"{at:.1f}", upload_s, began)

        # Uploads begin before the balancer knows of the stop.
        last = 2.5 if upload_s else GRACE_S - GRACE_MARGIN_S
        moments = [-BEFORE_S + STEP_S * step for step in range(int((last + BEFORE_S) / STEP_S) + 1)]
        # A stream would keep the VM from ending while calls are uploaded.
        kinds = KINDS[:2] if upload_s else KINDS
        tasks = [asyncio.create_task(send_later(kind, at)) for at in moments for kind in kinds]
        await asyncio.sleep(began - loop.time())
        fleet.starting.add(STOPPED_VM)
        fleet.send_signal(STOPPED_VM, signal.SIGTERM)
        if seed // 2 % 2 == 0:
            tasks.append(asyncio.create_task(fleet.shorten_grace()))
        await asyncio.gather(*tasks)
        await asyncio.wait_for(fleet.vms[STOPPED_VM].wait(), GRACE_S)
    finally:
        await fleet.stop()
    violations = fleet.violations()
    statuses = collections.Counter(answer.split(b" ")[1].decode() if answer else "none" for *_, answer, _ in fleet.told)
    print(f"seed {seed}: {len(fleet.told)} calls, {'ok' if not violations else f'FAILED, logs in {folder}'}", flush=True)
    print(f"  {', '.join(f'{status}: {count}' for status, count in sorted(statuses.items()))}", flush=True)
    for line in violations[:12]:
        print(f"  {line}", flush=True)
    return not violations


async def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--first", type=int, default=2)
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--binary", default="build/bin/plumdaled")
    options = parser.parse_args()
    asyncio.get_running_loop().set_exception_handler(report)
    limiter = asyncio.Semaphore(options.parallel)

    async def one(seed):
        async with limiter:
            return await soak(seed, options.binary)

    results = await asyncio.gather(*(one(seed) for seed in range(options.first, options.first + options.seeds)))
    print(f"{results.count(True)} passed, {results.count(False)} failed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
