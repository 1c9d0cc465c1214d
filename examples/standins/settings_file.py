"""The settings file that the platform writes for a router."""

TEMPLATE = """
node_name = "{name}"
ip = "{ip}"
zone = "{data_centre}"
internal_ports = [18083, 18083]
seeds = ["{seed}:1"]
[listen]
front = "{ip}:18081"
ready = "{ip}:18082"
[bounds]
grace_s = 5
[platform]
address = "{store}"
"""
CALLER_PORT = 18081
READY_PORT = 18082


def text(name: str, ip: str, data_centre: str, seed: str, store: str) -> str:
    """Return the file's text.

    :param name: the router's name.
    :param ip: a loopback address of its own.
    :param data_centre: where it runs.
    :param seed: IP of a router to ask first.
    :param store: IP and port of the store.
    """
    return TEMPLATE.format(
        name=name, ip=ip, data_centre=data_centre, seed=seed, store=store
    )
