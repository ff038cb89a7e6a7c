"""The text that stand-in engines generate.

Token number i of an answer depends on the prompt and on i only. A stream that is
resumed on another engine goes on with the same text, and a whole answer can be
compared with `expected_text`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.serving.cache.blocks import BLOCK_CHARACTERS, CHARACTERS_PER_TOKEN

if TYPE_CHECKING:
    from collections.abc import Iterable

TOKEN_CHARACTERS: Final = 8
"""Characters of each generated token."""


def count_prompt_tokens(text: str) -> int:
    """Count the tokens of a prompt, at least one."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def prompt_digest(text: str) -> str:
    """Return the hash of a whole prompt, 16 hexadecimal digits."""
    return xxhash.xxh64_hexdigest(text.encode())


def token_text(digest: str, index: int) -> str:
    """Return one token of the answer to the prompt with this digest."""
    hashed = xxhash.xxh64_hexdigest(f"{digest}:{index}".encode())
    return hashed[: TOKEN_CHARACTERS - 1] + " "


def tokens_text(digest: str, offset: int, count: int) -> str:
    """Return `count` tokens of an answer from `offset` on."""
    return "".join(token_text(digest, i) for i in range(offset, offset + count))


def expected_text(prompt: str, count: int) -> str:
    """Return the whole answer of `count` tokens to a prompt."""
    return tokens_text(prompt_digest(prompt), 0, count)


def prompt_of_blocks(blocks: Iterable[str], characters: int, tail: str) -> str:
    """Build a prompt text from names of blocks that prompts may share.

    Args:
        blocks: Name of each block; equal names give equal text.
        characters: Length of the whole text.
        tail: Text that follows the blocks, repeated up to the length.

    Returns:
        A text of exactly `characters` characters.
    """
    parts = [(f"{name} " * BLOCK_CHARACTERS)[:BLOCK_CHARACTERS] for name in blocks]
    text = "".join(parts)
    missing = characters - len(text)
    if missing > 0:
        text += (f"{tail} " * (missing // (len(tail) + 1) + 1))[:missing]
    return text[:characters]
