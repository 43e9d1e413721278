"""The router's connection to the job primary: finds it, keeps one connection, and matches replies to calls."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, evolve

from sparloom.codec import DecodeError
from sparloom.errors import SparloomError
from sparloom.membership import CONTROLLER
from sparloom.scheduler.messages import JobOutcome, JobReply, answers, question_of
from sparloom.transport import dial, monotonic

if TYPE_CHECKING:
    from sparloom.scheduler.messages import JobCall
    from sparloom.transport import Frames

    from .membership_service import MembershipService
    from .router_state import RouterState

DIAL_TIMEOUT = timedelta(milliseconds=500)
STALL_TIMEOUT = timedelta(seconds=1)
# A call that is not answered within this is made again, on another connection.
REPLY_TIMEOUT_S = 1.5
# Between two looks for the primary, in seconds.
RETRY_PAUSE_S = 0.05
MAXIMUM_CALL_NUMBER = 0xFFFFFFFF
CONNECTION_ERRORS = (OSError, EOFError, DecodeError, TimeoutError)


class JobChannelError(SparloomError):
    """A call brought no reply; ``may_have_run`` tells whether it may have taken effect."""

    def __init__(self, may_have_run: bool) -> None:
        super().__init__("no job primary has replied in time")
        self.may_have_run = may_have_run


@define(frozen=True, slots=True, eq=False)
class _PendingCall:
    """A call that was sent and has no reply yet."""

    call: JobCall
    reply: asyncio.Future[JobReply]


class _Connection:
    """One connection with the calls that wait for a reply on it.

    It numbers its calls itself, at the moment of sending: a number that was
    taken before a wait could be that of another call after it.
    """

    def __init__(self, frames: Frames) -> None:
        self.frames = frames
        self.pending: dict[int, _PendingCall] = {}
        self._last_number = 0
        self.reader = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        try:
            while True:
                reply = await self.frames.read()
                if isinstance(reply, JobReply):
                    self._settle(reply)
        except CONNECTION_ERRORS:
            pass
        finally:
            self.close()

    def _settle(self, reply: JobReply) -> None:
        """Hand a reply to the call that it answers.

        Raises
        ------
        DecodeError
            It names another question than the call of its number asked.
        """
        pending = self.pending.get(reply.number)
        if pending is None:
            return
        if not answers(pending.call, reply):
            raise DecodeError(f"expected a reply to {question_of(pending.call)}, found {reply.text}")
        if not pending.reply.done():
            pending.reply.set_result(reply)

    def _next_number(self) -> int:
        """Return a number that no pending call on this connection has."""
        while True:
            self._last_number = (self._last_number + 1) & MAXIMUM_CALL_NUMBER
            if self._last_number not in self.pending:
                return self._last_number

    async def call(self, call: JobCall, timeout_s: float) -> JobReply:
        """Return the reply to a call, whose own number is replaced.

        Raises
        ------
        EOFError, OSError, TimeoutError
            No reply came.
        """
        number = self._next_number()
        # mypy can't see that ``record`` makes attrs classes.
        numbered = evolve(call, number=number)  # type: ignore[misc]
        future: asyncio.Future[JobReply] = asyncio.get_running_loop().create_future()
        self.pending[number] = _PendingCall(numbered, future)
        try:
            async with asyncio.timeout(timeout_s):
                await self.frames.write(numbered, STALL_TIMEOUT)
                return await future
        finally:
            self.pending.pop(number, None)

    def close(self) -> None:
        """Close the connection; those that wait are told."""
        self.reader.cancel()
        self.frames.close()
        for pending in self.pending.values():
            if not pending.reply.done():
                pending.reply.set_exception(EOFError("the connection to the job primary ended"))


class JobChannel:
    """Makes calls to the job primary, whichever member that is.

    Every call may be made again without harm, since a job is known by its id.
    """

    def __init__(self, state: RouterState, membership: MembershipService) -> None:
        self._state, self._membership = state, membership
        self._connection: _Connection | None = None
        self._connecting = asyncio.Lock()
        self._primary = ""
        self._turn = 0

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def call(self, call: JobCall, deadline: timedelta) -> JobReply:
        """Return the primary's reply, found on the monotonic clock by a deadline.

        Raises
        ------
        JobChannelError
            None came in time.
        """
        may_have_run = False
        while (left_s := (deadline - monotonic()).total_seconds()) > 0:
            connection = await self._connect(left_s)
            if connection is None:
                await asyncio.sleep(min(left_s, RETRY_PAUSE_S))
                continue
            may_have_run_before, may_have_run = may_have_run, True
            try:
                reply = await connection.call(call, min(left_s, REPLY_TIMEOUT_S))
            except CONNECTION_ERRORS:
                self._drop(connection)
                continue
            if reply.outcome != JobOutcome.NOT_PRIMARY:
                return reply
            may_have_run = may_have_run_before
            self._drop(connection)
            self._primary = reply.text
            if not reply.text:
                await asyncio.sleep(min(left_s, RETRY_PAUSE_S))
        raise JobChannelError(may_have_run)

    def _drop(self, connection: _Connection) -> None:
        connection.close()
        if self._connection is connection:
            self._connection, self._primary = None, ""

    def _next_address(self) -> str | None:
        """The primary's address if it was named, else one controller after the other."""
        if self._primary:
            address, self._primary = self._primary, ""
            return address
        alive = [peer.key for peer in self._membership.swim.alive() if peer.role == CONTROLLER]
        known = sorted({*alive, *(() if alive else self._state.seeds)})
        if not known:
            return None
        self._turn += 1
        host = known[(self._turn + self._state.instance_id) % len(known)].rpartition(":")[0]
        return f"{host}:{self._state.settings.job_port}"

    async def _connect(self, left_s: float) -> _Connection | None:
        """The connection, opened if there is none; None where that fails."""
        async with self._connecting:
            if self._connection is not None and not self._connection.reader.done():
                return self._connection
            address = self._next_address()
            if address is None:
                return None
            host, _, port = address.rpartition(":")
            try:
                frames = await dial(host, int(port), min(DIAL_TIMEOUT, timedelta(seconds=left_s)))
            except CONNECTION_ERRORS:
                return None
            self._connection = _Connection(frames)
            return self._connection
