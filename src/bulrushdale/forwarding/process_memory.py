"""Memory of this process, and how it is given back to the system."""

import gc
import importlib
import os
import pathlib
import typing

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_STATM = pathlib.Path("/proc/self/statm")
# Of mallopt() in glibc.
_M_MMAP_THRESHOLD = -3
# Larger blocks are given back as soon as they are freed. By default glibc
# raises this to the size of the largest block that was freed, and then keeps
# blocks of that size in its heap.
_MMAP_THRESHOLD_BYTES = 128 << 10


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if it isn't known."""
    try:
        return int(_STATM.read_bytes().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def machine_mb() -> int:
    """Return the memory of this machine, in MB; 0 if it isn't known."""
    try:
        return os.sysconf("SC_PHYS_PAGES") * _PAGE_BYTES >> 20
    except (OSError, ValueError):
        return 0


def _libc() -> typing.Any:
    """Return the C library.

    The module takes some ms to load, which a start doesn't have.
    """
    return importlib.import_module("ctypes").CDLL(None)


def give_back_large_blocks() -> None:
    """Give large blocks back to the system when they are freed."""
    try:
        _libc().mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
    except (OSError, AttributeError):
        # Another C library than glibc.
        return


def give_back_free_memory(*, collect: bool) -> None:
    """Give all free memory back to the system.

    :param collect: whether to free objects in reference cycles before.
    """
    if collect:
        gc.collect()
    try:
        _libc().malloc_trim(0)
    except (OSError, AttributeError):
        return
