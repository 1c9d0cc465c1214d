"""Settings file as the platform writes it for a router."""

TEMPLATE = """
node_name = "{name}"
ip = "{ip}"
zone = "{data_centre}"
internal_ports = [18083, 18084]
seeds = ["{seed}:1"]
bootstrap = {bootstrap}
[listen]
front = "{ip}:18081"
ready = "{ip}:18082"
[bounds]
grace_s = {grace_s}
{bounds}
[platform]
address = "{store}"
"""
CALLER_PORT = 18081
READY_PORT = 18082


def text(
    name: str,
    ip: str,
    data_centre: str,
    seed: str,
    store: str,
    bounds: str = "",
    first_start: bool = False,
    grace_s: int = 5,
) -> str:
    """Return the text of a router's settings file.

    :param name: the router's name.
    :param ip: the loopback address on which it listens.
    :param data_centre: the data centre in which it runs.
    :param seed: IP of the router that it contacts first.
    :param store: IP and port of the store.
    :param bounds: more lines of the table of bounds.
    :param first_start: whether the whole system starts for the first time.
    :param grace_s: time from SIGTERM to SIGKILL, in s.
    """
    return TEMPLATE.format(
        name=name,
        ip=ip,
        data_centre=data_centre,
        seed=seed,
        store=store,
        bounds=bounds,
        grace_s=grace_s,
        bootstrap=str(first_start).lower(),
    )
