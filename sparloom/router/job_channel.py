"""The router's calls to the job primary (``JobChannel``).

The channel finds the primary, maintains one connection to it, and matches
replies to calls.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, evolve

from sparloom.codec import DecodeError
from sparloom.errors import SparloomError
from sparloom.membership import CONTROLLER
from sparloom.scheduler.messages import JobOutcome, JobReply, call_summary, reply_matches
from sparloom.transport import dial, monotonic

if TYPE_CHECKING:
    from sparloom.scheduler.messages import JobCall
    from sparloom.transport import Frames

    from .membership_service import MembershipService
    from .router_state import RouterState

DIAL_TIMEOUT = timedelta(milliseconds=500)
# Timeout for writes on the connection.
WRITE_TIMEOUT = timedelta(seconds=1)
# A call without a reply for this time is retried on another connection.
REPLY_TIMEOUT_S = 1.5
# Delay between two attempts to find the primary.
RETRY_DELAY_S = 0.05
MAXIMUM_CALL_NUMBER = 0xFFFFFFFF
CONNECTION_ERRORS = (OSError, EOFError, DecodeError, TimeoutError)


class JobChannelError(SparloomError):
    """A call got no reply before its deadline; ``may_have_run`` states whether it may have taken effect."""

    def __init__(self, may_have_run: bool) -> None:
        super().__init__("no reply from a job primary before the deadline")
        self.may_have_run = may_have_run


@define(frozen=True, slots=True, eq=False)
class _PendingCall:
    """A call that was sent and has no reply yet."""

    call: JobCall
    reply: asyncio.Future[JobReply]


class _Connection:
    """One connection with the calls that wait for a reply on it.

    The connection assigns the number of each call when it sends the call. A
    number that was assigned before an ``await`` could by then belong to another
    call.
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
                    self._resolve(reply)
        except CONNECTION_ERRORS:
            pass
        finally:
            self.close()

    def _resolve(self, reply: JobReply) -> None:
        """Pass a reply to the call with its number.

        Raises
        ------
        DecodeError
            The reply names another action or job than the call with its number.
        """
        pending = self.pending.get(reply.number)
        if pending is None:
            return
        if not reply_matches(pending.call, reply):
            raise DecodeError(f"expected a reply to {call_summary(pending.call)}, found {reply.text}")
        if not pending.reply.done():
            pending.reply.set_result(reply)

    def _next_number(self) -> int:
        """Return a number that no pending call on this connection uses."""
        while True:
            self._last_number = (self._last_number + 1) & MAXIMUM_CALL_NUMBER
            if self._last_number not in self.pending:
                return self._last_number

    async def call(self, call: JobCall, timeout_s: float) -> JobReply:
        """Send a call, with its number replaced, and return the reply.

        Raises
        ------
        EOFError, OSError, TimeoutError
            No reply arrived.
        """
        number = self._next_number()
        # mypy can't see that ``record`` makes attrs classes.
        numbered = evolve(call, number=number)  # type: ignore[misc]
        future: asyncio.Future[JobReply] = asyncio.get_running_loop().create_future()
        self.pending[number] = _PendingCall(numbered, future)
        try:
            async with asyncio.timeout(timeout_s):
                await self.frames.write(numbered, WRITE_TIMEOUT)
                return await future
        finally:
            self.pending.pop(number, None)

    def close(self) -> None:
        """Close the connection; pending calls fail with ``EOFError``."""
        self.reader.cancel()
        self.frames.close()
        for pending in self.pending.values():
            if not pending.reply.done():
                pending.reply.set_exception(EOFError("connection to the job primary closed"))


class JobChannel:
    """Makes calls to the job primary, whichever controller that is.

    Calls are idempotent, since a job is identified by its ID, so every call may be retried.
    """

    def __init__(self, state: RouterState, membership: MembershipService) -> None:
        self._state, self._membership = state, membership
        self._connection: _Connection | None = None
        self._connecting = asyncio.Lock()
        self._primary = ""
        self._next_index = 0

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def call(self, call: JobCall, deadline: timedelta) -> JobReply:
        """Return the primary's reply; ``deadline`` is a time on the monotonic clock.

        Raises
        ------
        JobChannelError
            No reply arrived before the deadline.
        """
        may_have_run = False
        while (remaining_s := (deadline - monotonic()).total_seconds()) > 0:
            connection = await self._connect(remaining_s)
            if connection is None:
                await asyncio.sleep(min(remaining_s, RETRY_DELAY_S))
                continue
            may_have_run_before, may_have_run = may_have_run, True
            try:
                reply = await connection.call(call, min(remaining_s, REPLY_TIMEOUT_S))
            except CONNECTION_ERRORS:
                self._drop(connection)
                continue
            if reply.outcome != JobOutcome.NOT_PRIMARY:
                return reply
            may_have_run = may_have_run_before
            self._drop(connection)
            self._primary = reply.text
            if not reply.text:
                await asyncio.sleep(min(remaining_s, RETRY_DELAY_S))
        raise JobChannelError(may_have_run)

    def _drop(self, connection: _Connection) -> None:
        connection.close()
        if self._connection is connection:
            self._connection, self._primary = None, ""

    def _next_address(self) -> str | None:
        """Return the address of the primary if a reply named it, else of the next controller in round-robin order."""
        if self._primary:
            address, self._primary = self._primary, ""
            return address
        alive = [peer.key for peer in self._membership.swim.alive() if peer.role == CONTROLLER]
        candidates = sorted({*alive, *(() if alive else self._state.seeds)})
        if not candidates:
            return None
        self._next_index += 1
        host = candidates[(self._next_index + self._state.instance_id) % len(candidates)].rpartition(":")[0]
        return f"{host}:{self._state.settings.job_port}"

    async def _connect(self, remaining_s: float) -> _Connection | None:
        """Return the open connection, or dial a new one; None if that fails."""
        async with self._connecting:
            if self._connection is not None and not self._connection.reader.done():
                return self._connection
            address = self._next_address()
            if address is None:
                return None
            host, _, port = address.rpartition(":")
            try:
                frames = await dial(host, int(port), min(DIAL_TIMEOUT, timedelta(seconds=remaining_s)))
            except CONNECTION_ERRORS:
                return None
            self._connection = _Connection(frames)
            return self._connection
