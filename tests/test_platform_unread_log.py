"""Tests that a host keeps serving while its log output isn't read."""

import unittest

import curio

from tests._platform_site import PlatformSite

REQUESTS = 250
"""Number of requests whose log lines fill a pipe buffer of 64 KB."""


class TestUnreadLog(unittest.TestCase):
    def test_host_keeps_serving_while_its_log_is_not_read(self):
        """Guards against an event loop that blocks on writing to a full log pipe."""

        async def main():
            site = PlatformSite()
            site.unread = {"entry": None}
            async with site:
                answers = []
                for number in range(REQUESTS):
                    answers.append((await site.ask("/safe/a", f"id-{number}")).status)
                return answers

        self.assertEqual(curio.run(main), [200] * REQUESTS)


if __name__ == "__main__":
    unittest.main()
