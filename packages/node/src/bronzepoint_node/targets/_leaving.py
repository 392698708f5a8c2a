"""Whether a target is leaving, merged from sources that lag and may disagree."""

from bronzepoint_node.membership import supersedes
from bronzepoint_schema.generated.membership import NoticeSource, TargetNotice
from bronzepoint_schema.ids import TargetName

MAX_REPORT_LAG_SECONDS = 10.0
"""Longest time by which a target's reports may lag behind its answers."""
_RENEW_SECONDS = 60.0
"""Interval after which an unchanged notice is reported to the other hosts again."""


class LeavingNotices:
    """Merges the notices of the operator, the host list and the target itself.

    A notice of any source marks the target as leaving. Within one source the newest
    notice counts, by that source's own clock. No source overrides another: a host list
    that still lists a target as live doesn't cancel the target's own notice.

    Args:
        target: The target.

    Attributes:
        by_operator: Whether the operator has marked the target as leaving.
        sends_reports: Whether the target has sent a load report.
    """

    def __init__(self, target: TargetName) -> None:
        self._target = target
        self._notices: dict[NoticeSource, TargetNotice] = {}
        self._reported: dict[NoticeSource, TargetNotice] = {}
        self.by_operator = False
        self.sends_reports = False

    @property
    def leaving(self) -> bool:
        """Whether the target should get no new requests."""
        return self.by_operator or any(n.leaving for n in self._notices.values())

    @property
    def sources(self) -> list[str]:
        """The sources that report it as leaving, always in the same order."""
        notices = [self._notices.get(source) for source in NoticeSource]
        sources = [n.source.value for n in notices if n and n.leaving]
        return ["operator", *sources] if self.by_operator else sources

    def record(self, source: NoticeSource, leaving: bool, as_of: float) -> None:
        """Record a notice, unless a newer one of its source is known.

        Args:
            source: Source of the notice.
            leaving: Whether the target is leaving according to that source.
            as_of: Unix time of the notice by the clock of its source.
        """
        self._merge(TargetNotice(self._target, leaving, as_of, source))

    def record_from_host(self, notice: TargetNotice) -> None:
        """Record a notice received from another host; it isn't reported again."""
        if self._merge(notice):
            self._reported[notice.source] = notice

    def record_header(self, target_now: float) -> None:
        """Record the notice of an answer's header: the target is leaving now.

        Reports lag, so those in transit still state that it isn't leaving. The notice
        therefore gets a later time than they have. With the current time the next
        late report would cancel it, and the target would get requests until its
        reports had caught up.

        Args:
            target_now: Estimated Unix time by the target's clock.
        """
        self.record(NoticeSource.target, True, target_now + MAX_REPORT_LAG_SECONDS)

    def take_unreported(self) -> list[TargetNotice]:
        """Return the notices to report to other hosts, and mark them as reported.

        Each notice is reported once, and again when it is to be renewed. A notice
        that a target isn't leaving is reported only after one that it is.
        """
        unreported = []
        for source, notice in self._notices.items():
            reported = self._reported.get(source)
            if reported is None and not notice.leaving:
                continue
            age = notice.as_of - (reported or notice).as_of
            renew = notice.leaving and age > _RENEW_SECONDS
            if reported is None or reported.leaving != notice.leaving or renew:
                self._reported[source] = notice
                unreported.append(notice)
        return unreported

    def _merge(self, notice: TargetNotice) -> bool:
        current = self._notices.get(notice.source)
        if current is not None and not supersedes(notice, current):
            return False
        self._notices[notice.source] = notice
        if notice.source is NoticeSource.host_list:
            self._clear_own_notice(current, notice)
        return True

    def _clear_own_notice(
        self, current: TargetNotice | None, notice: TargetNotice
    ) -> None:
        """Let the host list clear a target's own notice, if it sends no load reports.

        A plain service gives notices only in its answers, and gets no requests while
        it is leaving, so it could never cancel its notice. A list that showed it as
        leaving and now shows it as live is up to date; a list that never showed it as
        leaving may be stale, and clears nothing.
        """
        was_leaving = current is not None and current.leaving
        if was_leaving and not notice.leaving and not self.sends_reports:
            self._notices.pop(NoticeSource.target, None)
            self._reported.pop(NoticeSource.target, None)
