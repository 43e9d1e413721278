"""What the feed carries, as bytes: whole states and the steps between them."""

import json
import zlib

from sparloom import configuration as policy
from sparloom import discovery as platform
from sparloom.codec import DecodeError, pack, unpack
from sparloom.feed import POLICY

ZERO = (0, 0)


class Unfit(ValueError):
    """A change that can't be read, or that does not fit what is held."""


def whole(topic, state):
    """The bytes of a whole state: a policy's dict or a RunnerList.

    A configuration is made once and sent to all over thin links: it is worth the tightest packing.

    >>> read(POLICY, whole(POLICY, {"revision": 1}))
    {'revision': 1}
    """
    raw = json.dumps(state, separators=(",", ":")).encode() if topic == POLICY else pack(state)
    return zlib.compress(raw, 9 if topic == POLICY else 1)


def step(topic, old, new, most):
    """The bytes of the change from one state to the next; None unless shorter than ``most`` bytes.

    >>> step(POLICY, {"revision": 1}, {"revision": 2}, 3) is None
    True
    """
    change = policy.step(old, new) if topic == POLICY else platform.step(old, new)
    raw = None if change is None else whole(topic, change)
    return raw if raw is not None and len(raw) < most else None


def read(topic, blob):
    """The state, or the change, in some bytes; raises Unfit."""
    try:
        raw = zlib.decompress(blob)
        return json.loads(raw) if topic == POLICY else unpack(raw)
    except (zlib.error, ValueError, DecodeError) as e:
        raise Unfit(str(e)) from e


def take(c, old):
    """The state after a Change upon ``old`` (None before the first); raises Unfit.

    >>> from sparloom.feed import Change
    >>> take(Change(POLICY, 1, 2, 1, 1, whole(POLICY, {"revision": 2})), {"revision": 1, "routes": [], "services": []})["revision"]
    2
    """
    got = read(c.topic, c.blob)
    if c.base == ZERO:
        if not isinstance(got, dict if c.topic == POLICY else platform.RunnerList):
            raise Unfit("no whole state")
        return got
    if c.topic == POLICY:
        new = policy.apply_patch(old, got).value_or(None) if old is not None else None
    else:
        new = platform.apply_step(old, got) if old is not None and isinstance(got, platform.RunnerStep) else None
    if new is None:
        raise Unfit("the step does not fit")
    return new
