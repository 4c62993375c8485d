"""What the reload soak draws for engines that leave, what memory its engines hold, and which cut streams could have gone on."""

import pathlib
import sys
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from departures import ANSWERS, MAX_ANSWER_DELAY_S, DepartingEngine, DepartingRun, DepartureDraws, Departures  # noqa: E402  (its folder is on the path only now)
from held_copies import CutStream, HeldCopies, Memory, excuse_of, longest_span, violation_of  # noqa: E402

DRAWS = [DepartureDraws(seed) for seed in range(200)]
ORDERS = [draws.order(is_last) for draws in DRAWS for is_last in (False, True) for _ in range(5)]
NEVER = float("inf")


def engine(name, notice_at=NEVER, ended_at=NEVER):
    return types.SimpleNamespace(name=name, address=f"{name}:1", notice_at=notice_at, ended_at=ended_at)


def memory(at, told_at=1.0, expires_at=9.0, source=None):
    held = Memory("c", "h1", source or engine("s"), at, 1.0, expires_at)
    held.told_at = told_at
    return held


def cut(at=5.0, deadline=15.0, patience_until=9.0, stopped_at=4.0, places=(), **more):
    copies = HeldCopies()
    for each in places:
        copies.add(each)
    return CutStream("c", at, deadline, patience_until, stopped_at, copies.to_ask("c", at), **more)


class DepartureDrawsTest(unittest.TestCase):
    def test_every_kind_is_drawn_over_200_seeds(self):
        self.assertEqual({order.answer for order in ORDERS}, set(ANSWERS))
        self.assertEqual({order.is_declined for order in ORDERS}, {False, True})
        followed = [follow_up for draws in DRAWS for is_last in (False, True) for _ in range(5) if (follow_up := draws.follow_up(is_last))]
        self.assertEqual({what for what, _ in followed}, {"leaves", "fills"})

    def test_answers_and_refusals_are_as_late_as_was_seen(self):
        delays = [order.answer_delay_s for order in ORDERS if order.answer == "late"]
        self.assertTrue(min(delays) < 0.5 and 3.5 < max(delays) <= MAX_ANSWER_DELAY_S)
        self.assertEqual({order.answer_delay_s for order in ORDERS if order.answer != "late"}, {0.0})
        refusals = [refusal for draws in DRAWS for _ in range(5) if (refusal := draws.refusal_s())]
        self.assertTrue(0.05 <= min(refusals) < 0.1 and 2.5 < max(refusals) < 3.1)

    def test_a_seed_draws_the_same_again(self):
        self.assertEqual([DepartureDraws(7).order(True) for _ in range(2)], [DepartureDraws(7).order(True) for _ in range(2)])
        self.assertEqual(DepartingRun("c").body(), DepartingRun("c").body())

    def test_refusals_begin_with_the_first_try(self):
        run = DepartingRun("c")
        run.refusal_s = 2.0
        self.assertEqual([run.refuses(at) for at in (10.0, 11.9, 12.0)], [True, True, False])


class HeldCopiesTest(unittest.TestCase):
    def setUp(self):
        self.source, self.place, self.copies = engine("s"), engine("d"), HeldCopies()
        for at in (self.source, self.place):
            self.copies.add(memory(at, source=self.source))

    def test_a_handle_is_used_once_wherever_it_is_held(self):
        self.assertIsNotNone(self.copies.find("c", "s:1", "h1", self.place, 2.0))
        self.copies.use("c", "h1", 2.0)
        for at in (self.source, self.place):
            self.assertIsNone(self.copies.find("c", "s:1", "h1", at, 2.0))

    def test_memory_is_found_only_where_it_is_and_by_its_source(self):
        self.assertIsNone(self.copies.find("c", "s:1", "h1", engine("x"), 2.0))
        self.assertIsNone(self.copies.find("c", "x:1", "h1", self.place, 2.0))
        self.assertIsNone(self.copies.find("c", "s:1", "h2", self.place, 2.0))

    def test_memory_goes_with_its_time_and_its_engine(self):
        self.assertIsNone(self.copies.find("c", "s:1", "h1", self.place, 9.0))
        self.place.ended_at = 3.0
        self.assertIsNone(self.copies.find("c", "s:1", "h1", self.place, 3.0))
        self.assertIsNotNone(self.copies.find("c", "s:1", "h1", self.source, 3.0))


class RunsTest(unittest.TestCase):
    def setUp(self):
        record = types.SimpleNamespace(violations=[], runs={})
        fleet = types.SimpleNamespace(record=record, seed=1, is_excused=lambda *_: False)
        self.record, self.departures, self.run = record, Departures(fleet), DepartingRun("c")
        self.engines = [DepartingEngine(name, name, "a", self.departures) for name in ("d-1", "d-2")]

    def test_a_run_beside_another_is_a_violation_unless_it_was_stopped(self):
        attempt = object()
        self.run.active_upstreams[attempt] = self.engines[0]
        self.engines[1].check_over("c", self.run, attempt, self.engines[0])
        self.assertEqual(self.record.violations, ["TWICE: c was resumed at d-2 while d-1 still ran it"])
        self.run.stopped.add(attempt)
        self.engines[1].check_over("c", self.run, attempt, self.engines[0])
        self.assertEqual(len(self.record.violations), 1)

    def test_events_come_once_and_in_order(self):
        def violations(body, is_whole):
            seen = {"vm": 1, "status": 200, "whole": is_whole, "body": body, "head": "plumdale-response-seal: s", "sent_at": 0.0, "ended_at": 1.0}
            return self.departures.violations_of_run("c", seen, self.run)

        whole, part = self.run.body(), self.run.body(0, 5)
        self.assertEqual(violations(whole, True) + violations(part, False), [])
        for body, is_whole in ((part, True), (whole + self.run.event(self.run.length), True), (part + self.run.event(5), False), (self.run.body(1, 5), False)):
            self.assertEqual(violations(body, is_whole), ["ORDER: c has missing, duplicate or reordered events"])

    def test_a_call_that_ran_is_not_told_that_it_did_not(self):
        for status, said in ((503, "REFUSED: c ran, and was told 503"), (502, "LOST: c ran, and was told 502"), (None, "LOST: c ran, and was told None")):
            seen = {"vm": 1, "status": status, "whole": False, "body": b"", "sent_at": 0.0, "ended_at": 1.0}
            self.assertEqual(self.departures.violations_of_run("c", seen, self.run), [said])

    def test_an_order_stops_the_last_run_only(self):
        self.run.began_at, self.run.stops = [1.0, 5.0], [types.SimpleNamespace(at=3.0)]
        self.assertEqual([self.run.stop_before(at) is not None for at in (2.0, 3.5, 6.0)], [False, True, False])


class CutStreamTest(unittest.TestCase):
    def test_a_stopped_stream_whose_memory_is_held_is_lost(self):
        self.assertIn("LOST: c was stopped by an order", violation_of(cut(places=[memory(engine("d"))])))

    def test_a_stream_that_nothing_stopped_is_lost(self):
        self.assertIn("nothing had stopped its run", violation_of(cut(stopped_at=None)))

    def test_what_ends_a_stream_truthfully(self):
        held = memory(engine("d"))
        self.assertEqual(excuse_of(cut(at=9.0, places=[memory(engine("d"), expires_at=12.0)])), "its caller's patience was over, memory held")
        self.assertEqual(excuse_of(cut(at=15.0, patience_until=20.0, stopped_at=None, places=[held])), "its caller's time was over")
        for place in (memory(engine("d"), told_at=NEVER), memory(engine("d"), expires_at=4.9), memory(engine("d", notice_at=4.0)),
                      memory(engine("d", ended_at=4.9))):
            self.assertEqual(excuse_of(cut(places=[place])), "nothing that was told was held")

    def test_a_stopped_stream_that_waits_until_its_callers_patience_ends_is_lost(self):
        self.assertIn("could have gone on for 3.5 s", violation_of(cut(at=9.0, could_go_on_s=3.5)))
        self.assertIsNone(violation_of(cut(at=9.0, could_go_on_s=2.5)))

    def test_no_run_is_stopped_for_a_copy_to_a_place_known_to_leave(self):
        self.assertIn("3.5 s before the order", violation_of(cut(noticed_for_s=3.5)))
        self.assertIsNone(violation_of(cut(noticed_for_s=2.5)))

    def test_the_longest_span_has_no_break(self):
        self.assertAlmostEqual(longest_span(lambda now: not 2.0 <= now < 2.1, 1.0, 5.0), 2.9, delta=0.11)
        self.assertEqual(longest_span(lambda now: True, 5.0, 4.0), 0.0)

    def test_a_place_with_a_new_notice_may_still_take_it(self):
        self.assertIsNotNone(violation_of(cut(places=[memory(engine("d", notice_at=4.9))])))


if __name__ == "__main__":
    unittest.main()
