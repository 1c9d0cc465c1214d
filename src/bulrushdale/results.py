"""Result codes, their meanings, and the errors that carry them."""

import dataclasses
import enum

from bulrushdale import statuses


class Ran(enum.StrEnum):
    """Whether a request had an effect."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class Code(enum.IntEnum):
    """A result code. ``docs/RESULT-CODES.md`` explains each of them."""

    OK = 0
    BAD_REQUEST = 2001
    UNAUTHENTICATED = 2002
    UNKNOWN_MODEL = 2003
    BODY_TOO_LARGE = 2004
    KEY_REQUIRED = 2005
    KEY_MALFORMED = 2006
    KEY_EXPIRED = 2007
    KEY_REUSED = 2008
    UNKNOWN_SERVICE = 2009
    ANSWER_ID_INVALID = 2010
    BODY_TOO_SLOW = 2011
    NOT_FOUND = 2012
    TEAM_LIMIT = 3001
    QUEUE_FULL = 3002
    QUEUE_DEADLINE = 3003
    NO_TARGET = 3004
    CLAIMS_UNAVAILABLE = 3006
    NOT_READY = 3007
    TOO_MANY_REQUESTS = 3008
    CONFIGURATION_OUTDATED = 3009
    DEADLINE_PASSED = 3010
    STOPPING = 3011
    PROMPT_QUARANTINED = 3012
    RATE_LIMITED = 3013
    STREAM_NOT_RESUMABLE = 3014
    TARGET_FAILED = 4001
    ANSWER_CUT = 4002
    OUTCOME_UNKNOWN = 4003
    IN_PROGRESS = 4004
    ANSWER_GONE = 4005
    ANSWER_LATE = 4006
    ENTRY_INVALID = 5001
    EDIT_CONFLICT = 5002
    LOG_UNAVAILABLE = 5003
    ENTRY_NOT_FOUND = 5004
    EDIT_UNKNOWN = 5005
    PRECONDITION_REQUIRED = 5006
    SETTINGS_INVALID = 6001
    ROUTER_UNREACHABLE = 6002


@dataclasses.dataclass(frozen=True, slots=True)
class Meaning:
    """The meaning of a result code for callers and operators.

    :param status: the HTTP status of the response; zero if the code is never
        sent over HTTP.
    :param ran: whether the request had an effect.
    :param retry: whether a retry of the same request may succeed.
    :param advice: what the caller or the operator should do next.
    """

    status: int
    ran: Ran
    retry: bool
    advice: str


_NO = Ran.NO

MEANINGS: dict[Code, Meaning] = {
    Code.OK: Meaning(200, Ran.YES, False, "Nothing."),
    Code.BAD_REQUEST: Meaning(400, _NO, False, "Correct the request."),
    Code.UNAUTHENTICATED: Meaning(
        401, _NO, False, "Send a key that the catalogue lists."
    ),
    Code.UNKNOWN_MODEL: Meaning(
        404, _NO, False, "Ask for a model of GET /v1/models."
    ),
    Code.BODY_TOO_LARGE: Meaning(413, _NO, False, "Send a smaller body."),
    Code.KEY_REQUIRED: Meaning(
        400, _NO, False, "Send an Idempotency-Key with this call."
    ),
    Code.KEY_MALFORMED: Meaning(
        400, _NO, False, "Send a UUID of version 7 as Idempotency-Key."
    ),
    Code.KEY_EXPIRED: Meaning(
        410, Ran.UNKNOWN, False, "Look the effect up, then use a new key."
    ),
    Code.KEY_REUSED: Meaning(
        422, _NO, False, "Use a new key for a request with another body."
    ),
    Code.UNKNOWN_SERVICE: Meaning(
        404, _NO, False, "Call a service that the catalogue lists."
    ),
    Code.ANSWER_ID_INVALID: Meaning(
        403, _NO, False, "Resume with an id from the team's own answer."
    ),
    Code.BODY_TOO_SLOW: Meaning(
        408, _NO, True, "Send the body without pauses."
    ),
    Code.NOT_FOUND: Meaning(404, _NO, False, "Correct the path."),
    Code.TEAM_LIMIT: Meaning(
        429, _NO, True, "Wait for Retry-After, or raise the team's limit."
    ),
    Code.QUEUE_FULL: Meaning(
        503, _NO, True, "Wait for Retry-After; the pool is saturated."
    ),
    Code.QUEUE_DEADLINE: Meaning(
        503, _NO, True, "Wait for Retry-After; no slot came free in time."
    ),
    Code.NO_TARGET: Meaning(
        503, _NO, True, "Check the pool's targets with 'bulrushdale fleet'."
    ),
    Code.CLAIMS_UNAVAILABLE: Meaning(
        503, _NO, True, "Wait for Retry-After; the log can't be reached."
    ),
    Code.NOT_READY: Meaning(
        503, _NO, True, "Wait for Retry-After; no catalogue is loaded yet."
    ),
    Code.TOO_MANY_REQUESTS: Meaning(
        503, _NO, True, "Wait for Retry-After; this router is full."
    ),
    Code.CONFIGURATION_OUTDATED: Meaning(
        503, _NO, True, "Wait for Retry-After; check the platform's store."
    ),
    Code.DEADLINE_PASSED: Meaning(
        503, _NO, True, "Allow more time; no target could begin in it."
    ),
    Code.STOPPING: Meaning(
        503, _NO, True, "Open a new connection; another router takes it."
    ),
    Code.PROMPT_QUARANTINED: Meaning(
        503, _NO, True, "Change the prompt; a part of it crashed targets."
    ),
    Code.RATE_LIMITED: Meaning(
        503, _NO, True, "Wait for Retry-After; targets limit their requests."
    ),
    Code.STREAM_NOT_RESUMABLE: Meaning(
        503, _NO, False, "Ask anew from the start; its version can't go on."
    ),
    Code.TARGET_FAILED: Meaning(
        502, Ran.UNKNOWN, False, "Look the effect up before a new key."
    ),
    Code.ANSWER_CUT: Meaning(
        502, Ran.YES, True, "Discard the partial answer and ask again."
    ),
    Code.OUTCOME_UNKNOWN: Meaning(
        409, Ran.UNKNOWN, False, "Look the effect up before a new key."
    ),
    Code.IN_PROGRESS: Meaning(
        409, Ran.UNKNOWN, True, "Ask again with the same key."
    ),
    Code.ANSWER_GONE: Meaning(
        410, Ran.YES, False, "Ask again; the engine no longer has it."
    ),
    Code.ANSWER_LATE: Meaning(
        504, Ran.UNKNOWN, False, "Look the effect up before asking again."
    ),
    Code.ENTRY_INVALID: Meaning(422, _NO, False, "Correct the entry."),
    Code.EDIT_CONFLICT: Meaning(
        412, _NO, False, "Read the entry again and repeat the edit."
    ),
    Code.LOG_UNAVAILABLE: Meaning(
        503, _NO, True, "Wait for Retry-After; nothing was written."
    ),
    Code.ENTRY_NOT_FOUND: Meaning(404, _NO, False, "Correct the name."),
    Code.EDIT_UNKNOWN: Meaning(
        504, Ran.UNKNOWN, False, "Read the entry to see if it changed."
    ),
    Code.PRECONDITION_REQUIRED: Meaning(
        428, _NO, False, "Send If-Match, or If-None-Match: * to create."
    ),
    Code.SETTINGS_INVALID: Meaning(
        0, _NO, False, "Correct the settings file."
    ),
    Code.ROUTER_UNREACHABLE: Meaning(
        0, Ran.UNKNOWN, True, "Check --router and that it runs."
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a request was refused.

    :param code: the result code.
    :param detail: one sentence that describes the reason.
    :param retry_after_ms: when to retry, in ms from now; zero if unknown.
    :param ran: whether the request had an effect, if that differs from the
        meaning of the code; otherwise none. An earlier request with the same
        key may have had it.
    :param may_have_run: whether a target may have run this very request.
    """

    code: Code
    detail: str
    retry_after_ms: int = 0
    ran: Ran | None = None
    may_have_run: bool = False

    @property
    def meaning(self) -> Meaning:
        return MEANINGS[self.code]

    @property
    def effect(self) -> Ran:
        """Whether the request had an effect; ``ran`` overrides the code."""
        return self.ran if self.ran is not None else self.meaning.ran

    @property
    def status(self) -> int:
        """The HTTP status; it promises nothing if the request may have run."""
        status = self.meaning.status
        if self.may_have_run and statuses.promises_not_run(status):
            return MEANINGS[Code.TARGET_FAILED].status
        return status


class RefusedError(Exception):
    """Raised to end a request with a :class:`Refusal`.

    :param refusal: the refusal that is sent to the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{int(refusal.code)} {refusal.detail}")
        self.refusal = refusal


def after_attempt(error: RefusedError) -> RefusedError:
    """Return the refusal of a request that an earlier attempt may have run.

    :param error: the refusal of a further attempt.
    """
    return RefusedError(
        dataclasses.replace(error.refusal, ran=Ran.UNKNOWN, may_have_run=True)
    )


def refuse(
    code: Code,
    detail: str,
    retry_after_ms: int = 0,
    ran: Ran | None = None,
) -> RefusedError:
    """Return an exception that ends a request with a refusal.

    :param code: the result code.
    :param detail: one sentence that describes the reason.
    :param retry_after_ms: when to retry, in ms from now; zero if unknown.
    :param ran: overrides the code's meaning of whether the request had an
        effect.
    """
    return RefusedError(Refusal(code, detail, retry_after_ms, ran))
