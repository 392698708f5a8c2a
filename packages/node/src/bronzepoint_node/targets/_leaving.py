"""Whether a target is leaving, from three sources that lag and disagree."""

from bronzepoint_node.membership import supersedes
from bronzepoint_schema.generated.membership import TargetNotice, WordSource
from bronzepoint_schema.ids import TargetName

LAG_BOUND = 10.0
"""Seconds by which a target's reports may lag behind what its answers say."""
_RENEW_AFTER = 60.0


class Leaving:
    """Merges the operator's, the host list's and the target's own word.

    Any one of them makes the target leaving. Within one source the newest word counts,
    by that source's own time; no source overrules another: a host list that still
    says "live" does not bring back a target that said itself that it leaves.

    Args:
        target: The target.
    """

    def __init__(self, target: TargetName) -> None:
        self._target = target
        self._words: dict[WordSource, TargetNotice] = {}
        self._told: dict[WordSource, TargetNotice] = {}
        self.by_operator = False
        self.reports = False

    @property
    def leaving(self) -> bool:
        """True where it should get no new work."""
        return self.by_operator or any(w.leaving for w in self._words.values())

    @property
    def sources(self) -> list[str]:
        """Who says that it leaves, always in the same order."""
        words = [self._words.get(source) for source in WordSource]
        said = [word.source.value for word in words if word and word.leaving]
        return ["operator", *said] if self.by_operator else said

    def hear(self, source: WordSource, leaving: bool, as_of: float) -> None:
        """Take one word, unless a newer one of its source is known.

        Args:
            source: Who said it.
            leaving: What was said.
            as_of: Unix time by the clock of who said it.
        """
        self._merge(TargetNotice(self._target, leaving, as_of, source))

    def hear_notice(self, notice: TargetNotice) -> None:
        """Take the word that another host heard; it needs no telling again."""
        if self._merge(notice):
            self._told[notice.source] = notice

    def hear_header(self, target_now: float) -> None:
        """Take the word of an answer's header: the target is leaving now.

        Reports lag, so those that are on their way still say that it stays. The word
        gets a time beyond them: taken as of now, the next late report would undo it,
        and the target would get work until its reports had caught up.

        Args:
            target_now: Unix time by the target's clock, as far as it is known.
        """
        self.hear(WordSource.target, True, target_now + LAG_BOUND)

    def untold(self) -> list[TargetNotice]:
        """Return the words that other hosts should be told, each once and renewed.

        Nobody needs to be told that a target stays where none said that it leaves.
        """
        notices = []
        for source, word in self._words.items():
            told = self._told.get(source)
            if told is None and not word.leaving:
                continue
            renew = word.leaving and word.as_of - (told or word).as_of > _RENEW_AFTER
            if told is None or told.leaving != word.leaving or renew:
                self._told[source] = word
                notices.append(word)
        return notices

    def _merge(self, word: TargetNotice) -> bool:
        known = self._words.get(word.source)
        if known is not None and not supersedes(word, known):
            return False
        self._words[word.source] = word
        if word.source is WordSource.host_list:
            self._end_own_word(known, word)
        return True

    def _end_own_word(self, known: TargetNotice | None, word: TargetNotice) -> None:
        """Let the list end the own word of a target that gives no reports.

        A plain service speaks only in its answers, and gets no request while it
        leaves: it could never say that it is back. A list that has shown it leaving
        and then shows it live has seen both; one that never noticed has not.
        """
        was_leaving = known is not None and known.leaving
        if was_leaving and not word.leaving and not self.reports:
            self._words.pop(WordSource.target, None)
            self._told.pop(WordSource.target, None)
