"""Merges the nodes of a site's overlay into the nodes of the base file.

Mappings are merged key by key. Lists of named entries are merged entry by entry: new
entries are appended, and `remove: true` removes an entry of the base. Any other value
of the overlay replaces the value of the base.
"""

from __future__ import annotations

from typing import Any, Final

from google.protobuf.descriptor import FieldDescriptor

from tanagerturn.settings._decoder import Field, entry_name, key_field
from tanagerturn.settings._nodes import Node
from tanagerturn.settings.faults import Fault

REMOVE_KEY: Final = "remove"
"""Key by which an entry of an overlay's list, if set to true, removes the base's entry
of the same name."""


class Merger:
    """Merges nodes by the descriptor of their message, and collects faults."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        """Faults found in all merges so far."""

    def merge(self, message: Any, base: Node, overlay: Node) -> Node:
        """Merge two nodes that describe the same message.

        Args:
            message: Descriptor of the message.
            base: Node of the base file.
            overlay: Node of the overlay; its values take precedence.

        Returns:
            The merged node; the overlay if one of the two nodes is not a mapping. The
            arguments are not changed.
        """
        if not isinstance(base.value, dict) or not isinstance(overlay.value, dict):
            return overlay
        merged = dict(base.value)
        for key, node in overlay.value.items():
            field = message.fields_by_name.get(key)
            if field is None or key not in merged:
                merged[key] = self._report_removals(field, node, key)
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
        seen_names: set[str] = set()
        for index, node in enumerate(overlay.value):
            name = entry_name(field, node) or f"#overlay{index}"
            if name in seen_names:
                self._add_fault(
                    node, f"{path}[{name}]", "a duplicate entry", "each name once"
                )
            seen_names.add(name)
            if _is_removal(node):
                if entries.pop(name, None) is None:
                    allowed = "the name of an entry of the base file"
                    self._add_fault(node, f"{path}[{name}]", "a removal", allowed)
            elif name in entries:
                entries[name] = self.merge(field.message_type, entries[name], node)
            else:
                entries[name] = node
        return Node(list(entries.values()), base.place)

    def _report_removals(self, field: Field | None, node: Node, path: str) -> Node:
        """Report removals in a list that the base lacks; return the node unchanged."""
        if field is None or not isinstance(node.value, list):
            return node
        for child in node.value:
            if _is_removal(child):
                self._add_fault(
                    child,
                    path,
                    "a removal",
                    "only removals of entries of the base file",
                )
        return node

    def _add_fault(self, node: Node, path: str, found: str, allowed: str) -> None:
        self.faults.append(Fault(node.place, path, found, allowed))


def _is_removal(node: Node) -> bool:
    if not isinstance(node.value, dict):
        return False
    removal = node.value.get(REMOVE_KEY)
    return removal is not None and removal.value is True
