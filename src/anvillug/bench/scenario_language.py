"""Parser of scenario files."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from importlib import resources
from typing import Any

import expression
import lark

from anvillug import findings
from anvillug.bench import scenario_steps as steps

GRAMMAR_FILE = 'scenario_grammar.lark'
_MS_PER_SECOND = 1000
_PERCENT = 100
_NULL: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedStep:
    """A step with its source and its position in the file."""

    line: int
    """Line on which the step begins, from 1."""
    text: str
    """Source of the step; each run of white space is one space."""
    step: Any
    """One of the classes of `scenario_steps`."""


def _read_grammar() -> str:
    return resources.files('anvillug.bench').joinpath(GRAMMAR_FILE).read_text(encoding='utf-8')


def load(path: pathlib.Path) -> expression.Result[tuple[ParsedStep, ...], findings.Findings]:
    """Read and parse a scenario file.

    Args:
        path: The file.

    Returns:
        The steps, or a finding: a syntax error names file, line and column.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error(findings.single(str(path), f'cannot be read: {error}'))
    return parse(text, str(path))


def parse(text: str, place: str) -> expression.Result[tuple[ParsedStep, ...], findings.Findings]:
    """Parse the text of a scenario.

    Args:
        text: The scenario.
        place: Name of the input for findings, such as the path of the file.

    Returns:
        The steps, or a finding with place, line and column.
    """
    parser = lark.Lark(
        _read_grammar(), parser='lalr', propagate_positions=True, maybe_placeholders=True
    )
    try:
        tree = parser.parse(text)
    except lark.UnexpectedEOF as error:
        line = text.count('\n') + 1
        alternatives = ', '.join(sorted(error.expected))
        return expression.Error(
            findings.single(
                f'{place}:{line}:1', f'unexpected end of file; expected: {alternatives}'
            )
        )
    except lark.UnexpectedInput as error:
        return expression.Error(
            findings.single(
                f'{place}:{error.line}:{error.column}', _syntax_error_message(error, text)
            ),
        )
    builder = _Builder()
    return expression.Ok(tuple(_parsed_step(child, builder, text) for child in tree.children))


def _parsed_step(tree: lark.Tree[Any], builder: _Builder, text: str) -> ParsedStep:
    meta = tree.meta
    line_start = text.rfind('\n', 0, meta.start_pos) + 1
    source = ' '.join(text[line_start : meta.end_pos].split())
    return ParsedStep(meta.line, source, builder.transform(tree))


def _syntax_error_message(error: lark.UnexpectedInput, text: str) -> str:
    if isinstance(error, lark.UnexpectedToken):
        alternatives = ', '.join(sorted(error.accepts or error.expected))
        if error.token.type == '$END':
            return f'unexpected end of file; expected: {alternatives}'
        return f'{str(error.token)!r} is not expected here; expected: {alternatives}'
    position = error.pos_in_stream or 0
    return f'{text[position]!r} is not expected here'


def _duration_ms(text: str) -> float:
    if text.endswith('ms'):
        return float(text.removesuffix('ms'))
    return float(text.removesuffix('s')) * _MS_PER_SECOND


def _number(text: str) -> float | int:
    return float(text) if '.' in text else int(text)


def _decode_string(token: lark.Token | None) -> str:
    return '' if token is None else json.loads(token)


def _name_or_empty(token: lark.Token | None) -> str:
    return '' if token is None else str(token)


@lark.v_args(inline=True)
class _Builder(lark.Transformer[Any, Any]):
    """Builds steps and values from the parse tree; each method handles the rule of its name."""

    def options(self, *pairs: tuple[str, Any]) -> dict[str, Any]:
        return dict(pairs)

    def option(self, name: lark.Token, value: Any) -> tuple[str, Any]:
        return str(name), value

    def object(self, *pairs: tuple[str, Any]) -> dict[str, Any]:
        return dict(pairs)

    def pair(self, key: lark.Token, value: Any) -> tuple[str, Any]:
        return _decode_string(key), value

    def array(self, *entries: Any) -> list[Any]:
        return list(entries)

    def string(self, token: lark.Token) -> str:
        return _decode_string(token)

    def number(self, token: lark.Token) -> float | int:
        return _number(token)

    def percent(self, token: lark.Token) -> float:
        return float(token.removesuffix('%')) / _PERCENT

    def duration(self, token: lark.Token) -> float:
        return _duration_ms(token)

    def moment(self, token: lark.Token) -> steps.RelativeTime:
        offset = token.removeprefix('now')
        return steps.RelativeTime(_duration_ms(offset) if offset else 0)

    def name(self, token: lark.Token) -> str:
        return _name_or_empty(token)

    def true(self) -> bool:
        return True

    def false(self) -> bool:
        return False

    def null(self) -> Any:
        return _NULL

    def bound(self, operator: lark.Token, limit: lark.Token) -> steps.Bound:
        if limit.type == 'PERCENT':
            return steps.Bound(str(operator), self.percent(limit), relative=True)
        if limit.type == 'DURATION':
            return steps.Bound(str(operator), _duration_ms(limit), relative=False)
        return steps.Bound(str(operator), _number(limit), relative=False)

    def against(self, number: lark.Token) -> int:
        return int(number)

    def decision(self, expected: lark.Token, reason: lark.Token | None) -> tuple[str, str]:
        return str(expected), _decode_string(reason)

    outcome = decision

    def via(self, *names: lark.Token) -> tuple[str, ...]:
        return tuple(str(name) for name in names)

    def kind(self, method: lark.Token, path: lark.Token, options: steps.Options) -> steps.Kind:
        return steps.Kind(str(method), _decode_string(path), options)

    def log(self, options: steps.Options) -> steps.Log:
        return steps.Log(options)

    def host(self, name: lark.Token, options: steps.Options) -> steps.Host:
        return steps.Host(str(name), options)

    def start_hosts(self) -> steps.StartHosts:
        return steps.StartHosts()

    def publish(
        self,
        name: lark.Token | None,
        patch: Any,
        against: int | None,
        decision: tuple[str, str] | None,
    ) -> steps.Publish:
        expected, reason = decision or ('accepted', '')
        return steps.Publish(_name_or_empty(name), patch, against, expected, reason)

    def race(self, *patches: Any) -> steps.Race:
        return steps.Race(patches)

    def wait(self, duration: lark.Token) -> steps.Wait:
        return steps.Wait(_duration_ms(duration))

    def load(
        self,
        name: lark.Token,
        rate: lark.Token,
        duration: lark.Token,
        via: tuple[str, ...] | None,
        options: steps.Options,
        *kinds: steps.Kind,
    ) -> steps.Load:
        per_second = float(rate.removesuffix('/s'))
        return steps.Load(
            _name_or_empty(name), per_second, _duration_ms(duration), via or (), options, kinds
        )

    def upload(
        self,
        name: lark.Token,
        path: lark.Token,
        size: lark.Token,
        duration: lark.Token,
        via: lark.Token,
        options: steps.Options,
    ) -> steps.Upload:
        duration_ms = _duration_ms(duration)
        return steps.Upload(
            _name_or_empty(name), _decode_string(path), int(size), duration_ms, str(via), options
        )

    def call(
        self,
        method: lark.Token,
        path: lark.Token,
        via: tuple[str, ...],
        options: steps.Options,
        outcome: tuple[str, str],
    ) -> steps.Call:
        return steps.Call(str(method), _decode_string(path), via, options, *outcome)

    def background(self, step: Any) -> steps.Background:
        return steps.Background(step)

    def finish(self, name: lark.Token) -> steps.Finish:
        return steps.Finish(str(name))

    def fault(
        self, target: lark.Token, name: lark.Token | None, *pairs: tuple[str, Any]
    ) -> steps.Fault:
        return steps.Fault(str(target), _name_or_empty(name), dict(pairs))

    def signal_process(
        self, action: lark.Token, process: lark.Token, name: lark.Token | None
    ) -> steps.SignalProcess:
        return steps.SignalProcess(str(action), str(process), _name_or_empty(name))

    def restart(
        self, process: lark.Token, name: lark.Token, options: steps.Options
    ) -> steps.Restart:
        return steps.Restart(str(process), str(name), options)

    def drain(self, name: lark.Token) -> steps.Drain:
        return steps.Drain(str(name))

    def mark(self, name: lark.Token) -> steps.Mark:
        return steps.Mark(str(name))

    def expect_load(
        self, name: lark.Token, metric: lark.Token, bound: steps.Bound
    ) -> steps.ExpectLoad:
        return steps.ExpectLoad(str(name), str(metric), bound)

    def expect_upload(self, name: lark.Token) -> steps.ExpectUpload:
        return steps.ExpectUpload(str(name))

    def expect_host(
        self, name: lark.Token, metric: lark.Token, since: lark.Token, bound: steps.Bound
    ) -> steps.ExpectHost:
        return steps.ExpectHost(str(name), str(metric), str(since), bound)

    def expect_share(
        self, version: lark.Token, since: lark.Token, bound: steps.Bound
    ) -> steps.ExpectShare:
        return steps.ExpectShare(str(version), str(since), bound)

    def expect_configuration(
        self, number: lark.Token, within: lark.Token
    ) -> steps.ExpectConfiguration:
        return steps.ExpectConfiguration(int(number), _duration_ms(within))

    def expect_ended(self, name: lark.Token, within: lark.Token) -> steps.ExpectEnded:
        return steps.ExpectEnded(str(name), _duration_ms(within))

    def expect_move(
        self, service: lark.Token, state: lark.Token, within: lark.Token
    ) -> steps.ExpectRollout:
        return steps.ExpectRollout(str(service), str(state), _duration_ms(within))

    def expect_invariants(self) -> steps.ExpectInvariants:
        return steps.ExpectInvariants()
