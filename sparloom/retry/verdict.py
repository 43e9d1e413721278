"""The verdict: whether a request may have run."""

from enum import Enum

from attrs import define


class Verdict(Enum):
    """What is known of an attempt at a runner.

    >>> Verdict.NOT_RUN.sure
    True
    """

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2

    @property
    def sure(self):
        """Whether the request is known not to have run."""
        return self is Verdict.NOT_RUN


NOT_RUN, MAY_HAVE_RUN, RAN = Verdict


@define(frozen=True, slots=True)
class ResponseHead:
    """The parts of a runner's answer that judge it.

    ``attempt_id_matches``: it bears the attempt id of the request. ``without_attempt_id``: neither
    the request nor the answer bears one.
    """

    status: int
    not_run: bool
    sealed: bool
    attempt_id_matches: bool
    framed: bool
    without_attempt_id: bool = False

    @property
    def belongs(self):
        """Whether this is the answer to the request, and not one left over from another.

        Only a 400 that turns away a request without an id may lack it.

        >>> ResponseHead(503, True, False, False, True).belongs, ResponseHead(400, True, False, False, True, without_attempt_id=True).belongs
        (False, True)
        """
        return self.attempt_id_matches or self.without_attempt_id and self.status == 400 and self.not_run


def judge_head(head):
    """A verdict on the head of a runner's answer, and whether the answer may be passed on.

    An answer that doesn't belong to the request proves nothing of it, a
    refusal no more than a success.

    >>> judge_head(ResponseHead(200, False, True, True, True))
    (<Verdict.RAN: 2>, True)
    >>> judge_head(ResponseHead(503, True, False, True, True))[0], judge_head(ResponseHead(503, False, False, True, True))
    (<Verdict.NOT_RUN: 0>, (<Verdict.MAY_HAVE_RUN: 1>, False))
    >>> judge_head(ResponseHead(503, True, False, False, True)), judge_head(ResponseHead(421, False, False, False, True))
    ((<Verdict.MAY_HAVE_RUN: 1>, False), (<Verdict.MAY_HAVE_RUN: 1>, False))
    """
    if not head.belongs:
        return MAY_HAVE_RUN, False
    succeeded = 200 <= head.status < 300
    if head.not_run and not succeeded or head.status == 421:
        return NOT_RUN, False
    if not head.framed:
        return MAY_HAVE_RUN, False
    if succeeded:
        return (RAN, True) if head.sealed else (MAY_HAVE_RUN, False)
    return (MAY_HAVE_RUN, False) if head.status in (408, 429, 503) else (RAN, True)
