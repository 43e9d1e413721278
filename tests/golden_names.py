"""The names that ``tests/test_golden.py`` takes from the code under test.

A rename is followed here, and nowhere in that file; what it compares stays.
"""

from __future__ import annotations

import asyncio
import os
from datetime import timedelta
from enum import Enum
from types import SimpleNamespace
from typing import Any

import attrs

from sparloom.aggregation import records as words
from sparloom.codec import pack, unpack
from sparloom.codec.records import _BY_TAG as BY_TAG
from sparloom.consensus import Store, store
from sparloom.controller import control_api as control
from sparloom.controller import operator_body
from sparloom.controller import prefix_snapshots as remember
from sparloom.controller.control_state import State, fingerprint
from sparloom.feed import CONFIGURATION, ENDPOINTS, Change
from sparloom.feed.payload import apply_change, encode_delta, encode_state
from sparloom.isolation import part_ids
from sparloom.load_balancing import parse_parts
from sparloom.prefix_cache import PlacementTable
from sparloom.router import headers
from sparloom.router.backends import backend_number
from sparloom.router.outcomes import Outcome
from sparloom.router.program import Router
from sparloom.router.request import parse_request, upstream_headers
from sparloom.settings import checks, from_dict, read
from sparloom.transport import Frames

__all__ = [
    "BY_TAG",
    "CONFIGURATION",
    "ENDPOINTS",
    "Change",
    "PlacementTable",
    "Router",
    "State",
    "Store",
    "apply_change",
    "encode_delta",
    "encode_state",
    "from_dict",
    "pack",
    "read",
    "unpack",
]

HEADER_NAMES = (
    headers.ATTEMPT_ID,
    headers.DEADLINE_REMAINING,
    headers.RUNNER_SEAL,
    headers.EXPECTED_INSTANCE,
    headers.NOT_RUN,
    headers.PROMPT_PREFIX,
    headers.REQUEST_URGENCY,
    headers.LAST_EVENT_ID,
)
FILE_NAMES = (store.FILE, store.UNREADABLE_FILE, remember.FILE)
START_PLACES = (checks.CONFIG_PATH_VARIABLE, checks.DEFAULT_CONFIG_PATH)
LARGEST_BODY = operator_body.MAXIMUM_BODY_BYTES
RETRY_AFTER = control.RETRY_AFTER
HOP_HEADERS = headers.HOP_BY_HOP
OUTCOMES = [outcome.value for outcome in Outcome]


def plain(value: Any) -> Any:
    """A value as JSON holds it, its classes turned into lists of their fields' values in order."""
    if attrs.has(type(value)):
        return [plain(getattr(value, field.name)) for field in attrs.fields(type(value))]
    if isinstance(value, (bytes, bytearray)):
        return {"hex": bytes(value).hex()}
    if isinstance(value, timedelta):
        return {"us": value // timedelta(microseconds=1)}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return [[plain(key), plain(item)] for key, item in value.items()]
    if isinstance(value, (set, frozenset)):
        return sorted(map(plain, value))
    if isinstance(value, (list, tuple)):
        return [plain(item) for item in value]
    return value


def answer(reply: Any) -> list:
    """An answer's status, headers in order, and body."""
    heads = [[key, value] for key, value in reply.headers.items() if key != "Content-Length"]
    return [reply.status, heads, bytes(reply.body).decode()]


def kinds_of(cls: type) -> list:
    """The kinds of a record class's fields, in the order of the bytes."""
    return [kind for kind, _ in cls.layout]


def control_paths() -> dict[str, list[str]]:
    """The paths of the control address and the methods of each."""
    routes = control.ControlApi(None, None, None).routes
    return {path: sorted(methods) for path, methods in (*routes.paths.items(), *routes.prefixes.items())}


def not_primary(known: bool, sure_ms: int) -> Any:
    """The answer of a controller that is not the primary."""
    primary = SimpleNamespace(id=7, control="10.0.0.7:7300") if known else None
    member = SimpleNamespace(primary=lambda: primary, member=SimpleNamespace(id=8), leading=lambda: False)
    settings = SimpleNamespace(bounds=SimpleNamespace(contact=timedelta(seconds=3)))
    feed_server = SimpleNamespace(confirmation_age_ms=lambda: sure_ms)
    return control.ControlApi(settings, SimpleNamespace(member=member), feed_server).redirect()


def control_answers() -> list[list]:
    """Answers of the control address that are built without a running controller."""
    return [
        answer(control.reply(200, {"a": [1, {"b": None}]}, Location="x")),
        answer(control.error(400, "a fault")),
        answer(control.outcome_unknown()),
        answer(control.acknowledged(7)),
        answer(not_primary(False, 0)),
        answer(not_primary(True, 1001)),
        answer(not_primary(True, 1000)),
    ]


def frame(rec: Any) -> bytes:
    """A record as it is written to a pipe."""
    out = []

    async def drain() -> None:
        """Nothing is left to be sent."""

    asyncio.run(Frames(None, SimpleNamespace(write=out.append, drain=drain)).write(rec))
    return b"".join(out)


def unframed(raw: bytes) -> Any:
    """The record that comes through a pipe as those bytes."""

    async def come() -> Any:
        reader = asyncio.StreamReader()
        reader.feed_data(raw)
        return await Frames(reader, None).read()

    return asyncio.run(come())


def readiness_of(router: Router) -> Any:
    """The function that says whether a router is ready."""
    return router.node.ready


def kept_again(folder: str) -> None:
    """Reads a folder's remembered prefixes and writes them anew."""
    service = remember.PrefixSnapshots(folder, None, 1)
    service.load()
    os.remove(os.path.join(folder, remember.FILE))
    service._write(service.placements.pack())


def attempt_headers() -> list[list[str]]:
    """The headers with which a request goes on to a runner."""
    raw = [
        (b"Host", b"h.example"),
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"1"),
        (b"Content-Length", b"3"),
        (b"X-Own", b"kept"),
        (b"X-Sparloom-Attempt-Id", b"id-1"),
        (b"X-Sparloom-Deadline-Remaining", b"2500"),
        (b"X-Sparloom-Prompt-Prefix", b"aa:100,bb:200"),
    ]
    heads = {key.decode(): value.decode() for key, value in raw}
    request = SimpleNamespace(raw_headers=raw, headers=heads, method="POST", raw_path="/x?y")
    route = SimpleNamespace(timeout=timedelta(seconds=9), priority=3)
    made = parse_request(request, b"abc", route, timedelta(seconds=1), "m")
    sent = upstream_headers(made, SimpleNamespace(id="i-1"), timedelta(seconds=2), "17")
    return [[key, value] for key, value in sent.items()]


def numbers(peers: list[str], counts: str) -> list:
    """Numbers that processes work out on their own and that must be the same in all of them."""
    return [
        backend_number("runner-1"),
        words.short_id(backend_number("runner-1")),
        words.holder_id("10.0.0.1:7301", 99),
        [unpack(bytes.fromhex(peer)).state_hash() for peer in peers],
        plain(parse_parts("0A:30, b:40,c:50")),
        plain(parse_parts("0A:30, b:40,c:50", b"k" * 16)),
        plain(part_ids("0A:30, b:40")),
        fingerprint("PUT", 3, {"b": 2, "a": [1]}).hex(),
        fingerprint("PATCH", 3, {"b": 2, "a": [1]}).hex(),
        words.encode_in_flight({7: (2, 3200, 0, 0, 0, 0), 1 << 31: (300, 33, 1, 500, 2, 1)}).hex(),
        plain(words.decode_in_flight(bytes.fromhex(counts))),
    ]
