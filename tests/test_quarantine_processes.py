"""One request that crashes each target that begins it, before real processes."""

import unittest

import curio
from nose2.tools import params

from tests._crashing_site import (
    CONTACT,
    MOST_ARRIVALS,
    Callers,
    CrashingSite,
)

AFTER = 4.0
"""Seconds for which arrivals are counted once each of them counts."""


async def poison_until_late(site, path, *more):
    """Let the callers ask until some time after the third crash; return them."""
    callers = Callers(site, path)
    await callers.run(CONTACT + AFTER + 4.0, *more)
    return callers


class TestQueryOfDeath(unittest.TestCase):
    @params(
        # path of the request, targets start again under their id
        ("/safe/death", False),
        ("/stream/death", False),
        ("/once/death", True),
    )
    def test_request_that_crashed_three_targets_reaches_few_more(self, path, keeps_id):
        """Guards against a request that comes again and crashes target after target."""

        async def main():
            async with CrashingSite(keeps_id) as site:
                callers = await poison_until_late(site, path)
                third = site.crashes()[2]
                return len(site.late_arrivals()), callers.served(third + CONTACT)

        late, served = curio.run(main)
        self.assertLessEqual(late, MOST_ARRIVALS)
        self.assertEqual(served, 1.0)


if __name__ == "__main__":
    unittest.main()
