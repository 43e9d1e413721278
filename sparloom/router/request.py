"""An ask as a router takes it, and the heads that go on."""

from datetime import timedelta

from attrs import define
from multidict import CIMultiDict

from sparloom.isolation import part_ids
from sparloom.load_balancing import parse_parts
from sparloom.retry.verdict import ResponseHead

HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
ID, LEFT, SEAL = "X-Sparloom-Attempt-Id", "X-Sparloom-Deadline-Remaining", "X-Sparloom-Runner-Seal"
EXPECT, NOT_RUN, PARTS = "X-Sparloom-Expected-Instance", "X-Sparloom-Not-Run", "X-Sparloom-Prompt-Prefix"
URGENCY, LAST = "X-Sparloom-Request-Urgency", "Last-Event-Id"
MS = timedelta(milliseconds=1)


@define(slots=True)
class Request:
    """One ask, read whole."""

    id: str
    method: str
    path: str
    heads: CIMultiDict
    body: bytes
    route: object
    policy: object
    came: timedelta
    horizon: timedelta
    parts: tuple
    member: str = ""
    part_ids: tuple = ()
    yields: bool = False

    @property
    def key(self):
        """The number of the prefix by which runners are chosen: the longest shared part."""
        shared = self.parts[:-1] or self.parts
        return max(shared, key=lambda p: p[1])[0] if shared else int.from_bytes(self.id.encode()[-8:])


def end_to_end(raw):
    """Drops the heads that concern one pipe only.

    >>> list(end_to_end([(b"Connection", b"x-a"), (b"X-A", b"1"), (b"X-B", b"2")]).items())
    [('X-B', '2')]
    """
    named = {t.strip().lower() for k, v in raw if k.lower() == b"connection" for t in v.decode("latin-1").split(",")}
    pairs = ((k.decode("latin-1"), v.decode("utf-8", "surrogateescape")) for k, v in raw)
    return CIMultiDict((k, v) for k, v in pairs if k.lower() not in HOP and k.lower() not in named)


def head_of(answer, id):
    """What judges a runner's answer to the request with an attempt id ('' for none)."""
    ids = answer.headers.getall(ID, [])
    coding = answer.headers.get("Transfer-Encoding")
    framed = coding is None and ("Content-Length" in answer.headers or answer.status in (204, 304))
    return ResponseHead(
        status=answer.status,
        not_run=NOT_RUN in answer.headers,
        sealed=SEAL in answer.headers,
        attempt_id_matches=bool(id) and ids == [id],
        framed=framed or coding is not None and coding.strip().lower() == "chunked",
        without_attempt_id=not id and not ids,
    )


def time_left(headers, most):
    """How long the client still waits by its own word, and ``most`` where that is less or it says nothing usable.

    >>> time_left({LEFT: "250"}, timedelta(seconds=1)), time_left({LEFT: "soon"}, timedelta(seconds=1))
    (datetime.timedelta(microseconds=250000), datetime.timedelta(seconds=1))
    >>> time_left({LEFT: "-1"}, timedelta(seconds=1)), time_left({}, timedelta(seconds=1))
    (datetime.timedelta(0), datetime.timedelta(seconds=1))
    """
    try:
        return min(max(0.0, float(headers[LEFT])) * MS, most)
    except (KeyError, ValueError, OverflowError):
        return most


def horizon_of(headers, route, now):
    """When the client or the route stops waiting."""
    return now + time_left(headers, route.timeout)


def make(req, body, route, policy, now, member="", isolation=None):
    """An ask from what the server read; with isolation its parts are numbered under its member's key."""
    heads = end_to_end(req.raw_headers)
    prompt = heads.get(PARTS)
    return Request(
        heads.get(ID, ""),
        req.method,
        req.raw_path,
        heads,
        body,
        route,
        policy,
        now,
        horizon_of(heads, route, now),
        parse_parts(prompt, isolation.newest.part_key(member) if isolation else b""),
        member,
        part_ids(prompt) if isolation else (),
    )


def onward(ask, post, now, last):
    """The headers for one attempt: each filter edits them in place.

    The urgency is the route's priority, one less urgent for a prompt so heavy
    that it lets others go first. The runner is named so that an address that
    has passed to another one turns the ask away.
    """
    h = ask.heads.copy()
    for edit in (_left, _name, _urge, _resume):
        edit(h, ask, post, now, last)
    return h


def _left(h, ask, post, now, last):
    h[LEFT] = str(max(1, int((ask.horizon - now) / MS)))


def _name(h, ask, post, now, last):
    h[EXPECT] = post.id


def _urge(h, ask, post, now, last):
    h[URGENCY] = str(min(9, ask.route.priority + ask.yields))


def _resume(h, ask, post, now, last):
    if last is not None:
        h[LAST] = last
