"""Contradictory items are refused with a remedy."""

import unittest

from nose2.tools import params

from bronzepoint_node.agreement._agreement import change_problems
from bronzepoint_node.catalogue import find_contradictions
from bronzepoint_schema.generated.agreement import PatchTargets, Put
from bronzepoint_schema.generated.catalogue import (
    ModelEntry,
    OwnerItem,
    Residency,
    ResidencyRule,
    Route,
    ServiceEntry,
    Target,
)
from tests._agreement_cluster import make_change


def target(name="t1", region="bkk", address="127.0.0.1:8000"):
    return Target(name, region, "dc", address)


def model(**fields):
    return ModelEntry("phrases", "saphan", **fields)


def service(*routes):
    return ServiceEntry("orders", "karadeniz", routes=list(routes))


ONLY_BKK = Residency(ResidencyRule.regions, ["bkk"])


class TestContradictions(unittest.TestCase):
    @params(
        model(targets=[target(), target("t2", address="[2001:db8::1]:80")]),
        model(residency=ONLY_BKK, targets=[target()]),
        service(Route("GET", "/"), Route("POST", "/", idempotent=False)),
        OwnerItem("saphan"),
    )
    def test_consistent_items_pass(self, item):
        self.assertEqual(find_contradictions(item), [])

    @params(
        (model(residency=Residency(ResidencyRule.regions)), "list at least one"),
        (model(residency=Residency(ResidencyRule.home, ["bkk"])), "set rule 'regions'"),
        (model(residency=ONLY_BKK, targets=[target(region="sgp")]), "add the region"),
        (model(targets=[target(), target(address="127.0.0.1:1")]), "rename"),
        (model(targets=[target(), target("t2")]), "keep one target"),
        (model(targets=[target(address="example.com:80")]), "by IP number"),
        (model(targets=[target(address="127.0.0.1")]), "by IP number"),
        (model(targets=[target(address="127.0.0.1:0")]), "by IP number"),
        (model(targets=[target(address="::1:80")]), "by IP number"),
        (model(owners_allowed=["other"]), "add it or empty"),
        (ModelEntry("", "saphan"), "give one"),
        (ModelEntry("a/b", "saphan"), "without blanks"),
        (service(), "add one"),
        (service(Route("GET", "/", idempotent=False)), "use POST"),
        (service(Route("get", "/")), "use one of"),
        (service(Route("GET", "x")), "begin with '/'"),
        (service(Route("GET", "/"), Route("GET", "/")), "keep one"),
    )
    def test_contradiction_names_its_remedy(self, item, remedy):
        problems = find_contradictions(item)
        self.assertEqual(len(problems), 1, problems)
        self.assertIn(remedy, problems[0])

    @params("", "7", "01A2381B-472D-712A-A9C4-BD2192472FD0")
    def test_change_id_must_be_uuid7(self, change_id):
        change = make_change(Put(OwnerItem("x")), change_id=change_id or "no")
        self.assertIn("UUIDv7", change_problems(change)[0])

    def test_operators_cannot_send_patches(self):
        """A patch can't be checked for contradictions."""
        change = make_change(PatchTargets(model(), [], []))
        self.assertIn("send it with 'put'", change_problems(change)[0])

    @params((0, "olive", "version"), (1, "", "operator"))
    def test_change_must_be_complete(self, version, operator, word):
        change = make_change(Put(OwnerItem("x")), version, operator)
        self.assertIn(word, change_problems(change)[0])
