"""Copies of earlier responses, which targets write once more."""

import asyncio
import collections
import dataclasses
import random
import weakref

from examples.standins import scripted_target

# Share of the other requests that meet a copy on their connection.
MET_SHARE = 0.3
SOON_S = 0.02


@dataclasses.dataclass(slots=True)
class _Connection:
    """What a target knows of one connection.

    :param waiting_id: the request that waits for its answer; none if there is
        none.
    :param answering: whether an answer is being written.
    :param kept_id: the request of the last response.
    :param kept: that response; empty if there is none to copy.
    :param unread_ids: the requests whose responses were written once more
        since the connection is idle.
    """

    waiting_id: str | None = None
    answering: bool = False
    kept_id: str = ""
    kept: bytes = b""
    unread_ids: list[str] = dataclasses.field(default_factory=list)


class Copies:
    """Copies of the last response on each connection of the targets.

    A copy is written before the answer to a later request on the connection:
    always if that has the same id, else for a share of them. Or it is written
    soon after the response, on the connection that is idle or that waits for
    the next answer.

    :param rng: source of randomness.
    :param soon: whether copies are written soon after the response.
    :param met: counts the copies that a later request met, by whether that
        was their own request.
    """

    def __init__(
        self,
        rng: random.Random,
        soon: bool,
        met: collections.Counter[bool],
    ) -> None:
        self._rng = rng
        self._met = met
        self._soon = soon
        self._connections: weakref.WeakKeyDictionary[
            asyncio.StreamWriter, _Connection
        ] = weakref.WeakKeyDictionary()

    def begin(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        """Record that a request arrived, and write the copy that it meets.

        :param writer: stream to the router.
        :param request_id: the request.
        """
        connection = self._connections.setdefault(writer, _Connection())
        connection.waiting_id = request_id
        for copied_id in connection.unread_ids:
            self._met[copied_id == request_id] += 1
        connection.unread_ids.clear()
        if self._soon or not connection.kept:
            return
        own = connection.kept_id == request_id
        if own or self._rng.random() < MET_SHARE:
            self._met[own] += 1
            writer.write(connection.kept)
            connection.kept = b""

    def begin_answer(self, writer: asyncio.StreamWriter) -> None:
        """Record that an answer begins, which no copy may interrupt."""
        self._connections[writer].answering = True

    def end(self, writer: asyncio.StreamWriter) -> None:
        """Record that the connection is idle."""
        connection = self._connections[writer]
        connection.waiting_id, connection.answering = None, False

    def keep(
        self,
        writer: asyncio.StreamWriter,
        request: scripted_target.ReceivedRequest,
        response: bytes,
    ) -> None:
        """Keep a response for a copy.

        :param writer: stream to the router.
        :param request: the request that it answers.
        :param response: the response.
        """
        connection = self._connections[writer]
        connection.kept_id, connection.kept = request.request_id, response
        if self._soon:
            asyncio.get_running_loop().call_later(
                SOON_S, self._write_soon, writer, request.request_id, response
            )

    def _write_soon(
        self, writer: asyncio.StreamWriter, request_id: str, response: bytes
    ) -> None:
        connection = self._connections[writer]
        if writer.is_closing() or connection.answering:
            return
        if connection.waiting_id is None:
            connection.unread_ids.append(request_id)
        else:
            self._met[connection.waiting_id == request_id] += 1
        writer.write(response)
