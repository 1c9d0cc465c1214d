"""The reply to a slot request."""

import dataclasses

from bulrushdale.admission import choice
from bulrushdale import results


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a :class:`~bulrushdale.admission.queue.QueuedRequest`.

    :param code: zero if the slot is granted, else the reason of the refusal.
    :param target: the target on which to start.
    :param retry_after_ms: when to retry after a refusal, in ms from now.
    :param reason: why the target was chosen.
    :param bound: the target's bound at the time.
    :param waited_ms: how long the request waited at the coordinator, in ms.
    """

    code: results.Code
    target: str = ""
    retry_after_ms: int = 0
    reason: choice.Reason = choice.Reason.NONE
    bound: int = 0
    waited_ms: int = 0
