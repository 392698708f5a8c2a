"""A host whose log nobody reads goes on serving."""

import unittest

import curio

from tests._platform_site import PlatformSite

REQUESTS = 250
"""Enough for their lines to fill a pipe of 64 KB."""


class TestUnreadLog(unittest.TestCase):
    def test_host_serves_on_while_nobody_reads_its_log(self):
        """Guards against an event loop that waits for the reader of a log."""

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
