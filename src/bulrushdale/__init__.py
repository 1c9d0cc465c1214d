"""A fleet of routers for large numbers of recurring chats.

The names in ``__all__`` are the public API of the library; the daemon is
``bulrushdale router``. They are imported on first use, so that a process
loads only the modules that it needs.
"""

import importlib
import typing

if typing.TYPE_CHECKING:
    from bulrushdale.clock import Clock
    from bulrushdale.daemon import run
    from bulrushdale.results import Code
    from bulrushdale.results import Refusal
    from bulrushdale.settings import load as load_settings
    from bulrushdale.settings import Settings
    from bulrushdale.settings import SettingsError

__all__ = [
    "Clock",
    "Code",
    "Refusal",
    "Settings",
    "SettingsError",
    "load_settings",
    "run",
]

_EXPORTS = {
    "Clock": ("clock", "Clock"),
    "Code": ("results", "Code"),
    "Refusal": ("results", "Refusal"),
    "Settings": ("settings", "Settings"),
    "SettingsError": ("settings", "SettingsError"),
    "load_settings": ("settings", "load"),
    "run": ("daemon", "run"),
}


def __getattr__(name: str) -> typing.Any:
    if name not in _EXPORTS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module, attribute = _EXPORTS[name]
    return getattr(importlib.import_module(f"{__name__}.{module}"), attribute)
