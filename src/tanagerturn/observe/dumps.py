"""Converts protobuf messages, dataclasses and other values to JSON for state dumps."""

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

MASKED_VALUE: Final = "(masked)"
"""Text that replaces the value of a secret field."""

MAX_SHOWN_BYTES: Final = 64
"""Number of leading bytes of a `bytes` value that a dump shows."""


def to_json(value: Any) -> bytes:
    """Return a value as indented JSON with secret fields masked."""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS | orjson.OPT_NON_STR_KEYS
    return orjson.dumps(to_builtins(value), option=options)


@singledispatch
def to_builtins(value: Any) -> Any:
    """Convert a value to built-in types that JSON can represent, with secrets masked.

    Dataclasses become dicts of their fields. A value of an unknown type becomes its
    `repr`.
    """
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = dataclasses.fields(value)
        return {f.name: to_builtins(getattr(value, f.name)) for f in fields}
    return repr(value)


@to_builtins.register(str | int | float | bool | None)
def _(value: str | int | float | bool | None) -> Any:
    return value


@to_builtins.register
def _(value: bytes) -> Any:
    return {"bytes": len(value), "start": value[:MAX_SHOWN_BYTES].hex()}


@to_builtins.register
def _(value: Enum) -> Any:
    return value.name


@to_builtins.register(list | tuple | set | frozenset | deque)
def _(value: Any) -> Any:
    return [to_builtins(item) for item in value]


@to_builtins.register(Mapping)
def _(value: Mapping[Any, Any]) -> Any:
    return {str(key): to_builtins(item) for key, item in value.items()}


@to_builtins.register
def _(value: Message) -> Any:
    fields = MessageToDict(mask_secrets(value), preserving_proto_field_name=True)
    return to_builtins(fields)


def mask_secrets(message: Message) -> Message:
    """Return a copy of a message with its secret fields masked.

    A field is secret if the schema marks it so with the `allowed` option. Map fields
    are not searched.
    """
    copy = type(message)()
    copy.CopyFrom(message)
    _mask_in_place(copy)
    return copy


def _mask_in_place(message: Message) -> None:
    for field, value in message.ListFields():
        if field.GetOptions().Extensions[options_pb2.allowed].secret:
            replacement: Any = (
                [MASKED_VALUE] * len(value) if field.is_repeated else MASKED_VALUE
            )
            message.ClearField(field.name)
            if field.is_repeated:
                getattr(message, field.name).extend(replacement)
            else:
                setattr(message, field.name, replacement)
        elif field.message_type is None or field.message_type.GetOptions().map_entry:
            continue
        elif field.is_repeated:
            for item in value:
                _mask_in_place(item)
        else:
            _mask_in_place(value)
