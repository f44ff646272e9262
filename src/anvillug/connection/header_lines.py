"""Headers of a request with many lines, stored as bytes rather than as one object for each value.

A pair of short values takes some 130 bytes as objects, so that a head of 16 KB could take 1 MB.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator

Header = tuple[bytes, bytes]

MAX_PAIRS = 64
"""Number of headers up to which a list of pairs is used."""


class HeaderLines:
    """Headers in the order in which they were received.

    Args:
        headers: The first headers.
    """

    __slots__ = ('_count', '_text')

    def __init__(self, headers: Iterable[Header]) -> None:
        # Each line is `name:value` and ends with a line feed, which neither part can contain.
        self._text = bytearray(b'\n')
        self._count = 0
        for header in headers:
            self.append(header)

    def append(self, header: Header) -> None:
        """Add a header; a line feed in a value that continued on the next line becomes a space."""
        name, value = header
        self._text += b'%b:%b\n' % (name, value.replace(b'\n', b' '))
        self._count += 1

    def first(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent; the name is in lower case."""
        start = self._text.lower().find(b'\n%b:' % name)
        if start < 0:
            return None
        value_start = start + len(name) + 2
        return bytes(self._text[value_start : self._text.index(b'\n', value_start)])

    def remove(self, name: bytes) -> None:
        """Remove all headers of a name."""
        line = rb'(?<=\n)%b:[^\n]*\n' % re.escape(name)
        text, count = re.subn(line, b'', self._text, flags=re.IGNORECASE)
        self._text = bytearray(text)
        self._count -= count

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Header]:
        start = 1
        while start < len(self._text):
            colon = self._text.index(b':', start)
            end = self._text.index(b'\n', colon)
            yield bytes(self._text[start:colon]), bytes(self._text[colon + 1 : end])
            start = end + 1

    def __eq__(self, other: object) -> bool:
        return isinstance(other, list | HeaderLines) and list(self) == list(other)

    __hash__ = None
