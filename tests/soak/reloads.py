"""Soak of planned work alone: reloads, configurations and stops beside silent upstreams and slow callers.

usage: tests/soak/reloads.py [--seeds N] [--first SEED] [--seconds S] [--parallel P] [--binary FILE]

Each seed starts three entry VMs and the upstreams of soak.py, which are sound here. Callers keep their channels and read
at 100 kB/s to 10 MB/s. Settings files are rewritten, also half-written and without a signal; SIGHUPs come one by one and
many at once; configurations change the idle limit, time-outs and the service of a route; VMs are stopped and started; and
upstreams do nothing for a second or more. All of it comes in series and overlaps. In odd seeds a VM has no path to
upstreams, so that its calls go through a peer. Bodies come with a length or in chunks, also slowly (uploads.py). Engines of a service of their own leave meanwhile (departures.py). Each call
that was read is owed a whole answer. The last line is `N passed, N failed`; a failed seed prints its violations and the
folder of its logs, in which `cuts.txt` says why each stream of a leaving engine ended and what became of its memory.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

from departures import Departures
from platform_standin import CONFIGURATION, SEAL, Upstream, http_response
from repeats import RepeatCheck, limit_of
from slow_channel import Channel
from soak import Fleet, report
from uploads import UploadDraws, body_violations

# No call of these sound upstreams comes near its route's timeout, which would excuse it.
GRACE_S, MIN_TIMEOUT_MS, DEADLINE_MS = 8, 15_000, 20_000
MAX_ANSWER_BYTES, MAX_READING_S = 4_500_000, 4.0
CALLERS_PER_VM = 4
# A stopping VM closes so long before its grace ends.
GRACE_MARGIN_S = 0.3
# VMs have written their lines after this time.
LOG_DELAY_S = 0.3
SERVICES = ("plain", "plain-2", "engine")


class SoundUpstream(Upstream):
    """Answers all that it takes; a path /event/large/BYTES/ID states the length of its answer."""

    async def handle(self, message, writer):
        self.record.violations += body_violations(message)
        target = message[0].split(" ")[1]
        if not target.startswith("/event/large/"):
            return await super().handle(message, writer)
        call = message[1]["plumdale-request-id"]
        self.record.plain_runs[call] = self.record.plain_runs.get(call, 0) + 1
        await asyncio.sleep(self.random.uniform(0.002, 0.03))
        body = b"x" * int(target.split("/")[3])
        writer.write(http_response(200, body, [("Plumdale-Request-Id", call), (SEAL, "s")]))

    def closes_answers(self, call):
        return False


class PlannedFleet(Fleet):
    upstream_type, grace_s, has_kind_upstreams = SoundUpstream, GRACE_S, True

    def __init__(self, seed, binary, folder):
        super().__init__(seed, binary, folder)
        self.draws, self.next_call, self.stopped_at, self.outcomes = random.Random(f"reloads {seed}"), 0, {}, []
        # Calls that a stopping VM refused: one that holds long streams lives to the end of its grace, while no balancer leads
        # these callers elsewhere.
        self.turned_away = set()
        self.uploads = UploadDraws(seed)
        self.wall_offset_s = time.time() - asyncio.get_running_loop().time()
        self.allow_repeats(*limit_of(seed))

    def allow_repeats(self, ratio, slack):
        """Sets the allowance that all VMs have together, before they start."""
        self.allowance, self.record.repeats = (ratio, slack), RepeatCheck(ratio, slack)

    def settings_of(self, number):
        ratio, slack = self.allowance
        return {**super().settings_of(number), "repeat_ratio": ratio, "repeat_slack": slack}

    def first_services(self):
        return ("plain", "plain", "plain-2", "engine", "engine", "engine")

    async def start(self):
        await super().start()
        published = self.store.values["op/config"]
        services = [*CONFIGURATION["services"], {"name": "plain-2", "maxConnections": 200}]
        routes = [{**route, "timeoutMs": MIN_TIMEOUT_MS} for route in published["routes"]]
        self.store.put("op/config", {**published, "version": published["version"] + 1, "services": services, "routes": routes})
        if self.seed % 2:
            self.path_filter.cut([1], "new")

    # -- callers ----------------------------------------------------------------------------------

    async def call_repeatedly(self, vm, until):
        channel = Channel((f"{self.host}.{vm}", 18080))
        while asyncio.get_running_loop().time() < until:
            await self.send_slow_call(channel, vm)
            # Some channels rest for most of the shortest idle limit.
            await asyncio.sleep(self.draws.choice((0.0, 0.05, 0.3, 1.2)))
        channel.close()

    def draw_target(self, channel, call):
        channel.bytes_per_s = 10 ** self.draws.uniform(5, 7)
        if self.draws.random() < 0.4:
            return f"/draft/{call}"
        most = min(MAX_ANSWER_BYTES, int(channel.bytes_per_s * MAX_READING_S))
        return f"/event/large/{self.draws.randint(1_000, most)}/{call}"

    async def send_slow_call(self, channel, vm):
        self.next_call += 1
        call = f"{self.seed:x}-planned-{self.next_call}"
        target, loop = self.draw_target(channel, call), asyncio.get_running_loop()
        self.calls[call] = {"kind": target.split("/")[1], "status": None, "whole": False}
        self.record.repeats.requested(call, "engine" if target.startswith("/draft") else "plain")
        upload = self.uploads.upload(call, f"POST {target} HTTP/1.1\r\nHost: soak\r\nPlumdale-Request-Id: {call}\r\nPlumdale-Key: key\r\n"
                                     f"Plumdale-Request-Deadline-Ms: {DEADLINE_MS}\r\nPlumdale-Token-Usage: 3000,900\r\n"
                                     "Plumdale-Length-Hint: 300\r\n")
        status, is_whole, sent_at = None, False, loop.time()
        try:
            if channel.is_ended():
                await channel.open()
            await upload.send(channel.socket)
            head = (await channel.take_line(b"\r\n\r\n")).decode("latin-1").lower()
            status = int(head.split(" ")[1])
            await self.read_body(channel, head)
            is_whole = True
            if "connection: close" in head:
                channel.close()
        except (EOFError, OSError):
            channel.close()
        self.calls[call] |= {"status": status, "whole": is_whole}
        if status == 503 and vm in self.starting:
            self.turned_away.add(call)
        self.outcomes.append((call, vm, sent_at, loop.time(), status, is_whole))

    async def read_body(self, channel, head):
        if "transfer-encoding: chunked" not in head:
            return await channel.take(int(head.split("content-length:")[1].split("\r\n")[0]))
        while size := int(await channel.take_line(b"\r\n"), 16):
            await channel.take(size + 2)
        await channel.take(2)

    # -- planned work -----------------------------------------------------------------------------

    async def rewrite_settings(self):
        """Writes a settings file in two parts, with signals in between and after it, or none."""
        vm = self.draws.randint(1, 3)
        settings, file = self.settings_of(vm), self.folder / f"vm-{vm}.json"
        settings["event_delay_ms"] = self.draws.choice((100, 120, 200))
        text = json.dumps(settings)
        file.write_text(text[: self.draws.randint(0, len(text) - 1)])
        self.signal_reload(vm, self.draws.choice((0, 1, 20)))
        await asyncio.sleep(self.draws.uniform(0.0, 0.3))
        file.write_text(text)
        self.signal_reload(vm, self.draws.choice((0, 1, 20)))

    def signal_reload(self, vm, count):
        for _ in range(count):
            self.send_signal(vm, signal.SIGHUP)

    def send_signal(self, vm, number):
        """Signals a VM, also one that is just starting; one that ended by itself is a violation."""
        try:
            self.vms[vm].send_signal(number)
        except ProcessLookupError:
            if vm not in self.starting:
                self.record.violations.append(f"VM {vm} ended by itself")

    async def reload_all(self):
        for vm in (1, 2, 3):
            self.signal_reload(vm, self.draws.randint(1, 5))
            await asyncio.sleep(self.draws.uniform(0.0, 0.2))

    async def configure(self):
        """Publishes a configuration that changes the idle limit, time-outs or the service of a route."""
        published = self.store.values["op/config"]
        changed = {**published, "version": published["version"] + self.draws.randint(1, 3)}
        how = self.draws.choice(("idle", "timeout", "route"))
        if how == "idle":
            changed["limits"] = {**published["limits"], "idleTimeoutMs": self.draws.choice((1_500, 3_000, 15_000))}
        elif how == "timeout":
            changed["routes"] = [{**route, "timeoutMs": self.draws.randint(MIN_TIMEOUT_MS, DEADLINE_MS)} for route in published["routes"]]
        else:
            changed["routes"] = [{**route, "service": self.draws.choice(SERVICES[:2])} if route["name"] == "event" else route
                                 for route in published["routes"]]
        self.store.put("op/config", changed)

    async def silence_upstreams(self):
        """Some upstreams, or all, do nothing for a second or more, as a process that is suspended."""
        proxies = [proxy for proxy in self.proxies if proxy.upstream is not None]
        silent = self.draws.sample(proxies, self.draws.choice((1, 3, len(proxies))))
        for proxy in silent:
            proxy.silent = True
        await asyncio.sleep(self.draws.uniform(1.0, 1.5))
        for proxy in silent:
            proxy.silent = False

    async def stop_and_start(self):
        vm = self.draws.randint(1, 3)
        if self.starting:
            return
        self.starting.add(vm)
        self.stopped_at.setdefault(vm, []).append(asyncio.get_running_loop().time())
        self.send_signal(vm, signal.SIGTERM)
        try:
            await asyncio.wait_for(self.vms[vm].wait(), GRACE_S)
        except asyncio.TimeoutError:
            # It may end by itself at this moment.
            with contextlib.suppress(ProcessLookupError):
                self.vms[vm].kill()
            await self.vms[vm].wait()
        await self.start_vm(vm)
        self.starting.discard(vm)

    async def work(self, until):
        kinds = (self.rewrite_settings, self.reload_all, self.configure, self.configure, self.silence_upstreams,
                 self.silence_upstreams, self.stop_and_start)
        tasks = []
        while asyncio.get_running_loop().time() < until:
            tasks.append(asyncio.create_task(self.draws.choice(kinds)()))
            await asyncio.sleep(self.draws.expovariate(2.0))
        await asyncio.gather(*tasks)

    # -- promises ---------------------------------------------------------------------------------

    def is_excused(self, vm, sent_at, ended_at):
        """A call isn't owed an answer if the VM had closed its channel, or ran to the end of its grace meanwhile."""
        return any(at + GRACE_S - GRACE_MARGIN_S <= ended_at and sent_at <= at + GRACE_S for at in self.stopped_at.get(vm, []))

    def violations(self):
        found = list(self.record.violations)
        for call, vm, sent_at, ended_at, status, is_whole in self.outcomes:
            ran = call in self.record.plain_runs or call in self.record.runs
            if ran and not is_whole and not self.is_excused(vm, sent_at, ended_at):
                found.append(f"LOST: {call} ran, and its answer of status {status} ended {ended_at - sent_at:.2f} s after it was sent to VM {vm}")
            if ran and status is not None and status != 200:
                found.append(f"LOST: {call} ran at a sound upstream and was answered {status} by VM {vm}")
            if self.record.plain_runs.get(call, 0) > 1:
                found.append(f"TWICE: {call}")
        return found


async def soak(seed, binary, seconds):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"plumdale-reloads-{seed}-"))
    fleet, loop = PlannedFleet(seed, binary, folder), asyncio.get_running_loop()
    departures = Departures(fleet)
    fleet.allow_repeats(*departures.allowance)
    try:
        await fleet.start()
        await departures.start()
        await asyncio.sleep(2.0)
        end = loop.time() + seconds
        callers = [fleet.call_repeatedly(vm, end) for vm in (1, 2, 3) for _ in range(CALLERS_PER_VM)]
        await asyncio.gather(fleet.work(end), *departures.tasks(end), *callers)
        await asyncio.sleep(LOG_DELAY_S)
    finally:
        await fleet.stop()
    violations = fleet.violations() + departures.violations()
    (folder / "cuts.txt").write_text("\n".join(departures.explain_cuts()))
    whole = sum(1 for *_, status, is_whole in fleet.outcomes if is_whole and status == 200)
    owed = len(fleet.outcomes) - len(fleet.turned_away)
    if whole * 2 < owed:
        violations.append(f"only {whole} of {owed} calls were served")
    statuses = collections.Counter(status if is_whole or status is None else f"{status} cut" for *_, status, is_whole in fleet.outcomes)
    state = "ok" if not violations else f"FAILED, logs in {folder}"
    print(f"seed {seed}: {len(fleet.outcomes)} calls, {whole} served whole, {sum(map(len, fleet.stopped_at.values()))} stops, {state}", flush=True)
    print(f"  {', '.join(f'{status}: {count}' for status, count in sorted(statuses.items(), key=str))}", flush=True)
    print(f"  {departures.summary()}", flush=True)
    for line in violations[:8]:
        print(f"  {line}", flush=True)
    return not violations


async def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--binary", default="build/bin/plumdaled")
    options = parser.parse_args()
    asyncio.get_running_loop().set_exception_handler(report)
    limiter = asyncio.Semaphore(options.parallel)

    async def one(seed):
        async with limiter:
            return await soak(seed, options.binary, options.seconds)

    results = await asyncio.gather(*(one(seed) for seed in range(options.first, options.first + options.seeds)))
    print(f"{results.count(True)} passed, {results.count(False)} failed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
