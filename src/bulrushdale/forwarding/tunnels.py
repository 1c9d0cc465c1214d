"""Tunnels to targets through other routers.

A router that reaches no target opens a connection to another router, names a
target and, once that router has connected to it, uses the connection like one
to the target itself. The other router passes on bytes only. All decisions on a
request stay at the router that received it: its attempts, deadline, retry
budget, permits and stream, and what it tells its caller.

A tunnel carries one request, so that a router that stops can wait for its
tunnels to end. The other end is in :mod:`.tunnel_server`.
"""

import asyncio
from collections import abc
import contextvars
import logging
import socket
import typing

import aiohttp
from aiohttp import connector as aiohttp_connector
import orjson

from bulrushdale.forwarding import connections
from bulrushdale.forwarding import metrics as metrics_module
from bulrushdale.forwarding import probes
from bulrushdale.forwarding import sessions
from bulrushdale.routing import relays as relays_module
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# Kind of the message that a target wants no requests.
BACK_OFF = "back_off"
# Datagrams are lost occasionally.
BACK_OFF_TRIES = 2
# Time for the answer of the other router, which connects to the target first.
ANSWER_TIMEOUT_MS = connections.CONNECT_TIMEOUT_MS + 100


class TargetUnreachableError(ConnectionRefusedError):
    """Other routers can't reach the target either."""


class TunnelClient:
    """Opens tunnels for this router's requests.

    :param relays: which routers to ask.
    :param targets: all targets.
    :param host: IP of this router, by which the others know it.
    :param port: port of the other routers for tunnels; all VMs use the same.
    :param metrics: the metrics of the router.
    :param send: sends a message to a router's address.
    """

    __slots__ = (
        "_relays",
        "_targets",
        "_host",
        "_port",
        "_metrics",
        "_send",
        "_target",
    )

    def __init__(
        self,
        relays: relays_module.Relays,
        targets: targets_module.Targets,
        host: str,
        port: int,
        metrics: metrics_module.Metrics,
        send: abc.Callable[[str, bytes], None],
    ) -> None:
        self._relays = relays
        self._targets = targets
        self._host = host
        self._port = port
        self._metrics = metrics
        self._send = send
        # The target of the request that the current task sends; aiohttp
        # passes only its address on to the connector.
        self._target: contextvars.ContextVar[targets_module.Target] = (
            contextvars.ContextVar("target")
        )

    def use(self, target: targets_module.Target) -> None:
        """Let the next connection of this task end at a target.

        :param target: the target.
        """
        self._target.set(target)

    def make_connector(
        self,
        end: sessions.End,
        id_header: str,
        on_use: abc.Callable[[str], None],
    ) -> sessions.Connector:
        """Return a connector whose connections are tunnels.

        :param end: as for :class:`.sessions.Connector`.
        :param id_header: as for :class:`.sessions.Connector`.
        :param on_use: as for :class:`.sessions.Connector`.
        """
        return _TunnelConnector(
            self._open, end, id_header, on_use, force_close=True
        )

    def tell_back_off(
        self, target: targets_module.Target, retry_after_ms: int
    ) -> None:
        """Tell the routers that relay that a target wants no requests.

        They passed on the response but read nothing of it.

        :param target: the target.
        :param retry_after_ms: the time that it asked for, in ms.
        """
        message = orjson.dumps(
            [
                BACK_OFF,
                target.target_id,
                target.listing.started_ms,
                retry_after_ms,
            ]
        )
        for address in self._relays.accepted(target.listing.service):
            for _ in range(BACK_OFF_TRIES):
                self._send(address, message)

    async def is_unreachable(self, target: targets_module.Target) -> bool:
        """Return whether other routers can't reach a target.

        :param target: a target that closed a connection, and that this router
            doesn't reach.
        :return: false also if no router could be asked.
        """
        await asyncio.sleep(probes.EXIT_MS / 1000)
        try:
            sock = await self.open(target)
        except TargetUnreachableError:
            return True
        except OSError:
            return False
        sock.close()
        return False

    async def _open(self) -> socket.socket:
        return await self.open(self._target.get())

    async def open(self, target: targets_module.Target) -> socket.socket:
        """Open a tunnel to a target.

        :param target: the target.
        :return: the connected socket.
        :raises TargetUnreachableError: if a router that was asked can't reach
            the target, and no other one can.
        :raises OSError: if no router that was asked relays.
        """
        unreachable = False
        service = target.listing.service
        for address in self._relays.candidates(service, target.target_id):
            host, _, _ = address.rpartition(":")
            sock = connections.make_socket()
            answer = None
            try:
                sock.bind((self._host, 0))
                async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000):
                    answer = await _ask(sock, (host, self._port), target)
            except (OSError, TimeoutError, ValueError) as error:
                reason = repr(error)
            else:
                reason = answer.name.lower()
            finally:
                if answer is not relays_module.Answer.ACCEPTED:
                    sock.close()
            self._metrics.relays.record(
                1, {"outcome": answer.name.lower() if answer else "no_answer"}
            )
            self._relays.record_answer(
                address, service, target.target_id, answer
            )
            if answer is relays_module.Answer.ACCEPTED:
                return sock
            LOG.info(
                "router does not relay",
                extra={
                    "event": "link.no_relay",
                    "peer": address,
                    "target": target.target_id,
                    "reason": reason,
                },
            )
            if answer is relays_module.Answer.LEAVING:
                self._targets.mark_leaving(
                    target, "another router reports it as leaving"
                )
            if answer in relays_module.FINAL:
                raise ConnectionRefusedError(f"target is {reason}")
            unreachable |= answer is relays_module.Answer.UNREACHABLE
        if unreachable:
            raise TargetUnreachableError("no router reaches the target")
        raise ConnectionRefusedError("no router relays")


class _TunnelConnector(sessions.Connector):
    """Opens a tunnel for each connection.

    :param open_tunnel: opens a tunnel, or raises OSError.
    :param args: as for :class:`.sessions.Connector`.
    :param options: as for :class:`.sessions.Connector`.
    """

    def __init__(
        self,
        open_tunnel: abc.Callable[[], abc.Awaitable[socket.socket]],
        *args: typing.Any,
        **options: typing.Any,
    ) -> None:
        super().__init__(*args, **options)
        self._open_tunnel = open_tunnel

    async def _wrap_create_connection(
        self,
        *args: typing.Any,
        addr_infos: list[typing.Any],
        req: typing.Any,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: typing.Any,
    ) -> tuple[asyncio.Transport, aiohttp_connector.ResponseHandler]:
        try:
            sock = await self._open_tunnel()
        except OSError as error:
            raise aiohttp.ClientConnectorError(
                req.connection_key, error
            ) from error
        return await self._loop.create_connection(*args, **kwargs, sock=sock)


async def _ask(
    sock: socket.socket,
    address: tuple[str, int],
    target: targets_module.Target,
) -> relays_module.Answer:
    """Ask a router for a tunnel to a target.

    :raises OSError: if the router can't be reached.
    :raises ValueError: if it gives no valid answer.
    """
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, address)
    line = orjson.dumps([target.target_id, target.listing.started_ms]) + b"\n"
    await loop.sock_sendall(sock, line)
    return relays_module.Answer(await loop.sock_recv(sock, 1))
