"""Forwarding to other regions: residency, loops and different catalogue views."""

import unittest
from types import SimpleNamespace

import curio
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
from bronzepoint_node.entry._replacement import Replacement
from bronzepoint_node.policy import RemotePlacement, RequestView, Ticket
from bronzepoint_schema.generated.catalogue import Residency, ResidencyRule
from bronzepoint_schema.generated.decisions import Outcome, TryResult
from tests._entry_site import (
    CHAT,
    Site,
    chat,
    complete_answer,
    read_refusal,
    run,
    wait_until,
)
from tests.test_entry_relay import never_answers

KEY = b"k" * 32


def forward_context(**changes) -> ForwardContext:
    result = ForwardContext(
        "r", Caller("c", "saphan", "bkk"), [VisitedHost("bkk-1", "bkk")], 5.0, 1
    )
    for name, value in changes.items():
        setattr(result, name, value)
    return result


def set_residency(host, entry: str, *regions: str) -> None:
    host.catalogue.entries[entry].residency = Residency(
        ResidencyRule.regions, list(regions)
    )


class ContextTest(unittest.TestCase):
    def test_context_is_accepted_only_with_the_cluster_key(self) -> None:
        encoded = encode_context(forward_context(), KEY)
        self.assertEqual(decode_context(encoded, KEY), forward_context())
        for text, key in (
            (encoded, b"x" * 32),
            (encoded[:-8], KEY),
            ("!", KEY),
            ("", KEY),
        ):
            with self.assertRaises(RequestRefused):
                decode_context(text, key)


class ForwardTest(unittest.TestCase):
    def test_answer_of_another_region_is_relayed(self) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                site.hosts["bkk-1"].policy.away = ["bkk"]
                answer = await site.request("bkk-1", body=chat())
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

    def test_forwarded_request_is_not_forwarded_back(self) -> None:
        """Guards against a request forwarded back and forth until its deadline.

        Each region prefers the other one, for example while load reports are late.
        Each forward would be a new request for the other region.
        """

        async def main() -> None:
            async with Site("bkk", "sgp", "cnx") as site:
                for host in site.hosts.values():
                    host.policy.away = list(site.regions)
                refusal = read_refusal(site, await site.request("bkk-1", body=chat()))
                self.assertEqual(refusal.refusal.kind, "no_target")
                self.assertEqual(refusal.refusal.ran, "no")
                admitted = [host.policy.admitted for host in site.hosts.values()]
                self.assertEqual(admitted, [1, 1, 1])
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
    def test_forwarding_loop_is_refused(self, _, visited) -> None:
        """Guards against forwarding loops caused by a host with a faulty policy."""

        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                key = site.hosts["sgp-1"].gateway._identity.key
                header = encode_context(forward_context(visited=visited), key)
                answer = await site.request(
                    "sgp-1", body=chat(), headers={"Bronzepoint-Forward": header}
                )
                refusal = read_refusal(site, answer)
                self.assertEqual(refusal.status, 508)
                self.assertEqual(refusal.refusal.kind, "loop_detected")
                self.assertEqual(site.targets["sgp-t1"].ran.total(), 0)

        run(main)

    def test_context_of_another_request_is_refused(self) -> None:
        async def main() -> None:
            async with Site("sgp") as site:
                key = site.hosts["sgp-1"].gateway._identity.key
                header = encode_context(forward_context(digest=b"other"), key)
                answer = await site.request(
                    "sgp-1", body=chat(), headers={"Bronzepoint-Forward": header}
                )
                self.assertEqual(
                    read_refusal(site, answer).refusal.kind, "unauthenticated"
                )

        run(main)


class ResidencyTest(unittest.TestCase):
    @params(("sgp-1", "bkk"), ("bkk-1", "sgp"))
    def test_request_restricted_to_home_is_served_there(self, host, home) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                for body in (chat("clinic"), chat()):
                    answer = await site.request(
                        host,
                        body=body,
                        headers={"Bronzepoint-Residency": "home"},
                        home=home,
                    )
                    self.assertEqual(answer.body, f"{home}:{site.last_id}".encode())

        run(main)

    def test_request_without_an_allowed_region_is_refused(self) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                set_residency(site.hosts["bkk-1"], "talk", "sgp")
                refusal = read_refusal(
                    site,
                    await site.request(
                        "bkk-1",
                        body=chat(),
                        headers={"Bronzepoint-Residency": "home"},
                    ),
                )
                self.assertEqual(refusal.refusal.kind, "residency")
                self.assertEqual(refusal.refusal.ran, "no")

        run(main)

    def test_residency_is_checked_again_before_the_send(self) -> None:
        """Guards against a request served in a region that its residency forbids.

        While the request is queued, this host receives a change by which the entry may
        no longer be served here. The target was chosen before the change.
        """

        async def main() -> None:
            async with Site("bkk") as site:
                host = site.hosts["bkk-1"]
                host.policy.on_place = lambda: set_residency(host, "talk", "sgp")
                refusal = read_refusal(site, await site.request("bkk-1", body=chat()))
                self.assertEqual(refusal.refusal.kind, "residency")
                self.assertEqual(refusal.refusal.ran, "no")
                self.assertEqual(site.targets["bkk-t1"].ran.total(), 0)

        run(main)

    def test_target_that_leaves_while_queued_gets_no_request(self) -> None:
        """Guards against a leaving target that still gets the queued requests."""

        async def main() -> None:
            async with Site("bkk", targets=2) as site:
                host = site.hosts["bkk-1"]

                def leave() -> None:
                    host.catalogue.entries["talk"].targets[0].leaving = True

                host.policy.on_place = leave
                answer = await site.request("bkk-1", body=chat())
                self.assertEqual(answer.status, 200)
                self.assertEqual(site.targets["bkk-t1"].ran.total(), 0)
                self.assertEqual(site.targets["bkk-t2"].ran.total(), 1)

        run(main)

    @params(
        ("the sender's view is newer", "bkk-1"), ("the receiver's is newer", "sgp-1")
    )
    def test_different_views_do_not_widen_residency(self, _, newer) -> None:
        """Guards against a forbidden region serving while a change propagates.

        Only one of the two hosts has the change by which the entry must stay in bkk.
        Whichever host has the older view, the request must not be served in sgp.
        """

        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                set_residency(site.hosts[newer], "talk", "bkk")
                sender = site.hosts["bkk-1"]
                sender.policy._place = lambda *args: _remote_placement("sgp")
                answer = await site.request("bkk-1", body=chat())
                refusal = read_refusal(site, answer)
                self.assertEqual(refusal.refusal.kind, "residency")
                self.assertEqual(site.targets["sgp-t1"].ran.total(), 0)

        run(main)

    def test_receiver_enforces_regions_allowed_by_sender(self) -> None:
        """Guards against a sender's policy that forwards despite the caller's limit.

        The caller allows only its home region, while the entry allows all regions. The
        receiver must enforce the regions that the sender passed along.
        """

        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                digest = Call("talk", "POST", CHAT, {}, chat()).digest()
                encoded = encode_context(
                    forward_context(allowed=["bkk"], digest=digest),
                    site.hosts["sgp-1"].gateway._identity.key,
                )
                answer = await site.request(
                    "sgp-1", body=chat(), headers={"Bronzepoint-Forward": encoded}
                )
                self.assertEqual(read_refusal(site, answer).refusal.kind, "residency")
                self.assertEqual(site.targets["sgp-t1"].ran.total(), 0)

        run(main)

    def test_receiver_that_lacks_the_entry_is_not_ready(self) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                site.hosts["bkk-1"].policy.away = ["bkk"]
                site.hosts["bkk-1"].catalogue.revision = 2
                del site.hosts["sgp-1"].catalogue.entries["talk"]
                read_refusal(site, await site.request("bkk-1", body=chat()))
                refused = (await site.record("sgp-1")).refusal
                self.assertEqual(refused.kind, "not_ready")

        run(main)

    def test_unresponsive_region_is_replaced_by_another(self) -> None:
        """Guards against forwarded requests that fail at their deadline in a partition.

        The connection opens or is reused, and the other side never answers. The policy
        limits the time until the head of the response.
        """

        async def main() -> None:
            async with Site("bkk", "sgp", "cnx") as site:
                policy = site.hosts["bkk-1"].policy
                policy.away, policy.max_wait = ["bkk"], 0.05
                site.targets["cnx-t1"].script = never_answers
                answer = await site.request("bkk-1", body=chat())
                self.assertEqual(answer.body, f"sgp:{site.last_id}".encode())
                results = [one.result for one in (await site.record("bkk-1")).tries]
                self.assertEqual(results, [TryResult.timeout, TryResult.answered])
                await site.targets["cnx-t1"].left.wait()

        run(main)

    @params((("bkk", "sgp"), True), (("bkk", "sgp", "cnx"), False))
    def test_late_region_is_left_only_for_another_place(
        self, regions, may_replace
    ) -> None:
        """Guards against requests that are given up while their target works on them.

        The only other region is late, or no retry is left in the budget for another.
        """

        async def main() -> None:
            async with Site(*regions) as site:
                policy = site.hosts["bkk-1"].policy
                policy.away, policy.max_wait = ["bkk"], 0.05
                policy.may_replace = may_replace

                async def late_answer(target, exchange) -> None:
                    await wait_until(lambda: policy.searches > 1)
                    await complete_answer(target, exchange)

                for target in site.targets.values():
                    target.script = late_answer
                answer = await site.request("bkk-1", body=chat())
                self.assertEqual(answer.status, 200)
                results = [one.result for one in (await site.record("bkk-1")).tries]
                self.assertEqual(results, [TryResult.answered])
                self.assertEqual(site.runs(), 1)

        run(main)

    def test_late_region_is_left_once_a_place_is_free(self) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                host, late = site.hosts["bkk-1"], site.targets["sgp-t1"]
                host.policy.away, host.policy.max_wait = ["bkk"], 0.05
                late.script = never_answers
                counts = []

                async def count_and_answer(target, exchange) -> None:
                    counts.append(host.targets.in_flight["bkk-t1"])
                    await complete_answer(target, exchange)

                site.targets["bkk-t1"].script = count_and_answer

                async def free_a_place() -> None:
                    await wait_until(lambda: host.policy.searches > 1)
                    host.policy.away = []

                freeing = await curio.spawn(free_a_place)
                answer = await site.request("bkk-1", body=chat())
                await freeing.join()
                self.assertEqual(answer.body, f"bkk:{site.last_id}".encode())
                self.assertEqual((counts, host.targets.in_flight["bkk-t1"]), ([1], 0))
                await late.left.wait()

        run(main)

    def test_unused_replacement_is_released(self) -> None:
        """Guards against slots that stay counted for requests that have ended."""

        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                host = site.hosts["bkk-1"]
                view = RequestView("r", "talk", "saphan", "bkk")
                request = SimpleNamespace(
                    view=view,
                    deadline_left=lambda: 1.0,
                    allowed_by=lambda entry: None,
                )
                replacement = Replacement(
                    host.gateway._call_handler._dependencies,
                    SimpleNamespace(entry=lambda _: host.catalogue.entries["talk"]),
                    request,
                    Ticket(view, None, 1.0),
                )
                self.assertTrue(replacement.find("sgp"))
                self.assertEqual(host.targets.in_flight["bkk-t1"], 1)
                replacement.release()
                self.assertEqual(host.targets.in_flight["bkk-t1"], 0)

        run(main)

    def test_unreachable_region_reports_not_run(self) -> None:
        async def main() -> None:
            async with Site("bkk", "sgp") as site:
                await site.hosts["sgp-1"].server.close(0.0)
                site.hosts["bkk-1"].policy.away = ["bkk"]
                refusal = read_refusal(site, await site.request("bkk-1", body=chat()))
                self.assertEqual(refusal.refusal.kind, "region_unreachable")
                self.assertEqual(refusal.refusal.ran, "no")
                record = await site.record("bkk-1")
                self.assertEqual(record.tries[0].result, TryResult.not_sent)
                self.assertEqual(record.outcome, Outcome.refused)

        run(main)


def _remote_placement(region: str):
    return RemotePlacement(region, [], "on purpose")
