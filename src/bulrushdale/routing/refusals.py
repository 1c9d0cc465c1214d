"""Refusals that tell callers when to retry."""

import random

from bulrushdale import results

# Long enough for a load report or a new list of targets to arrive, short
# enough to leave time for a retry within most deadlines.
RETRY_AFTER_MS = 300
# Used when another router can handle the request immediately.
OTHER_ROUTER_RETRY_AFTER_MS = 20
# Random delay added to the retry time, so that retries don't arrive as one
# burst.
RETRY_JITTER_MS = 500


def refuse(
    code: results.Code,
    detail: str,
    retry_after_ms: int = RETRY_AFTER_MS,
    spread_ms: int = RETRY_JITTER_MS,
) -> results.RefusedError:
    """Build the exception that ends a request.

    :param code: the result code; if the request did not run and the code
        allows a retry, the refusal says when to retry.
    :param detail: one sentence for a human reader.
    :param retry_after_ms: time after which a retry may succeed, in ms.
    :param spread_ms: range of the random delay, in ms.
    :return: the exception, with a random delay added to the retry time.
    """
    meaning = results.MEANINGS[code]
    if meaning.ran is not results.Ran.NO or not meaning.retry:
        return results.refuse(code, detail)
    jitter_ms = random.randrange(spread_ms)
    return results.refuse(code, detail, retry_after_ms + jitter_ms)


def stopping() -> results.RefusedError:
    """Return the error of a request that a stopping router can't serve."""
    return refuse(
        results.Code.STOPPING,
        "this router is stopping",
        OTHER_ROUTER_RETRY_AFTER_MS,
    )
