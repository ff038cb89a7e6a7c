"""Hashes of prefix blocks: one for each full block, chained to the one before."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NewType

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

BlockHash = NewType("BlockHash", str)
"""Hash of a block and of all before it, as 16 hexadecimal digits."""

BLOCK_CHARACTERS: Final = 256
"""Characters of text in a block when tokens aren't known."""

CHARACTERS_PER_TOKEN: Final = 4
BLOCK_TOKENS: Final = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
BLOCKS_MAX: Final = 512
"""Blocks hashed of one prompt; what follows doesn't decide the routing."""


def cache_seed(model: str, version: str, adapter: str = "") -> str:
    """Return the seed of what runs a prompt: caches aren't shared across it."""
    return f"{model}@{version}+{adapter}"


def text_blocks(text: str, seed: str = "") -> list[BlockHash]:
    """Return the chained hashes of the full blocks of a text.

    Args:
        text: The prompt.
        seed: Model, version and adapter: their caches aren't shared.
    """
    data = text[: BLOCK_CHARACTERS * BLOCKS_MAX]
    runs = [
        data[start : start + BLOCK_CHARACTERS].encode()
        for start in range(0, len(data) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS)
    ]
    return chain(runs, seed)


def chain(runs: Sequence[bytes], seed: str = "") -> list[BlockHash]:
    """Return the hash of each run together with all runs before it."""
    hashes = []
    previous = xxhash.xxh3_64_intdigest(seed.encode())
    for run in runs:
        previous = xxhash.xxh3_64_intdigest(run, seed=previous)
        hashes.append(BlockHash(f"{previous:016x}"))
    return hashes
