"""Conversion of pydantic errors to findings, and base types of validated models."""

from __future__ import annotations

from typing import Annotated, Any

import pydantic

from anvillug import findings, network_address


class Model(pydantic.BaseModel):
    """Base of input models: immutable, without unknown keys or type conversions."""

    model_config = pydantic.ConfigDict(
        extra='forbid',
        frozen=True,
        strict=True,
        allow_inf_nan=False,
        use_attribute_docstrings=True,
    )


def findings_of(error: pydantic.ValidationError, place: str) -> findings.Findings:
    """Convert a validation error to findings, one for each of its errors.

    Args:
        error: Error raised by the validation of a model.
        place: Name of the input, such as its file.

    Returns:
        Findings in the order of the model's fields.
    """
    return tuple(
        findings.Finding(_join(place, detail['loc']), _message_of(detail))
        for detail in error.errors(include_url=False, include_context=False)
    )


def _message_of(detail: Any) -> str:
    if detail['type'] == 'extra_forbidden':
        return 'unknown key'
    if detail['type'] == 'missing':
        return 'required key is missing'
    message = str(detail['msg']).removeprefix('Value error, ')
    if isinstance(detail['input'], (str, int, float)):
        return f'{message}, got {detail["input"]!r}'
    return message


def _join(place: str, location: tuple[int | str, ...]) -> str:
    if not location:
        return place
    path = '.'.join(str(part) for part in location if part != '[key]')
    return f'{place}: {path}'


Address = Annotated[str, pydantic.AfterValidator(network_address.check_address)]
