"""Hashes of prefix blocks, each computed with the hash of the previous block."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NewType

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

BlockHash = NewType("BlockHash", str)
"""Hash of a block and all blocks before it, as 16 hexadecimal digits."""

BLOCK_CHARACTERS: Final = 256
"""Number of characters in a block; not in tokens, which are unknown at the gateway."""

CHARACTERS_PER_TOKEN: Final = 4
"""Assumed mean length of a token, in characters."""

BLOCK_TOKENS: Final = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
"""Assumed number of tokens in a block."""

MAX_BLOCKS: Final = 512
"""Maximum number of blocks hashed per prompt; later text does not affect routing."""


def cache_seed(model: str, version: str, adapter: str = "") -> str:
    """Return the hash seed of a model, version and adapter.

    Prompts for different models, versions or adapters share no cached blocks.
    """
    return f"{model}@{version}+{adapter}"


def hash_text_blocks(text: str, seed: str = "") -> list[BlockHash]:
    """Return the chained hashes of the full blocks of a text, at most `MAX_BLOCKS`.

    Args:
        text: Text of the prompt.
        seed: Seed from `cache_seed`; with different seeds, equal texts get different
            hashes.
    """
    data = text[: BLOCK_CHARACTERS * MAX_BLOCKS]
    chunks = [
        data[start : start + BLOCK_CHARACTERS].encode()
        for start in range(0, len(data) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS)
    ]
    return chain_hashes(chunks, seed)


def chain_hashes(chunks: Sequence[bytes], seed: str = "") -> list[BlockHash]:
    """Return one hash per block, computed from the block and all blocks before it.

    Args:
        chunks: Contents of the blocks.
        seed: Text that is hashed before the first block.
    """
    hashes = []
    previous = xxhash.xxh3_64_intdigest(seed.encode())
    for chunk in chunks:
        previous = xxhash.xxh3_64_intdigest(chunk, seed=previous)
        hashes.append(BlockHash(f"{previous:016x}"))
    return hashes
