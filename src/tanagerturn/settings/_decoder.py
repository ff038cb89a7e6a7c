"""Decodes nodes into protobuf messages and validates them against the schema.

The field option `tanagerturn.schema.allowed` states what each field may hold.
"""

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
"""Type of field descriptors; those of protobuf's Python and C implementations have no
common base class."""

INTEGER_RANGES: Final = {
    FieldDescriptor.TYPE_UINT32: (0, 2**32 - 1),
    FieldDescriptor.TYPE_UINT64: (0, 2**64 - 1),
    FieldDescriptor.TYPE_INT32: (-(2**31), 2**31 - 1),
    FieldDescriptor.TYPE_INT64: (-(2**63), 2**63 - 1),
}
"""Smallest and largest value of each integer type of protobuf."""

Origins = dict[str, Place]
"""Maps key paths to the position of the value: in a file, or as a default."""


def field_constraints(field: Field) -> options_pb2.Allowed:
    """Return the option `allowed` of a field: its constraints and its default."""
    allowed: options_pb2.Allowed = field.GetOptions().Extensions[options_pb2.allowed]
    return allowed


@cache
def key_field(message: Any) -> Field | None:
    """Return the field that names a message in a list; None if there is no such field.

    Args:
        message: Descriptor of the message.
    """
    return next((f for f in message.fields if field_constraints(f).key), None)


def enum_values_by_name(enum: Any) -> dict[str, int]:
    """Return the numbers of an enum's values by their names in settings files.

    The names are in lower case; value 0 (unspecified) is left out.

    Args:
        enum: Descriptor of the enum.
    """
    return {value.name.lower(): value.number for value in enum.values if value.number}


class MessageDecoder:
    """Decodes nodes into messages and collects faults and origins."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        """Faults found in all messages so far."""
        self.origins: Origins = {}
        """Position of each decoded value by its key path."""

    def decode(self, message: Message, node: Node, path: str = "") -> None:
        """Decode a node into a message; fields that the node lacks get their defaults.

        Args:
            message: Message whose fields are set.
            node: Node of the message, which must be a mapping.
            path: Key path of the node, for faults and origins; empty for the
                document's root.
        """
        if not isinstance(node.value, dict):
            self._add_node_fault(node, path, "a mapping")
            return
        fields = message.DESCRIPTOR.fields_by_name
        for key, child in node.value.items():
            if key not in fields:
                child_path = _join_path(path, key)
                self._add_fault(child.place, child_path, "an unknown key", fields)
        for name, field in fields.items():
            child_path = _join_path(path, name)
            value_node = node.value.get(name)
            if value_node is None:
                self._decode_absent(message, field, node.place, child_path)
            else:
                self._decode_field(message, field, value_node, child_path)

    def _decode_absent(
        self, message: Message, field: Field, place: Place, path: str
    ) -> None:
        allowed = field_constraints(field)
        if allowed.required:
            self._add_fault(place, path, "no value", ["a value (required)"])
            return
        if allowed.default:
            self._decode_field(message, field, _default_node(field), path)
            return
        if allowed.optional_part:
            return
        is_message = field.type == FieldDescriptor.TYPE_MESSAGE
        if is_message and not field.is_repeated and _has_no_required_field(field):
            submessage = getattr(message, field.name)
            submessage.SetInParent()
            self.decode(submessage, Node({}, Place("default", 0)), path)

    def _decode_field(
        self, message: Message, field: Field, node: Node, path: str
    ) -> None:
        if field.is_repeated:
            self._decode_list(message, field, node, path)
            return
        if field.type == FieldDescriptor.TYPE_MESSAGE:
            submessage = getattr(message, field.name)
            submessage.SetInParent()
            self.decode(submessage, node, path)
            return
        value = self._decode_scalar(field, node, path)
        if value is not None:
            setattr(message, field.name, value)
            self.origins[path] = node.place

    def _decode_list(
        self, message: Message, field: Field, node: Node, path: str
    ) -> None:
        if not isinstance(node.value, list):
            self._add_node_fault(node, path, "a list")
            return
        if field_constraints(field).required and not node.value:
            self._add_node_fault(node, path, "at least one entry")
        entries: Any = getattr(message, field.name)
        seen_paths: set[str] = set()
        for index, child in enumerate(node.value):
            child_path = f"{path}[{entry_name(field, child) or index}]"
            if child_path in seen_paths:
                self._add_fault(
                    child.place, child_path, "a duplicate entry", ["each name once"]
                )
            seen_paths.add(child_path)
            if field.type == FieldDescriptor.TYPE_MESSAGE:
                self.decode(entries.add(), child, child_path)
                continue
            value = self._decode_scalar(field, child, child_path)
            if value is not None:
                entries.append(value)
                self.origins[child_path] = child.place

    def _decode_scalar(self, field: Field, node: Node, path: str) -> Any:
        if isinstance(node.value, dict | list) or node.value is None:
            self._add_node_fault(node, path, _describe_allowed(field))
            return None
        value: Any
        if field.type == FieldDescriptor.TYPE_ENUM:
            names = enum_values_by_name(field.enum_type)
            value = names.get(str(node.value).lower())
        elif field.type == FieldDescriptor.TYPE_BOOL:
            value = node.value if isinstance(node.value, bool) else None
        elif field.type == FieldDescriptor.TYPE_STRING:
            value = _validated_string(field, node.value)
        else:
            value = _validated_number(field, node.value)
        if value is None:
            self._add_node_fault(node, path, _describe_allowed(field))
        return value

    def _add_node_fault(self, node: Node, path: str, allowed: str) -> None:
        self.faults.append(Fault(node.place, path, node.describe(), allowed))

    def _add_fault(self, place: Place, path: str, found: str, allowed: Any) -> None:
        self.faults.append(Fault(place, path, found, ", ".join(allowed)))


def entry_name(field: Field, node: Node) -> str:
    """Return the name of a list entry; empty if the entry has no name.

    Args:
        field: Descriptor of the list.
        node: Node of the entry.
    """
    if field.type != FieldDescriptor.TYPE_MESSAGE or not isinstance(node.value, dict):
        return ""
    key = key_field(field.message_type)
    if key is None or key.name not in node.value:
        return ""
    return str(node.value[key.name].value)


@cache
def _default_node(field: Field) -> Node:
    return Node(yaml.safe_load(field_constraints(field).default), Place("default", 0))


@cache
def _has_no_required_field(field: Field) -> bool:
    return not any(field_constraints(f).required for f in field.message_type.fields)


def _validated_string(field: Field, value: Any) -> str | None:
    if not isinstance(value, str):
        return None
    pattern = field_constraints(field).pattern
    if pattern and not re.fullmatch(pattern, value):
        return None
    return value


def _validated_number(field: Field, value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    allowed = field_constraints(field)
    if field.type in INTEGER_RANGES:
        low, high = INTEGER_RANGES[field.type]
        if not isinstance(value, int) or not low <= value <= high:
            return None
    elif not math.isfinite(value):
        return None
    if allowed.HasField("min") and value < allowed.min:
        return None
    if allowed.HasField("max") and value > allowed.max:
        return None
    return value  # type: ignore[no-any-return]


def _describe_allowed(field: Field) -> str:
    allowed = field_constraints(field)
    if field.type == FieldDescriptor.TYPE_ENUM:
        return "one of " + ", ".join(enum_values_by_name(field.enum_type))
    if field.type == FieldDescriptor.TYPE_BOOL:
        return "true or false"
    if field.type == FieldDescriptor.TYPE_STRING:
        return f"text that matches {allowed.pattern}" if allowed.pattern else "text"
    kind = "a whole number" if field.type in INTEGER_RANGES else "a number"
    low = f" from {allowed.min:g}" if allowed.HasField("min") else ""
    high = f" to {allowed.max:g}" if allowed.HasField("max") else ""
    unit = f" {allowed.unit}" if allowed.unit else ""
    return f"{kind}{low}{high}{unit}"


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
