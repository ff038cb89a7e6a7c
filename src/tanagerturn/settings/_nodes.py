"""YAML documents as nodes that remember where each value was written."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import yaml

from tanagerturn.settings.faults import Fault, Place, SettingsError

LOADER: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""The C parser where PyYAML has it: changes are merged at every process."""

DOCUMENT_LIMIT_BYTES: Final = 4 * 1024 * 1024
DEPTH_LIMIT: Final = 32

Scalar = str | int | float | bool | None


@dataclass
class Node:
    """A YAML value with its place."""

    value: dict[str, Node] | list[Node] | Scalar
    """Mapping, list or scalar."""
    place: Place
    """Where the value was written."""

    def describe(self) -> str:
        """Return the value in a few words, for messages."""
        if isinstance(self.value, dict):
            return "a mapping"
        if isinstance(self.value, list):
            return f"a list of {len(self.value)}"
        if self.value is None:
            return "nothing"
        return repr(self.value)


def parse_document(text: str, file: str) -> Node:
    """Parse one YAML document.

    Args:
        text: The document.
        file: Name for messages.

    Returns:
        The top node; an empty mapping for an empty document.

    Raises:
        SettingsError: The text is not YAML, too large, too deep, repeats a key,
            or uses aliases or tags.
    """
    if len(text.encode("utf-8", "surrogatepass")) > DOCUMENT_LIMIT_BYTES:
        _refuse(Place(file, 1), "a larger document", f"{DOCUMENT_LIMIT_BYTES} bytes")
    try:
        _check_events(text, file)
        top = yaml.compose(text, Loader=LOADER)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        found = getattr(error, "problem", None) or "unreadable text"
        raise SettingsError(
            [Fault(Place(file, line), "", str(found), "a YAML document")]
        ) from error
    if top is None:
        return Node({}, Place(file, 1))
    return _convert(top, file)


def _check_events(text: str, file: str) -> None:
    # Aliases can blow a small text up, and deep nesting exhausts the stack.
    depth = 0
    for event in yaml.parse(text, Loader=LOADER):
        place = Place(file, event.start_mark.line + 1 if event.start_mark else 1)
        if isinstance(event, yaml.AliasEvent):
            _refuse(place, "an alias", "values written out")
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > DEPTH_LIMIT:
            _refuse(place, "deeper nesting", f"{DEPTH_LIMIT} levels")


def _refuse(place: Place, found: str, allowed: str) -> None:
    raise SettingsError([Fault(place, "", found, allowed)])


def _convert(node: yaml.Node, file: str) -> Node:
    place = Place(file, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        return Node(_convert_mapping(node, file), place)
    if isinstance(node, yaml.SequenceNode):
        return Node([_convert(child, file) for child in node.value], place)
    return Node(_convert_scalar(node, place), place)


def _convert_mapping(node: yaml.MappingNode, file: str) -> dict[str, Node]:
    values: dict[str, Node] = {}
    for key, child in node.value:
        place = Place(file, key.start_mark.line + 1)
        if not isinstance(key, yaml.ScalarNode):
            _refuse(place, "a key that is not text", "a text key")
        if key.value in values:
            _refuse(place, f"the key {key.value!r} twice", "each key once")
        values[key.value] = _convert(child, file)
    return values


def _convert_scalar(node: yaml.Node, place: Place) -> Scalar:
    kinds = ("str", "int", "float", "bool", "null")
    if node.tag not in {f"tag:yaml.org,2002:{kind}" for kind in kinds}:
        # Dates and the like are kept as the text that was written.
        return str(node.value)
    constructor = yaml.constructor.SafeConstructor()
    try:
        value: Scalar = constructor.construct_object(node)
    except (ValueError, yaml.YAMLError):
        _refuse(place, repr(node.value), "a plain value")
    return value
