"""The operator's changes: parsed from a request, and judged against a committed state. No I/O."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from attrs import define
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from sparloom.configuration import MAXIMUM_REVISION, apply_patch, check, parse

from .control_state import State, fingerprint

if TYPE_CHECKING:
    from collections.abc import Callable

    from .control_state import ConfigurationDict

MAXIMUM_DIGITS = len(str(MAXIMUM_REVISION))
AnyUpdate = TypeVar("AnyUpdate", bound="Update")


@define(frozen=True, slots=True)
class ChangeRequest:
    """A change that an operator requests.

    Attributes
    ----------
    method : str
        ``PUT`` for a complete configuration, ``PATCH`` for an edit.
    base : int
        The revision that the change builds on; 0 for none.
    change : dict
        The request's JSON body.
    fingerprint : bytes
        What tells this change from another of the same revision.
    """

    method: str
    base: int
    change: ConfigurationDict
    fingerprint: bytes

    @property
    def revision(self) -> int:
        """The number that the operator gave the change.

        >>> parse_change_request("PATCH", "1", b'{"revision": 4}').unwrap().revision
        4
        """
        revision: int = self.change["revision"]
        return revision

    def is_retry_of(self, other: object) -> bool:
        """Whether this is the other change, sent again.

        >>> a, b = (parse_change_request("PATCH", base, b'{"revision": 4}').unwrap() for base in "12")
        >>> a.is_retry_of(a), a.is_retry_of(b)
        (True, False)
        """
        return isinstance(other, ChangeRequest) and self.fingerprint == other.fingerprint


class Verdict(Enum):
    """What becomes of a change, as far as one committed state tells."""

    NEW = "it may be written"
    ALREADY_COMMITTED = "it was committed before"
    FORGOTTEN = "it may have been committed before"
    STALE = "another revision than its base is current"
    INVALID = "it is invalid on its base"
    CONFLICT = "another one is under way"
    UNKNOWN_NAME = "it names something that is not there"


@define(frozen=True, slots=True)
class Judgement:
    """The verdict on a change.

    Attributes
    ----------
    verdict : Verdict
        What becomes of the change.
    state : State or None
        The state to write, for a new change.
    fault : str
        What is wrong, for a change that can't be made.
    """

    verdict: Verdict
    state: State | None = None
    fault: str = ""


class Update(Protocol):
    """A change of a part of the control state that a controller makes, or takes from an operator."""

    def is_retry_of(self, other: object) -> bool:
        """Whether this is the other update, sent again."""


@define(frozen=True, slots=True)
class StateUpdate(Generic[AnyUpdate]):
    """An update, and what judges it: each part of the control state has a judge of its own.

    Attributes
    ----------
    content
        The update.
    judge_content
        Gives what becomes of it upon a committed state.
    """

    content: AnyUpdate
    judge_content: Callable[[State, AnyUpdate], Judgement]

    def is_retry_of(self, other: object) -> bool:
        """Whether this is the other update, sent again."""
        return isinstance(other, StateUpdate) and self.content.is_retry_of(other.content)

    def judge(self, state: State) -> Judgement:
        """What becomes of the update upon a committed state."""
        return self.judge_content(state, self.content)


def _parse_base(if_match: str) -> int | None:
    """The revision that ``If-Match`` names, or None."""
    digits = if_match.strip().strip('"')
    # Longer digits name no revision, and int() is slow on a very long text.
    return int(digits) if digits.isascii() and digits.isdigit() and len(digits) <= MAXIMUM_DIGITS else None


def parse_change_request(method: str, if_match: str, body: bytes) -> Result[ChangeRequest, str]:
    """Parses a change. A failure names a fault that lies in the request alone, whatever the state.

    >>> parse_change_request("PUT", "0", b'{"revision": 1}').unwrap().base
    0
    >>> parse_change_request("PUT", "", b"{}").failure()
    'If-Match must name the revision that this builds on'
    """
    base = _parse_base(if_match)
    if base is None:
        return Failure("If-Match must name the revision that this builds on")
    parsed = parse(body)
    if not is_successful(parsed):
        return Failure(parsed.failure())
    change = parsed.unwrap()
    if not isinstance(change, dict):
        return Failure("the body must be an object")
    revision = change.get("revision")
    # A bool is an int too, so its exact type is compared.
    if type(revision) is not int or not 0 < revision <= MAXIMUM_REVISION:
        return Failure(f"revision must be a whole number from 1 to {MAXIMUM_REVISION}")
    if method == "PUT":
        checked = check(change)
        if not is_successful(checked):
            return Failure(checked.failure())
    try:
        return Success(ChangeRequest(method, base, change, fingerprint(method, base, change)))
    except RecursionError:
        return Failure("the body is nested too deeply")


def _was_committed(state: State, request: ChangeRequest) -> bool:
    if request.method == "PUT" and request.change == state.configuration:
        return True
    return state.history.fingerprint_of(request.revision) == request.fingerprint


def _new_configuration(state: State, request: ChangeRequest) -> Result[ConfigurationDict, str]:
    if request.method == "PUT":
        return Success(request.change)
    edited: Result[ConfigurationDict, str] = apply_patch(state.configuration, request.change).bind(check)
    return edited


def judge(state: State, request: ChangeRequest, router_count: int = 0) -> Judgement:
    """What becomes of a change upon a committed state.

    Parameters
    ----------
    router_count
        The number of routers that are known now; it is stored with the configuration.

    >>> request = parse_change_request("PUT", "0", b'{"revision": 3}').unwrap()
    >>> first = judge(State({}), request)
    >>> first.verdict.name, judge(first.state, request).verdict.name
    ('NEW', 'ALREADY_COMMITTED')
    >>> judge(first.state, parse_change_request("PUT", "0", b'{"revision": 4}').unwrap()).verdict.name
    'STALE'
    """
    if _was_committed(state, request):
        return Judgement(Verdict.ALREADY_COMMITTED)
    if state.history.forgot(request.revision, request.base):
        return Judgement(Verdict.FORGOTTEN)
    if request.base != state.revision:
        return Judgement(Verdict.STALE)
    if request.revision <= state.revision:
        fault = f"revision {request.revision} is not above the current {state.revision}"
        return Judgement(Verdict.INVALID, fault=fault)
    made = _new_configuration(state, request)
    if not is_successful(made):
        return Judgement(Verdict.INVALID, fault=made.failure())
    return Judgement(Verdict.NEW, state.then(made.unwrap(), request.fingerprint, router_count))
