"""Targets of requests, which are passed on byte for byte.

See RFC 9112, 3.2. URL libraries tidy up what they parse, such as an empty
query or an escape that isn't needed.
"""

import yarl

# Schemes of targets in the absolute form.
_SCHEMES = ("http", "https")


class TargetError(Exception):
    """A request target that has none of the forms of its method.

    :param target: the target.
    """

    def __init__(self, target: str) -> None:
        super().__init__(f"the request target is invalid: {target[:80]!r}")


def split(target: str) -> tuple[str, str]:
    """Return the authority of a target, and its path with the query.

    :param target: the target as sent.
    :return: an empty authority unless the target has the absolute form.
    :raises TargetError: if there is a fragment or user information, or no
        host in the absolute form.
    """
    if "#" in target:
        raise TargetError(target)
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() not in _SCHEMES:
        return "", target
    size = len(rest.partition("/")[0].partition("?")[0])
    authority, origin = rest[:size], rest[size:]
    if not authority or "@" in authority:
        raise TargetError(target)
    return authority, origin if origin.startswith("/") else f"/{origin}"


def url(base: str, target: str) -> yarl.URL:
    """Return the URL by which aiohttp sends a target as it is.

    :param base: URL of the server, without a path.
    :param target: the target in origin form.
    """
    server = yarl.URL(base)
    # As a part of the path the query is left alone.
    return yarl.URL.build(
        scheme=server.scheme,
        authority=server.raw_authority,
        path=target,
        encoded=True,
    )
