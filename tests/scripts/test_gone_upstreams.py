"""What the fault soak counts as tries at upstreams that are gone, and when sharing findings saves too few of them."""

import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from gone_upstreams import SHARED_MS, GoneUpstreams, Try, avoidable, comparison_violations  # noqa: E402  (its folder is on the path only now)

PASSED_OVER = {"decision": "upstream passed over", "why": "unreachable", "upstream": "i-2", "looked_at": 3}


def tries_in(vm_lines):
    gone = GoneUpstreams()
    gone.gone_at = {"i-2": 1_000}
    with tempfile.TemporaryDirectory() as folder:
        for vm, texts in vm_lines.items():
            pathlib.Path(folder, f"{vm}.log").write_text("\n".join(texts))
        return gone.tries(pathlib.Path(folder))


def line(at, vm="vm-1", **fields):
    return json.dumps({"time_ms": at, "node": vm, **PASSED_OVER, **fields})


class GoneUpstreamsTest(unittest.TestCase):
    def test_tries_of_calls_at_upstreams_that_are_gone_count(self):
        lines = {"vm-1": [line(1_500), line(900), line(1_600, upstream="i-3"), line(1_700, why="refused by the upstream"),
                          line(1_800, decision="refused")],
                 "vm-2": ["started", line(1_200, "vm-2", looked_at=1), line(1_900, "vm-2")[:40]]}
        self.assertEqual(tries_in(lines), [Try(1_200, "vm-2", "i-2", False), Try(1_500, "vm-1", "i-2", True)])

    def test_tries_are_avoidable_once_any_vm_found_the_upstream_gone(self):
        found, known_at = Try(1_000, "vm-1", "i-2", True), 1_001 + SHARED_MS
        late = Try(known_at, "vm-2", "i-2", True)
        others = [Try(known_at - 1, "vm-2", "i-2", True), Try(known_at, "vm-1", "i-2", False), Try(known_at, "vm-1", "i-3", True)]
        self.assertEqual(avoidable([found, *others, late]), [late])

    def test_sharing_has_to_save_four_of_five(self):
        self.assertEqual(comparison_violations(10 * [None], 1 * [None]), [])
        self.assertEqual(len(comparison_violations(10 * [None], 2 * [None])), 1)


if __name__ == "__main__":
    unittest.main()
