"""Starts a router on the platform: ``python -m bulrushdale.start``.

After a power loss nobody is served before the modules are loaded. Garbage
collection would take a tenth of that time and find nothing: all that is
loaded stays.
"""

import gc
import importlib


def main() -> None:
    """Load the router without garbage collection, then run it."""
    gc.disable()
    gateway = importlib.import_module("bulrushdale.gateway")
    gc.freeze()
    gc.enable()
    gateway.main()


if __name__ == "__main__":
    main()
