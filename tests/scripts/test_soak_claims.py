"""That two soaks of one seed don't share their addresses on a machine."""

import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from soak import Fleet  # noqa: E402  (its folder is on the path only now)


async def claim_twice():
    """Returns what a second fleet of the seed is told while the first one has the addresses, and after it has ended."""
    told = []
    first, second = Fleet(49_999, "", None), Fleet(49_999, "", None)
    await first.claim_address()
    try:
        await second.claim_address()
    except RuntimeError as error:
        told.append(str(error))
    await first.stop()
    await second.claim_address()
    await second.stop()
    return told


class ClaimTest(unittest.TestCase):
    # Guards against VMs of one soak that speak to the upstreams of another.
    def test_a_second_soak_of_a_seed_is_told_of_the_first(self):
        self.assertEqual(asyncio.run(claim_twice()), ["another soak of seed 49999 runs on this machine"])


if __name__ == "__main__":
    unittest.main()
