"""Parses YAML documents into nodes that hold the line number of each value."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import yaml

from tanagerturn.settings.faults import Fault, Place, SettingsError

YAML_LOADER: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""PyYAML's C loader if installed, as every process parses each settings change."""

MAX_DOCUMENT_BYTES: Final = 4 * 1024 * 1024
MAX_NESTING_DEPTH: Final = 32
"""Largest number of mappings and lists inside each other."""

Scalar = str | int | float | bool | None


@dataclass
class Node:
    """A YAML value with its position."""

    value: dict[str, Node] | list[Node] | Scalar
    """Mapping of keys to nodes, list of nodes, or scalar; None for null."""
    place: Place
    """Position of the value."""

    def describe(self) -> str:
        """Return a short description of the value, for `Fault.found`."""
        if isinstance(self.value, dict):
            return "a mapping"
        if isinstance(self.value, list):
            return f"a list of length {len(self.value)}"
        if self.value is None:
            return "no value"
        return repr(self.value)


def parse_document(text: str, file: str) -> Node:
    """Parse one YAML document.

    Args:
        text: Text of the document.
        file: Path or name of the file, for the positions of nodes.

    Returns:
        The root node; an empty mapping for an empty document.

    Raises:
        SettingsError: The text is not YAML, is too large, is nested too deeply,
            repeats a key or uses aliases.
    """
    if len(text.encode("utf-8", "surrogatepass")) > MAX_DOCUMENT_BYTES:
        _raise_fault(
            Place(file, 1),
            "a document that is too large",
            f"at most {MAX_DOCUMENT_BYTES} bytes",
        )
    try:
        _check_events(text, file)
        top = yaml.compose(text, Loader=YAML_LOADER)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        found = getattr(error, "problem", None) or "text that is not YAML"
        raise SettingsError(
            [Fault(Place(file, line), "", str(found), "a YAML document")]
        ) from error
    if top is None:
        return Node({}, Place(file, 1))
    return _convert(top, file)


def _check_events(text: str, file: str) -> None:
    # The parser's events are checked before nodes are built: aliases can expand a
    # small text to a huge document, and deep nesting exhausts the stack.
    depth = 0
    for event in yaml.parse(text, Loader=YAML_LOADER):
        place = Place(file, event.start_mark.line + 1 if event.start_mark else 1)
        if isinstance(event, yaml.AliasEvent):
            _raise_fault(place, "an alias", "values written out in full")
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_NESTING_DEPTH:
            _raise_fault(
                place,
                f"nesting of {depth} levels",
                f"at most {MAX_NESTING_DEPTH} levels",
            )


def _raise_fault(place: Place, found: str, allowed: str) -> None:
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
            _raise_fault(place, "a mapping or list as a key", "a scalar as a key")
        if key.value in values:
            _raise_fault(place, f"the duplicate key {key.value!r}", "each key once")
        values[key.value] = _convert(child, file)
    return values


def _convert_scalar(node: yaml.Node, place: Place) -> Scalar:
    scalar_types = ("str", "int", "float", "bool", "null")
    if node.tag not in {f"tag:yaml.org,2002:{kind}" for kind in scalar_types}:
        # Scalars of other types, such as dates, become strings with the text as
        # written in the file.
        return str(node.value)
    constructor = yaml.constructor.SafeConstructor()
    try:
        value: Scalar = constructor.construct_object(node)
    except (ValueError, yaml.YAMLError):
        _raise_fault(place, repr(node.value), "a string, number, boolean or null")
    return value
