"""Codec between values of the core and msgpack.

An `attrs` object is encoded as an array of its class's tag and its fields in
order, an enum as its value, and a dict as an array of pairs. The decoder
checks the declared types of the fields, so that malformed messages don't reach
the core.

During a rolling upgrade, a missing trailing field takes its default and an
unknown trailing field is ignored. New fields must therefore be added at the
end, with a default.
"""

import enum
import math
import types
import typing
from collections.abc import Callable
from functools import cache
from operator import attrgetter
from typing import Any

import attrs
import msgpack

from crocuswell_core.cluster.cluster_state import STATE_VERSION, ClusterState
from crocuswell_daemon.tags import TAG_OF, TAGGED

_BIG_INT_CODE = 1
_MAX_BIG_INT_BYTES = 64

Decoder = Callable[[Any], Any]


class CodecError(Exception):
    """The data can't be decoded, or the value can't be encoded."""


def encode(message: object) -> bytes:
    """Encode a value of one of the tagged classes.

    Raises
    ------
    CodecError
        If the value, or a value within it, has a class without a tag.
    """
    try:
        return msgpack.packb(message, default=_flatten, unicode_errors="surrogatepass")
    except (TypeError, ValueError, OverflowError, AttributeError) as exc:
        raise CodecError(f"cannot encode {type(message).__name__}: {exc}") from exc


def decode(data: bytes, expected: Any = None) -> Any:
    """Decode one value.

    Parameters
    ----------
    data : bytes
        Output of `encode`.
    expected : type or union of types, optional
        Type of the value, such as `PeerMessage`; any tagged class if None.

    Raises
    ------
    CodecError
        If the data is malformed, incomplete or of another type.
    """
    try:
        value = msgpack.unpackb(
            data,
            use_list=False,
            ext_hook=_unpack_ext,
            unicode_errors="surrogatepass",
            max_map_len=0,
        )
        if expected is not None:
            return _decoder_for(expected)(value)
        return _class_decoder(_class_of(value))(value)
    except CodecError:
        raise
    except (ValueError, TypeError, OverflowError, RecursionError) as exc:
        raise CodecError(f"malformed data: {exc!r}") from exc


def decode_state(data: bytes) -> ClusterState:
    """Decode the `ClusterState` of a snapshot.

    Raises
    ------
    CodecError
        If it is malformed or has an unsupported version.
    """
    state = decode(data, ClusterState)
    if state.version != STATE_VERSION:
        raise CodecError(
            f"state has version {state.version}, this program reads {STATE_VERSION}"
        )
    return state


def _wire_fields(cls: Any) -> tuple[Any, ...]:
    # Fields that are not parameters of __init__ are derived from the others.
    return tuple(field for field in attrs.fields(cls) if field.init)


# --- encoding ------------------------------------------------------------


def _flatten(value: Any) -> Any:
    """Convert an object that msgpack can't encode to one that it can."""
    return _FLATTENERS[type(value)](value)


class _Flatteners(dict[type, Callable[[Any], Any]]):
    """Conversion functions by class, created on first use."""

    def __missing__(self, cls: type) -> Callable[[Any], Any]:
        flattener = self[cls] = _make_flattener(cls)
        return flattener


_FLATTENERS = _Flatteners()


def _make_flattener(cls: Any) -> Callable[[Any], Any]:
    if issubclass(cls, enum.Enum):
        # Faster than `value`, a property in Python; a state holds thousands
        # of enum members.
        return attrgetter("_value_")
    if cls is int:
        return _pack_big_int
    if cls not in TAG_OF:
        raise TypeError(f"{cls.__name__} has no tag")
    tag = TAG_OF[cls]
    fields = _wire_fields(cls)
    names = [field.name for field in fields]
    if any(typing.get_origin(field.type) is dict for field in fields):
        return lambda value: (tag, *(_dicts_to_pairs(getattr(value, n)) for n in names))
    if not names:
        return lambda value: (tag,)
    get = attrgetter(*names)
    if len(names) == 1:
        return lambda value: (tag, get(value))
    return lambda value: (tag, *get(value))


def _pack_big_int(value: int) -> msgpack.ExtType:
    # JSON integers are unbounded, and a host must not halt because a caller's
    # integer doesn't fit into 64 bits.
    size = value.bit_length() // 8 + 1
    if size > _MAX_BIG_INT_BYTES:
        raise OverflowError("integer is too large")
    return msgpack.ExtType(_BIG_INT_CODE, value.to_bytes(size, "big", signed=True))


def _dicts_to_pairs(value: Any) -> Any:
    if type(value) is not dict:
        return value
    return tuple((key, _dicts_to_pairs(item)) for key, item in value.items())


# --- decoding ------------------------------------------------------------


def _unpack_ext(code: int, data: bytes) -> int:
    if code != _BIG_INT_CODE or not 0 < len(data) <= _MAX_BIG_INT_BYTES:
        raise CodecError(f"unknown extension {code}")
    return int.from_bytes(data, "big", signed=True)


def _type_mismatch(value: Any, expected: str) -> CodecError:
    return CodecError(f"found {type(value).__name__}, expected {expected}")


def _class_of(value: Any) -> type:
    if type(value) is not tuple or not value or type(value[0]) is not int:
        raise _type_mismatch(value, "a tagged array")
    tag = value[0]
    cls = TAGGED[tag] if 0 <= tag < len(TAGGED) else None
    if cls is None:
        raise CodecError(f"unknown tag {tag}")
    return cls


def _exact_decoder(cls: type) -> Decoder:
    def check(value: Any) -> Any:
        if type(value) is not cls:
            raise _type_mismatch(value, cls.__name__)
        return value

    return check


def _decode_float(value: Any) -> float:
    if type(value) not in (float, int) or not math.isfinite(value):
        raise _type_mismatch(value, "a finite number")
    return float(value)


@cache
def _decoder_for(hint: Any) -> Decoder:
    """Return the decoder of a declared type."""
    if hint is None:
        return _exact_decoder(types.NoneType)
    if hint is float:
        return _decode_float
    if hint in (int, str, bytes, bool, types.NoneType):
        return _exact_decoder(hint)
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _union_decoder(typing.get_args(hint))
    if origin in (tuple, list):
        return _sequence_decoder(origin, typing.get_args(hint)[0])
    if origin is dict:
        return _dict_decoder(*typing.get_args(hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _enum_decoder(hint)
    if hint in TAG_OF:
        return _class_decoder(hint)
    # A base class accepts each of its subclasses that has a tag.
    return _union_decoder(tuple(cls for cls in TAG_OF if issubclass(cls, hint)))


def _union_decoder(hints: tuple[Any, ...]) -> Decoder:
    tagged = {h: _decoder_for(h) for h in hints if h in TAG_OF}
    untagged = {_wire_type(h): _decoder_for(h) for h in hints if h not in TAG_OF}
    if len(tagged) + len(untagged) != len(hints):
        raise TypeError(f"{hints} can't be distinguished on the wire")

    def decode_union(value: Any) -> Any:
        found = type(value)
        if found is tuple:
            found = _class_of(value)
            if found in tagged:
                return tagged[found](value)
        elif found in untagged:
            return untagged[found](value)
        raise CodecError(f"{found.__name__} is not permitted here")

    return decode_union


def _wire_type(hint: Any) -> type:
    return str if issubclass(hint, enum.Enum) else hint


def _sequence_decoder(origin: type, item: Any) -> Decoder:
    decode_item = _decoder_for(item)

    def decode_sequence(value: Any) -> Any:
        if type(value) is not tuple:
            raise _type_mismatch(value, "an array")
        return origin(map(decode_item, value))

    return decode_sequence


def _dict_decoder(key: Any, item: Any) -> Decoder:
    decode_key, decode_item = _decoder_for(key), _decoder_for(item)

    def decode_dict(value: Any) -> Any:
        if type(value) is not tuple:
            raise _type_mismatch(value, "an array of pairs")
        table = {decode_key(k): decode_item(v) for k, v in value}
        if len(table) != len(value):
            raise CodecError("a key occurs twice")
        return table

    return decode_dict


def _enum_decoder(cls: type[enum.Enum]) -> Decoder:
    members = {member.value: member for member in cls}

    def decode_enum(value: Any) -> enum.Enum:
        if type(value) is not str or value not in members:
            raise _type_mismatch(value, cls.__name__)
        return members[value]

    return decode_enum


@cache
def _class_decoder(cls: type) -> Decoder:
    tag = TAG_OF[cls]
    fields = _wire_fields(cls)
    decoders = tuple(_decoder_for(field.type) for field in fields)
    required = 1 + sum(field.default is attrs.NOTHING for field in fields)

    def decode_object(value: Any) -> Any:
        if type(value) is not tuple or len(value) < required:
            raise _type_mismatch(
                value, f"{required - 1} or more fields of {cls.__name__}"
            )
        if type(value[0]) is not int or value[0] != tag:
            raise CodecError(f"expected the tag of {cls.__name__}")
        return cls(*[dec(item) for dec, item in zip(decoders, value[1:], strict=False)])

    return decode_object
