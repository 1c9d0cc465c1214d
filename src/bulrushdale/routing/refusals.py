"""When a refused caller may come back."""

import random

from bulrushdale import results

# Long enough for a report of load or a new list to arrive, short enough to
# leave time within most deadlines.
RETRY_AFTER_MS = 300
# When another router can take the request at once.
OTHER_ROUTER_RETRY_AFTER_MS = 20
# Returns are spread over so much more, or they would come as one burst.
RETRY_JITTER_MS = 500


def refuse(
    code: results.Code, detail: str, retry_after_ms: int = RETRY_AFTER_MS
) -> results.RefusedError:
    """Build the exception that ends a request.

    :param code: the numbered result; where it allows a retry, the caller is
        told when to come back.
    :param detail: one sentence for a person.
    :param retry_after_ms: earliest time at which a return may help, in ms.
    """
    meaning = results.MEANINGS[code]
    if meaning.ran is not results.Ran.NO or not meaning.retry:
        return results.refuse(code, detail)
    jitter_ms = random.randrange(RETRY_JITTER_MS)
    return results.refuse(code, detail, retry_after_ms + jitter_ms)
