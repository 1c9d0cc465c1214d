"""Client of the platform's list of VMs, which lags behind their state."""

import dataclasses
import logging
import typing

import aiohttp
import orjson

from bulrushdale.forwarding import sessions
from bulrushdale.platform import addresses

LOG = logging.getLogger(__name__)

MAX_NAME_CHARS = 256
# The list of 2,400 VMs has under 1 MB.
MAX_LIST_BYTES = 8 << 20
# Versions are passed on to other routers as 64-bit integers.
MAX_VERSION = 2**63 - 1
_ROLE_ROUTER = "router"
_STATE_LEAVING = "leaving"
_REQUIRED = ("name", "role", "data_centre", "address", "state")
# Raised by a read if the platform can't be reached, doesn't respond or
# responds with an error.
READ_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM as the platform lists it.

    :param name: the name of the router or the target on the VM.
    :param router: whether the VM runs a router; otherwise it runs a target.
    :param data_centre: the data centre of the VM.
    :param address: the link address of a router, or the URL of a target.
    :param operator_address: the URL of a router's operator port; empty if
        the list has none.
    :param leaving: whether the platform is about to stop the VM.
    """

    name: str
    router: bool
    data_centre: str
    address: str
    operator_address: str
    leaving: bool


class VmListClient:
    """Reads the list of VMs.

    :param session: the HTTP session.
    :param url: the list's URL.
    :param timeout_ms: the timeout of a request, in ms.
    """

    __slots__ = ("_session", "_url", "_timeout")

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_ms: int
    ) -> None:
        self._session = session
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)

    async def read(self) -> tuple[int, list[Vm]]:
        """Return the version of the list and its VMs.

        :raises READ_ERRORS: if the platform can't be reached, doesn't respond
            or responds with an error.
        :raises ValueError: if the response isn't a valid list. Invalid
            entries are skipped.
        """
        async with self._session.get(
            self._url, timeout=self._timeout
        ) as response:
            response.raise_for_status()
            return _decode(
                await sessions.read_bounded(response, MAX_LIST_BYTES)
            )


def _decode(body: bytes) -> tuple[int, list[Vm]]:
    """Decode the list.

    :raises ValueError: if it isn't a valid list.
    """
    data = orjson.loads(body)
    if not isinstance(data, dict) or not isinstance(data.get("vms"), list):
        raise ValueError("expected a list of VMs")
    version = data.get("version")
    if not isinstance(version, int) or not 0 <= version <= MAX_VERSION:
        raise ValueError("the version is invalid")
    listed = []
    for item in data["vms"]:
        try:
            listed.append(_decode_vm(item))
        except ValueError as error:
            LOG.warning("invalid entry of a VM skipped: %s", error)
    return version, listed


def _decode_vm(item: typing.Any) -> Vm:
    """Decode one entry.

    :raises ValueError: if it doesn't describe a VM.
    """
    if not isinstance(item, dict):
        raise ValueError("not an object")
    item = {"operator_address": "", **item}
    for name in (*_REQUIRED, "operator_address"):
        value = item.get(name)
        if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
            raise ValueError(f"{name} is invalid")
    is_router = item["role"] == _ROLE_ROUTER
    if is_router and not addresses.is_valid(item["address"]):
        raise ValueError("address is invalid")
    return Vm(
        item["name"],
        is_router,
        item["data_centre"],
        item["address"],
        item["operator_address"],
        item["state"] == _STATE_LEAVING,
    )
