"""What the fault soak allows for: calls that were refused while the orders in the store covered all zones."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from soak import Fleet  # noqa: E402  (its folder is on the path only now)


def fleet_with(refused_at, status=503):
    """Returns a fleet with 122 calls refused at a moment, whose zones were all evacuated from 10 s to 13 s."""
    fleet = Fleet(311, "", None)
    fleet.fully_evacuated = [[10.0, 13.0]]
    fleet.calls = {str(n): {"status": status, "answered_at": refused_at} for n in range(122)}
    return fleet


class AllowanceTest(unittest.TestCase):
    def test_refusals_while_all_zones_are_evacuated_are_not_owed(self):
        self.assertEqual(fleet_with(refused_at=11.0).service_violations(236, 49), [])

    def test_other_refusals_are_owed(self):
        for refused_at in (9.9, 13.1):
            self.assertEqual(len(fleet_with(refused_at).service_violations(236, 49)), 1)
        self.assertEqual(len(fleet_with(11.0, status=502).service_violations(236, 49)), 1)

    def test_a_quarter_of_the_others_must_be_served(self):
        self.assertEqual(len(fleet_with(refused_at=11.0).service_violations(236, 27)), 1)

    def test_an_order_that_is_still_in_force_counts(self):
        fleet = fleet_with(refused_at=20.0)
        fleet.fully_evacuated = [[10.0, float("inf")]]
        self.assertEqual(fleet.service_violations(236, 49), [])


if __name__ == "__main__":
    unittest.main()
