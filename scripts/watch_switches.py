"""Switches presets and measures the time until each entry VM reports that the switch is in force."""

import http.client
import json
import sys
import threading
import time

POLL_SECONDS = 0.002
BOUND_SECONDS = 30.0


class JsonClient:
    """Sends JSON requests over one persistent HTTP connection."""

    def __init__(self, address: str, key: str = "") -> None:
        host, port = address.split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=BOUND_SECONDS)
        self.headers = {"Authorization": f"Bearer {key}"} if key else {}

    def send(self, method: str, path: str, body: dict | None = None) -> dict:
        text = None if body is None else json.dumps(body)
        self.connection.request(method, path, text, self.headers)
        response = self.connection.getresponse().read()
        return json.loads(response) if response else {}


def preset_in_force(status: dict) -> str:
    return status["in_force"]["preset"]


def wait_for(address: str, key: str, preset: str, started: float, times: list[float]) -> None:
    """Polls one entry VM until the preset is in force there."""
    client = JsonClient(address, key)
    while time.monotonic() - started < BOUND_SECONDS:
        if preset_in_force(client.send("GET", "/admin/status")) == preset:
            times.append(time.monotonic() - started)
            return
        time.sleep(POLL_SECONDS)


def measure(switch, entries: list[str], key: str, preset: str) -> list[float]:
    """Calls `switch` and returns the time of each entry VM, without those that exceeded BOUND_SECONDS."""
    times: list[float] = []
    started = time.monotonic()
    watchers = [
        threading.Thread(target=wait_for, args=(entry, key, preset, started, times))
        for entry in entries
    ]
    for watcher in watchers:
        watcher.start()
    switch(preset)
    for watcher in watchers:
        watcher.join()
    return times


def report(name: str, times: list[float], expected: int) -> None:
    times.sort()
    percentile = lambda share: times[int(share * (len(times) - 1))]
    print(
        f"{name}: {len(times)} of {expected} in force; p50 {percentile(0.5):.3f} s, p99 {percentile(0.99):.3f} s, "
        f"worst {times[-1]:.3f} s"
    )


def main() -> int:
    platform = JsonClient(sys.argv[1])
    key, switches, entries = sys.argv[2], int(sys.argv[3]), sys.argv[4:]
    operator = JsonClient(entries[0], key)

    def publish(preset: str) -> None:
        platform.send("POST", "/control", {"config": {"switch": {"preset": preset}}})

    def switch_as_operator(preset: str) -> None:
        operator.send("POST", "/admin/preset", {"preset": preset})

    missing = 0
    for name, switch in (("published", publish), ("operator, platform down", switch_as_operator)):
        if switch is switch_as_operator:
            platform.send("POST", "/control", {"down": True})
        times: list[float] = []
        for i in range(switches):
            times += measure(switch, entries, key, ("peak", "ordinary")[i % 2])
        report(name, times, switches * len(entries))
        missing += switches * len(entries) - len(times)
    return 1 if missing else 0


sys.exit(main())
