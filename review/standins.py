"""Stand-ins for the scripts of the review: the platform's store, runners, entry VMs as processes, and clients.

They follow the users' pages. Where a page is silent they behave like a sound store, runner or client. Each address is
a loopback address of a block that is free when the script starts, and each VM is ended by its process id.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parent
# The platform's spelling of headers, fields and paths.
WIRE = dict(re.findall(r"^- (\w+): `([^`]+)`$", (FOLDER / "WIRE.md").read_text(), re.M))
# Fields of messages are kept in lower case.
REQUEST_ID = WIRE["request_id"].lower()
FRONT_PORT, READY_PORT, CONTROL_PORT, FIRST_INNER_PORT = 18740, 18749, 18748, 17200
HEARTBEAT_S = 1.2
GRACE_S = 8

LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
ENGINE = {"slots": 24, WIRE["memory_tokens"]: 34288, "kvBytes": 131072.0, "linkMbps": 19000.0, "migrations": True,
          "backups": True, "stride": 4, "handleTtlS": 5.0}


def route(name, prefix, kind, service, **changes):
    return {"name": name, "host": "review.example", "prefix": prefix, WIRE["kind"]: kind, "service": service,
            "timeoutMs": 15000, "targetLatencyMs": 300, "maxAttempts": 2 if kind == "idempotent" else 1, "priority": 2,
            "public": False, **changes}


def service(name, **changes):
    return {"name": name, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": False, **changes}


def configuration(routes, services):
    return {"version": 7, "routes": routes, "services": services, "limits": LIMITS,
            "tenants": [{"name": "customer", WIRE["keys"]: ["key-1"]}]}


# -- HTTP -----------------------------------------------------------------------------------------


class Message:
    """Start line, fields with names in lower case, and body of one message."""

    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body


async def read_head(reader):
    """Returns (start line, fields), or None when the connection ended before a whole head."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], {n.strip().lower(): v.strip() for n, v in (line.split(":", 1) for line in head[1:] if ":" in line)}


async def read_chunks(reader):
    """Returns (body, whether its last chunk came)."""
    body = b""
    try:
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def read_message(reader):
    """Returns a request or an answer with a length or in chunks; None when the connection ended before its end."""
    if (head := await read_head(reader)) is None:
        return None
    start, fields = head
    if "chunked" in fields.get("transfer-encoding", ""):
        body, whole = await read_chunks(reader)
        return Message(start, fields, body) if whole else None
    try:
        return Message(start, fields, await reader.readexactly(int(fields.get("content-length", 0))))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def response(status, body=b"", fields=()):
    lines = [f"HTTP/1.1 {status} Text", f"Content-Length: {len(body)}", *(f"{n}: {v}" for n, v in fields)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request(method, target, call, fields=(), body=b"", deadline_ms=15000, key="key-1"):
    framing = [("Content-Length", len(body))] if body or method == "POST" else []
    return request_head(method, target, call, [*fields, *framing], deadline_ms, key) + body


def request_head(method, target, call, fields=(), deadline_ms=15000, key="key-1"):
    own = [("Host", "review.example"), (WIRE["request_id"], call), (WIRE["time_left"], deadline_ms), (WIRE["api_key"], key)]
    lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in [*own, *fields])]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


# -- the platform's store -------------------------------------------------------------------------


class Store:
    """Key-value store with revisions, ranges and watches."""

    def __init__(self):
        self.items, self.revision, self.log, self.changed = {}, 100, [], asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "revision": self.revision, WIRE["created_revision"]: 101, "leaseId": 0}
        if value is None:
            self.items.pop(key, None)
            item["deleted"] = True
        else:
            raw = value if isinstance(value, bytes) else json.dumps(value).encode()
            item["value"] = base64.b64encode(raw).decode()
            self.items[key] = item
        self.log.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, target):
        path, _, query = target.partition("?")
        terms = dict(term.split("=", 1) for term in query.split("&") if "=" in term)
        terms = {name: value.replace("%2F", "/") for name, value in terms.items()}
        if path == WIRE["read_key"]:
            item = self.items.get(terms.get("key", ""))
            return (200, {**item, WIRE["revision_now"]: self.revision}) if item else (404, {})
        if path == WIRE["read_range"]:
            found = sorted(key for key in self.items if key.startswith(terms.get("prefix", "")))
            found = [key for key in found if key > terms.get("afterRev", "")]
            return 200, {"items": [self.items[key] for key in found], "hasMore": False, WIRE["revision_now"]: self.revision}
        if path == WIRE["watch"]:
            return 200, await self.changes(terms)
        return 404, {}

    async def changes(self, terms):
        after, prefix = int(terms["afterRev"]), terms.get("prefix", "")
        until = time.monotonic() + int(terms["maxWaitMs"]) / 1000
        while not any(item["revision"] > after and item["key"].startswith(prefix) for item in self.log):
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.0, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        events = [item for item in self.log if item["revision"] > after and item["key"].startswith(prefix)]
        return {"events": events, WIRE["revision_now"]: self.revision}

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                status, body = await self.answer(message.start.split(" ")[1])
                writer.write(response(status, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# -- runners --------------------------------------------------------------------------------------


class Runner:
    """Registers itself in the store and runs requests one at a time on each connection.

    `answer(runner, message, writer)` answers a request; each request that is run is recorded first.
    """

    def __init__(self, name, service, zone, deployment, answer, slots=6):
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.deployment, self.answer, self.sequence, self.state, self.writers = deployment, answer, 0, "ready", set()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.heart = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self.sequence += 1
        self.deployment.store.put(f"servers/{self.name}", {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, WIRE["cold_ms"]: 0, "sequence": self.sequence})

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                await self.handle(message, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, writer):
        method, target, _ = message.start.split(" ")
        call = message.fields.get(REQUEST_ID, "")
        if target == "/v1/report":
            report = {"phase": "both", "models": [], "busy": False, "sequence": self.sequence, "queued": 0, "inFlight": 0,
                      "kvUsed": 0, "kvTotal": 34288, "activeHandles": 0}
            return writer.write(response(200, json.dumps(report).encode()))
        if target == "/health":
            return writer.write(response(200, b"", [(WIRE["runner"], self.name)]))
        if target.startswith("/v1/"):
            return writer.write(response(404))
        own = [(WIRE["request_id"], call)]
        if message.fields.get(WIRE["expected_runner"].lower(), self.name) != self.name:
            return writer.write(response(421, b"", own))
        self.deployment.note("run", call=call, runner=self.name, method=method, target=target, body_bytes=len(message.body),
                             fields={n: v for n, v in message.fields.items() if n.startswith("plumdale-")})
        await self.run(message, writer)

    async def run(self, message, writer):
        await self.answer(self, message, writer)


def sealed(call):
    return [(WIRE["request_id"], call), (WIRE["signature"], f"seal.{call}"), ("Keep-Alive", "timeout=30")]


# -- entry VMs ------------------------------------------------------------------------------------


def fill(template, values):
    """Fills a template of settings as the users' deployment page says, as far as the project's template needs it."""

    def find(name):
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def section(match):
        entries, inner = find(match[1]), match[2]
        texts = []
        for index, entry in enumerate(entries):
            text = inner.replace("{{.}}", str(entry))
            texts.append(text.replace("{{,}}", "," if index + 1 < len(entries) else ""))
        return "".join(texts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(find(match[1])), text)


class Vm:
    """One entry VM: the process of the deploy file's role with filled-in settings."""

    def __init__(self, name, host, zone, deployment):
        self.name, self.host, self.zone, self.deployment, self.process = name, host, zone, deployment, None
        self.front, self.ready = (host, FRONT_PORT), (host, READY_PORT)

    def settings(self):
        deployment = self.deployment
        platform = "%s:%d" % deployment.platform
        return {"nodeName": self.name, "zone": self.zone, "ip": self.host,
                "listen": {"front": f"{self.host}:{FRONT_PORT}", "ready": f"{self.host}:{READY_PORT}",
                           "control": f"{self.host}:{CONTROL_PORT}"},
                "internalPorts": [FIRST_INNER_PORT, FIRST_INNER_PORT + 15],
                "seedNodes": [f"{vm.host}:{CONTROL_PORT}" for vm in deployment.vms[:3]],
                WIRE["platform"]: {"address": platform},
                "bounds": {"graceS": GRACE_S, "iterationMs": 120, "retryBudgetRatio": 0.2, "retryBudgetSlack": 52,
                           "budgetWindowS": 10},
                "limits": {"maxFds": 4100, "linkMbps": 1000.0, "memoryMb": 260}}

    async def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text()
        words = re.search(r'^run = "(.*)"$', deploy, re.M)[1].split(" ")
        template = ROOT / re.search(r'^template = "(.*)"$', deploy, re.M)[1]
        file = self.deployment.folder / f"{self.name}.settings"
        file.write_text(fill(template.read_text(), self.settings()))
        words = [str(file) if word.startswith("/etc/") else word for word in words]
        words[0] = os.environ.get("PLUMDALED", str(ROOT / words[0]))
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(*words, stdout=log, stderr=log, cwd=ROOT)
        self.deployment.note("vm started", vm=self.name)

    def send_signal(self, number):
        self.deployment.note("signal", vm=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False


# -- the deployment -------------------------------------------------------------------------------


class Deployment:
    """A store, runners and entry VMs on a block of loopback addresses, and the record of what they did."""

    def __init__(self, record):
        self.store, self.vms, self.runners, self.servers = Store(), [], [], []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="plumdale-review-"))
        self.base, self.started_at = self.free_block(), time.monotonic()
        self.record = open(record, "w")

    @staticmethod
    def free_block():
        """Returns the first three numbers of addresses whose ports for VMs are free."""
        for _ in range(100):
            base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (FRONT_PORT, READY_PORT, FIRST_INNER_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{base}.1", port))
                return base
            except OSError:
                continue
        raise RuntimeError("no free loopback addresses")

    def note(self, what, **fields):
        self.record.write(json.dumps({"at_s": round(time.monotonic() - self.started_at, 4), "what": what, **fields}) + "\n")

    async def listen(self, handler, host=None):
        server = await asyncio.start_server(handler, host or f"{self.base}.200", 0, limit=1 << 20)
        self.servers.append(server)
        return server.sockets[0].getsockname()[:2]

    async def start_store(self):
        self.platform = await self.listen(self.store.serve)

    async def add_runner(self, name, service, zone, answer, slots=6):
        runner = Runner(name, service, zone, self, answer, slots)
        await runner.start(f"{self.base}.{100 + len(self.runners)}")
        self.runners.append(runner)
        return runner

    async def start_vms(self, zones):
        self.vms = [Vm(f"front-{zone}-{i + 1}", f"{self.base}.{i + 1}", zone, self) for i, zone in enumerate(zones)]
        for vm in self.vms:
            await vm.start()
        for _ in range(200):
            if all([await vm.is_ready() for vm in self.vms]):
                self.note("vms ready")
                await asyncio.sleep(1.5)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the entry VMs did not become ready")

    async def stop(self):
        for vm in self.vms:
            if vm.process is not None:
                if vm.process.returncode is None:
                    vm.process.send_signal(signal.SIGCONT)
                    vm.process.kill()
                await vm.process.wait()
        for runner in self.runners:
            runner.heart.cancel()
            runner.server.close()
        for server in self.servers:
            server.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case, record):
    """Runs `case(deployment, trouble)`, which returns the violations; exits with 0, 1 or 2 as the review's page says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment, trouble), 110)
        finally:
            await deployment.stop()

    try:
        violations = asyncio.run(run())
    except Exception as error:  # The case could not be played, which is neither a pass nor a failure.
        print(f"the case couldn't run: {error!r}")
        sys.exit(2)
    for each in violations:
        print(each)
    with open(record, "a") as out:
        out.write(json.dumps({"what": "result", "trouble": trouble, "violations": violations}) + "\n")
    print("the rule was broken" if violations else "the rule held")
    sys.exit(1 if violations else 0)
