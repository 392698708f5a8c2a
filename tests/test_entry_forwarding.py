"""Requests that go to other regions: residency, loops, views that differ."""

import unittest

from nose2.tools import params

from bronzepoint_common.tokens import Caller
from bronzepoint_node.entry._call import Call
from bronzepoint_node.entry._forward_context import (
    ForwardContext,
    VisitedHost,
    decode_context,
    encode_context,
)
from bronzepoint_node.entry._refusals import RequestRefused
from bronzepoint_node.policy import Away
from bronzepoint_schema.generated.catalogue import Residency, ResidencyRule
from bronzepoint_schema.generated.decisions import Outcome, TryResult
from tests._entry_site import CHAT, Site, chat, run, told
from tests.test_entry_relay import silent

KEY = b"k" * 32


def context(**changes) -> ForwardContext:
    base = ForwardContext(
        "r", Caller("c", "saphan", "bkk"), [VisitedHost("bkk-1", "bkk")], 5.0, 1
    )
    for name, value in changes.items():
        setattr(base, name, value)
    return base


def set_residency(host, entry: str, *regions: str) -> None:
    host.catalogue.entries[entry].residency = Residency(
        ResidencyRule.regions, list(regions)
    )


class ContextTest(unittest.TestCase):
    def test_only_a_holder_of_the_key_can_make_one(self) -> None:
        made = encode_context(context(), KEY)
        self.assertEqual(decode_context(made, KEY), context())
        for text, key in ((made, b"x" * 32), (made[:-8], KEY), ("!", KEY), ("", KEY)):
            with self.assertRaises(RequestRefused):
                decode_context(text, key)


class ForwardTest(unittest.TestCase):
    def test_an_answer_comes_back_from_another_region(self) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                site.hosts["bkk-1"].policy.away = ["bkk"]
                answer = await site.ask("bkk-1", body=chat())
                self.assertEqual(answer.body, f"sgp:{site.last_id}".encode())
                self.assertEqual(answer.headers["bronzepoint-host"], "bkk-1")
                self.assertEqual(answer.headers["bronzepoint-region"], "sgp")
                here = await site.record("bkk-1")
                there = await site.record("sgp-1")
                self.assertEqual([one.target for one in here.tries], ["sgp-1"])
                self.assertEqual(there.forwarded_from, "bkk-1")
                self.assertEqual(there.caller, "saphan-bkk")
                self.assertEqual(site.runs(), 1)

        run(main)

    def test_a_forwarded_request_is_not_forwarded_back(self) -> None:
        """Symptom: a request goes to and fro between regions until its deadline.

        Both regions hold the other for better placed, as when their summaries of the
        load are late. Each forward would be new work for the other.
        """

        async def main() -> None:
            async with Site("bkk", "sgp", "cnx") as site:
                for host in site.hosts.values():
                    host.policy.away = list(site.regions)
                refusal = told(site, await site.ask("bkk-1", body=chat()))
                self.assertEqual(refusal.refusal.kind, "no_target")
                self.assertEqual(refusal.refusal.ran, "no")
                entered = [host.policy.entered for host in site.hosts.values()]
                self.assertEqual(entered, [1, 1, 1])
                away = [one.target for one in (await site.record("bkk-1")).tries]
                self.assertEqual(away, ["cnx-1", "sgp-1"])
                for host in ("sgp-1", "cnx-1"):
                    self.assertEqual((await site.record(host)).tries, [])

        run(main)

    @params(
        ("here before", [VisitedHost("sgp-1", "sgp")]),
        ("region before", [VisitedHost("sgp-9", "sgp"), VisitedHost("bkk-1", "bkk")]),
        ("too far", [VisitedHost(f"{r}-1", r) for r in ("bkk", "cnx", "fra")]),
    )
    def test_a_loop_is_refused_where_it_closes(self, _, visited) -> None:
        """Symptom: as above, made by a host whose policy doesn't keep to the rule."""

        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                key = site.hosts["sgp-1"].gateway._identity.key
                header = encode_context(context(visited=visited), key)
                answer = await site.ask(
                    "sgp-1", body=chat(), headers={"Bronzepoint-Forward": header}
                )
                refusal = told(site, answer)
                self.assertEqual(refusal.status, 508)
                self.assertEqual(refusal.refusal.kind, "loop_detected")
                self.assertEqual(site.targets["sgp-t1"].ran.total(), 0)

        run(main)

    def test_a_context_does_not_fit_another_request(self) -> None:
        async def main() -> None:
            async with Site("sgp") as site:
                key = site.hosts["sgp-1"].gateway._identity.key
                header = encode_context(context(digest=b"other"), key)
                answer = await site.ask(
                    "sgp-1", body=chat(), headers={"Bronzepoint-Forward": header}
                )
                self.assertEqual(told(site, answer).refusal.kind, "unauthenticated")

        run(main)


class ResidencyTest(unittest.TestCase):
    @params(("sgp-1", "bkk"), ("bkk-1", "sgp"))
    def test_a_request_bound_to_its_home_is_served_there(self, host, home) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                for narrowed in (chat("clinic"), chat()):
                    answer = await site.ask(
                        host,
                        body=narrowed,
                        headers={"Bronzepoint-Residency": "home"},
                        home=home,
                    )
                    self.assertEqual(answer.body, f"{home}:{site.last_id}".encode())

        run(main)

    def test_no_region_that_both_rules_allow(self) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                set_residency(site.hosts["bkk-1"], "talk", "sgp")
                refusal = told(
                    site,
                    await site.ask(
                        "bkk-1",
                        body=chat(),
                        headers={"Bronzepoint-Residency": "home"},
                    ),
                )
                self.assertEqual(refusal.refusal.kind, "residency")
                self.assertEqual(refusal.refusal.ran, "no")

        run(main)

    def test_residency_is_checked_again_at_the_send(self) -> None:
        """Symptom: a request is served where its residency forbids it.

        It is decided on, waits in the line, and meanwhile this host learns that the
        entry may not be served here any more. Its target is still the old choice.
        """

        async def main() -> None:
            async with Site("bkk") as site:
                host = site.hosts["bkk-1"]
                host.policy.before_place = lambda: set_residency(host, "talk", "sgp")
                refusal = told(site, await site.ask("bkk-1", body=chat()))
                self.assertEqual(refusal.refusal.kind, "residency")
                self.assertEqual(refusal.refusal.ran, "no")
                self.assertEqual(site.targets["bkk-t1"].ran.total(), 0)

        run(main)

    def test_a_target_taken_away_meanwhile_gets_nothing(self) -> None:
        """Symptom: a leaving target still gets the requests that were in the line."""

        async def main() -> None:
            async with Site("bkk", targets=2) as site:
                host = site.hosts["bkk-1"]

                def leave() -> None:
                    host.catalogue.entries["talk"].targets[0].leaving = True

                host.policy.before_place = leave
                answer = await site.ask("bkk-1", body=chat())
                self.assertEqual(answer.status, 200)
                self.assertEqual(site.targets["bkk-t1"].ran.total(), 0)
                self.assertEqual(site.targets["bkk-t2"].ran.total(), 1)

        run(main)

    @params(
        ("the sender's view is newer", "bkk-1"), ("the receiver's is newer", "sgp-1")
    )
    def test_views_that_differ_do_not_widen_residency(self, _, newer) -> None:
        """Symptom: as above, while a change spreads.

        One host knows already that the entry must stay in bkk, the other one doesn't.
        The request is narrowed by its caller's home or not at all; whichever host has
        the older view, it must not be served in sgp.
        """

        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                set_residency(site.hosts[newer], "talk", "bkk")
                sender = site.hosts["bkk-1"]
                sender.policy._place = lambda *args: _away("sgp")
                answer = await site.ask("bkk-1", body=chat())
                refusal = told(site, answer)
                self.assertEqual(refusal.refusal.kind, "residency")
                self.assertEqual(site.targets["sgp-t1"].ran.total(), 0)

        run(main)

    def test_a_receiver_keeps_to_what_the_sender_allowed(self) -> None:
        """The caller narrowed it to its home; the receiver's entry allows all regions.

        A sender whose policy errs must not be the only one that knows.
        """

        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                digest = Call("talk", "POST", CHAT, {}, chat()).digest()
                made = encode_context(
                    context(allowed=["bkk"], digest=digest),
                    site.hosts["sgp-1"].gateway._identity.key,
                )
                answer = await site.ask(
                    "sgp-1", body=chat(), headers={"Bronzepoint-Forward": made}
                )
                self.assertEqual(told(site, answer).refusal.kind, "residency")
                self.assertEqual(site.targets["sgp-t1"].ran.total(), 0)

        run(main)

    def test_a_receiver_without_the_entry_yet_is_not_ready(self) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                site.hosts["bkk-1"].policy.away = ["bkk"]
                site.hosts["bkk-1"].catalogue.revision = 2
                del site.hosts["sgp-1"].catalogue.entries["talk"]
                told(site, await site.ask("bkk-1", body=chat()))
                refused = (await site.record("sgp-1")).refusal
                self.assertEqual(refused.kind, "not_ready")

        run(main)

    def test_a_silent_region_is_given_up_for_another(self) -> None:
        """Symptom: in a partition every request sent away fails at its deadline.

        The link is cut in silence: the connection opens, or is a kept one, and nothing
        comes back. The policy says how long the head of an answer may take.
        """

        async def main() -> None:
            async with Site("bkk", "sgp", "cnx") as site:
                policy = site.hosts["bkk-1"].policy
                policy.away, policy.patience = ["bkk"], 0.05
                site.targets["cnx-t1"].script = silent
                answer = await site.ask("bkk-1", body=chat())
                self.assertEqual(answer.body, f"sgp:{site.last_id}".encode())
                results = [one.result for one in (await site.record("bkk-1")).tries]
                self.assertEqual(results, [TryResult.timeout, TryResult.answered])
                await site.targets["cnx-t1"].left.wait()

        run(main)

    def test_an_unreachable_region_has_not_run_it(self) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                await site.hosts["sgp-1"].server.close(0.0)
                site.hosts["bkk-1"].policy.away = ["bkk"]
                refusal = told(site, await site.ask("bkk-1", body=chat()))
                self.assertEqual(refusal.refusal.kind, "region_unreachable")
                self.assertEqual(refusal.refusal.ran, "no")
                record = await site.record("bkk-1")
                self.assertEqual(record.tries[0].result, TryResult.not_sent)
                self.assertEqual(record.outcome, Outcome.refused)

        run(main)


def _away(region: str):
    return Away(region, [], "on purpose")
