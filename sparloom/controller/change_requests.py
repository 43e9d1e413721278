"""The operator's orders: read from a request's bytes, and judged against a decided state. No I/O."""

from enum import Enum

from attrs import define
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from sparloom.configuration import MAXIMUM_REVISION, apply_patch, check, parse

from .control_state import fingerprint

MOST_DIGITS = len(str(MAXIMUM_REVISION))


@define(frozen=True, slots=True)
class ChangeRequest:
    """A change that an operator asks for; ``change`` is a whole configuration (PUT) or an edit (PATCH)."""

    method: str
    base: int
    change: dict
    fingerprint: bytes

    @property
    def revision(self):
        """The number that the operator gave the change.

        >>> parse_change_request("PATCH", "1", b'{"revision": 4}').unwrap().revision
        4
        """
        return self.change["revision"]

    def same_as(self, other):
        """Whether this is the other order, sent again.

        >>> a, b = (parse_change_request("PATCH", base, b'{"revision": 4}').unwrap() for base in "12")
        >>> a.same_as(a), a.same_as(b)
        (True, False)
        """
        return self.fingerprint == other.fingerprint


class Verdict(Enum):
    """What becomes of an order, as far as one decided state tells."""

    NEW = "it may be written"
    TAKEN = "it was taken before"
    FORGOTTEN = "it may have been taken before"
    STALE = "another revision than its base is current"
    INVALID = "it is invalid on its base"


@define(frozen=True, slots=True)
class Judgement:
    """The verdict; for a new order the state to write, for an invalid one what is wrong."""

    verdict: Verdict
    state: object = None
    fault: str = ""


def _base(text):
    """The revision that ``If-Match`` names, or None."""
    digits = text.strip().strip('"')
    return int(digits) if digits.isascii() and digits.isdigit() and len(digits) <= MOST_DIGITS else None


def parse_change_request(method, if_match, body) -> Result:
    """Reads an order. A failure names a fault that lies in the order alone, whatever the state.

    >>> parse_change_request("PUT", "0", b'{"revision": 1}').unwrap().base
    0
    >>> parse_change_request("PUT", "", b"{}").failure()
    'If-Match must name the revision that this builds on'
    """
    base = _base(if_match)
    if base is None:
        return Failure("If-Match must name the revision that this builds on")
    read = parse(body)
    if not is_successful(read):
        return read
    change = read.unwrap()
    if not isinstance(change, dict):
        return Failure("the body must be an object")
    revision = change.get("revision")
    if type(revision) is not int or not 0 < revision <= MAXIMUM_REVISION:
        return Failure(f"revision must be a whole number from 1 to {MAXIMUM_REVISION}")
    if method == "PUT":
        whole = check(change)
        if not is_successful(whole):
            return whole
    try:
        return Success(ChangeRequest(method, base, change, fingerprint(method, base, change)))
    except RecursionError:
        return Failure("the body is nested too deeply")


def _was_taken(state, order):
    whole = order.method == "PUT" and order.change == state.policy
    return whole or state.history.fingerprint_of(order.revision) == order.fingerprint


def _configuration(state, order):
    if order.method == "PUT":
        return Success(order.change)
    return apply_patch(state.policy, order.change).bind(check)


def judge(state, order, router_count=0):
    """What becomes of an order upon a decided state.

    >>> from .control_state import State
    >>> order = parse_change_request("PUT", "0", b'{"revision": 3}').unwrap()
    >>> first = judge(State({}), order)
    >>> first.verdict.name, judge(first.state, order).verdict.name
    ('NEW', 'TAKEN')
    >>> judge(first.state, parse_change_request("PUT", "0", b'{"revision": 4}').unwrap()).verdict.name
    'STALE'
    """
    if _was_taken(state, order):
        return Judgement(Verdict.TAKEN)
    if state.history.forgot(order.revision, order.base):
        return Judgement(Verdict.FORGOTTEN)
    if order.base != state.revision:
        return Judgement(Verdict.STALE)
    if order.revision <= state.revision:
        fault = f"revision {order.revision} is not above the current {state.revision}"
        return Judgement(Verdict.INVALID, fault=fault)
    made = _configuration(state, order)
    if not is_successful(made):
        return Judgement(Verdict.INVALID, fault=made.failure())
    return Judgement(Verdict.NEW, state.then(made.unwrap(), order.fingerprint, router_count))
