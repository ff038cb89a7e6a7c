"""Lets the C allocator return freed buffers to the operating system."""

from __future__ import annotations

import ctypes
from functools import cache
from typing import Final

M_TRIM_THRESHOLD: Final = -1
M_MMAP_THRESHOLD: Final = -3
"""Parameters of glibc's `mallopt`."""

MMAP_THRESHOLD_BYTES: Final = 32 * 1024
"""Size from which a buffer is a mapping of its own, which is returned when it is freed.
glibc raises its threshold to the size of the largest freed buffer unless it is set:
memory stayed at 288 MB after all callers had disconnected. With 128 KiB, growing
bodies left holes of about 20 MB in the heap."""


def set_up_heap() -> None:
    """Fix the allocator's thresholds; without effect unless the C library is glibc."""
    library = _library()
    if library is not None:
        library.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, MMAP_THRESHOLD_BYTES)


def trim_heap() -> None:
    """Return free pages in the middle of the heap to the operating system."""
    library = _library()
    if library is not None:
        library.malloc_trim(0)


@cache
def _library() -> ctypes.CDLL | None:
    library = ctypes.CDLL(None)
    has_both = hasattr(library, "mallopt") and hasattr(library, "malloc_trim")
    return library if has_both else None
