"""What the feed carries, as bytes: whole states and the steps between them."""

import json
import zlib

from sparloom import configuration as policy
from sparloom import discovery as platform
from sparloom.codec import DecodeError, pack, unpack
from sparloom.feed import CONFIGURATION, NO_VERSION


class PayloadError(ValueError):
    """A change that can't be read, or that does not fit what is held."""


def encode_state(topic, state):
    """The bytes of a whole state: a policy's dict or a RunnerList.

    A configuration is made once and sent to all over thin links: it is worth the tightest packing.

    >>> decode_payload(CONFIGURATION, encode_state(CONFIGURATION, {"revision": 1}))
    {'revision': 1}
    """
    raw = json.dumps(state, separators=(",", ":")).encode() if topic == CONFIGURATION else pack(state)
    return zlib.compress(raw, 9 if topic == CONFIGURATION else 1)


def encode_delta(topic, old, new, most):
    """The bytes of the change from one state to the next; None unless shorter than ``most`` bytes.

    >>> encode_delta(CONFIGURATION, {"revision": 1}, {"revision": 2}, 3) is None
    True
    """
    change = policy.delta(old, new) if topic == CONFIGURATION else platform.delta(old, new)
    raw = None if change is None else encode_state(topic, change)
    return raw if raw is not None and len(raw) < most else None


def decode_payload(topic, blob):
    """The state, or the change, in some bytes; raises Unfit."""
    try:
        raw = zlib.decompress(blob)
        return json.loads(raw) if topic == CONFIGURATION else unpack(raw)
    except (zlib.error, ValueError, DecodeError) as e:
        raise PayloadError(str(e)) from e


def apply_change(c, old):
    """The state after a Change upon ``old`` (None before the first); raises Unfit.

    >>> from sparloom.feed import Change
    >>> apply_change(Change(CONFIGURATION, 1, 2, 1, 1, encode_state(CONFIGURATION, {"revision": 2})), {"revision": 1, "routes": [], "services": []})["revision"]
    2
    """
    got = decode_payload(c.topic, c.payload)
    if c.base == NO_VERSION:
        if not isinstance(got, dict if c.topic == CONFIGURATION else platform.EndpointList):
            raise PayloadError("no whole state")
        return got
    if c.topic == CONFIGURATION:
        new = policy.apply_patch(old, got).value_or(None) if old is not None else None
    else:
        new = platform.apply_delta(old, got) if old is not None and isinstance(got, platform.EndpointDelta) else None
    if new is None:
        raise PayloadError("the step does not fit")
    return new
