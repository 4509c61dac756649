"""Starts an agent within its memory limit; see section 12 of the design."""

import ctypes
import gc
import importlib
import linecache
import sys
from types import ModuleType

# Without keys the agent uses plain-text connections over loopback only, and
# libcrypto with its modules takes 4 MB. The libraries work without these
# modules; `hashlib` then falls back to the interpreter's own functions.
UNUSED_MODULES = ("ssl", "_hashlib")

# Importing this module needs 15 MB temporarily. As the first import it stays
# far below the memory limit and does not fragment the heap.
FIRST_MODULE = "hpack.huffman_table"


def load_agent() -> ModuleType:
    """Import the agent and release the memory that only the import needed."""
    for name in UNUSED_MODULES:
        sys.modules[name] = None  # type: ignore[assignment]
    importlib.import_module(FIRST_MODULE)
    release_memory()
    agent_main = importlib.import_module("crocuswell_daemon.agent_main")
    release_memory()
    return agent_main


def release_memory() -> None:
    """Return freed memory to the operating system."""
    # attrs registers the source of each generated method for tracebacks.
    linecache.clearcache()
    gc.collect()
    libc = ctypes.CDLL(None)
    # Specific to glibc; other allocators return memory by themselves.
    if hasattr(libc, "malloc_trim"):
        libc.malloc_trim(0)


if __name__ == "__main__":
    sys.exit(load_agent().main())
