"""State dumps: protobuf messages, dataclasses and plain values as JSON."""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Mapping
from enum import Enum
from functools import singledispatch
from typing import Any, Final

import orjson
from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message

from tanagerturn.schema import options_pb2

MASK: Final = "(masked)"
BYTES_SHOWN: Final = 64


def to_json(value: Any) -> bytes:
    """Return a value as indented JSON, secrets masked."""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS | orjson.OPT_NON_STR_KEYS
    return orjson.dumps(to_plain(value), option=options)


@singledispatch
def to_plain(value: Any) -> Any:
    """Return a value as one that JSON can hold, secrets masked."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = dataclasses.fields(value)
        return {f.name: to_plain(getattr(value, f.name)) for f in fields}
    return repr(value)


@to_plain.register(str | int | float | bool | None)
def _(value: str | int | float | bool | None) -> Any:
    return value


@to_plain.register
def _(value: bytes) -> Any:
    return {"bytes": len(value), "start": value[:BYTES_SHOWN].hex()}


@to_plain.register
def _(value: Enum) -> Any:
    return value.name


@to_plain.register(list | tuple | set | frozenset | deque)
def _(value: Any) -> Any:
    return [to_plain(item) for item in value]


@to_plain.register(Mapping)
def _(value: Mapping[Any, Any]) -> Any:
    return {str(key): to_plain(item) for key, item in value.items()}


@to_plain.register
def _(value: Message) -> Any:
    shown = MessageToDict(masked(value), preserving_proto_field_name=True)
    return to_plain(shown)


def masked(message: Message) -> Message:
    """Return a copy of a message whose secret fields are masked."""
    copy = type(message)()
    copy.CopyFrom(message)
    _mask(copy)
    return copy


def _mask(message: Message) -> None:
    for field, value in message.ListFields():
        if field.GetOptions().Extensions[options_pb2.allowed].secret:
            hidden: Any = [MASK] * len(value) if field.is_repeated else MASK
            message.ClearField(field.name)
            if field.is_repeated:
                getattr(message, field.name).extend(hidden)
            else:
                setattr(message, field.name, hidden)
        elif field.message_type is None or field.message_type.GetOptions().map_entry:
            continue
        elif field.is_repeated:
            for item in value:
                _mask(item)
        else:
            _mask(value)
