"""Records: frozen classes whose fields are serialized in the order of their declaration.

The annotation of a field selects its wire format: ``UInt8``, ``UInt16``,
``UInt32``, ``UInt64`` (big-endian integers with that number of bits), ``float``
(8 bytes), ``bool``, ``str`` (up to 65,535 bytes of UTF-8), ``bytes`` (up to
4 GiB), another record, or a list of up to 65,535 of any of these. A record is
preceded by a magic byte and its tag. Class and field names are not serialized.

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
RECORD_HEADER = struct.Struct("!BB")
_FORMAT_CHARACTERS = {
    "UInt8": "B",
    "UInt16": "H",
    "UInt32": "I",
    "UInt64": "Q",
    "float": "d",
    "bool": "?",
    "str": "s",
    "bytes": "b",
}
_FIXED_STRUCTS = {character: struct.Struct("!" + character) for character in "BHIQd?"}
_LENGTH_16, _LENGTH_32 = struct.Struct("!H"), struct.Struct("!I")
_TRUNCATED = "truncated"


class DecodeError(SparloomError, ValueError):
    """Bytes that are not a valid record; the message describes the fault."""


@define(frozen=True, slots=True)
class _Codec:
    """Serializes and deserializes values of one kind.

    Attributes
    ----------
    encode
        Appends the bytes of a value to a list of chunks.
    decode
        Returns the value at an offset and the offset after it.
    """

    encode: Callable[[Any, list[bytes]], None]
    decode: Callable[[bytes, int], tuple[Any, int]]


class Record:
    """Base class of all records; ``record`` sets its class attributes.

    Attributes
    ----------
    tag
        The byte that identifies the class on the wire.
    layout
        (kind, field name) of each field in order. A kind is a ``struct``
        format character, ``s`` for a string, ``b`` for bytes, a record class,
        or a list that contains one kind.
    fixed
        The struct of the entire record if all fields have a fixed size, else None.
    values
        Returns the values of all fields of a record with a fixed layout.
    """

    __slots__ = ()
    tag: ClassVar[int]
    layout: ClassVar[list[tuple[Any, str]]]
    codec: ClassVar[_Codec]
    fixed: ClassVar[struct.Struct | None] = None
    values: ClassVar[Callable[[Any], tuple[Any, ...]]]


_BY_TAG: dict[int, type[Record]] = {}
RecordClass = TypeVar("RecordClass", bound=type[Record])


def _struct_codec(layout: struct.Struct) -> _Codec:
    size, unpack_from = layout.size, layout.unpack_from

    def encode(value: float, out: list[bytes]) -> None:
        out.append(layout.pack(value))

    def decode(raw: bytes, offset: int) -> tuple[Any, int]:
        return unpack_from(raw, offset)[0], offset + size

    return _Codec(encode, decode)


def _encode_string(value: str, out: list[bytes]) -> None:
    raw = value.encode()
    out += (_LENGTH_16.pack(len(raw)), raw)


def _decode_string(raw: bytes, offset: int) -> tuple[str, int]:
    value, offset = _decode_prefixed(raw, offset, _LENGTH_16)
    return value.decode(), offset


def _encode_bytes(value: bytes, out: list[bytes]) -> None:
    out += (_LENGTH_32.pack(len(value)), value)


def _decode_bytes(raw: bytes, offset: int) -> tuple[bytes, int]:
    return _decode_prefixed(raw, offset, _LENGTH_32)


def _decode_prefixed(raw: bytes, offset: int, length: struct.Struct) -> tuple[bytes, int]:
    """Return the bytes that follow a length prefix, and the offset after them."""
    offset += length.size
    end = offset + length.unpack_from(raw, offset - length.size)[0]
    if end > len(raw):
        raise DecodeError(_TRUNCATED)
    return bytes(raw[offset:end]), end


def _list_codec(item: _Codec) -> _Codec:
    def encode(values: Sequence[Any], out: list[bytes]) -> None:
        out.append(_LENGTH_16.pack(len(values)))
        for value in values:
            item.encode(value, out)

    def decode(raw: bytes, offset: int) -> tuple[list[Any], int]:
        (count,) = _LENGTH_16.unpack_from(raw, offset)
        offset += _LENGTH_16.size
        values = []
        for _ in range(count):
            value, offset = item.decode(raw, offset)
            values.append(value)
        return values, offset

    return _Codec(encode, decode)


def _fixed_record_list_codec(cls: type[Record], layout: struct.Struct) -> _Codec:
    """Return a fast codec for lists of fixed-size records, which are most of the traffic between routers."""
    fields = cls.values

    def encode(values: Sequence[Any], out: list[bytes]) -> None:
        out.append(_LENGTH_16.pack(len(values)))
        out += [layout.pack(*fields(value)) for value in values]

    def decode(raw: bytes, offset: int) -> tuple[list[Any], int]:
        (count,) = _LENGTH_16.unpack_from(raw, offset)
        offset += _LENGTH_16.size
        end = offset + count * layout.size
        if end > len(raw):
            raise DecodeError(_TRUNCATED)
        return [cls(*values) for values in layout.iter_unpack(memoryview(raw)[offset:end])], end

    return _Codec(encode, decode)


def _record_codec(cls: type[Record]) -> _Codec:
    fields = [(name, _codec_for(kind)) for kind, name in cls.layout]
    encoders = [(name, codec.encode) for name, codec in fields]
    decoders = [codec.decode for _, codec in fields]

    def encode(value: Record, out: list[bytes]) -> None:
        for name, encode_field in encoders:
            encode_field(getattr(value, name), out)

    def decode(raw: bytes, offset: int) -> tuple[Record, int]:
        values = []
        for decode_field in decoders:
            value, offset = decode_field(raw, offset)
            values.append(value)
        return cls(*values), offset

    return _Codec(encode, decode)


_PRIMITIVE_CODECS = {character: _struct_codec(layout) for character, layout in _FIXED_STRUCTS.items()}
_PRIMITIVE_CODECS |= {"s": _Codec(_encode_string, _decode_string), "b": _Codec(_encode_bytes, _decode_bytes)}


def _codec_for(kind: Any) -> _Codec:
    if isinstance(kind, list):
        item: Any = kind[0]
        layout: struct.Struct | None = getattr(item, "fixed", None)
        return _list_codec(_codec_for(item)) if layout is None else _fixed_record_list_codec(item, layout)
    return _PRIMITIVE_CODECS[kind] if isinstance(kind, str) else cast("type[Record]", kind).codec


def _kind_of(annotation: str, namespace: Mapping[str, Any]) -> Any:
    """Return the kind for an annotation; record classes are looked up in ``namespace``."""
    if annotation in _FORMAT_CHARACTERS:
        return _FORMAT_CHARACTERS[annotation]
    if annotation.startswith("list[") and annotation.endswith("]"):
        return [_kind_of(annotation[len("list[") : -1], namespace)]
    record_class = namespace.get(annotation)
    if isinstance(record_class, type) and issubclass(record_class, Record):
        return record_class
    raise TypeError(f"{annotation!r} has no wire format")


def _fixed_layout(kinds: Sequence[Any]) -> struct.Struct | None:
    """Return one struct for a record of two or more fixed-size fields; None for other records."""
    if len(kinds) < 2 or not all(isinstance(kind, str) and kind in _FIXED_STRUCTS for kind in kinds):
        return None
    return struct.Struct("!" + "".join(kinds))


@dataclass_transform(frozen_default=True, order_default=True)
def record(tag: int) -> Callable[[RecordClass], RecordClass]:
    """Return a class decorator that makes a frozen record; the annotations of the fields select the wire format.

    Parameters
    ----------
    tag
        The byte that identifies the class on the wire, unique per class.

    Raises
    ------
    TypeError
        The tag is already in use, or an annotation has no wire format.

    Examples
    --------
    >>> @record(251)
    ... class Sample(Record):
    ...     size: UInt8
    >>> Sample.tag
    251
    """

    def make_record(cls: RecordClass) -> RecordClass:
        if tag in _BY_TAG and _BY_TAG[tag].__qualname__ != cls.__qualname__:
            raise TypeError(f"tag {tag} is already used by {_BY_TAG[tag].__name__}")
        namespace = vars(sys.modules[cls.__module__])
        new: Any = define(frozen=True, slots=True, order=True)(cls)
        annotations = {name: str(annotation) for name, annotation in cls.__annotations__.items()}
        new.tag = tag
        new.layout = [(_kind_of(annotation, namespace), name) for name, annotation in annotations.items()]
        new.fixed = _fixed_layout([kind for kind, _ in new.layout])
        if new.fixed is not None:
            new.values = staticmethod(attrgetter(*annotations))
        new.codec = _record_codec(new)
        _BY_TAG[tag] = new
        return cast("RecordClass", new)

    return make_record


def pack(message: Record) -> bytes:
    """Serialize a record, with the magic byte and its tag in front.

    Raises
    ------
    struct.error
        A number is out of range for its field, or a string or list is too long.

    Examples
    --------
    >>> @record(252)
    ... class Sample(Record):
    ...     size: UInt8
    >>> pack(Sample(7))[2:]
    b'\\x07'
    """
    out = [RECORD_HEADER.pack(MAGIC, message.tag)]
    message.codec.encode(message, out)
    return b"".join(out)


def unpack(raw: bytes) -> Any:
    """Deserialize a record.

    Raises
    ------
    DecodeError
        The bytes are not a record, are truncated, or have trailing bytes.

    Examples
    --------
    >>> unpack(b"no")
    Traceback (most recent call last):
    ...
    sparloom.codec.records.DecodeError: not a record
    """
    if len(raw) < RECORD_HEADER.size or raw[0] != MAGIC or raw[1] not in _BY_TAG:
        raise DecodeError("not a record")
    try:
        message, offset = _BY_TAG[raw[1]].codec.decode(raw, RECORD_HEADER.size)
    except (struct.error, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from error
    if offset != len(raw):
        raise DecodeError("trailing bytes")
    return message
