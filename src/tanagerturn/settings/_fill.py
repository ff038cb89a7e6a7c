"""Checks nodes against a message's descriptor and fills the message."""

from __future__ import annotations

import math
import re
from functools import cache
from typing import TYPE_CHECKING, Any, Final

import yaml
from google.protobuf.descriptor import FieldDescriptor

from tanagerturn.schema import options_pb2
from tanagerturn.settings._nodes import Node
from tanagerturn.settings.faults import Fault, Place

if TYPE_CHECKING:
    from google.protobuf.message import Message

Field = Any
"""A field descriptor; protobuf's two implementations share no base class."""

INTEGER_TYPES: Final = {
    FieldDescriptor.TYPE_UINT32: (0, 2**32 - 1),
    FieldDescriptor.TYPE_UINT64: (0, 2**64 - 1),
    FieldDescriptor.TYPE_INT32: (-(2**31), 2**31 - 1),
    FieldDescriptor.TYPE_INT64: (-(2**63), 2**63 - 1),
}

Origins = dict[str, Place]
"""Key path to the place where its value was written."""


def allowed_of(field: Field) -> options_pb2.Allowed:
    """Return what the schema allows for a field."""
    allowed: options_pb2.Allowed = field.GetOptions().Extensions[options_pb2.allowed]
    return allowed


@cache
def key_field(message: Any) -> Field | None:
    """Return the field that names entries of a list of this message."""
    return next((f for f in message.fields if allowed_of(f).key), None)


def enum_names(enum: Any) -> dict[str, int]:
    """Return the settings' names of an enum's values."""
    return {value.name.lower(): value.number for value in enum.values if value.number}


class Filler:
    """Fills messages from nodes and gathers faults and origins."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        """Faults found so far."""
        self.origins: Origins = {}
        """Where each value that was set had been written."""

    def fill(self, message: Message, node: Node, path: str = "") -> None:
        """Fill a message from a mapping node.

        Args:
            message: Message to fill.
            node: Node with the values.
            path: Key path of the node, for faults.
        """
        if not isinstance(node.value, dict):
            self._fault(node, path, "a mapping")
            return
        fields = message.DESCRIPTOR.fields_by_name
        for key, child in node.value.items():
            if key not in fields:
                child_path = _join(path, key)
                self._fault_text(child.place, child_path, "an unknown key", fields)
        for name, field in fields.items():
            child_path = _join(path, name)
            present = node.value.get(name)
            if present is None:
                self._fill_absent(message, field, node.place, child_path)
            else:
                self._fill_field(message, field, present, child_path)

    def _fill_absent(
        self, message: Message, field: Field, place: Place, path: str
    ) -> None:
        allowed = allowed_of(field)
        if allowed.required:
            self._fault_text(place, path, "nothing", ["a value; it is required"])
            return
        if allowed.default:
            self._fill_field(message, field, _default_of(field), path)
            return
        if allowed.optional_part:
            return
        is_message = field.type == FieldDescriptor.TYPE_MESSAGE
        if is_message and not field.is_repeated and _fully_defaulted(field):
            submessage = getattr(message, field.name)
            submessage.SetInParent()
            self.fill(submessage, Node({}, Place("default", 0)), path)

    def _fill_field(
        self, message: Message, field: Field, node: Node, path: str
    ) -> None:
        if field.is_repeated:
            self._fill_list(message, field, node, path)
            return
        if field.type == FieldDescriptor.TYPE_MESSAGE:
            submessage = getattr(message, field.name)
            submessage.SetInParent()
            self.fill(submessage, node, path)
            return
        value = self._scalar(field, node, path)
        if value is not None:
            setattr(message, field.name, value)
            self.origins[path] = node.place

    def _fill_list(self, message: Message, field: Field, node: Node, path: str) -> None:
        if not isinstance(node.value, list):
            self._fault(node, path, "a list")
            return
        if allowed_of(field).required and not node.value:
            self._fault(node, path, "at least one entry")
        target: Any = getattr(message, field.name)
        seen: set[str] = set()
        for index, child in enumerate(node.value):
            child_path = f"{path}[{entry_name(field, child) or index}]"
            if child_path in seen:
                self._fault_text(child.place, child_path, "the name twice", ["once"])
            seen.add(child_path)
            if field.type == FieldDescriptor.TYPE_MESSAGE:
                self.fill(target.add(), child, child_path)
                continue
            value = self._scalar(field, child, child_path)
            if value is not None:
                target.append(value)
                self.origins[child_path] = child.place

    def _scalar(self, field: Field, node: Node, path: str) -> Any:
        if isinstance(node.value, dict | list) or node.value is None:
            self._fault(node, path, _wanted(field))
            return None
        value: Any
        if field.type == FieldDescriptor.TYPE_ENUM:
            names = enum_names(field.enum_type)
            value = names.get(str(node.value).lower())
        elif field.type == FieldDescriptor.TYPE_BOOL:
            value = node.value if isinstance(node.value, bool) else None
        elif field.type == FieldDescriptor.TYPE_STRING:
            value = _checked_text(field, node.value)
        else:
            value = _checked_number(field, node.value)
        if value is None:
            self._fault(node, path, _wanted(field))
        return value

    def _fault(self, node: Node, path: str, allowed: str) -> None:
        self.faults.append(Fault(node.place, path, node.describe(), allowed))

    def _fault_text(self, place: Place, path: str, found: str, allowed: Any) -> None:
        self.faults.append(Fault(place, path, found, ", ".join(allowed)))


def entry_name(field: Field, node: Node) -> str:
    """Return the name of a list's entry, or an empty text when it has none."""
    if field.type != FieldDescriptor.TYPE_MESSAGE or not isinstance(node.value, dict):
        return ""
    key = key_field(field.message_type)
    if key is None or key.name not in node.value:
        return ""
    return str(node.value[key.name].value)


@cache
def _default_of(field: Field) -> Node:
    return Node(yaml.safe_load(allowed_of(field).default), Place("default", 0))


@cache
def _fully_defaulted(field: Field) -> bool:
    return not any(allowed_of(f).required for f in field.message_type.fields)


def _checked_text(field: Field, value: Any) -> str | None:
    if not isinstance(value, str):
        return None
    pattern = allowed_of(field).pattern
    if pattern and not re.fullmatch(pattern, value):
        return None
    return value


def _checked_number(field: Field, value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    allowed = allowed_of(field)
    if field.type in INTEGER_TYPES:
        low, high = INTEGER_TYPES[field.type]
        if not isinstance(value, int) or not low <= value <= high:
            return None
    elif not math.isfinite(value):
        return None
    if allowed.HasField("min") and value < allowed.min:
        return None
    if allowed.HasField("max") and value > allowed.max:
        return None
    return value  # type: ignore[no-any-return]


def _wanted(field: Field) -> str:
    allowed = allowed_of(field)
    if field.type == FieldDescriptor.TYPE_ENUM:
        return "one of " + ", ".join(enum_names(field.enum_type))
    if field.type == FieldDescriptor.TYPE_BOOL:
        return "true or false"
    if field.type == FieldDescriptor.TYPE_STRING:
        return f"text like {allowed.pattern}" if allowed.pattern else "text"
    kind = "a whole number" if field.type in INTEGER_TYPES else "a number"
    low = f" from {allowed.min:g}" if allowed.HasField("min") else ""
    high = f" to {allowed.max:g}" if allowed.HasField("max") else ""
    unit = f" {allowed.unit}" if allowed.unit else ""
    return f"{kind}{low}{high}{unit}"


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
