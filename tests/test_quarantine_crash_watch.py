"""What counts as a crash of a target, and which requests ran there."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.quarantine import CrashWatch, RequestNames, name_request
from bronzepoint_schema.generated.fleet import TargetInfo


def target(name="t-1", address="10.0.0.1:80", leaving=False):
    return TargetInfo(name, "s", address, "x-a", 6, leaving, 0)


class Watch:
    """A watch, what it told, and a target that listens or doesn't."""

    def __init__(self):
        self.refused = False
        self.looks = 0
        self.crashes = []
        self.answered = []
        self.survived = []
        self.watch = CrashWatch(self._is_refused, self, Metrics())

    def note_crash(self, crash):
        self.crashes.append(crash)

    def note_survived(self, names):
        self.survived.append(names.exact)

    def note_answered(self, names):
        self.answered.append(names.exact)

    async def _is_refused(self, address):
        self.looks += 1
        await curio.sleep(0.01)
        return self.refused

    def run(self, name, info, event=False):
        made = self.watch.begin(info, RequestNames(name, f"*{name}"))
        if event:
            self.watch.note_event(info, made)
        return made

    def told(self):
        return [sorted(run.names.exact for run in c.runs) for c in self.crashes]


class TestFingerprint(unittest.TestCase):
    BASE = ("h", "/a/b?c=1", "10.0.0.9", b"body")

    @params(
        ("g", *BASE[1:]),
        ("h", "/a/b?c=2", *BASE[2:]),
        ("h", "/a/b?c=1", "10.0.0.8", b"body"),
        (*BASE[:3], b"other"),
        # the same bytes, divided in another way
        ("h/", "a/b?c=1", *BASE[2:]),
    )
    def test_each_part_counts(self, *other):
        names, others = name_request(*self.BASE), name_request(*other)
        self.assertEqual(names, name_request(*self.BASE))
        self.assertNotEqual(names.exact, others.exact)
        same_caller = self.BASE[2] == other[2]
        self.assertEqual(names.content == others.content, not same_caller)

    def test_another_region_is_told_both(self):
        names = name_request(*self.BASE)
        self.assertEqual(RequestNames.parse(str(names)), names)

    @params("", "x", "x y", "* *", f"{'0' * 32} x")
    def test_what_is_no_name_names_nothing(self, text):
        self.assertEqual(RequestNames.parse(text), RequestNames())


class TestCrashWatch(unittest.TestCase):
    @params((True, [["a", "b"]]), (False, []))
    def test_reset_of_a_target_that_listens_is_no_crash(self, refused, told):
        async def main():
            made = Watch()
            made.refused = refused
            runs = [made.run(name, target()) for name in ("a", "b")]
            for run in runs:
                made.watch.note_broken(target(), run)
            async with curio.TaskGroup() as group:
                for _ in runs:
                    await group.spawn(made.watch.look, target())
            return made

        made = curio.run(main)
        self.assertEqual(made.told(), told)
        self.assertEqual(made.looks, 1)

    def test_target_that_was_to_leave_has_not_crashed(self):
        async def main():
            made = Watch()
            made.refused = True
            run = made.run("a", target())
            made.watch.note_broken(target(), run)
            ended = await made.watch.look(target(leaving=True))
            return ended, made.told()

        self.assertEqual(curio.run(main), (False, []))

    @params(
        # start that is listed at the address, its service, what is told
        ("t-2", "s", [["a"]]),
        ("t-1", "s", []),
        # an address is given to another service only after its target has ended
        ("t-2", "other", [["a"]]),
    )
    def test_silent_target_has_crashed_once_it_is_back(self, name, service, told):
        """Guards against a target that goes silent and starts anew unseen."""
        made = Watch()
        made.watch.note_listed([target()])
        run = made.run("a", target())
        made.watch.note_broken(target(), run)
        listed = TargetInfo(name, service, "10.0.0.1:80", "x-a", 6, False, 0)
        made.watch.note_listed([target(), listed])
        self.assertEqual(made.told(), told)

    def test_run_that_hangs_at_a_silent_target_is_named_when_it_ends(self):
        made = Watch()
        made.watch.note_listed([target()])
        run = made.run("a", target())
        made.watch.note_listed([target("t-2")])
        self.assertEqual(made.told(), [])
        made.watch.note_broken(target(), run)
        self.assertEqual(made.told(), [["a"]])

    def test_former_start_that_stays_listed_is_no_newer_one(self):
        """Guards against blame for resets at a target that is sound."""
        made = Watch()
        made.watch.note_listed([target("t-1")])
        made.watch.note_listed([target("t-1"), target("t-2")])
        run = made.run("a", target("t-2"))
        made.watch.note_broken(target("t-2"), run)
        made.watch.note_listed([target("t-2"), target("t-1")])
        self.assertEqual(made.told(), [])

    def test_run_that_broke_before_the_last_sign_of_life_is_not_named(self):
        """Guards against blame for a deadline that came long before the crash."""

        async def main():
            made = Watch()
            early, late = made.run("a", target()), made.run("b", target())
            made.watch.note_broken(target(), early)
            await curio.sleep(0.25)
            made.watch.note_event(target(), late)
            made.watch.note_broken(target(), late)
            made.watch.note_replaced(target())
            return made.told()

        self.assertEqual(curio.run(main), [["b"]])

    def test_run_that_breaks_after_the_crash_was_seen_is_named_too(self):
        async def main():
            made = Watch()
            made.refused = True
            first, second = made.run("a", target()), made.run("b", target())
            made.watch.note_broken(target(), first)
            await made.watch.look(target())
            made.watch.note_broken(target(), second)
            return made.told()

        self.assertEqual(curio.run(main), [["a"], ["b"]])

    @params((0.0, True), (0.2, True), (5.0, False))
    def test_crash_comes_early_in_a_run(self, flowing, early):
        made = Watch()
        run = made.run("a", target(), event=True)
        run.first_event_at -= flowing
        made.watch.note_event(target(), run)
        made.watch.note_broken(target(), run)
        self.assertEqual(run.is_early, early)
        self.assertEqual(made.survived, [] if early else ["a"])

    @params(
        # quiet, another was sent there meanwhile, the suspect was alone
        (True, False, True),
        (True, True, False),
        (False, False, False),
    )
    def test_what_a_suspect_was_alone_with(self, quiet, followed, alone):
        """Guards against blame for what began at the same target just then."""
        made = Watch()
        names = RequestNames("q", "*q")
        run = made.watch.begin(target(), names, suspect=True, quiet=quiet)
        if followed:
            made.run("a", target())
        made.watch.note_broken(target(), run)
        self.assertEqual(run.is_alone, alone)


if __name__ == "__main__":
    unittest.main()
