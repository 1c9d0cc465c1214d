"""Kinds of catalogue entries, their schemas and their stored form."""

import enum
import typing
from typing import Annotated

import orjson
import pydantic

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
DEFAULT_KEY_LIFE_MS = 3_600_000

_Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
_Sha256 = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
_Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]


class Kind(enum.StrEnum):
    """The kind of a catalogue entry."""

    TEAM = "team"
    CLASS = "class"
    POOL = "pool"
    SERVICE = "service"
    TARGET = "target"
    PROMISE = "promise"


class _Spec(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Team(_Spec):
    """A paying team.

    ``max_in_flight`` and ``max_queued`` apply to each data centre
    separately.
    """

    owner: Annotated[str, pydantic.Field(min_length=1, max_length=200)]
    class_of_service: _Name
    key_sha256: Annotated[list[_Sha256], pydantic.Field(max_length=8)]
    max_in_flight: _Count = 1_000
    max_queued: _Count = 100


class Class(_Spec):
    """A class of service that teams pay for."""

    weight: Annotated[int, pydantic.Field(ge=1, le=1_000)]
    queue_ms: Annotated[int, pydantic.Field(ge=0, le=3_600_000)]
    engine_priority: Annotated[int, pydantic.Field(ge=0, le=100)] = 0


class Pool(_Spec):
    """A pool of engines that serve one model."""

    model: Annotated[str, pydantic.Field(min_length=1, max_length=100)]
    shards: Annotated[int, pydantic.Field(ge=1, le=64)] = 1


class Service(_Spec):
    """A service whose targets are reached under ``/services/NAME/``.

    Requests with a method outside ``repeatable_methods`` need an
    ``Idempotency-Key`` and run at most once. ``honours_keys`` states that
    the targets themselves run each key at most once.
    """

    repeatable_methods: list[
        typing.Literal["GET", "HEAD", "PUT", "DELETE", "POST"]
    ] = ["GET", "HEAD"]
    honours_keys: bool = False
    call_timeout_ms: Annotated[int, pydantic.Field(ge=1)] = 30_000
    shards: Annotated[int, pydantic.Field(ge=1, le=64)] = 1


class Target(_Spec):
    """One instance of an engine or a service."""

    pool: _Name
    data_centre: _Name
    url: Annotated[str, pydantic.Field(pattern=r"^https?://[^/\s]+$")]
    slots: _Count
    leaving: bool = False


class Promise(_Spec):
    """Limits and intervals that apply to the whole fleet."""

    load_multiple: Annotated[float, pydantic.Field(ge=1.0, le=10)] = 1.25
    least_bound: _Count = 2
    team_share: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.5
    key_life_ms: Annotated[int, pydantic.Field(ge=1_000)] = DEFAULT_KEY_LIFE_MS
    claim_interval_ms: Annotated[int, pydantic.Field(ge=1, le=5_000)] = 100


Spec = Team | Class | Pool | Service | Target | Promise

_SCHEMAS: dict[Kind, type[_Spec]] = {
    Kind.TEAM: Team,
    Kind.CLASS: Class,
    Kind.POOL: Pool,
    Kind.SERVICE: Service,
    Kind.TARGET: Target,
    Kind.PROMISE: Promise,
}


class InvalidEntryError(Exception):
    """The kind, name or content of an entry is invalid.

    :param problems: one line for each problem.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class Entry:
    """A catalogue entry in its stored form.

    :param kind: the kind of the entry.
    :param name: the name, unique within the kind.
    :param revision: one more than the offset of the record that last changed
        the entry.
    :param spec: the content as JSON; none for a deleted entry.
    :param changed_ms: when the log stored the change, in ms since the epoch.
    :param operator: the operator who made the change.
    """

    __slots__ = (
        "kind",
        "name",
        "revision",
        "spec",
        "changed_ms",
        "operator",
    )

    def __init__(
        self,
        kind: str,
        name: str,
        revision: int,
        spec: bytes | None,
        changed_ms: int,
        operator: str,
    ) -> None:
        self.kind = kind
        self.name = name
        self.revision = revision
        self.spec = spec
        self.changed_ms = changed_ms
        self.operator = operator

    @property
    def deleted(self) -> bool:
        return self.spec is None

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the entry as it is shown to operators and in snapshots."""
        spec = None if self.spec is None else orjson.loads(self.spec)
        return {
            "kind": self.kind,
            "name": self.name,
            "revision": self.revision,
            "spec": spec,
            "changed_ms": self.changed_ms,
            "operator": self.operator,
        }


def parse_kind(text: str) -> Kind:
    """Return the kind that *text* spells.

    :raises InvalidEntryError: if there is no such kind.
    """
    try:
        return Kind(text)
    except ValueError:
        kinds = ", ".join(kind.value for kind in Kind)
        raise InvalidEntryError(
            [f"kind {text!r} is unknown; expected one of {kinds}"]
        ) from None


def check_name(text: str) -> str:
    """Return *text* if it is a valid name of an entry.

    :raises InvalidEntryError: if it is not.
    """
    try:
        adapter = pydantic.TypeAdapter(_Name)
        return adapter.validate_python(text)
    except pydantic.ValidationError:
        raise InvalidEntryError(
            [f"name {text!r} must match {NAME_PATTERN}"]
        ) from None


def parse(kind: str, data: typing.Any) -> Spec:
    """Validate the content of an entry.

    :param kind: the value of a :class:`Kind`.
    :param data: the decoded JSON or YAML.
    :raises InvalidEntryError: if the content is invalid; it lists every
        problem.
    """
    schema = _SCHEMAS[parse_kind(kind)]
    try:
        return typing.cast(Spec, schema.model_validate(data))
    except pydantic.ValidationError as error:
        problems = []
        for item in error.errors():
            location = ".".join(str(part) for part in item["loc"])
            problems.append(f"{location or 'spec'}: {item['msg']}")
        raise InvalidEntryError(problems) from None


def encode(spec: Spec) -> bytes:
    """Return the stored JSON of a spec, without default values."""
    return compact(spec.model_dump(exclude_defaults=True))


def compact(data: typing.Any) -> bytes:
    """Return *data* as JSON in a buffer of exactly its length.

    The result of ``orjson.dumps`` keeps its buffer of 4 KB as long as it
    lives, which makes a catalogue of 21,000 teams ten times as large.
    """
    return bytes(memoryview(orjson.dumps(data)))
