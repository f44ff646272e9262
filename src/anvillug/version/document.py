"""Configuration document: model, validation and JSON merge patch."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Container, Iterable, Mapping
from typing import Annotated, Any

import expression
import pydantic

from anvillug import findings, ids, validation
from anvillug.request import call

_LABEL = r'^[a-z0-9]([a-z0-9-]*[a-z0-9])?$'
_ServiceKey = Annotated[ids.ServiceName, pydantic.Field(pattern=_LABEL, max_length=63)]
_ZoneKey = Annotated[ids.ZoneName, pydantic.Field(min_length=1, max_length=63)]
_Version = Annotated[ids.VersionName, pydantic.Field(min_length=1, max_length=128)]
_Method = Annotated[str, pydantic.Field(pattern='^[A-Z]+$')]
_Criticality = Annotated[call.Criticality, pydantic.Field(strict=False)]


class Safety(enum.Enum):
    """How cautious a rollout is, most cautious first."""

    STRICT = 'strict'
    BALANCED = 'balanced'
    FAST = 'fast'


class ZoneState(enum.Enum):
    """Whether operators allow a zone to receive traffic."""

    IN = 'in'
    OUT = 'out'


class Targets(validation.Model):
    """Targets that an operator sets for a service."""

    latency_p99_ms: Annotated[float, pydantic.Field(gt=0, le=60_000)] = 50
    """Latency at the 99th percentile in milliseconds."""
    safety: Annotated[Safety, pydantic.Field(strict=False)] = Safety.BALANCED
    """How cautious rollouts are."""
    spare_percent: Annotated[float, pydantic.Field(ge=0, le=90)] = 20
    """Percentage of capacity that may stay idle; the cost target."""


class Route(validation.Model):
    """Group of a service's calls with common settings."""

    name: Annotated[ids.RouteName, pydantic.Field(min_length=1, max_length=64)]
    """Name used in the evidence of rollouts."""
    prefix: Annotated[str, pydantic.Field(pattern='^/')]
    """Start of the path."""
    methods: Annotated[tuple[_Method, ...], pydantic.Field(strict=False)] = ()
    """Methods that match; empty for all."""
    repeatable: bool | None = None
    """Whether calls may run more than once; derived from the method if None."""
    criticality: _Criticality | None = None
    """Shedding priority; that of the service if None."""


class Move(validation.Model):
    """Version rollout of a service."""

    to: _Version
    """Version to move to."""
    start_ms: Annotated[int, pydantic.Field(ge=0)]
    """Start in milliseconds since the epoch."""
    deadline_ms: Annotated[int, pydantic.Field(ge=0)]
    """Time by which the rollout is completed, in milliseconds since the epoch."""

    @pydantic.model_validator(mode='after')
    def _deadline_after_start(self) -> Move:
        if self.deadline_ms <= self.start_ms:
            raise ValueError(
                f'deadline_ms ({self.deadline_ms}) must be after start_ms ({self.start_ms})',
            )
        return self


class Service(validation.Model):
    """One service and its targets."""

    targets: Targets = Targets()
    """Targets for latency, safety and cost."""
    probe_budget_percent: Annotated[float, pydantic.Field(ge=0, le=10)] = 1
    """Share of a backend server's slot time that probes may use."""
    hedge: bool = True
    """Whether slow repeatable calls may be sent to a second host."""
    criticality: _Criticality = call.Criticality.NORMAL
    """Shedding priority of calls whose route sets none."""
    routes: Annotated[tuple[Route, ...], pydantic.Field(strict=False)] = ()
    """Routes; the first match wins."""
    version: _Version
    """Version in service."""
    move: Move | None = None
    """Rollout of another version, if any."""

    @pydantic.model_validator(mode='after')
    def _consistent(self) -> Service:
        problems = []
        if self.move is not None and self.move.to == self.version:
            problems.append(f'move.to must differ from version, both are {self.version!r}')
        counts = Counter(route.name for route in self.routes)
        repeated = [name for name, count in counts.items() if count > 1]
        if repeated:
            problems.append(f'route names must be unique, repeated: {", ".join(repeated)}')
        if problems:
            raise ValueError('; '.join(problems))
        return self


class Zone(validation.Model):
    """One availability zone."""

    state: Annotated[ZoneState, pydantic.Field(strict=False)] = ZoneState.IN
    """Whether the zone receives traffic."""
    ramp_ms: Annotated[int, pydantic.Field(ge=0, le=3_600_000)] = 30_000
    """Time in milliseconds over which the zone's traffic share grows after its return."""


class Document(validation.Model):
    """Configuration of all services and zones."""

    services: dict[_ServiceKey, Service] = {}
    """Services by name, which is the first label of the `Host` header."""
    zones: dict[_ZoneKey, Zone] = {}
    """Zones by name; a zone that is not listed is in."""


def parse(data: object, place: str) -> expression.Result[Document, findings.Findings]:
    """Validate a document.

    Args:
        data: Parsed JSON.
        place: Name of the input, such as its file.

    Returns:
        The document, or all findings.
    """
    try:
        return expression.Ok(Document.model_validate(data))
    except pydantic.ValidationError as error:
        return expression.Error(validation.findings_of(error, place))


def to_json(document: Document) -> dict[str, Any]:
    """Return the document as JSON data, without defaults that were not set explicitly."""
    return document.model_dump(mode='json', exclude_unset=True)


def patch_document(
    config: Document,
    patch: dict[str, Any],
    place: str,
) -> expression.Result[Document, findings.Findings]:
    """Apply a merge patch to a document and validate the services and zones in the patch.

    Validating the whole document would block the reactor with hundreds of services.

    Args:
        config: Valid document; it is not changed.
        patch: JSON merge patch.
        place: Name of the document in findings.

    Returns:
        The result that `parse` gives for the whole patched document.
    """
    has_known_sections = patch.keys() <= Document.model_fields.keys()
    if not has_known_sections or not all(isinstance(names, dict) for names in patch.values()):
        return parse(merge_patch(to_json(config), patch), place)
    current = {
        section: _dump_entries(getattr(config, section), names) for section, names in patch.items()
    }
    return parse(merge_patch(current, patch), place).map(
        lambda changed: config.model_copy(
            update={
                section: _replace_entries(
                    getattr(config, section), getattr(changed, section), names
                )
                for section, names in patch.items()
            },
        ),
    )


def _dump_entries(
    entries: Mapping[str, pydantic.BaseModel], names: Iterable[str]
) -> dict[str, Any]:
    return {
        name: entries[name].model_dump(mode='json', exclude_unset=True)
        for name in names
        if name in entries
    }


def _replace_entries(
    entries: Mapping[str, Any],
    changed: Mapping[str, Any],
    names: Container[str],
) -> dict[str, Any]:
    unchanged = {name: entry for name, entry in entries.items() if name not in names}
    return {**unchanged, **changed}


def depth_exceeds(value: object, bound: int) -> bool:
    """Return whether a JSON value nests deeper than a limit, without recursion."""
    level = [value]
    for _ in range(bound):
        level = [inner for outer in level for inner in _children(outer)]
        if not level:
            return False
    return True


def _children(value: object) -> Iterable[object]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def merge_patch(target: object, patch: object) -> Any:
    """Apply a JSON merge patch (RFC 7396).

    Args:
        target: Value to patch; it is not changed.
        patch: Keys to set; `None` removes a key.

    Returns:
        The patched value, which may share parts with the arguments.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, part in patch.items():
        if part is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), part)
    return merged
