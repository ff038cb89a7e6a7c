"""Hypothesis strategies for protobuf messages, JSON values and mutated bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from google.protobuf.descriptor import FieldDescriptor as Fd
from hypothesis import strategies as st

if TYPE_CHECKING:
    from google.protobuf.message import Message

SCALAR_STRATEGIES = {
    Fd.CPPTYPE_INT32: st.integers(-(2**31), 2**31 - 1),
    Fd.CPPTYPE_INT64: st.integers(-(2**63), 2**63 - 1),
    Fd.CPPTYPE_UINT32: st.sampled_from([0, 1, 2, 7, 2**32 - 1]),
    Fd.CPPTYPE_UINT64: st.sampled_from([0, 1, 2, 3, 9, 2**63, 2**64 - 1]),
    Fd.CPPTYPE_DOUBLE: st.floats(),
    Fd.CPPTYPE_FLOAT: st.floats(width=32),
    Fd.CPPTYPE_BOOL: st.booleans(),
}
TEXTS = st.sampled_from(["", "a", "control", "requests", "127.0.0.1:9", "é" * 300])
MAX_DEPTH = 4


@st.composite
def messages(draw: Any, message_class: type[Message], depth: int = 0) -> Message:
    """Draw a message in which a random subset of the fields has arbitrary values."""
    message = message_class()
    for field in message_class.DESCRIPTOR.fields:
        if not draw(st.booleans()):
            continue
        if field.message_type is not None and depth >= MAX_DEPTH:
            continue
        count = draw(st.integers(0, 3)) if field.is_repeated else 1
        for _ in range(count):
            _set_field(draw, message, field, depth)
    return message


def _set_field(draw: Any, message: Message, field: Fd, depth: int) -> None:
    if field.message_type is not None:
        inner = draw(messages(field.message_type._concrete_class, depth + 1))
        if field.is_repeated:
            getattr(message, field.name).append(inner)
        else:
            getattr(message, field.name).CopyFrom(inner)
        return
    value = draw(_scalar_strategy(field))
    if field.is_repeated:
        getattr(message, field.name).append(value)
    else:
        setattr(message, field.name, value)


def _scalar_strategy(field: Fd) -> st.SearchStrategy[Any]:
    if field.type == Fd.TYPE_BYTES:
        return st.binary(max_size=40)
    if field.cpp_type == Fd.CPPTYPE_STRING:
        return TEXTS
    if field.cpp_type == Fd.CPPTYPE_ENUM:
        return st.sampled_from([value.number for value in field.enum_type.values])
    return SCALAR_STRATEGIES[field.cpp_type]


@st.composite
def mutated(draw: Any, original: bytes) -> bytes:
    """Draw a copy of the original bytes with one range replaced."""
    start = draw(st.integers(0, len(original)))
    length = draw(st.integers(0, 60))
    replacement = draw(st.one_of(st.binary(max_size=30), st.just(original[:200])))
    return original[:start] + replacement + original[start + length :]


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.floats() | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["choices", "text", "delta", "tanager", "offset", "tokens", "usage",
                 "attempt", "model", "prompt", "messages", "stream", "max_tokens"]
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)  # fmt: skip
"""JSON values whose objects have keys that the readers know, with any type."""
