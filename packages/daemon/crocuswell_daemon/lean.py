"""Starts an agent within its memory limit; see section 12 of the design."""

import ctypes
import gc
import importlib
import linecache
import sys
from types import ModuleType

# The agent speaks plain text on loopback as long as there are no keys, and
# libcrypto with its modules takes 4 MB. The libraries do without when the
# import fails; `hashlib` then uses the interpreter's own functions.
UNUSED_MODULES = ("ssl", "_hashlib")

# Reading this module's table takes 15 MB for a moment. Before all others
# it stays far below the limit and leaves no holes between live objects.
FIRST_MODULE = "hpack.huffman_table"


def load_agent() -> ModuleType:
    """Import the agent and give back what importing it has used."""
    for name in UNUSED_MODULES:
        sys.modules[name] = None  # type: ignore[assignment]
    importlib.import_module(FIRST_MODULE)
    release_memory()
    agent_main = importlib.import_module("crocuswell_daemon.agent_main")
    release_memory()
    return agent_main


def release_memory() -> None:
    """Return freed memory to the system."""
    # attrs keeps the source of each generated method for tracebacks.
    linecache.clearcache()
    gc.collect()
    libc = ctypes.CDLL(None)
    # Only glibc has it; other allocators return memory by themselves.
    if hasattr(libc, "malloc_trim"):
        libc.malloc_trim(0)


if __name__ == "__main__":
    sys.exit(load_agent().main())
