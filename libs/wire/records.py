"""Records: attrs classes whose fields are laid out by struct.

A field's kind is a struct letter (``B H I Q d``), ``s`` for a short text,
``b`` for bytes, ``?`` for a flag, a record class, or a one-element list of
any of these.

>>> @record(250, n="I", who="s", xs=["H"])
... class Note: pass
>>> unpack(pack(Note(1, "a", [2, 3])))
Note(n=1, who='a', xs=[2, 3])
"""

import struct
from operator import attrgetter

from attrs import make_class

MAGIC = 0x5A
Head = struct.Struct("!BB")
_FIXED = {k: struct.Struct("!" + k) for k in "BHIQd?"}
_LEN2, _LEN4 = struct.Struct("!H"), struct.Struct("!I")
_BY_TAG = {}


class Broken(ValueError):
    """Bytes that are no record."""


def _put(kind, val, out):
    if isinstance(kind, list):
        out.append(_LEN2.pack(len(val)))
        fixed = getattr(kind[0], "fixed", None)
        if fixed:
            out += [fixed.pack(*kind[0].values(v)) for v in val]
        else:
            for v in val:
                _put(kind[0], v, out)
    elif isinstance(kind, type):
        for k, n in kind.layout:
            _put(k, getattr(val, n), out)
    elif kind == "s":
        raw = val.encode()
        out += (_LEN2.pack(len(raw)), raw)
    elif kind == "b":
        out += (_LEN4.pack(len(val)), val)
    else:
        out.append(_FIXED[kind].pack(val))


def _take(kind, raw, at):
    if isinstance(kind, list):
        (n,) = _LEN2.unpack_from(raw, at)
        at, vals, fixed = at + 2, [], getattr(kind[0], "fixed", None)
        if fixed:
            end = at + n * fixed.size
            if end > len(raw):
                raise Broken("cut short")
            return [kind[0](*v) for v in fixed.iter_unpack(memoryview(raw)[at:end])], end
        for _ in range(n):
            v, at = _take(kind[0], raw, at)
            vals.append(v)
        return vals, at
    if isinstance(kind, type):
        vals = []
        for k, _ in kind.layout:
            v, at = _take(k, raw, at)
            vals.append(v)
        return kind(*vals), at
    if kind in ("s", "b"):
        size = _LEN2 if kind == "s" else _LEN4
        (n,) = size.unpack_from(raw, at)
        at += size.size
        if at + n > len(raw):
            raise Broken("cut short")
        v = bytes(raw[at : at + n])
        return (v.decode() if kind == "s" else v), at + n
    (v,) = _FIXED[kind].unpack_from(raw, at)
    return v, at + _FIXED[kind].size


def _whole(kinds):
    """A record of many fixed fields is laid out at once: lists of them are most of what routers tell."""
    if len(kinds) < 2 or not all(isinstance(k, str) and k in _FIXED for k in kinds.values()):
        return {}
    return {"fixed": struct.Struct("!" + "".join(kinds.values())), "values": staticmethod(attrgetter(*kinds))}


def record(tag, **kinds):
    """Makes a record class; each tag is taken once.

    >>> record(251, x="B")(type("X", (), {})).tag
    251
    """

    def wrap(cls):
        if tag in _BY_TAG and _BY_TAG[tag].__qualname__ != cls.__qualname__:
            raise TypeError(f"tag {tag} is taken by {_BY_TAG[tag].__name__}")
        body = {
            k: v for k, v in vars(cls).items() if k not in ("__dict__", "__weakref__", "__module__", "__qualname__")
        }
        base = type(
            cls.__name__ + "Base",
            (),
            {**body, **_whole(kinds), "__slots__": (), "tag": tag, "layout": [(k, n) for n, k in kinds.items()]},
        )
        new = make_class(cls.__name__, list(kinds), bases=(base,), slots=True, frozen=True)
        new.__module__, new.__doc__ = cls.__module__, cls.__doc__
        _BY_TAG[tag] = new
        return new

    return wrap


def pack(rec):
    """The bytes of a record.

    >>> pack(record(252, x="B")(type("Y", (), {}))(7))[2:]
    b'\\x07'
    """
    out = [Head.pack(MAGIC, rec.tag)]
    _put(type(rec), rec, out)
    return b"".join(out)


def unpack(raw):
    """The record in some bytes; raises Broken when they hold none.

    >>> unpack(b"no")
    Traceback (most recent call last):
    ...
    sparloom.wire.records.Broken: not a record
    """
    if len(raw) < 2 or raw[0] != MAGIC or raw[1] not in _BY_TAG:
        raise Broken("not a record")
    try:
        rec, at = _take(_BY_TAG[raw[1]], raw, 2)
    except (struct.error, UnicodeDecodeError) as e:
        raise Broken(str(e)) from e
    if at != len(raw):
        raise Broken("bytes left over")
    return rec
