"""Publication of operators' edits through the log."""

import dataclasses
import typing
import uuid

from bulrushdale.catalogue import entries
from bulrushdale.catalogue import state
from bulrushdale import clock as clock_module
from bulrushdale.platform import log
from bulrushdale import records
from bulrushdale import results

READ_BACK_TIMEOUT_MS = 6_000
READ_BACK_INTERVAL_MS = 150
RETRY_AFTER_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """An operator's change of one entry.

    :param kind: the kind of the entry.
    :param name: the name of the entry.
    :param spec: the new content; none deletes the entry.
    :param expected: the revision that the edit replaces; zero to create the
        entry.
    :param operator: the operator who makes the change.
    """

    kind: entries.Kind
    name: str
    spec: entries.Spec | None
    expected: int
    operator: str


class Publisher:
    """Appends edits to the log and reads back which of them won.

    :param catalogue: the entries known so far.
    :param log_client: the client of the log.
    :param clock: the clock.

    .. versionadded:: 0.1
    """

    __slots__ = ("_catalogue", "_log_client", "_clock")

    def __init__(
        self,
        catalogue: state.Catalogue,
        log_client: log.Log,
        clock: clock_module.Clock,
    ) -> None:
        self._catalogue = catalogue
        self._log_client = log_client
        self._clock = clock

    async def publish(self, edit: Edit) -> entries.Entry:
        """Publish an edit and wait until its offset in the log is known.

        :param edit: the change.
        :return: the accepted entry.
        :raises bulrushdale.results.RefusedError: if another edit won, the
            log is unavailable, or the edit was not read back in time.
        """
        start_offset = self._catalogue.offset
        revision = self._catalogue.revision(edit.kind, edit.name)
        if edit.expected != revision:
            raise _conflict(edit, revision)
        record_id = uuid.uuid4().hex
        response_lost = await self._append(edit, record_id)
        record, revision = await self._read_back(
            edit, record_id, start_offset, revision, response_lost
        )
        if revision != edit.expected:
            raise _conflict(edit, revision)
        entry = state.decode_edit(record)
        if entry is None:
            raise results.refuse(
                results.Code.ENTRY_INVALID,
                "the published record can't be decoded",
            )
        self._catalogue.merge([entry])
        return entry

    async def _append(self, edit: Edit, record_id: str) -> bool:
        """Append the edit; return whether the response was lost."""
        spec = None
        if edit.spec is not None:
            spec = edit.spec.model_dump(mode="json", exclude_defaults=True)
        data = {
            "type": "edit",
            "record_id": record_id,
            "kind": edit.kind.value,
            "name": edit.name,
            "spec": spec,
            "expected": edit.expected,
            "operator": edit.operator,
        }
        try:
            await self._log_client.append(state.LOG_NAME, data)
        except records.SourceError as error:
            if not error.may_have_taken_effect:
                raise results.refuse(
                    results.Code.LOG_UNAVAILABLE,
                    f"the edit was not written: {error}",
                    RETRY_AFTER_MS,
                ) from error
            return True
        return False

    async def _read_back(
        self,
        edit: Edit,
        record_id: str,
        offset: int,
        revision: int,
        response_lost: bool,
    ) -> tuple[records.LogRecord, int]:
        """Read the log up to the record of this edit.

        :param edit: the change.
        :param record_id: the id of its record.
        :param offset: where to start reading.
        :param revision: the revision of the entry at that offset.
        :param response_lost: whether the append's response was lost.
        :return: the record, and the revision of the entry just before it.
        :raises bulrushdale.results.RefusedError: if the record was not read
            back within ``READ_BACK_TIMEOUT_MS``.
        """
        deadline_ms = self._clock.now_ms() + READ_BACK_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            for record in await self._read_page(offset):
                offset = record.offset + 1
                if record.data.get("record_id") == record_id:
                    return record, revision
                revision = _revision_after(record, edit, revision)
            await self._clock.sleep_ms(READ_BACK_INTERVAL_MS)
        raise results.refuse(
            results.Code.EDIT_UNKNOWN,
            f"record {record_id} of the edit was not read back in time"
            + (
                " after the response to its append was lost"
                if response_lost
                else ""
            ),
        )

    async def _read_page(self, offset: int) -> list[records.LogRecord]:
        """Read records from an offset on; none if the log can't be read."""
        try:
            page = await self._log_client.read(state.LOG_NAME, offset)
        except records.SourceError:
            return []
        return page.records


def _revision_after(
    record: records.LogRecord, edit: Edit, revision: int
) -> int:
    """Return the revision of the edited entry after one more record.

    :param record: the record.
    :param edit: the edit of the entry.
    :param revision: the entry's revision before the record.
    """
    data: dict[str, typing.Any] = record.data
    if data.get("type") != "edit":
        return revision
    if (data["kind"], data["name"]) != (edit.kind.value, edit.name):
        return revision
    if data["expected"] != revision:
        return revision
    return 0 if data["spec"] is None else record.offset + 1


def _conflict(edit: Edit, revision: int) -> results.RefusedError:
    return results.refuse(
        results.Code.EDIT_CONFLICT,
        f"{edit.kind.value}/{edit.name} is at revision {revision},"
        f" the edit expected {edit.expected}",
    )
