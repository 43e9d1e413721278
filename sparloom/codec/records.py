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

from attrs import define, make_class

MAGIC = 0x5A
Head = struct.Struct("!BB")
_FIXED = {letter: struct.Struct("!" + letter) for letter in "BHIQd?"}
_SHORT_LENGTH, _LONG_LENGTH = struct.Struct("!H"), struct.Struct("!I")
_BY_TAG = {}
_CUT_SHORT = "cut short"


class Broken(ValueError):
    """Bytes that are no record."""


@define(frozen=True, slots=True)
class _Codec:
    """How values of one kind are written and read.

    ``encode(value, out)`` appends pieces of bytes to a list. ``decode(raw, at)``
    gives the value that begins at an offset, and the offset after it.
    """

    encode: object
    decode: object


def _number(layout):
    size, unpack_from = layout.size, layout.unpack_from

    def encode(value, out):
        out.append(layout.pack(value))

    def decode(raw, at):
        return unpack_from(raw, at)[0], at + size

    return _Codec(encode, decode)


def _encode_text(value, out):
    raw = value.encode()
    out += (_SHORT_LENGTH.pack(len(raw)), raw)


def _decode_text(raw, at):
    value, at = _slice(raw, at, _SHORT_LENGTH)
    return value.decode(), at


def _encode_bytes(value, out):
    out += (_LONG_LENGTH.pack(len(value)), value)


def _decode_bytes(raw, at):
    return _slice(raw, at, _LONG_LENGTH)


def _slice(raw, at, length):
    """Bytes behind their length, and the offset after them."""
    at += length.size
    end = at + length.unpack_from(raw, at - length.size)[0]
    if end > len(raw):
        raise Broken(_CUT_SHORT)
    return bytes(raw[at:end]), end


def _list(item):
    def encode(values, out):
        out.append(_SHORT_LENGTH.pack(len(values)))
        for value in values:
            item.encode(value, out)

    def decode(raw, at):
        (count,) = _SHORT_LENGTH.unpack_from(raw, at)
        at += _SHORT_LENGTH.size
        values = []
        for _ in range(count):
            value, at = item.decode(raw, at)
            values.append(value)
        return values, at

    return _Codec(encode, decode)


def _list_of_fixed(cls):
    """Records of many fixed fields are laid out at once: lists of them are most of what routers tell."""
    layout, fields = cls.fixed, cls.values

    def encode(values, out):
        out.append(_SHORT_LENGTH.pack(len(values)))
        out += [layout.pack(*fields(value)) for value in values]

    def decode(raw, at):
        (count,) = _SHORT_LENGTH.unpack_from(raw, at)
        at += _SHORT_LENGTH.size
        end = at + count * layout.size
        if end > len(raw):
            raise Broken(_CUT_SHORT)
        return [cls(*values) for values in layout.iter_unpack(memoryview(raw)[at:end])], end

    return _Codec(encode, decode)


def _record(cls, kinds):
    fields = [(name, _codec(kind)) for name, kind in kinds.items()]
    encoders = [(name, codec.encode) for name, codec in fields]
    decoders = [codec.decode for _, codec in fields]

    def encode(value, out):
        for name, encode_field in encoders:
            encode_field(getattr(value, name), out)

    def decode(raw, at):
        values = []
        for decode_field in decoders:
            value, at = decode_field(raw, at)
            values.append(value)
        return cls(*values), at

    return _Codec(encode, decode)


_PLAIN = {letter: _number(layout) for letter, layout in _FIXED.items()}
_PLAIN |= {"s": _Codec(_encode_text, _decode_text), "b": _Codec(_encode_bytes, _decode_bytes)}


def _codec(kind):
    if isinstance(kind, list):
        return _list_of_fixed(kind[0]) if hasattr(kind[0], "fixed") else _list(_codec(kind[0]))
    return kind.codec if isinstance(kind, type) else _PLAIN[kind]


def _fixed_layout(kinds):
    """Class attributes of a record of many fixed fields: one struct for all of them."""
    if len(kinds) < 2 or not all(isinstance(kind, str) and kind in _FIXED for kind in kinds.values()):
        return {}
    return {"fixed": struct.Struct("!" + "".join(kinds.values())), "values": staticmethod(attrgetter(*kinds))}


def _own_attributes(cls):
    """What a class body defines, without what the interpreter adds."""
    added = ("__dict__", "__weakref__", "__module__", "__qualname__")
    return {name: value for name, value in vars(cls).items() if name not in added}


def record(tag, **kinds):
    """Makes a record class; each tag is taken once.

    >>> record(251, x="B")(type("X", (), {})).tag
    251
    """

    def wrap(cls):
        if tag in _BY_TAG and _BY_TAG[tag].__qualname__ != cls.__qualname__:
            raise TypeError(f"tag {tag} is taken by {_BY_TAG[tag].__name__}")
        layout = [(kind, name) for name, kind in kinds.items()]
        body = {**_own_attributes(cls), **_fixed_layout(kinds), "__slots__": (), "tag": tag, "layout": layout}
        base = type(cls.__name__ + "Base", (), body)
        new = make_class(cls.__name__, list(kinds), bases=(base,), slots=True, frozen=True)
        new.__module__, new.__doc__ = cls.__module__, cls.__doc__
        new.codec = _record(new, kinds)
        _BY_TAG[tag] = new
        return new

    return wrap


def pack(rec):
    """The bytes of a record.

    >>> pack(record(252, x="B")(type("Y", (), {}))(7))[2:]
    b'\\x07'
    """
    out = [Head.pack(MAGIC, rec.tag)]
    rec.codec.encode(rec, out)
    return b"".join(out)


def unpack(raw):
    """The record in some bytes; raises Broken when they hold none.

    >>> unpack(b"no")
    Traceback (most recent call last):
    ...
    sparloom.codec.records.Broken: not a record
    """
    if len(raw) < 2 or raw[0] != MAGIC or raw[1] not in _BY_TAG:
        raise Broken("not a record")
    try:
        rec, at = _BY_TAG[raw[1]].codec.decode(raw, Head.size)
    except (struct.error, UnicodeDecodeError) as e:
        raise Broken(str(e)) from e
    if at != len(raw):
        raise Broken("bytes left over")
    return rec
