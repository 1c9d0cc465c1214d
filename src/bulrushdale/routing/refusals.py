"""When a refused caller may come back."""

import random

from bulrushdale import results

# Long enough for a report of load or a new list to arrive, short enough to
# leave time within most deadlines.
RETURN_AFTER_MS = 300
# Returns are spread over so much more, or they would come as one burst.
RETURN_SPREAD_MS = 500


def refuse(code: results.Code, detail: str) -> results.RefusedError:
    """Build the exception that ends a request.

    :param code: the numbered result; where it allows a retry, the caller is
        told when to come back.
    :param detail: one sentence for a person.
    """
    meaning = results.MEANINGS[code]
    if meaning.ran is not results.Ran.NO or not meaning.retry:
        return results.refuse(code, detail)
    after_ms = RETURN_AFTER_MS + random.randrange(RETURN_SPREAD_MS)
    return results.refuse(code, detail, after_ms)
