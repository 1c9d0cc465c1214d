"""A router fleet for very many returning chats.

The names below are the library's public ones; the daemon is
``bulrushdale router``.
"""

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
