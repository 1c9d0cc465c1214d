"""Client of the platform's list of VMs, which lags behind their state."""

import dataclasses

import aiohttp
import orjson

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
        :raises ValueError: if the response isn't valid JSON or its version
            isn't a number.
        :raises KeyError: if a field is missing.
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
