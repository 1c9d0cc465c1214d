"""Ids of answers, with which any router can resume them.

An id names the engine and its stream, is bound to the team, and is
authenticated. A frame's id is the answer's id and the frame's number.
"""

import base64
import dataclasses
import hashlib
import hmac

import orjson

from bulrushdale import results

MAC_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerId:
    """Where an answer is generated.

    :param pool: the pool.
    :param target: the engine.
    :param stream: the engine's own name for the stream.
    :param request: the request's id.
    """

    pool: str
    target: str
    stream: str
    request: str


class Signer:
    """Makes and checks answer ids.

    :param secrets: the first one signs, any of them checks.

    .. versionadded:: 0.1
    """

    __slots__ = ("_secrets",)

    def __init__(self, secrets: list[str]) -> None:
        self._secrets = [secret.encode() for secret in secrets]

    def sign(self, answer: AnswerId, team: str) -> str:
        """Return the text of an answer's id.

        :param answer: what it names.
        :param team: whose answer it is.
        """
        fields = [answer.pool, answer.target, answer.stream, answer.request]
        body = orjson.dumps(fields)
        mac = _mac(self._secrets[0], body, team)
        return base64.urlsafe_b64encode(mac + body).decode().rstrip("=")

    def verify(self, frame_id: str, team: str) -> tuple[AnswerId, int]:
        """Return what a frame's id names, and the frame's number.

        :param frame_id: the ``Last-Event-ID`` that a caller sent.
        :param team: who asks.
        :raises bulrushdale.results.RefusedError: if the id was not made
            for this team.
        """
        text, _, number = frame_id.strip().rpartition(".")
        try:
            raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
            position = int(number)
        except ValueError:
            raise _invalid_id() from None
        mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
        genuine = any(
            hmac.compare_digest(mac, _mac(secret, body, team))
            for secret in self._secrets
        )
        if not genuine or position < 0:
            raise _invalid_id()
        return AnswerId(*orjson.loads(body)), position


def _mac(secret: bytes, body: bytes, team: str) -> bytes:
    message = team.encode() + b"\0" + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:MAC_BYTES]


def _invalid_id() -> results.RefusedError:
    return results.refuse(
        results.Code.ANSWER_ID_INVALID,
        "the answer id is not one of this team's",
    )
