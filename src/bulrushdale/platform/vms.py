"""Client of the platform's lagging list of VMs."""

import dataclasses

import aiohttp
import orjson

# What a read raises if the platform can't be reached or doesn't answer.
READ_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM as the platform lists it.

    :param name: the router's or the target's name.
    :param router: whether it runs a router; else it is a target.
    :param data_centre: where it is.
    :param address: the link address of a router, the URL of a target.
    :param operator_address: the URL of a router's operator port.
    :param leaving: whether the platform is about to stop it.
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
    :param timeout_ms: how long one call may take, in ms.
    """

    __slots__ = ("_session", "_url", "_timeout")

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_ms: int
    ) -> None:
        self._session = session
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)

    async def read(self) -> tuple[int, list[Vm]]:
        """Return the list's version and its VMs.

        :raises READ_ERRORS: without an answer.
        :raises ValueError: if the answer can't be read.
        """
        async with self._session.get(
            self._url, timeout=self._timeout
        ) as response:
            response.raise_for_status()
            data = orjson.loads(await response.read())
        vms = [
            Vm(
                item["name"],
                item["role"] == "router",
                item["data_centre"],
                item["address"],
                item.get("operator_address", ""),
                item["state"] == "leaving",
            )
            for item in data["vms"]
        ]
        return int(data["version"]), vms
