"""Names of the HTTP headers that the router reads or sets, and the selection of headers to forward."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from multidict import CIMultiDict

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

ATTEMPT_ID = "X-Sparloom-Attempt-Id"
AUTHORIZATION = "Authorization"
# The authorization scheme of tenants' API keys.
AUTHORIZATION_SCHEME = "Token"
DEADLINE_REMAINING = "X-Sparloom-Deadline-Remaining"
EXPECTED_INSTANCE = "X-Sparloom-Expected-Instance"
NOT_RUN = "X-Sparloom-Not-Run"
PROMPT_PREFIX = "X-Sparloom-Prompt-Prefix"
REQUEST_URGENCY = "X-Sparloom-Request-Urgency"
RUNNER_SEAL = "X-Sparloom-Runner-Seal"
TENANT = "X-Sparloom-Tenant"
LAST_EVENT_ID = "Last-Event-Id"

# Headers that apply to a single connection (RFC 9110, section 7.6.1), and headers set by the HTTP library itself.
HOP_BY_HOP = frozenset(
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
MILLISECOND = timedelta(milliseconds=1)


def end_to_end(raw_headers: Iterable[tuple[bytes, bytes]]) -> CIMultiDict[str]:
    """Return the headers without hop-by-hop headers, which include those named by ``Connection``.

    >>> list(end_to_end([(b"Connection", b"x-a"), (b"X-A", b"1"), (b"X-B", b"2")]).items())
    [('X-B', '2')]
    """
    raw_headers = tuple(raw_headers)
    dropped = HOP_BY_HOP | {
        token.strip().lower()
        for name, value in raw_headers
        if name.lower() == b"connection"
        for token in value.decode("latin-1").split(",")
    }
    decoded = ((name.decode("latin-1"), value.decode("utf-8", "surrogateescape")) for name, value in raw_headers)
    return CIMultiDict((name, value) for name, value in decoded if name.lower() not in dropped)


def time_remaining(headers: Mapping[str, str], maximum: timedelta) -> timedelta:
    """Return how long the client still waits according to its header, at most ``maximum``.

    The header is in milliseconds. ``maximum`` is returned if the header is missing or invalid.

    >>> maximum = timedelta(seconds=1)
    >>> time_remaining({DEADLINE_REMAINING: "250"}, maximum), time_remaining({DEADLINE_REMAINING: "soon"}, maximum)
    (datetime.timedelta(microseconds=250000), datetime.timedelta(seconds=1))
    >>> time_remaining({DEADLINE_REMAINING: "-1"}, maximum), time_remaining({}, maximum)
    (datetime.timedelta(0), datetime.timedelta(seconds=1))
    """
    try:
        return min(max(0.0, float(headers[DEADLINE_REMAINING])) * MILLISECOND, maximum)
    except (KeyError, ValueError, OverflowError):
        return maximum
