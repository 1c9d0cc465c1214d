"""Starts a router on the platform: ``python -m bulrushdale.start``.

After a power loss nobody is served before the modules are loaded, which takes
most of a start. Callers that come meanwhile would be turned away by the
operating system, and most of them come back only once. So the port for
callers listens first: their connections wait until the router is there.
Garbage collection would take a tenth of the loading and find nothing: all
that is loaded stays.
"""

import gc
import importlib
import logging
import sys

from bulrushdale.forwarding import ports as ports_module
from bulrushdale.platform import settings as platform_settings
from bulrushdale import settings_error

LOG = logging.getLogger(__name__)


def main() -> None:
    """Run a router with the settings that the platform provides."""
    gc.disable()
    try:
        settings = platform_settings.load_from_environment()
    except settings_error.SettingsError as error:
        print(error.show(), file=sys.stderr)
        sys.exit(2)
    try:
        sockets = ports_module.bind(settings.host, settings.ports)
    except ports_module.PortError as error:
        logs = importlib.import_module("bulrushdale.forwarding.logs")
        logs.configure(settings.router)
        LOG.error(
            "router can't start",
            extra={"event": "router.not_started", "reason": str(error)},
        )
        print(error, file=sys.stderr)
        sys.exit(2)
    sockets["caller_port"].listen(ports_module.BACKLOG)
    gateway = importlib.import_module("bulrushdale.gateway")
    gc.freeze()
    gc.enable()
    gateway.run(settings, platform_settings.load_from_environment, sockets)


if __name__ == "__main__":
    main()
