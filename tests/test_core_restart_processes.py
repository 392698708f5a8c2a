"""All hosts are restarted at once after the voters have changed; two disks are lost."""

import unittest

import curio
from nose2.tools import params

from tests._core_site import CoreSite

FIVE = ("core-1", "core-2", "core-3", "core-4", "core-5")


class TestRestart(unittest.TestCase):
    @params(
        ((), ("core-1", "core-2")),  # three voters have become five
        ((("core-1", "core-6"),), ("core-2", "core-3")),
        ((("core-1", "core-6"), ("core-2", "core-7")), ("core-3", "core-6")),
    )
    def test_former_voters_are_not_needed_after_a_restart(self, replaced, wiped):
        """Guards against a core without a leader though three of its five voters run,
        because a quorum of the voters before their last change is needed as well."""

        async def main():
            async with CoreSite(core=5, entries=2) as site:
                voters = list(FIVE)
                await site.until_voters(*voters)
                for former, name in replaced:
                    await site.replace(former, name)
                    voters[voters.index(former)] = name
                    await site.until_voters(*voters)
                    await site.change()
                await site.restart_all(*wiped)
                await site.until_read()
                await site.change()
                await site.until_read()

        curio.run(main)


if __name__ == "__main__":
    unittest.main()
