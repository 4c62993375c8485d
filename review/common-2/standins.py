"""Small stand-ins for the cases of the second review: the platform's store, runners, clients and a three-VM deployment.

They speak what PROTOCOL.md says, on loopback addresses. `Deployment` fills in `deploy/settings.json.template` and starts
each entry VM with the command of `deploy/system.toml`.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import signal
import tempfile
import time
import tomllib

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
WIRE = dict(re.findall(r"^- (\w+): `([^`]+)`$", (FOLDER / "WIRE.md").read_text(), re.M))
HOST, KEY, TENANT = "ficu95.example", "xd9dnn2ctnfzs989anu6", "huka270"
ZONES = ("ruwi-hall", "seeb-hall", "qurum-hall")
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
          "retryBudgetRatio": 0.2, "retryBudgetSlack": 52, "budgetWindowS": 10, "iterationMs": 120}
ANSWER_S = 0.004
LIMITS = {"maxFds": 4100, "linkMbps": 1000.0}
CALLER_LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
ENGINE = {"slots": 24, WIRE["memory_tokens"]: 34288, "kvBytes": 131072, "linkMbps": 19000.0, "migrations": True,
          "backups": True, "stride": 4, "most": 12, "pinMs": 4000.0, "holdTimeoutMs": 2000.0, "handleTtlS": 5.0,
          "models": [{"name": "m"}]}


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts=1, **more):
    return {"name": name, "host": HOST, "prefix": prefix, WIRE["kind"]: kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": target_ms, "priority": 1, "service": service, "maxAttempts": attempts, "public": False,
            "sessionAffinity": kind == "streaming", "streamResume": False, **more}


def configuration(version, routes, limits=CALLER_LIMITS):
    return {"version": version, "routes": routes, "services": [
        {"name": "api", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": False},
        {"name": "pool", "healthPath": "/health", "maxConnections": 232, "protocol": "h1", "tls": False, "inferenceEngine": ENGINE}],
        "limits": limits, "tenants": [{"name": TENANT, WIRE["keys"]: [KEY]}]}


async def read_message(reader):
    """Returns (start line, headers in lower case, body) of a message with a length, or None at the connection's end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {n.lower(): v.strip() for n, v in (line.split(":", 1) for line in head[1:] if ":" in line)}
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def message(status, body=b"", fields=()):
    lines = [f"HTTP/1.1 {status} Text", f"Content-Length: {len(body)}", *(f"{n}: {v}" for n, v in fields)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Record:
    """What was sent, answered and run, one line each, written to `record.txt`."""

    def __init__(self, file):
        self.file, self.begin = open(file, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def note(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


class Store:
    """The platform's store: ranges and watches of its items. On the sheet an answer takes 4 ms."""

    def __init__(self):
        self.items, self.revision, self.log, self.changed = {}, 100, [], asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "revision": self.revision, WIRE["created_revision"]: self.revision, "leaseId": 0}
        if value is None:
            self.items.pop(key, None)
            item["deleted"] = True
        else:
            item["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            item[WIRE["created_revision"]] = self.items.get(key, item)[WIRE["created_revision"]]
            self.items[key] = item
        self.log.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def page(self, target):
        path, _, query = target.partition("?")
        wanted = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        prefix = wanted.get("prefix", "").replace("%2F", "/")
        if path.endswith(WIRE["read_range"]):
            found = [item for item_key, item in sorted(self.items.items()) if item_key.startswith(prefix)]
            return {"items": found, "hasMore": False, WIRE["revision_now"]: self.revision}
        after = int(wanted["afterRev"])

        def changes():
            return [item for item in self.log if item["revision"] > after and item["key"].startswith(prefix)]

        end = time.monotonic() + int(wanted["maxWaitMs"]) / 1000
        while not changes() and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        return {"events": changes(), WIRE["revision_now"]: self.revision}

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await self.answer(reader, writer)
        writer.close()

    async def answer(self, reader, writer):
        while received := await read_message(reader):
            page = await self.page(received[0].split(" ")[1])
            await asyncio.sleep(ANSWER_S)
            body = json.dumps(page).encode()
            writer.write(message(200, body, [("Content-Type", "application/json")]))


class Deployment:
    """Entry VMs on loopback addresses of their own, and the store that they read."""

    def __init__(self, vms=3):
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="plumdale-review-"))
        self.numbers, self.store, self.processes, self.servers = range(1, vms + 1), Store(), {}, []
        self.seats = itertools.count(101)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self.command = deploy["run"].split(" ")
        self.template = (ROOT / deploy["template"]).read_text()

    def address(self, number):
        return f"{self.net}.{number}"

    def settings(self, number):
        ip = self.address(number)
        seeds = ",".join(f'"{self.address(n)}:18748"' for n in self.numbers[:3])
        values = {"nodeName": f"front-{number}", "zone": ZONES[(number - 1) % 3], "listen.front": f"{ip}:18740",
                  "listen.ready": f"{ip}:18749", "ip": ip, "internalPorts.0": "17200",
                  f"{WIRE['platform']}.address": "%s:%d" % self.platform,
                  **{f"bounds.{n}": v for n, v in BOUNDS.items()}, **{f"limits.{n}": v for n, v in LIMITS.items()}}
        text = re.sub(r"\{\{#seedNodes\}\}.*?\{\{/seedNodes\}\}", seeds, self.template)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(values[found[1]]), text)

    async def listen(self, handler):
        server = await asyncio.start_server(handler, f"{self.net}.{next(self.seats)}", 0, limit=1 << 24)
        self.servers.append(server)
        return server.sockets[0].getsockname()[:2]

    async def start(self):
        self.platform = await self.listen(self.store.serve)
        for number in self.numbers:
            await self.start_vm(number)
        for number in self.numbers:
            await self.wait_ready(number)

    async def start_vm(self, number):
        file = self.folder / f"front-{number}.json"
        file.write_text(self.settings(number))
        command = [str(file) if word.startswith("/etc/plumdale/") else word for word in self.command]
        log = open(self.folder / f"front-{number}.log", "ab")
        self.processes[number] = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=log, stderr=log)

    async def wait_ready(self, number, limit_s=10.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.address(number), 18749)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"front-{number} did not become ready")

    def send_signal(self, number, which):
        if self.processes[number].returncode is None:
            os.kill(self.processes[number].pid, which)

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for server in self.servers:
            server.close()


def beat(service, address, zone, state="ready", slots=6):
    return {"service": service, "address": "%s:%d" % address, "zone": zone, "version": "v1", "slots": slots,
            "state": state, WIRE["cold_ms"]: 0, "sequence": 1}


def request_text(method, path, request_id, deadline_ms, body=b"", fields=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{WIRE['request_id']}: {request_id}",
             f"{WIRE['time_left']}: {deadline_ms}", f"{WIRE['api_key']}: {KEY}", *(f"{n}: {v}" for n, v in fields)]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run(main, folder, vms=3):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")

    async def bounded():
        deployment = Deployment(vms)
        try:
            return await asyncio.wait_for(main(deployment, record, trouble), 100)
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(bounded())
    except Exception as error:  # a case that can't run says why
        record.note(f"could not run: {error!r}")
        raise SystemExit(2)
    record.note("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
