"""``RunnerCalls``: sends the scheduler's instructions to the runners and returns the answers as events."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import aiohttp
from absl import logging

from sparloom.scheduler.events import (
    HoldAnswered,
    HoldFailed,
    HoldFailure,
    HoldRunner,
    RunningTask,
    StartAnswered,
    StartResult,
    StartRun,
    StopAnswered,
    StopRun,
    TaskEnd,
)
from sparloom.transport.http_client import Connector, open_session, parse_json, read_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.scheduler.events import Event, Instruction

START_PATH = "/-/run-start"
STOP_PATH = "/-/run-stop"
HOLD_PATH = "/-/hold"
EXPECTED_INSTANCE_HEADER = "X-Sparloom-Expected-Instance"
# Timeout of an order to start or stop a run; after it the order counts as unanswered.
ORDER_TIMEOUT_S = 0.5
# Timeout of a hold call, in addition to the time that the runner may wait for a run to end.
HOLD_TIMEOUT_MARGIN_S = 0.5
# Idle connections are not reused after this time, because runners close idle connections.
IDLE_CONNECTION_TIMEOUT_S = 1.5
# Maximum number of ended runs in one answer; the next answer contains further ones.
MAX_ENDS_PER_ANSWER = 500
# Largest answer of a runner that is read.
MAX_ANSWER_BYTES = 16 << 20
NO_ANSWER = 0

CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
_START_REASONS = {
    "fence": StartResult.FENCED,
    "old": StartResult.OLD,
    "late": StartResult.TOO_LATE,
    "room": StartResult.NO_CAPACITY,
}
_START_STATUSES = {
    HTTPStatus.OK: StartResult.STARTED,
    HTTPStatus.BAD_REQUEST: StartResult.UNHEALTHY,
    HTTPStatus.TOO_MANY_REQUESTS: StartResult.UNHEALTHY,
    HTTPStatus.SERVICE_UNAVAILABLE: StartResult.UNHEALTHY,
    HTTPStatus.MISDIRECTED_REQUEST: StartResult.REPLACED,
}


class RunnerCalls:
    """The calls to runners in one term.

    Parameters
    ----------
    term
        The fencing token of every call.
    on_event
        Called with the event for each answer or failure.
    """

    def __init__(self, term: int, on_event: Callable[[Event], None]) -> None:
        self.term, self.on_event = term, on_event
        connector = Connector(limit=0, keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S)
        self.session = open_session(connector, timeout=aiohttp.ClientTimeout(total=None))
        self._tasks: set[asyncio.Task[None]] = set()

    def carry_out(self, instruction: Instruction) -> None:
        """Start the call for an instruction; its answer is passed to ``on_event``."""
        if isinstance(instruction, StartRun):
            call = self._start(instruction)
        elif isinstance(instruction, StopRun):
            call = self._stop(instruction)
        else:
            call = self._hold(instruction)
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel all calls in progress, and close the connections."""
        for task in list(self._tasks):
            task.cancel()
        await self.session.close()

    async def _post(
        self, address: str, path: str, runner: str, body: dict[str, Any], timeout_s: float
    ) -> tuple[int, dict[str, Any]]:
        """Return the status and the JSON object of the answer; an empty object if the body has none.

        Raises
        ------
        aiohttp.ClientError, OSError, TimeoutError, ValueError
            There was no answer, or it could not be parsed.
        """
        headers = {"Content-Type": "application/json", EXPECTED_INSTANCE_HEADER: runner}
        raw = json.dumps(body, separators=(",", ":")).encode()
        async with (
            asyncio.timeout(timeout_s),
            self.session.post(f"http://{address}{path}", data=raw, headers=headers, allow_redirects=False) as answer,
        ):
            content = await read_body(answer, MAX_ANSWER_BYTES)
            document = parse_json(content) if content[:1] == b"{" else {}
            return answer.status, document

    async def _start(self, order: StartRun) -> None:
        body = {
            "task": order.task,
            "runId": order.number,
            "taskSpec": order.task_spec,
            "deadlineMs": order.deadline_ms,
            "fenceNumber": self.term,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        clock_ms = 0.0
        try:
            status, document = await self._post(order.address, START_PATH, order.runner, body, ORDER_TIMEOUT_S)
            clock_ms = float(document.get("clockMs") or 0)
            result = _START_STATUSES.get(HTTPStatus(status), StartResult.NO_ANSWER)
            if status == HTTPStatus.CONFLICT:
                result = _START_REASONS.get(str(document.get("reason")), StartResult.NO_ANSWER)
            if status == HTTPStatus.BAD_REQUEST:
                logging.warning("scheduler: start rejected task=%s runner=%s", order.task, order.runner)
        except aiohttp.ClientConnectorError:
            result = StartResult.UNREACHABLE
        except (*CALL_ERRORS, TypeError):
            result = StartResult.NO_ANSWER
        self.on_event(StartAnswered(order.runner, order.task, order.number, result, clock_ms))

    async def _stop(self, order: StopRun) -> None:
        body = {"task": order.task, "runId": order.number, "fenceNumber": self.term}
        confirmed = fenced = False
        try:
            status, document = await self._post(order.address, STOP_PATH, order.runner, body, ORDER_TIMEOUT_S)
            confirmed = status == HTTPStatus.OK
            fenced = status == HTTPStatus.CONFLICT and document.get("reason") == "fence"
        except CALL_ERRORS:
            pass
        self.on_event(StopAnswered(order.runner, order.task, order.number, confirmed, fenced))

    async def _hold(self, order: HoldRunner) -> None:
        body = {"fenceNumber": self.term, "lastSeen": order.last_seen}
        if order.deadline_ms:
            body["deadlineMs"] = order.deadline_ms
        if order.wait_ms:
            body["waitMs"] = order.wait_ms
        timeout_s = order.wait_ms / 1000 + HOLD_TIMEOUT_MARGIN_S
        try:
            status, document = await self._post(order.address, HOLD_PATH, order.runner, body, timeout_s)
            self.on_event(self._hold_event(order.runner, status, document))
        except (*CALL_ERRORS, KeyError, TypeError, IndexError):
            self.on_event(HoldFailed(order.runner, HoldFailure.NO_ANSWER))

    @staticmethod
    def _hold_event(runner: str, status: int, document: dict[str, Any]) -> Event:
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            return HoldFailed(runner, HoldFailure.REPLACED)
        if status == HTTPStatus.CONFLICT and document.get("reason") == "fence":
            return HoldFailed(runner, HoldFailure.FENCED)
        if status != HTTPStatus.OK:
            return HoldFailed(runner, HoldFailure.NO_ANSWER)
        running = tuple(RunningTask(item[0], item[1], item[2] or "") for item in document.get("running") or ())
        ends = tuple(
            TaskEnd(item[0], item[1], item[2], item[3], item[4] or "") for item in document.get("endTime") or ()
        )
        return HoldAnswered(runner, float(document["clockMs"]), running, ends, complete=len(ends) < MAX_ENDS_PER_ANSWER)
