"""The answer to a request for a slot."""

import dataclasses

from bulrushdale.admission import choice
from bulrushdale import results


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to an :class:`~bulrushdale.admission.queue.Ask`.

    :param code: zero grants the slot; else why it is refused.
    :param target: where to start.
    :param retry_after_ms: when to come back after a refusal, in ms.
    :param reason: why the target was chosen.
    :param bound: the target's bound at the time.
    :param waited_ms: how long the request waited at the home, in ms.
    """

    code: results.Code
    target: str = ""
    retry_after_ms: int = 0
    reason: choice.Reason = choice.Reason.NONE
    bound: int = 0
    waited_ms: int = 0
