"""The text that stand-in engines generate.

Token i of a completion depends only on the prompt and on i. A stream that is resumed
on another engine therefore continues with the same text, and a whole completion can
be compared with `expected_text`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.serving.cache.blocks import BLOCK_CHARACTERS, CHARACTERS_PER_TOKEN

if TYPE_CHECKING:
    from collections.abc import Iterable

TOKEN_CHARACTERS: Final = 8
"""Length of each generated token, in characters."""


def count_prompt_tokens(text: str) -> int:
    """Return the number of tokens of a prompt, at least 1."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def prompt_digest(text: str) -> str:
    """Return the hash of a whole prompt as 16 hexadecimal digits."""
    return xxhash.xxh64_hexdigest(text.encode())


def token_text(digest: str, index: int) -> str:
    """Return one token of a completion.

    Args:
        digest: `prompt_digest` of the prompt.
        index: Index of the token, from 0.
    """
    hashed = xxhash.xxh64_hexdigest(f"{digest}:{index}".encode())
    return hashed[: TOKEN_CHARACTERS - 1] + " "


def tokens_text(digest: str, offset: int, count: int) -> str:
    """Return consecutive tokens of a completion.

    Args:
        digest: `prompt_digest` of the prompt.
        offset: Index of the first token, from 0.
        count: Number of tokens.
    """
    return "".join(token_text(digest, i) for i in range(offset, offset + count))


def expected_text(prompt: str, count: int) -> str:
    """Return the whole completion of a prompt, `count` tokens long."""
    return tokens_text(prompt_digest(prompt), 0, count)


def build_prompt(blocks: Iterable[str], characters: int, tail: str) -> str:
    """Build a prompt from prefix blocks that other prompts may have in common.

    Args:
        blocks: Name of each block; equal names give equal text.
        characters: Length of the prompt; longer blocks are truncated.
        tail: Non-empty text that follows the blocks, repeated to fill the length.

    Returns:
        A text of exactly `characters` characters.
    """
    parts = [(f"{name} " * BLOCK_CHARACTERS)[:BLOCK_CHARACTERS] for name in blocks]
    text = "".join(parts)
    tail_length = characters - len(text)
    if tail_length > 0:
        text += (f"{tail} " * (tail_length // (len(tail) + 1) + 1))[:tail_length]
    return text[:characters]
