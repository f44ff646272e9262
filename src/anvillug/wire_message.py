"""Decodes messages of other processes, which may be of any form.

A message of a few bytes for each value takes up to seventy times its size once it is decoded.
"""

from __future__ import annotations

from typing import Any

import msgpack

# Smaller messages can't hold enough values to matter.
_MIN_CHECKED_BYTES = 64 * 1024
# More than the lines of the largest head of a response, each of which counts four times.
_MAX_ITEMS = 288 * 1024


def unpack(message: bytes | bytearray) -> Any:
    """Decode a message.

    Raises:
        ValueError: If it is malformed, or has more values than any message of a node.
        msgpack.UnpackException: If it is malformed.
    """
    if len(message) < _MIN_CHECKED_BYTES:
        return msgpack.unpackb(message)
    items = _ItemCount()
    return msgpack.unpackb(
        message,
        list_hook=items.add,
        object_hook=items.add,
        max_array_len=_MAX_ITEMS,
        max_map_len=_MAX_ITEMS,
    )


class _ItemCount:
    """Number of values of one message."""

    def __init__(self) -> None:
        self._count = 0

    def add(self, container: list[Any] | dict[Any, Any]) -> list[Any] | dict[Any, Any]:
        """Count a list or a map with its values."""
        self._count += 1 + len(container)
        if self._count > _MAX_ITEMS:
            raise ValueError(f'message has more than {_MAX_ITEMS} values')
        return container
