"""Ids of answers, which let any router resume an answer.

An id names the engine and its stream, is bound to the team, and is
authenticated by a MAC. The id of a frame consists of the id of the answer
and the number of the frame.
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
    """The fields of an answer id.

    :param pool: the name of the pool.
    :param target: the name of the engine.
    :param stream_id: the engine's name for the stream.
    :param request_id: the id of the request.
    """

    pool: str
    target: str
    stream_id: str
    request_id: str


class Signer:
    """Signs and verifies answer ids.

    :param secrets: the secrets; the first one signs, and an id that any of
        them signed is valid.

    .. versionadded:: 0.1
    """

    __slots__ = ("_secrets",)

    def __init__(self, secrets: list[str]) -> None:
        self._secrets = [secret.encode() for secret in secrets]

    def sign(self, answer: AnswerId, team: str) -> str:
        """Return a signed answer id.

        :param answer: the fields of the id.
        :param team: the team that the answer belongs to.
        """
        fields = [
            answer.pool,
            answer.target,
            answer.stream_id,
            answer.request_id,
        ]
        body = orjson.dumps(fields)
        mac = _mac(self._secrets[0], body, team)
        return base64.urlsafe_b64encode(mac + body).decode().rstrip("=")

    def verify(self, frame_id: str, team: str) -> tuple[AnswerId, int]:
        """Return the answer id and the number in the id of a frame.

        :param frame_id: the ``Last-Event-ID`` that a caller sent.
        :param team: the caller's team.
        :raises bulrushdale.results.RefusedError: if the id is malformed or
            was not signed for this team.
        """
        text, _, number_text = frame_id.strip().rpartition(".")
        try:
            raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
            number = int(number_text)
        except ValueError:
            raise _invalid_id() from None
        mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
        authentic = any(
            hmac.compare_digest(mac, _mac(secret, body, team))
            for secret in self._secrets
        )
        if not authentic or number < 0:
            raise _invalid_id()
        return AnswerId(*orjson.loads(body)), number


def _mac(secret: bytes, body: bytes, team: str) -> bytes:
    message = team.encode() + b"\0" + body
    return hmac.new(secret, message, hashlib.sha256).digest()[:MAC_BYTES]


def _invalid_id() -> results.RefusedError:
    return results.refuse(
        results.Code.ANSWER_ID_INVALID,
        "the answer id is malformed or belongs to another team",
    )
