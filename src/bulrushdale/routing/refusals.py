"""When a refused caller may come back."""

import random

from bulrushdale import results

# Long enough for a report of load or a new list to arrive, short enough to
# leave time within most deadlines.
RETURN_AFTER_MS = 300
# When another router can take the request at once.
ELSEWHERE_AFTER_MS = 20
# Returns are spread over so much more, or they would come as one burst.
RETURN_SPREAD_MS = 500


def refuse(
    code: results.Code, detail: str, after_ms: int = RETURN_AFTER_MS
) -> results.RefusedError:
    """Build the exception that ends a request.

    :param code: the numbered result; where it allows a retry, the caller is
        told when to come back.
    :param detail: one sentence for a person.
    :param after_ms: earliest time at which a return may help, in ms.
    """
    meaning = results.MEANINGS[code]
    if meaning.ran is not results.Ran.NO or not meaning.retry:
        return results.refuse(code, detail)
    spread_ms = random.randrange(RETURN_SPREAD_MS)
    return results.refuse(code, detail, after_ms + spread_ms)
