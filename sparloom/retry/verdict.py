"""Verdicts: whether a request may have run at a runner, judged by the head of the response."""

from __future__ import annotations

from enum import Enum

from attrs import define


class Verdict(Enum):
    """Whether an attempt ran at a runner."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


NOT_RUN, MAY_HAVE_RUN, RAN = Verdict


@define(frozen=True, slots=True)
class ResponseHead:
    """The parts of a runner's response head that determine the verdict.

    Attributes:
        status: The status code.
        not_run: Whether it has the header which states that the request did not run.
        sealed: Whether it has the runner's seal.
        attempt_id_matches: Whether its attempt id is that of the request.
        framed: Whether its body is delimited by Content-Length or by chunked encoding.
        without_attempt_id: Whether neither the request nor the response has an attempt id.
    """

    status: int
    not_run: bool
    sealed: bool
    attempt_id_matches: bool
    framed: bool
    without_attempt_id: bool = False

    @property
    def matches_request(self) -> bool:
        """Whether this is the response to the request, and not to an earlier one on the connection.

        Only a 400 that rejects a request without an attempt id may lack the id.

        >>> ResponseHead(503, True, False, False, True).matches_request
        False
        >>> ResponseHead(400, True, False, False, True, without_attempt_id=True).matches_request
        True
        """
        return self.attempt_id_matches or self.without_attempt_id and self.status == 400 and self.not_run


def judge_head(head: ResponseHead) -> tuple[Verdict, bool]:
    """Returns the verdict on a runner's response, and whether the response may be forwarded.

    A response to another request, whether a rejection or a success, does not
    show whether this request ran.

    >>> judge_head(ResponseHead(200, False, True, True, True))
    (<Verdict.RAN: 2>, True)
    >>> judge_head(ResponseHead(503, True, False, True, True))
    (<Verdict.NOT_RUN: 0>, False)
    >>> judge_head(ResponseHead(503, False, False, True, True))
    (<Verdict.MAY_HAVE_RUN: 1>, False)
    >>> judge_head(ResponseHead(503, True, False, False, True))
    (<Verdict.MAY_HAVE_RUN: 1>, False)
    >>> judge_head(ResponseHead(421, False, False, False, True))
    (<Verdict.MAY_HAVE_RUN: 1>, False)
    """
    if not head.matches_request:
        return MAY_HAVE_RUN, False
    succeeded = 200 <= head.status < 300
    if head.not_run and not succeeded or head.status == 421:
        return NOT_RUN, False
    if not head.framed:
        return MAY_HAVE_RUN, False
    if succeeded:
        return (RAN, True) if head.sealed else (MAY_HAVE_RUN, False)
    return (MAY_HAVE_RUN, False) if head.status in (408, 429, 503) else (RAN, True)
