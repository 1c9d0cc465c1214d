"""Indexes of the catalogue for the lookups of requests."""

import collections
import typing

import orjson

from bulrushdale.catalogue import entries
from bulrushdale.catalogue import state
from bulrushdale import hashing

MAX_PARSED_SPECS = 2_000


class View:
    """Indexes over the entries of a catalogue.

    A team's entry is parsed when one of its requests arrives; only the index
    from key hashes to team names holds every team.

    :param catalogue: the catalogue; its changes update the indexes.

    :ivar generation: the number of changes, without those of teams.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_catalogue",
        "_teams_by_key",
        "_parsed",
        "_targets",
        "generation",
    )

    def __init__(self, catalogue: state.Catalogue) -> None:
        self._catalogue = catalogue
        self._teams_by_key: dict[bytes, str] = {}
        self._parsed: collections.OrderedDict[
            tuple[str, str, int], entries.Spec
        ] = collections.OrderedDict()
        self._targets: dict[str, dict[str, entries.Target]] = {}
        self.generation = 0
        for entry in catalogue.all_entries():
            self._update_indexes(entry)
        catalogue.subscribe(self._update_indexes)

    def _update_indexes(self, entry: entries.Entry) -> None:
        if entry.kind == entries.Kind.TEAM:
            self._index_keys(entry)
            return
        self.generation += 1
        if entry.kind == entries.Kind.TARGET:
            self._index_target(entry)

    def _index_keys(self, entry: entries.Entry) -> None:
        if entry.spec is None:
            return
        spec = orjson.loads(entry.spec)
        for key in spec["key_sha256"]:
            self._teams_by_key[bytes.fromhex(key)[: hashing.DIGEST_BYTES]] = (
                entry.name
            )

    def _index_target(self, entry: entries.Entry) -> None:
        for by_name in self._targets.values():
            by_name.pop(entry.name, None)
        spec = self._parsed_spec(entry)
        if isinstance(spec, entries.Target):
            self._targets.setdefault(spec.pool, {})[entry.name] = spec

    def _parsed_spec(self, entry: entries.Entry | None) -> entries.Spec | None:
        """Return the parsed spec of an entry; parsed specs are cached."""
        if entry is None or entry.spec is None:
            return None
        key = (entry.kind, entry.name, entry.revision)
        spec = self._parsed.get(key)
        if spec is None:
            spec = entries.parse(entry.kind, orjson.loads(entry.spec))
            self._parsed[key] = spec
            if len(self._parsed) > MAX_PARSED_SPECS:
                self._parsed.popitem(last=False)
        return spec

    def _find(self, kind: entries.Kind, name: str) -> typing.Any:
        return self._parsed_spec(self._catalogue.find(kind, name))

    def team_of_key(
        self, key_sha256: bytes
    ) -> tuple[str, entries.Team] | None:
        """Return the name and the entry of the team that owns a key.

        :param key_sha256: the 32-byte SHA-256 of the key.
        """
        name = self._teams_by_key.get(key_sha256[: hashing.DIGEST_BYTES])
        if name is None:
            return None
        team = self._find(entries.Kind.TEAM, name)
        if team is None or key_sha256.hex() not in team.key_sha256:
            return None
        return name, team

    def team(self, name: str) -> entries.Team | None:
        """Return a team, if it exists."""
        return self._find(entries.Kind.TEAM, name)

    def service_class(self, name: str) -> entries.Class:
        """Return a class of service; if missing, one of weight 1."""
        found = self._find(entries.Kind.CLASS, name)
        return found or entries.Class(weight=1, queue_ms=1_000)

    def promise(self) -> entries.Promise:
        """Return the limits of the fleet, or their defaults."""
        found = self._find(entries.Kind.PROMISE, "fleet")
        return found or entries.Promise()

    def pool(self, name: str) -> entries.Pool | entries.Service | None:
        """Return a pool of engines or a service, if it exists."""
        return self._find(entries.Kind.POOL, name) or self._find(
            entries.Kind.SERVICE, name
        )

    def service(self, name: str) -> entries.Service | None:
        """Return a service, if it exists."""
        return self._find(entries.Kind.SERVICE, name)

    def pool_of_model(self, model: str) -> str | None:
        """Return the name of the pool that serves a model, or none."""
        for entry in self._catalogue.live_entries(entries.Kind.POOL):
            spec = self._parsed_spec(entry)
            if isinstance(spec, entries.Pool) and spec.model == model:
                return entry.name
        return None

    def models(self) -> list[str]:
        """Return the names of the models that pools serve, sorted."""
        pools = self._catalogue.live_entries(entries.Kind.POOL)
        specs = (self._parsed_spec(entry) for entry in pools)
        return sorted(
            {spec.model for spec in specs if isinstance(spec, entries.Pool)}
        )

    def pool_names(self) -> list[str]:
        """Return the names of all pools and services."""
        return [
            entry.name
            for kind in (entries.Kind.POOL, entries.Kind.SERVICE)
            for entry in self._catalogue.live_entries(kind)
        ]

    def targets(self, pool: str) -> dict[str, entries.Target]:
        """Return the targets of a pool in all data centres, by name."""
        return self._targets.get(pool, {})

    def target(self, name: str) -> entries.Target | None:
        """Return a target, if it exists."""
        return self._find(entries.Kind.TARGET, name)
