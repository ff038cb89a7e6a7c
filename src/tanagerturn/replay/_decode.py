"""Turns JSON objects into dataclasses, strictly, and back."""

from __future__ import annotations

import math
import types
from dataclasses import MISSING, Field, fields
from enum import Enum
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

T = TypeVar("T")


class DecodeError(ValueError):
    """A value is not what its field allows.

    Args:
        path: Path of the field.
        reason: What was found and what is allowed.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        """Path of the field."""
        self.reason = reason
        """What was found and what is allowed."""


_known_fields: dict[type, dict[str, tuple[Field[Any], Any]]] = {}


def _fields_of(kind: type) -> dict[str, tuple[Field[Any], Any]]:
    """Return field and type by name; types are resolved once for each class."""
    if kind not in _known_fields:
        hints = get_type_hints(kind)
        found = {item.name: (item, hints[item.name]) for item in fields(kind)}
        _known_fields[kind] = found
    return _known_fields[kind]


def decode(kind: type[T], value: object, path: str = "") -> T:
    """Build a dataclass from a JSON object.

    Args:
        kind: Dataclass to build.
        value: Parsed JSON.
        path: Path of the value, for errors.

    Returns:
        The dataclass.

    Raises:
        DecodeError: A key is unknown or missing, or a value has a wrong type.
    """
    if not isinstance(value, dict):
        raise DecodeError(path, f"found {_name(value)}, want an object")
    known = _fields_of(kind)
    unknown = [str(key) for key in value if key not in known]
    if unknown:
        raise DecodeError(path, f"unknown keys {', '.join(sorted(unknown))}")
    given = {}
    for name, (item, hint) in known.items():
        field_path = f"{path}.{name}" if path else name
        if name in value:
            given[name] = _decode_value(hint, value[name], field_path)
        elif item.default is MISSING and item.default_factory is MISSING:
            raise DecodeError(field_path, "is missing")
    return kind(**given)


def _decode_value(hint: Any, value: object, path: str) -> object:
    if get_origin(hint) is tuple:
        return _decode_items(get_args(hint)[0], value, path)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _decode_enum(hint, value, path)
    if hint is float:
        return _decode_float(value, path)
    if hint in (int, str, bool):
        if type(value) is not hint:
            raise DecodeError(path, f"found {_name(value)}, want {hint.__name__}")
        return value
    return decode(hint, value, path)


def _decode_items(hint: Any, value: object, path: str) -> tuple[object, ...]:
    if not isinstance(value, list):
        raise DecodeError(path, f"found {_name(value)}, want a list")
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
        raise DecodeError(path, f"found {_name(value)}, want a number")
    try:
        number = float(value)
    except OverflowError as error:
        raise DecodeError(path, "number is too large") from error
    if not math.isfinite(number):
        raise DecodeError(path, f"found {number}, want a finite number")
    return number


def encode(message: object) -> dict[str, Any]:
    """Turn a dataclass into a JSON object, without fields at their default."""
    value = {}
    for name, (item, _) in _fields_of(type(message)).items():
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


def _name(value: object) -> str:
    return "null" if isinstance(value, types.NoneType) else type(value).__name__
