"""Records: frozen classes whose fields are laid out by ``struct`` in the order of their declaration.

The annotation of a field names its form on the wire: ``UInt8``, ``UInt16``,
``UInt32``, ``UInt64`` (integers of that many bits, big-endian), ``float``
(8 bytes), ``bool``, ``str`` (up to 65,535 bytes of UTF-8), ``bytes`` (up to
4 GiB), another record, or a list of up to 65,535 of any of these. A record is
preceded by a magic byte and its tag; names never go out.

>>> @record(250)
... class Note(Record):
...     number: UInt32
...     author: str
...     pages: list[UInt16]
>>> unpack(pack(Note(1, "a", [2, 3])))
Note(number=1, author='a', pages=[2, 3])
"""

from __future__ import annotations

import struct
import sys
from operator import attrgetter
from typing import TYPE_CHECKING, Any, ClassVar, TypeVar, cast, dataclass_transform

from attrs import define

from sparloom.errors import SparloomError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

UInt8 = int
UInt16 = int
UInt32 = int
UInt64 = int

MAGIC = 0x5A
Head = struct.Struct("!BB")
_LETTERS = {
    "UInt8": "B",
    "UInt16": "H",
    "UInt32": "I",
    "UInt64": "Q",
    "float": "d",
    "bool": "?",
    "str": "s",
    "bytes": "b",
}
_FIXED = {letter: struct.Struct("!" + letter) for letter in "BHIQd?"}
_SHORT_LENGTH, _LONG_LENGTH = struct.Struct("!H"), struct.Struct("!I")
_CUT_SHORT = "cut short"


class DecodeError(SparloomError, ValueError):
    """Bytes that are no record; the message says where they differ from one."""


@define(frozen=True, slots=True)
class _Codec:
    """How values of one kind are written and read.

    Attributes
    ----------
    encode
        Appends the bytes of a value to a list of pieces.
    decode
        Gives the value that begins at an offset, and the offset after it.
    """

    encode: Callable[[Any, list[bytes]], None]
    decode: Callable[[bytes, int], tuple[Any, int]]


class Record:
    """The base of all records; its class attributes are set by ``record``.

    Attributes
    ----------
    tag
        The byte that names the class on the wire.
    layout
        (kind, field name) of each field in order. A kind is a letter of
        ``struct``, ``s`` for text, ``b`` for bytes, a record class, or a list
        of one kind.
    fixed
        The layout of the whole record where every field has a fixed size.
    values
        Gives the values of all fields of a record with a fixed layout.
    """

    __slots__ = ()
    tag: ClassVar[int]
    layout: ClassVar[list[tuple[Any, str]]]
    codec: ClassVar[_Codec]
    fixed: ClassVar[struct.Struct | None] = None
    values: ClassVar[Callable[[Any], tuple[Any, ...]]]


_BY_TAG: dict[int, type[Record]] = {}
RecordClass = TypeVar("RecordClass", bound=type[Record])


def _number(layout: struct.Struct) -> _Codec:
    size, unpack_from = layout.size, layout.unpack_from

    def encode(value: float, out: list[bytes]) -> None:
        out.append(layout.pack(value))

    def decode(raw: bytes, at: int) -> tuple[Any, int]:
        return unpack_from(raw, at)[0], at + size

    return _Codec(encode, decode)


def _encode_text(value: str, out: list[bytes]) -> None:
    raw = value.encode()
    out += (_SHORT_LENGTH.pack(len(raw)), raw)


def _decode_text(raw: bytes, at: int) -> tuple[str, int]:
    value, at = _slice(raw, at, _SHORT_LENGTH)
    return value.decode(), at


def _encode_bytes(value: bytes, out: list[bytes]) -> None:
    out += (_LONG_LENGTH.pack(len(value)), value)


def _decode_bytes(raw: bytes, at: int) -> tuple[bytes, int]:
    return _slice(raw, at, _LONG_LENGTH)


def _slice(raw: bytes, at: int, length: struct.Struct) -> tuple[bytes, int]:
    """Bytes behind their length, and the offset after them."""
    at += length.size
    end = at + length.unpack_from(raw, at - length.size)[0]
    if end > len(raw):
        raise DecodeError(_CUT_SHORT)
    return bytes(raw[at:end]), end


def _list(item: _Codec) -> _Codec:
    def encode(values: Sequence[Any], out: list[bytes]) -> None:
        out.append(_SHORT_LENGTH.pack(len(values)))
        for value in values:
            item.encode(value, out)

    def decode(raw: bytes, at: int) -> tuple[list[Any], int]:
        (count,) = _SHORT_LENGTH.unpack_from(raw, at)
        at += _SHORT_LENGTH.size
        values = []
        for _ in range(count):
            value, at = item.decode(raw, at)
            values.append(value)
        return values, at

    return _Codec(encode, decode)


def _list_of_fixed(cls: type[Record], layout: struct.Struct) -> _Codec:
    """The codec of a list of records with a fixed layout, each packed at once: most of what routers exchange."""
    fields = cls.values

    def encode(values: Sequence[Any], out: list[bytes]) -> None:
        out.append(_SHORT_LENGTH.pack(len(values)))
        out += [layout.pack(*fields(value)) for value in values]

    def decode(raw: bytes, at: int) -> tuple[list[Any], int]:
        (count,) = _SHORT_LENGTH.unpack_from(raw, at)
        at += _SHORT_LENGTH.size
        end = at + count * layout.size
        if end > len(raw):
            raise DecodeError(_CUT_SHORT)
        return [cls(*values) for values in layout.iter_unpack(memoryview(raw)[at:end])], end

    return _Codec(encode, decode)


def _record_codec(cls: type[Record]) -> _Codec:
    fields = [(name, _codec(kind)) for kind, name in cls.layout]
    encoders = [(name, codec.encode) for name, codec in fields]
    decoders = [codec.decode for _, codec in fields]

    def encode(value: Record, out: list[bytes]) -> None:
        for name, encode_field in encoders:
            encode_field(getattr(value, name), out)

    def decode(raw: bytes, at: int) -> tuple[Record, int]:
        values = []
        for decode_field in decoders:
            value, at = decode_field(raw, at)
            values.append(value)
        return cls(*values), at

    return _Codec(encode, decode)


_PLAIN = {letter: _number(layout) for letter, layout in _FIXED.items()}
_PLAIN |= {"s": _Codec(_encode_text, _decode_text), "b": _Codec(_encode_bytes, _decode_bytes)}


def _codec(kind: Any) -> _Codec:
    if isinstance(kind, list):
        item: Any = kind[0]
        layout: struct.Struct | None = getattr(item, "fixed", None)
        return _list(_codec(item)) if layout is None else _list_of_fixed(item, layout)
    return _PLAIN[kind] if isinstance(kind, str) else cast("type[Record]", kind).codec


def _kind(annotation: str, names: Mapping[str, Any]) -> Any:
    """The kind that an annotation names; ``names``: where record classes are looked up."""
    if annotation in _LETTERS:
        return _LETTERS[annotation]
    if annotation.startswith("list[") and annotation.endswith("]"):
        return [_kind(annotation[len("list[") : -1], names)]
    found = names.get(annotation)
    if isinstance(found, type) and issubclass(found, Record):
        return found
    raise TypeError(f"{annotation!r} has no form on the wire")


def _fixed_layout(kinds: Sequence[Any]) -> struct.Struct | None:
    """One struct for a record of two or more fields of fixed size; else None."""
    if len(kinds) < 2 or not all(isinstance(kind, str) and kind in _FIXED for kind in kinds):
        return None
    return struct.Struct("!" + "".join(kinds))


@dataclass_transform(frozen_default=True, order_default=True)
def record(tag: int) -> Callable[[RecordClass], RecordClass]:
    """Makes a frozen record of a class whose annotated fields name their form on the wire.

    Parameters
    ----------
    tag
        The class's byte on the wire; each is taken once.

    Raises
    ------
    TypeError
        The tag is taken, or an annotation has no form on the wire.

    Examples
    --------
    >>> @record(251)
    ... class Sample(Record):
    ...     size: UInt8
    >>> Sample.tag
    251
    """

    def wrap(cls: RecordClass) -> RecordClass:
        if tag in _BY_TAG and _BY_TAG[tag].__qualname__ != cls.__qualname__:
            raise TypeError(f"tag {tag} is taken by {_BY_TAG[tag].__name__}")
        names = vars(sys.modules[cls.__module__])
        new: Any = define(frozen=True, slots=True, order=True)(cls)
        annotations = {name: str(text) for name, text in cls.__annotations__.items()}
        new.tag = tag
        new.layout = [(_kind(text, names), name) for name, text in annotations.items()]
        new.fixed = _fixed_layout([kind for kind, _ in new.layout])
        if new.fixed is not None:
            new.values = staticmethod(attrgetter(*annotations))
        new.codec = _record_codec(new)
        _BY_TAG[tag] = new
        return cast("RecordClass", new)

    return wrap


def pack(message: Record) -> bytes:
    """The bytes of a record, behind the magic byte and its tag.

    Raises
    ------
    struct.error
        A number does not fit its field, or a text or list is too long.

    Examples
    --------
    >>> @record(252)
    ... class Sample(Record):
    ...     size: UInt8
    >>> pack(Sample(7))[2:]
    b'\\x07'
    """
    out = [Head.pack(MAGIC, message.tag)]
    message.codec.encode(message, out)
    return b"".join(out)


def unpack(raw: bytes) -> Any:
    """The record in some bytes.

    Raises
    ------
    DecodeError
        The bytes hold no record, are cut short, or go on after one.

    Examples
    --------
    >>> unpack(b"no")
    Traceback (most recent call last):
    ...
    sparloom.codec.records.DecodeError: not a record
    """
    if len(raw) < Head.size or raw[0] != MAGIC or raw[1] not in _BY_TAG:
        raise DecodeError("not a record")
    try:
        found, at = _BY_TAG[raw[1]].codec.decode(raw, Head.size)
    except (struct.error, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from error
    if at != len(raw):
        raise DecodeError("bytes left over")
    return found
