"""Starts a router on the platform: ``python -m bulrushdale.start``.

After a power loss no request is served before the modules are loaded, which
takes most of the startup time. The operating system would refuse connections
that arrive meanwhile, and most callers retry only once. So the router listens
on the caller port first: connections wait there until the router accepts them.
Garbage collection is off while the modules load. It would take a tenth of the
loading time and free nothing, since everything that is loaded stays.
"""

import gc
import importlib
import logging
import signal
import sys

LOG = logging.getLogger(__name__)


def main() -> None:
    """Run a router with the settings provided by the platform."""
    gc.disable()
    # By default the signal that the settings have changed would end the
    # process. The router reads them again once it has started.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loaded after that, as it takes most of the time until here.
    from bulrushdale.forwarding import ports as ports_module
    from bulrushdale.platform import settings as platform_settings
    from bulrushdale import settings_error

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
            "router not started: port can't be opened",
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
