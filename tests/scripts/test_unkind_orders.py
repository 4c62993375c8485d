"""What the fault soak draws for orders to stop a run, and when it takes a stream for a false end."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from platform_standin import event_of, stream_violations  # noqa: E402  (its folder is on the path only now)
from unkind_orders import (EFFECTS, FRAMINGS, LATE_ANSWERS, LOST_ANSWERS, MAX_EVENTS, MIN_EVENTS, ORDER_TIMEOUT_S, SOUND_ANSWERS,  # noqa: E402
                           OrderDraws)

DRAWS = [OrderDraws(seed) for seed in range(200)]
ORDERS = [draws.order() for draws in DRAWS for _ in range(5)]


def stream(*indices, whole=True):
    return {"whole": whole, "body": b"".join(event_of(index, 3) for index in indices)}


class OrderDrawsTest(unittest.TestCase):
    def test_every_kind_is_drawn_over_200_seeds(self):
        self.assertEqual({order.effect for order in ORDERS}, set(EFFECTS))
        self.assertEqual({order.answer for order in ORDERS}, {*SOUND_ANSWERS, *LOST_ANSWERS, *LATE_ANSWERS})
        self.assertEqual({draws.second_answer() for draws in DRAWS for _ in range(10)}, {"404", *LOST_ANSWERS})
        self.assertEqual({draws.framing() for draws in DRAWS}, set(FRAMINGS))
        self.assertTrue(all(MIN_EVENTS <= draws.length() <= MAX_EVENTS for draws in DRAWS))

    def test_an_order_that_found_its_run_is_never_answered_404(self):
        self.assertNotIn("404", {order.answer for order in ORDERS})

    def test_an_order_without_effect_yet_has_no_answer(self):
        for order in ORDERS:
            self.assertTrue(order.answer in LATE_ANSWERS if order.effect == "late" else order.answer != "held")

    def test_orders_take_effect_before_and_after_their_senders_timeout(self):
        delays = [order.effect_delay_s for order in ORDERS if order.effect == "late"]
        self.assertTrue(any(delay < 1 for delay in delays) and any(delay > ORDER_TIMEOUT_S for delay in delays))
        self.assertTrue(all(order.answer_delay_s > ORDER_TIMEOUT_S for order in ORDERS if order.answer == "past timeout"))
        self.assertTrue(all(order.answer_delay_s < ORDER_TIMEOUT_S for order in ORDERS if order.answer == "late"))

    def test_a_seed_draws_the_same_again(self):
        self.assertEqual([OrderDraws(7).order() for _ in range(2)], [OrderDraws(7).order() for _ in range(2)])


class StreamViolationsTest(unittest.TestCase):
    def test_a_complete_stream_has_each_event_once_and_in_order(self):
        self.assertEqual(stream_violations("c", 3, stream(1, 2, 3)), [])
        for indices in ((1, 2), (), (1, 3), (1, 2, 2, 3), (2, 1, 3), (1, 2, 3, 3)):
            self.assertEqual(len(stream_violations("c", 3, stream(*indices))), 1, indices)

    def test_a_false_end_is_named(self):
        self.assertIn("complete after event 2 of 3", stream_violations("c", 3, stream(1, 2))[0])

    def test_part_of_a_stream_begins_so(self):
        self.assertEqual(stream_violations("c", 3, stream(1, 2, whole=False)), [])
        self.assertEqual(len(stream_violations("c", 3, stream(1, 3, whole=False))), 1)


if __name__ == "__main__":
    unittest.main()
