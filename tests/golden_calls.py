"""What the programs of today say over HTTP and store, in the form of ``tests/golden/written_by_27e3511.json``.

Renames in the code under test are followed here; the test that compares is ``tests/test_golden_calls.py``.
"""

from __future__ import annotations

import asyncio
import json
import struct
import zlib
from datetime import timedelta
from enum import Enum
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import attrs

from sparloom.configuration.rate_holders import RateHolders
from sparloom.controller import platform_calls, rollout_api, runner_calls
from sparloom.controller.control_state import State
from sparloom.duties import DecidedWindow, DutyState, ScaleOrder
from sparloom.rollouts import Rollout, RolloutsState
from sparloom.rollouts.state import Status, Step
from sparloom.router import headers, job_requests
from sparloom.scheduler.events import HoldRunner, StartRun, StopRun
from sparloom.scheduler.jobs import Job, JobStore
from sparloom.scheduler.messages import JobAction, JobOutcome, JobReply, JobState, QueuePolicy
from sparloom.scheduler.specification import parse_job

from .golden_names import answer, plain

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

JOB_BODY = (
    b'{"taskSpec":"x","steps":[{"replicaCount":2,"cpu":500,"checkpoints":true},'
    b'{"replicaCount":1,"gangScheduled":true,"dependsOn":[0]}],"repetitions":2,"initialDelayMs":7,"intervalMs":900}'
)


class _Session:
    """An HTTP session that notes what is posted and answers with what it was given."""

    def __init__(self, status: int = 200, document: dict[str, Any] | None = None) -> None:
        self.status, self.document = status, document or {}
        self.posted: list[list[Any]] = []
        self.url, self.content = SimpleNamespace(authority="10.0.0.9:80"), self

    def post(self, url: str, *, data: bytes, headers: dict[str, str], allow_redirects: bool) -> _Session:
        """Note a request."""
        self.posted.append([url, data.decode(), headers, allow_redirects])
        return self

    async def __aenter__(self) -> _Session:
        return self

    async def __aexit__(self, *_: object) -> None:
        """End the response."""

    async def iter_any(self) -> AsyncIterator[bytes]:
        """The body of the response, in one piece."""
        yield json.dumps(self.document).encode()

    async def close(self) -> None:
        """End the session."""


INSTRUCTIONS = (
    StartRun("i-1", "10.0.0.9:80", "t-1", 7, "spec", 8123, ""),
    StartRun("i-1", "10.0.0.9:80", "t-1", 8, "spec", 8124, "cp-9"),
    StopRun("i-1", "10.0.0.9:80", "t-1", 7),
    HoldRunner("i-1", "10.0.0.9:80", 8200, 400, 11),
    HoldRunner("i-1", "10.0.0.9:80", 0, 0, 0),
)
RUNNER_ANSWERS = (
    (200, {"clockMs": 5.5, "running": [["t-1", 7, "cp"], ["t-2", 8, None]], "endTime": [[3, "t-3", 9, "done", None]]}),
    (400, {}),
    (409, {"reason": "fence", "clockMs": 6}),
    (409, {"reason": "old"}),
    (409, {"reason": "late"}),
    (409, {"reason": "room"}),
    (409, {"reason": "unknown"}),
    (421, {}),
    (429, {}),
    (500, {}),
    (503, {}),
)


def _position(member: Enum) -> int:
    """The position of an enum's member, which stands for it here."""
    return list(type(member)).index(member)


def _event(event: Any) -> list[Any]:
    """The values of an event's fields."""
    values = [getattr(event, field.name) for field in attrs.fields(type(event))]
    return [_position(value) if isinstance(value, Enum) else plain(value) for value in values]


async def _runner_calls() -> dict[str, Any]:
    events: list[Any] = []
    calls = runner_calls.RunnerCalls(42, events.append)
    await calls.session.close()
    out: dict[str, Any] = {"posted": [], "events": []}
    for status, document in RUNNER_ANSWERS:
        calls.session = session = _Session(status, document)
        for instruction in INSTRUCTIONS:
            calls.carry_out(instruction)
            await asyncio.gather(*calls._tasks)
        out["posted"].append(session.posted)
        out["events"].append([_event(event) for event in events])
        events.clear()
    await calls.close()
    # The requests don't depend on what earlier ones were answered.
    first, *others = out["posted"]
    assert all(posted == first for posted in others)
    return {"posted": first, "events": out["events"]}


async def _platform_calls() -> dict[str, Any]:
    settings = SimpleNamespace(node="core-1", cloud_api=SimpleNamespace(address="10.0.0.8:90"))
    calls = platform_calls.PlatformCalls(settings, timedelta(seconds=1))
    results, posted = [], []
    for status in (200, 204, 400, 404, 409, 429, 500, 503):
        calls._session = session = _Session(status)
        results.append(_position(await calls.report_usage(DecidedWindow(7, {"a": 3, "b": 1}), 42)))
        results.append(_position(await calls.scale(ScaleOrder("s", "z", 5, 43))))
        posted.append(session.posted)
    return {"posted": posted[0], "results": results}


def _job_answers() -> list[Any]:
    replies = [JobReply(3, outcome, 0, 0, "a fault") for outcome in JobOutcome]
    answers = [job_requests.JobRequests._response(JobAction.SUBMIT, reply) for reply in replies]
    shown = [JobReply(3, JobOutcome.OK, state, 0, "") for state in JobState]
    answers += [job_requests.JobRequests._response(JobAction.SHOW, reply) for reply in shown]
    answers.append(job_requests.JobRequests._response(JobAction.COUNT, JobReply(3, JobOutcome.OK, 0, 17, "")))
    return [answer(one) for one in [*answers, job_requests.unavailable_response()]]


def rollouts() -> RolloutsState:
    """Roll-outs in each state."""
    several = [
        Rollout(1, "done", "v2", 9000, 1000, ("v1",), Status.COMPLETED, Step.FULL, 1.0, ""),
        Rollout(2, "back", "v3", 9000, 2000, ("v1", "v2"), Status.ROLLED_BACK, Step.GROW, 0.4, "slower"),
        Rollout(3, "now", "v4", 12000, 3000, ("v1",), Status.SERVING, Step.LOAD, 0.1, ""),
    ]
    return RolloutsState(4, "core-1", {"done": ("v1",), "now": ("v1",)}, {one.service: one for one in several})


def control_state() -> State:
    """A control state with all parts."""
    windows = (DecidedWindow(10, {"a": 3}), DecidedWindow(11, {}))
    duties = DutyState("core-1", 9, 8, 12, windows, (ScaleOrder("s", "z", 5, 9),), "core-2")
    holders = RateHolders(frozenset({"r-1"}), frozenset({"r-1", "r-2"}))
    state = State({}).with_change({"revision": 1, "routes": []}, b"m" * 12, 5).evacuate("zone-2")
    return state.with_duties(duties).with_rollouts(rollouts()).with_rate_holders(holders)


def unpacked_state(raw: bytes) -> list[Any]:
    """The header, the records, the section and the configuration in a stored state, without their compression."""
    header, record, length = struct.Struct(">BQII"), struct.Struct(">Q12s"), struct.Struct(">I")
    version, forgotten_through, router_count, records = header.unpack_from(raw)
    end = header.size + records * record.size
    (section,) = length.unpack_from(raw, end)
    start = end + length.size
    parts = [raw[start : start + section], raw[start + section :]]
    return [
        version,
        forgotten_through,
        router_count,
        raw[:start].hex(),
        *(zlib.decompress(one).decode() for one in parts),
    ]


def job_store() -> JobStore:
    """Jobs with runs that failed, finished tasks and an end."""
    store = JobStore(4)
    for number in (0xAB, 0xAC):
        policy = QueuePolicy(3, "s", 2, 4)
        job = Job(number, "h /q/", policy, parse_job(JOB_BODY).unwrap(), JOB_BODY, 1_700_000_000_000 + number)
        job.open_due_repetitions(1_700_000_000_000 + number + 7)
        step = job.step(0, 0)
        step.mark_done(step.tasks[0])
        step.count_failure(step.tasks[1], 1 << 40)
        if number == 0xAC:
            job.end = JobState.FAILED
        store.put(job, 1_700_000_001_000)
    return store


def current() -> dict[str, Any]:
    """All that is compared."""
    state = control_state()
    return json.loads(
        json.dumps(
            {
                "runner": asyncio.run(_runner_calls()),
                "platform": asyncio.run(_platform_calls()),
                "job answers": _job_answers(),
                "roll-outs": {name: rollout_api.describe_rollout(one) for name, one in rollouts().newest.items()},
                "duties": state.duties.to_json(),
                "roll-outs stored": state.rollouts.to_json(),
                "rate holders": state.rate_holders.to_json(),
                "state": unpacked_state(state.pack()),
                "jobs": job_store().blob().hex(),
                "headers": [headers.TENANT, headers.AUTHORIZATION, headers.AUTHORIZATION_SCHEME],
            }
        )
    )
