"""Evidence on versions from this node and its peers."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


class EvidencePool:
    """Summaries of evidence that gossip passes on."""

    def summaries(self, limit: int) -> Sequence[bytes]:
        """Return summaries to pass on, this host's own first."""
        return ()

    def merge(self, summaries: Iterable[bytes]) -> None:
        """Take the summaries of a peer."""
