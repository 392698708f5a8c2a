"""Whether a target is leaving, from three sources that lag and disagree."""

from bronzepoint_node.membership import supersedes
from bronzepoint_schema.generated.membership import NoticeSource, TargetNotice
from bronzepoint_schema.ids import TargetName

LAG_BOUND = 10.0
"""Seconds by which a target's reports may lag behind what its answers say."""
_RENEW_AFTER = 60.0


class Leaving:
    """Merges the notices of the operator, the host list and the target itself.

    Any one of them makes the target leaving. Within one source the newest notice
    counts, by that source's own time; no source overrules another: a host list that
    still says "live" does not bring back a target that said itself that it leaves.

    Args:
        target: The target.
    """

    def __init__(self, target: TargetName) -> None:
        self._target = target
        self._notices: dict[NoticeSource, TargetNotice] = {}
        self._told: dict[NoticeSource, TargetNotice] = {}
        self.by_operator = False
        self.reports = False

    @property
    def leaving(self) -> bool:
        """True where it should get no new work."""
        return self.by_operator or any(n.leaving for n in self._notices.values())

    @property
    def sources(self) -> list[str]:
        """Who says that it leaves, always in the same order."""
        notices = [self._notices.get(source) for source in NoticeSource]
        said = [n.source.value for n in notices if n and n.leaving]
        return ["operator", *said] if self.by_operator else said

    def hear(self, source: NoticeSource, leaving: bool, as_of: float) -> None:
        """Take one notice, unless a newer one of its source is known.

        Args:
            source: Who said it.
            leaving: What was said.
            as_of: Unix time by the clock of who said it.
        """
        self._merge(TargetNotice(self._target, leaving, as_of, source))

    def hear_notice(self, notice: TargetNotice) -> None:
        """Take the notice that another host heard; it needs no telling again."""
        if self._merge(notice):
            self._told[notice.source] = notice

    def hear_header(self, target_now: float) -> None:
        """Take the notice of an answer's header: the target is leaving now.

        Reports lag, so those that are on their way still say that it stays. The
        notice gets a time beyond them: taken as of now, the next late report would
        undo it, and the target would get work until its reports had caught up.

        Args:
            target_now: Unix time by the target's clock, as far as it is known.
        """
        self.hear(NoticeSource.target, True, target_now + LAG_BOUND)

    def untold(self) -> list[TargetNotice]:
        """Return the notices that other hosts should be told, each once and renewed.

        Nobody needs to be told that a target stays where none said that it leaves.
        """
        untold = []
        for source, notice in self._notices.items():
            told = self._told.get(source)
            if told is None and not notice.leaving:
                continue
            age = notice.as_of - (told or notice).as_of
            renew = notice.leaving and age > _RENEW_AFTER
            if told is None or told.leaving != notice.leaving or renew:
                self._told[source] = notice
                untold.append(notice)
        return untold

    def _merge(self, notice: TargetNotice) -> bool:
        known = self._notices.get(notice.source)
        if known is not None and not supersedes(notice, known):
            return False
        self._notices[notice.source] = notice
        if notice.source is NoticeSource.host_list:
            self._end_own_notice(known, notice)
        return True

    def _end_own_notice(self, known: TargetNotice | None, notice: TargetNotice) -> None:
        """Let the list end the own notice of a target that gives no reports.

        A plain service speaks only in its answers, and gets no request while it
        leaves: it could never say that it is back. A list that has shown it leaving
        and then shows it live has seen both; one that never noticed has not.
        """
        was_leaving = known is not None and known.leaving
        if was_leaving and not notice.leaving and not self.reports:
            self._notices.pop(NoticeSource.target, None)
            self._told.pop(NoticeSource.target, None)
