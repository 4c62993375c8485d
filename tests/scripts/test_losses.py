"""Tests scripts/losses on recorded lines: each call has one outcome, and a broken call has its cause."""

import importlib.machinery
import importlib.util
import json
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.dont_write_bytecode = True


def load_script(name):
    loader = importlib.machinery.SourceFileLoader(name, str(ROOT / "scripts" / name))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader(name, loader))
    loader.exec_module(module)
    return module


losses = load_script("losses")


def line(at, decision, call="c-1", part="call", **fields):
    return {"time_ms": at, "node": "vm-1", "part": part, "decision": decision, "id": call, "route": "draft",
            "prompt_tokens": 2800, "hinted_tokens": 900, "age_ms": 0, **fields}


def outcomes(*lines):
    calls, _ = losses.collect(lines)
    return [call.outcome for call in calls]


ANSWERED = {"first_event_ms": 500, "objective_ms": 1800, "longest_gap_ms": 90, "gap_objective_ms": 180, "on_time": 1}


class Outcomes(unittest.TestCase):
    def test_each_call_has_one_outcome(self):
        lines = [line(1, "sent"), line(2, "answered", **ANSWERED), line(1, "sent", "c-2"),
                 line(3, "refused", "c-2", why="all upstreams are crowded", comes_back=0),
                 line(4, "caller left", "c-3"), line(5, "turned away", "c-4")]
        self.assertEqual(outcomes(*lines), ["on time", "refused: all upstreams are crowded", "caller left by itself"])

    def test_late_outcome_names_the_missed_objective(self):
        pause = {**ANSWERED, "longest_gap_ms": 700, "on_time": 0}
        stall = {**ANSWERED, "longest_gap_ms": 6300, "on_time": 0}
        start = {**ANSWERED, "first_event_ms": 2500, "on_time": 0}
        self.assertEqual(outcomes(line(9, "answered", "a", **pause), line(9, "answered", "b", **stall),
                                  line(9, "answered", "c", **start)),
                         ["late: pause up to 1 s", "late: pause over 1 s", "late: first event"])

    def test_broken_draft_has_the_reason_why_it_could_not_resume(self):
        self.assertEqual(outcomes(line(1, "sent"), line(2, "broken off", why="the upstream broke off")),
                         ["broken off: no notice, no backup"])
        self.assertEqual(outcomes(line(1, "sent"), line(2, "upstream leaves"), line(2, "first copy ordered"),
                                  line(3, "broken off", why="the upstream broke off")),
                         ["broken off: the copy was not ready"])
        self.assertEqual(outcomes(line(1, "sent"), line(3, "broken off", why="time is over")),
                         ["broken off: silent until the caller's patience was over"])

    def test_refused_retry_has_its_own_outcome(self):
        self.assertEqual(outcomes(line(1, "refused", why="crowded", comes_back=1)), ["refused again: crowded"])

    def test_restart_of_the_vm_ends_its_calls_and_counts_the_unfinishable(self):
        calls, _ = losses.collect([line(1_000, "sent"), line(5_000, "sent", "c-2", age_ms=0),
                                   line(9_000, "started", "", part="process")])
        self.assertEqual([call.outcome for call in calls], ["ended with its VM"] * 2)

        class Pace:
            token_ms, prompt_tokens_per_ms = 7.1, 14.0
        # 2,800 prompt tokens and 900 generated tokens take 6.6 s on an empty engine.
        self.assertEqual([losses.could_have_finished(call, Pace) for call in calls], [True, False])

    def test_unfinished_call_of_a_running_vm_is_not_lost(self):
        self.assertEqual(outcomes(line(1, "sent")), ["still running"])

    def test_text_before_a_line_and_truncated_lines_are_skipped(self):
        file = pathlib.Path(self.id() + ".tmp")
        file.write_text("  20.1 vm-1 " + json.dumps(line(1, "sent")) + "\n{\"time_ms\": 5, \"no\nother text\n")
        try:
            self.assertEqual(len(list(losses.read_lines([str(file)]))), 1)
        finally:
            file.unlink()


class Compare(unittest.TestCase):
    def setUp(self):
        self.compare = load_script("compare")

    def test_mean_and_twice_its_standard_error(self):
        self.assertEqual(self.compare.mean_with_error([0.1, 0.3]), "+0.2000 ± 0.2000")

    def test_calls_add_up_by_kind(self):
        row = {"name": "draft", "n": 4, "in_aim": 2, "late": 1, "refused": 0, "failed": 1}
        sums = self.compare.calls_by_class([{"classes": [row]}, {"classes": [row]}])
        self.assertEqual((sums["draft"]["n"], sums["draft"]["in_aim"], sums["draft"]["failed"]), (8, 4, 2))


class Requests(unittest.TestCase):
    def test_attempts_of_one_request_are_found_across_ids_and_vms(self):
        broke = {"why": "connection broke", "request": "r-1"}
        lines = [line(1, "source ended", "a", upstream="i-1", **broke),
                 {**line(2, "source ended", "b", upstream="i-2", **broke), "node": "vm-2"},
                 line(2, "source ended", "c", upstream="i-2", why="connection broke", request="r-2"),
                 line(3, "refused", "d", upstream="i-3", why="time is over", request="r-1")]
        self.assertEqual(losses.upstreams_broken_by_request(lines), {"r-1": ({"i-1", "i-2"}, {"vm-1", "vm-2"}, {"a", "b"})})


if __name__ == "__main__":
    unittest.main()
