"""What the reload soak draws for engines that leave, what memory its engines hold, and which cut streams could have gone on."""

import pathlib
import sys
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from departures import ANSWERS, MAX_ANSWER_DELAY_S, DepartingRun, DepartureDraws  # noqa: E402  (its folder is on the path only now)
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
