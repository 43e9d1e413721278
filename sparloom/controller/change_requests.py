"""Parses the operators' changes and evaluates them against a committed state, without I/O.

``ChangeRequest`` is a change of the configuration, ``StateUpdate`` one of
another part of the control state. ``ChangeEvaluation`` is the result of an evaluation.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from attrs import define
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from sparloom.configuration.check import MAXIMUM_REVISION, check, parse
from sparloom.configuration.patch import apply_patch

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
        The revision that the change is based on; 0 for none.
    change : dict
        The JSON body of the request.
    fingerprint : bytes
        A digest that distinguishes changes of the same revision.
    """

    method: str
    base: int
    change: ConfigurationDict
    fingerprint: bytes

    @property
    def revision(self) -> int:
        """The revision that the operator assigned to the change.

        >>> parse_change_request("PATCH", "1", b'{"revision": 4}').unwrap().revision
        4
        """
        revision: int = self.change["revision"]
        return revision

    def is_retry_of(self, other: object) -> bool:
        """Whether this is a retry of the other change.

        >>> first, second = (parse_change_request("PATCH", base, b'{"revision": 4}').unwrap() for base in "12")
        >>> first.is_retry_of(first), first.is_retry_of(second)
        (True, False)
        """
        return isinstance(other, ChangeRequest) and self.fingerprint == other.fingerprint


class ChangeVerdict(Enum):
    """The result of evaluating a change against one committed state."""

    NEW = "the change is valid and not committed yet"
    ALREADY_COMMITTED = "the change was committed before"
    POSSIBLY_COMMITTED = "the change may have been committed before"
    STALE = "the base of the change is not the current revision"
    INVALID = "the change is invalid on its base"
    CONFLICT = "a conflicting change is in progress"
    UNKNOWN_NAME = "the change names something that does not exist"


@define(frozen=True, slots=True)
class ChangeEvaluation:
    """The evaluation of a change against a committed state.

    Attributes
    ----------
    verdict : ChangeVerdict
        The result.
    state : State or None
        The state to write, for a new change.
    fault : str
        The error message, for a rejected change.
    """

    verdict: ChangeVerdict
    state: State | None = None
    fault: str = ""


class Update(Protocol):
    """A change of one part of the control state, created by a controller or requested by an operator."""

    def is_retry_of(self, other: object) -> bool:
        """Whether this is a retry of the other update."""


@define(frozen=True, slots=True)
class StateUpdate(Generic[AnyUpdate]):
    """An update of one part of the control state, with the function that evaluates it.

    Attributes
    ----------
    content
        The update.
    evaluate_content
        Evaluates the update against a committed state.
    """

    content: AnyUpdate
    evaluate_content: Callable[[State, AnyUpdate], ChangeEvaluation]

    def is_retry_of(self, other: object) -> bool:
        """Whether this is a retry of the other update."""
        return isinstance(other, StateUpdate) and self.content.is_retry_of(other.content)

    def evaluate(self, state: State) -> ChangeEvaluation:
        """Evaluates the update against a committed state."""
        return self.evaluate_content(state, self.content)


def _parse_base(if_match: str) -> int | None:
    """The revision in ``If-Match``, or None if it is invalid."""
    digits = if_match.strip().strip('"')
    # Longer numbers exceed every valid revision, and int() is slow on a very long text.
    return int(digits) if digits.isascii() and digits.isdigit() and len(digits) <= MAXIMUM_DIGITS else None


def parse_change_request(method: str, if_match: str, body: bytes) -> Result[ChangeRequest, str]:
    """Parses a change; a failure describes an error that does not depend on the current state.

    >>> parse_change_request("PUT", "0", b'{"revision": 1}').unwrap().base
    0
    >>> parse_change_request("PUT", "", b"{}").failure()
    'If-Match must contain the base revision of the change'
    """
    base = _parse_base(if_match)
    if base is None:
        return Failure("If-Match must contain the base revision of the change")
    parsed = parse(body)
    if not is_successful(parsed):
        return Failure(parsed.failure())
    change = parsed.unwrap()
    if not isinstance(change, dict):
        return Failure("the body must be an object")
    revision = change.get("revision")
    # The exact type is compared because bool is a subclass of int.
    if type(revision) is not int or not 0 < revision <= MAXIMUM_REVISION:
        return Failure(f"revision must be an integer from 1 to {MAXIMUM_REVISION}")
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


def _changed_configuration(state: State, request: ChangeRequest) -> Result[ConfigurationDict, str]:
    if request.method == "PUT":
        return Success(request.change)
    edited: Result[ConfigurationDict, str] = apply_patch(state.configuration, request.change).bind(check)
    return edited


def evaluate(state: State, request: ChangeRequest, router_count: int = 0) -> ChangeEvaluation:
    """Evaluates a change against a committed state.

    Parameters
    ----------
    router_count
        The number of routers known now; it is stored with the configuration.

    >>> request = parse_change_request("PUT", "0", b'{"revision": 3}').unwrap()
    >>> first = evaluate(State({}), request)
    >>> first.verdict.name, evaluate(first.state, request).verdict.name
    ('NEW', 'ALREADY_COMMITTED')
    >>> evaluate(first.state, parse_change_request("PUT", "0", b'{"revision": 4}').unwrap()).verdict.name
    'STALE'
    """
    if _was_committed(state, request):
        return ChangeEvaluation(ChangeVerdict.ALREADY_COMMITTED)
    if state.history.may_have_dropped(request.revision, request.base):
        return ChangeEvaluation(ChangeVerdict.POSSIBLY_COMMITTED)
    if request.base != state.revision:
        return ChangeEvaluation(ChangeVerdict.STALE)
    if request.revision <= state.revision:
        fault = f"revision {request.revision} is not above the current {state.revision}"
        return ChangeEvaluation(ChangeVerdict.INVALID, fault=fault)
    created = _changed_configuration(state, request)
    if not is_successful(created):
        return ChangeEvaluation(ChangeVerdict.INVALID, fault=created.failure())
    return ChangeEvaluation(ChangeVerdict.NEW, state.with_change(created.unwrap(), request.fingerprint, router_count))
