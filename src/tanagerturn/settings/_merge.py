"""Merges an overlay's nodes over a base's nodes.

Rules: a mapping is merged key by key; a list of named entries is merged entry
by entry, new entries go to the end, and an entry with `remove: true` is taken
out; any other value of the overlay replaces the base's.
"""

from __future__ import annotations

from typing import Any, Final

from google.protobuf.descriptor import FieldDescriptor

from tanagerturn.settings._fill import Field, entry_name, key_field
from tanagerturn.settings._nodes import Node
from tanagerturn.settings.faults import Fault

REMOVE_KEY: Final = "remove"


class Merger:
    """Merges nodes by a message's descriptor and gathers faults."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        """Faults found so far."""

    def merge(self, message: Any, base: Node, overlay: Node) -> Node:
        """Merge two mappings of one message.

        Args:
            message: Any of the message that both describe.
            base: Lower layer.
            overlay: Upper layer; it wins.

        Returns:
            The merged node; neither input is changed.
        """
        if not isinstance(base.value, dict) or not isinstance(overlay.value, dict):
            return overlay
        merged = dict(base.value)
        for key, node in overlay.value.items():
            field = message.fields_by_name.get(key)
            if field is None or key not in merged:
                merged[key] = self._without_removals(field, node, key)
            else:
                merged[key] = self._merge_field(field, merged[key], node, key)
        return Node(merged, base.place)

    def _merge_field(self, field: Field, base: Node, overlay: Node, path: str) -> Node:
        if field.type != FieldDescriptor.TYPE_MESSAGE:
            return overlay
        if not field.is_repeated:
            return self.merge(field.message_type, base, overlay)
        if key_field(field.message_type) is None:
            return overlay
        return self._merge_entries(field, base, overlay, path)

    def _merge_entries(
        self, field: Field, base: Node, overlay: Node, path: str
    ) -> Node:
        if not isinstance(base.value, list) or not isinstance(overlay.value, list):
            return overlay
        entries = {entry_name(field, node) or f"#{i}": node
                   for i, node in enumerate(base.value)}  # fmt: skip
        seen: set[str] = set()
        for index, node in enumerate(overlay.value):
            name = entry_name(field, node) or f"#overlay{index}"
            if name in seen:
                self._fault(node, f"{path}[{name}]", "the name twice", "once")
            seen.add(name)
            if _is_removal(node):
                if entries.pop(name, None) is None:
                    allowed = "the name of an entry of the base"
                    self._fault(node, f"{path}[{name}]", "a removal", allowed)
            elif name in entries:
                entries[name] = self.merge(field.message_type, entries[name], node)
            else:
                entries[name] = node
        return Node(list(entries.values()), base.place)

    def _without_removals(self, field: Field | None, node: Node, path: str) -> Node:
        if field is None or not isinstance(node.value, list):
            return node
        for child in node.value:
            if _is_removal(child):
                self._fault(child, path, "a removal", "an entry of the base")
        return node

    def _fault(self, node: Node, path: str, found: str, allowed: str) -> None:
        self.faults.append(Fault(node.place, path, found, allowed))


def _is_removal(node: Node) -> bool:
    if not isinstance(node.value, dict):
        return False
    removal = node.value.get(REMOVE_KEY)
    return removal is not None and removal.value is True
