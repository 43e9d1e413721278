"""The verdict: whether an ask may have run."""

from enum import Enum

from attrs import define


class Verdict(Enum):
    """What is known of a dispatch.

    >>> Verdict.NOT_RUN.sure
    True
    """

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2

    @property
    def sure(self):
        """Whether the ask is known not to have run."""
        return self is Verdict.NOT_RUN


NOT_RUN, MAY_HAVE_RUN, RAN = Verdict


@define(frozen=True, slots=True)
class Head:
    """The parts of a runner's head that judge it."""

    status: int
    not_run: bool
    sealed: bool
    id_fits: bool
    framed: bool


def judge_head(h):
    """A verdict on a runner's head, and whether the reply may be passed on.

    >>> judge_head(Head(200, False, True, True, True))
    (<Verdict.RAN: 2>, True)
    >>> judge_head(Head(503, True, False, True, True))[0], judge_head(Head(503, False, False, True, True))
    (<Verdict.NOT_RUN: 0>, (<Verdict.MAY_HAVE_RUN: 1>, False))
    """
    if h.not_run and not 200 <= h.status < 300 or h.status == 421:
        return NOT_RUN, False
    if not h.id_fits or not h.framed:
        return MAY_HAVE_RUN, False
    if 200 <= h.status < 300:
        return (RAN, True) if h.sealed else (MAY_HAVE_RUN, False)
    return (MAY_HAVE_RUN, False) if h.status in (408, 429, 503) else (RAN, True)
