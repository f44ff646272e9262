"""Settings of a node, read once at start from a file of JSON with comments."""

from __future__ import annotations

import pathlib
import re
from collections.abc import Iterator
from typing import Annotated, Any, Literal

import expression
import pydantic
import pyjson5

from anvillug import findings, ids, validation

_Name = Annotated[str, pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*$', max_length=64)]
_PositiveInt = Annotated[int, pydantic.Field(gt=0)]


class Limits(validation.Model):
    """Limits on the memory that a node uses."""

    max_header_bytes: _PositiveInt = 64 * 1024
    """Longest head of a request or response in bytes; a longer one is rejected."""
    kept_answer_bytes: _PositiveInt = 8 * 1024 * 1024
    """Total bytes of responses that the host side retains for calls whose connection broke."""
    call_table_entries: _PositiveInt = 32768
    """Maximum number of calls in the call table; 140 calls/s, retained for 120 s, need 16,800."""
    client_memory_bytes: _PositiveInt = 64 * 1024 * 1024
    """Bytes held for all clients together; past it, those that hold most for longest are closed."""
    caller_connections: _PositiveInt | None = None
    """Maximum number of connections of callers; by default a sixth of the process's descriptors."""
    process_memory_bytes: _PositiveInt | None = None
    """Private memory that ends the process; its state is logged from a half of it on."""


class Timeouts(validation.Model):
    """Timeouts in milliseconds."""

    silence_ms: _PositiveInt = 30_000
    """Maximum time without a byte after which a call is resolved on a new connection."""
    connect_ms: _PositiveInt = 1000
    """Timeout for opening a connection."""
    sample_ms: _PositiveInt = 250
    """Timeout for the response to a request for a load sample."""
    head_ms: _PositiveInt = 30_000
    """Maximum time from the first byte of a request head to its end; then 408."""
    idle_ms: _PositiveInt = 600_000
    """Maximum time between requests on a connection of a caller; then it is closed."""


class Settings(validation.Model):
    """Settings of one node."""

    host_id: Annotated[ids.HostId, pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*$')]
    """Name of this host, unique among all hosts."""
    region: ids.RegionName
    """Region of this host."""
    zone: ids.ZoneName
    """Availability zone of this host, as named in the configuration document."""
    caller_address: validation.Address
    """Listener for callers, as IP:port."""
    peer_address: validation.Address
    """Listener for calls from other nodes, as IP:port."""
    advertised_peer_address: validation.Address | None = None
    """Address that other nodes connect to, where it differs from `peer_address`."""
    control_address: validation.Address
    """Listener for control messages between nodes, as IP:port."""
    operator_address: validation.Address
    """Listener for operators and for the local backend server, as IP:port."""
    log_address: validation.Address
    """Address of the platform log, as IP:port."""
    log_retention_ms: _PositiveInt = 24 * 3_600_000
    """How long the log retains records; snapshots are appended well within this time."""
    claim_lifetime_ms: _PositiveInt = 3_600_000
    """How long an idempotency key is held; at most half of `log_retention_ms`."""
    seeds: tuple[validation.Address, ...] = pydantic.Field(default=(), strict=False)
    """Control addresses of nodes from which members and configuration are requested at start."""
    chooser: Literal[
        'samples', 'random', 'round-robin', 'least-in-flight', 'two-choices', 'rotation'
    ] = 'samples'
    """Algorithm by which the entry side selects hosts; all but `samples` serve for comparison."""
    limits: Limits = Limits()
    """Limits on the memory that the node uses."""
    timeouts: Timeouts = Timeouts()
    """Timeouts towards other nodes and clients."""

    @pydantic.model_validator(mode='after')
    def _check_claim_lifetime(self) -> Settings:
        # A claim must not outlive its record in the log.
        if 2 * self.claim_lifetime_ms > self.log_retention_ms:
            raise ValueError('claim_lifetime_ms must be at most half of log_retention_ms')
        return self

    @pydantic.model_validator(mode='after')
    def _check_listeners_differ(self) -> Settings:
        listeners = (
            self.caller_address,
            self.peer_address,
            self.control_address,
            self.operator_address,
        )
        if len(set(listeners)) < len(listeners):
            raise ValueError('the four listeners must have different addresses')
        return self


def load(path: pathlib.Path) -> expression.Result[Settings, findings.Findings]:
    """Read and validate a settings file.

    Args:
        path: File of JSON with comments.

    Returns:
        The settings, or all findings, each with the file and the key that it refers to.
    """
    return read_json(path).bind(lambda data: parse(data, str(path)))


def parse(data: object, place: str) -> expression.Result[Settings, findings.Findings]:
    """Validate settings that were already parsed from JSON.

    Args:
        data: Parsed JSON.
        place: Name of the input for findings, such as the path of its file.

    Returns:
        The settings, or all findings.
    """
    try:
        return expression.Ok(Settings.model_validate(data))
    except pydantic.ValidationError as error:
        return expression.Error(validation.findings_of(error, place))


def read_json(path: pathlib.Path) -> expression.Result[Any, findings.Findings]:
    """Read a file of JSON with comments.

    Args:
        path: File to read.

    Returns:
        The parsed value, or a finding with the line of the error.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error(findings.single(str(path), f'cannot be read: {error}'))
    try:
        return expression.Ok(pyjson5.decode(text))
    except pyjson5.Json5DecoderException as error:
        place = f'{path}:{_line_of(str(error), text)}'
        return expression.Error(findings.single(place, f'is not JSON: {error.args[0]}'))


def _line_of(message: str, text: str) -> int:
    position = re.search(r'near (\d+)', message)
    end = int(position.group(1)) if position else len(text)
    return text.count('\n', 0, max(end - 1, 0)) + 1


def reference_table() -> str:
    """Return a Markdown table of all settings, generated from the model."""
    lines = ['| setting | default | meaning |', '|---|---|---|']
    lines.extend(
        f'| `{name}` | {default} | {meaning} |' for name, default, meaning in _rows(Settings, '')
    )
    return '\n'.join((*lines, ''))


def _rows(model: type[pydantic.BaseModel], prefix: str) -> Iterator[tuple[str, str, str]]:
    for name, field in model.model_fields.items():
        path = f'{prefix}{name}'
        if isinstance(field.annotation, type) and issubclass(field.annotation, validation.Model):
            yield from _rows(field.annotation, f'{path}.')
            continue
        default = 'required' if field.is_required() else f'`{_default_text(field.default)}`'
        yield path, default, field.description or ''


def _default_text(default: object) -> str:
    return '[]' if isinstance(default, tuple) else str(default)
