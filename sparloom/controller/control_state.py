"""The control state as bytes: the newest configuration, and which changes led to it.

Layout of version 2: a head (version, oldest revision that can't be told any more,
number of routers, number of records), one record of fixed size for each change
that was taken, ascending by revision, then the configuration as compressed JSON.
Version 1 was one compressed JSON list, whose first byte is that of a zlib stream.
"""

import bisect
import hashlib
import json
import struct
import zlib

from attrs import define, field

VERSION = 2
REMEMBERED = 2048
FINGERPRINT_BYTES = 12
_HEAD = struct.Struct(">BQII")
_RECORD = struct.Struct(f">Q{FINGERPRINT_BYTES}s")
_ZLIB_FIRST_BYTE = 0x78
_FASTEST = 1


_AS_GIVEN = json.JSONEncoder(separators=(",", ":"))
_SORTED = json.JSONEncoder(separators=(",", ":"), sort_keys=True)


def json_text(value, encoder=_AS_GIVEN):
    """JSON, made item by item: one call for a large configuration would keep all other threads waiting.

    >>> json_text({"b": [1, {"d": 2}], "a": None})
    '{"b":[1,{"d":2}],"a":null}'
    """
    if not isinstance(value, dict):
        return encoder.encode(value)
    keys = sorted(value) if encoder.sort_keys else value
    return "{" + ",".join(f"{encoder.encode(key)}:{_list_text(value[key], encoder)}" for key in keys) + "}"


def _list_text(value, encoder):
    if not isinstance(value, list):
        return encoder.encode(value)
    return "[" + ",".join(encoder.encode(item) for item in value) + "]"


def fingerprint(method, base, change):
    """What tells one change from another of the same revision.

    The base is part of a PATCH: the same edit of another configuration is another
    change. A PUT says the whole configuration, whatever it was built on.

    >>> fingerprint("PUT", 1, {"a": 1, "b": 2}) == fingerprint("PUT", 2, {"b": 2, "a": 1})
    True
    >>> fingerprint("PATCH", 1, {"a": 1}) == fingerprint("PATCH", 2, {"a": 1})
    False
    """
    built_on = base if method == "PATCH" else ""
    text = f"{method} {built_on} {json_text(change, _SORTED)}"
    return hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest()


@define(frozen=True, slots=True)
class History:
    """Which changes were taken: revision and fingerprint of each of the newest ones.

    Of a revision at or below ``forgotten_through`` nothing can be told any more.
    """

    records: bytes = b""
    forgotten_through: int = 0

    def __len__(self):
        return len(self.records) // _RECORD.size

    def _record(self, index):
        return _RECORD.unpack_from(self.records, index * _RECORD.size)

    def fingerprint_of(self, revision):
        """The fingerprint of the change that made a revision, or None if none is remembered.

        >>> History().add(7, b"123456789012").fingerprint_of(7), History().fingerprint_of(7)
        (b'123456789012', None)
        """
        at = bisect.bisect_left(range(len(self)), revision, key=lambda i: self._record(i)[0])
        if at == len(self):
            return None
        found, mark = self._record(at)
        return mark if found == revision else None

    def forgot(self, revision, base):
        """Whether a change of that revision, built on that base, may have been taken and forgotten.

        >>> History(b"", 5).forgot(5, 3), History(b"", 5).forgot(6, 3), History(b"", 5).forgot(4, 9)
        (True, False, False)
        """
        return base < revision <= self.forgotten_through

    def add(self, revision, mark):
        """The history with one more change; the oldest one gives way when it is full.

        >>> len(History().add(1, b"a").add(4, b"b"))
        2
        """
        records = self.records + _RECORD.pack(revision, mark)
        if len(records) <= REMEMBERED * _RECORD.size:
            return History(records, self.forgotten_through)
        oldest = _RECORD.unpack_from(records)[0]
        return History(records[_RECORD.size :], oldest)


@define(frozen=True, slots=True)
class State:
    """The newest configuration, the history behind it, and how many routers there were."""

    policy: dict
    history: History = field(factory=History)
    router_count: int = 0

    @property
    def revision(self):
        """The newest revision; 0 before the first.

        >>> State({}).revision, State({"revision": 4}).revision
        (0, 4)
        """
        return self.policy.get("revision", 0)

    def then(self, policy, mark, router_count=0):
        """The state after a change with that fingerprint is taken.

        >>> State({}).then({"revision": 2}, b"m" * 12).history.fingerprint_of(2)
        b'mmmmmmmmmmmm'
        """
        return State(policy, self.history.add(policy["revision"], mark), router_count)

    def pack(self):
        """The bytes to keep.

        >>> State.unpack(State({"revision": 1}, router_count=7).pack())
        State(policy={'revision': 1}, history=History(records=b'', forgotten_through=0), router_count=7)
        """
        text = json_text(self.policy)
        past = self.history
        head = _HEAD.pack(VERSION, past.forgotten_through, self.router_count, len(past))
        return head + past.records + zlib.compress(text.encode(), _FASTEST)

    @staticmethod
    def unpack(raw):
        """The state in some bytes, of this version or of the first.

        >>> State.unpack(b"").revision
        0
        """
        if not raw:
            return State({})
        if raw[0] == _ZLIB_FIRST_BYTE:
            return _unpack_first_version(raw)
        version, forgotten_through, router_count, length = _HEAD.unpack_from(raw)
        if version != VERSION:
            raise ValueError(f"control state of version {version} can't be read here")
        end = _HEAD.size + length * _RECORD.size
        history = History(raw[_HEAD.size : end], forgotten_through)
        return State(json.loads(zlib.decompress(raw[end:])), history, router_count)


def _unpack_first_version(raw):
    """Its marks can't be compared with fingerprints, so all that it took counts as forgotten."""
    policy, _, router_count = json.loads(zlib.decompress(raw))
    return State(policy, History(b"", policy.get("revision", 0)), router_count)
