"""Converts JSON objects to dataclasses, with strict type checks, and back."""

from __future__ import annotations

import math
import types
from dataclasses import MISSING, Field, fields
from enum import Enum
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

T = TypeVar("T")


class DecodeError(ValueError):
    """A JSON value is missing, unknown or of a type that its field doesn't allow.

    Args:
        path: Dotted path of the field; empty for the top-level object.
        reason: What was found and what is expected.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        """Dotted path of the field; empty for the top-level object."""
        self.reason = reason
        """What was found and what is expected."""


_fields_by_class: dict[type, dict[str, tuple[Field[Any], Any]]] = {}


def _class_fields(dataclass_type: type) -> dict[str, tuple[Field[Any], Any]]:
    """Return each field with its resolved type, by name; cached for each class."""
    if dataclass_type not in _fields_by_class:
        hints = get_type_hints(dataclass_type)
        found = {item.name: (item, hints[item.name]) for item in fields(dataclass_type)}
        _fields_by_class[dataclass_type] = found
    return _fields_by_class[dataclass_type]


def decode(dataclass_type: type[T], value: object, path: str = "") -> T:
    """Build a dataclass from a JSON object.

    Args:
        dataclass_type: Dataclass to build.
        value: Parsed JSON.
        path: Dotted path of the value for error messages; empty at the top level.

    Returns:
        An instance of the dataclass; absent keys get the default of their field.

    Raises:
        DecodeError: A key is unknown, a required key is missing, or a value has a
            wrong type.
    """
    if not isinstance(value, dict):
        raise DecodeError(path, f"found {_type_name(value)}, want an object")
    known = _class_fields(dataclass_type)
    unknown = [str(key) for key in value if key not in known]
    if unknown:
        raise DecodeError(path, f"unknown keys {', '.join(sorted(unknown))}")
    arguments = {}
    for name, (item, hint) in known.items():
        field_path = f"{path}.{name}" if path else name
        if name in value:
            arguments[name] = _decode_value(hint, value[name], field_path)
        elif item.default is MISSING and item.default_factory is MISSING:
            raise DecodeError(field_path, "is missing")
    return dataclass_type(**arguments)


def _decode_value(hint: Any, value: object, path: str) -> object:
    if get_origin(hint) is tuple:
        return _decode_items(get_args(hint)[0], value, path)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _decode_enum(hint, value, path)
    if hint is float:
        return _decode_float(value, path)
    if hint in (int, str, bool):
        if type(value) is not hint:
            raise DecodeError(path, f"found {_type_name(value)}, want {hint.__name__}")
        return value
    return decode(hint, value, path)


def _decode_items(hint: Any, value: object, path: str) -> tuple[object, ...]:
    if not isinstance(value, list):
        raise DecodeError(path, f"found {_type_name(value)}, want a list")
    return tuple(
        _decode_value(hint, item, f"{path}[{index}]")
        for index, item in enumerate(value)
    )


def _decode_enum(hint: type[Enum], value: object, path: str) -> Enum:
    try:
        return hint(value)
    except ValueError as error:
        allowed = ", ".join(str(item.value) for item in hint)
        raise DecodeError(path, f"found {value!r}, want one of {allowed}") from error


def _decode_float(value: object, path: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(path, f"found {_type_name(value)}, want a number")
    try:
        number = float(value)
    except OverflowError as error:
        raise DecodeError(path, "number exceeds the range of a float") from error
    if not math.isfinite(number):
        raise DecodeError(path, f"found {number}, want a finite number")
    return number


def encode(message: object) -> dict[str, Any]:
    """Convert a dataclass to a JSON object; fields with default values are left out."""
    value = {}
    for name, (item, _) in _class_fields(type(message)).items():
        field_value = getattr(message, name)
        if item.default is MISSING or field_value != item.default:
            value[name] = _encode_value(field_value)
    return value


def _encode_value(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_encode_value(item) for item in value]
    if isinstance(value, str | int | float):
        return value
    return encode(value)


def _type_name(value: object) -> str:
    return "null" if isinstance(value, types.NoneType) else type(value).__name__
