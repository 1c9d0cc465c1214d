"""Why a request ends without a target's answer, and when to come back."""

import dataclasses
import enum
import random


class Reason(enum.Enum):
    """Why; the value is the HTTP status.

    429 and 503 promise that the request has not run and never will; 502 and
    504 promise nothing.
    """

    BAD_REQUEST = (2001, 400)
    UNKNOWN_KEY = (2002, 401)
    BODY_TOO_LARGE = (2004, 413)
    UNKNOWN_ROUTE = (2012, 404)
    NO_TARGET = (3004, 503)
    NOT_READY = (3007, 503)
    KEYS_TOO_OLD = (3009, 503)
    OVERLOADED = (3010, 503)
    DEADLINE = (3011, 503)
    STOPPING = (3012, 503)
    TARGET_FAILED = (4001, 502)
    ANSWER_LATE = (4006, 504)

    def __init__(self, code: int, status: int) -> None:
        self.code = code
        self.status = status


# When a refused caller may come back: long enough for a report of load or a
# new list to arrive, short enough to leave time within most deadlines.
RETURN_AFTER_MS = 300
# Returns are spread over so much more, or they would come as one burst.
RETURN_SPREAD_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The final answer to a request that no target answered.

    :param reason: why.
    :param detail: one sentence for a person.
    :param return_after_ms: when to come back; none where that won't help.
    """

    reason: Reason
    detail: str
    return_after_ms: int | None = None


def refuse(reason: Reason, detail: str, least_ms: int = 0) -> Refusal:
    """Return a refusal that tells when to come back, if it may help.

    :param reason: why.
    :param detail: one sentence for a person.
    :param least_ms: earliest time at which it can help, from now, in ms.
    """
    if reason.status != 503:
        return Refusal(reason, detail)
    after_ms = max(RETURN_AFTER_MS, least_ms)
    spread_ms = random.randrange(RETURN_SPREAD_MS)
    return Refusal(reason, detail, after_ms + spread_ms)
