"""Interface to the headers of callers and backend servers.

The code that processes calls depends on the meaning of the headers, not on their names and syntax.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Sequence
from typing import Any, NamedTuple
from typing import Protocol as Interface

from anvillug import ids, wire_value
from anvillug.connection import http_head

# Fields of a load in messages of all releases.
_LOAD_FIELDS = 4


class ReplyKind(enum.Enum):
    """Meaning of a backend server's response for the call."""

    RESPONSE = 'answer'
    """The backend server's response to this call, also if it is an error."""
    NOT_RUN = 'not-run'
    """The backend server has not run the call."""
    OTHER_INSTANCE = 'other-instance'
    """Another instance uses the address; it has not run the call."""
    FOREIGN = 'foreign'
    """The response belongs to another call."""


NORMAL_SLOWNESS = 100.0
"""Slowness that a backend server reports at its normal speed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a backend server reports with a response."""

    running: int
    """Requests that are running."""
    waiting: int
    """Requests that are waiting for a slot."""
    slots: int
    """Requests that can run at once."""
    slowness: float
    """Current duration of work in percent of the typical duration."""
    fault_share: float = 0.0
    """Share of recent runs that failed or were slow; added by the node beside the server."""


def unpack_load(packed: Sequence[Any] | None) -> ReportedLoad | None:
    """Decode a load from a message of another node.

    Args:
        packed: The fields of `ReportedLoad`, of which the last may be left out; None for no load.

    Raises:
        ValueError, TypeError: If it is malformed.
    """
    if packed is None:
        return None
    *counts, slowness = packed[:_LOAD_FIELDS]
    running, waiting, slots = (wire_value.natural(count, 'load') for count in counts)
    fault_shares = packed[_LOAD_FIELDS:]
    return ReportedLoad(
        running,
        waiting,
        slots,
        wire_value.number(slowness, 'slowness'),
        *(wire_value.number(share, 'fault share') for share in fault_shares),
    )


class HealthReport(NamedTuple):
    """Result of the health check of a backend server."""

    healthy: bool
    """Whether the backend server reports that it is healthy and not leaving."""
    instance: ids.InstanceId
    """Instance that responded; empty if it is not reported."""
    cold_ms: float
    """Milliseconds for which the backend server remains cold."""
    load: ReportedLoad | None
    """Load; None if it is not reported."""


class CallAttributes(NamedTuple):
    """Attempt id and time limit that a caller sets for its request."""

    attempt_id: str
    """Attempt id from the caller's headers; empty if there is none."""
    deadline_ms: float
    """Milliseconds that the caller waits; infinite if it sets no limit."""


class Dialect(Interface):
    """Reads and writes the headers of callers and backend servers."""

    def read_attributes(self, head: http_head.RequestHead) -> CallAttributes:
        """Read the attempt id and the time limit of a request."""

    def forward_headers(
        self,
        head: http_head.RequestHead,
        caller_service: str,
        tenant: ids.TenantName | None = None,
    ) -> list[http_head.Header]:
        """Return the headers of a request for the backend server, except those of its dispatch.

        Args:
            head: Head as the caller sent it.
            caller_service: Service from whose host the request was sent.
            tenant: Tenant that the headers name as the caller's, whatever the caller sent, in
                place of its key; empty on a route that needs no key. If it is None, there are no
                tenants, and the caller's headers stay.
        """

    def read_caller(self, head: http_head.RequestHead) -> str:
        """Return the service that `forward_headers` names as the caller; empty if none."""

    def dispatch_headers(
        self, deadline_ms: float, instance: ids.InstanceId
    ) -> list[http_head.Header]:
        """Return the headers that are set when a request goes to the backend server.

        Args:
            deadline_ms: Milliseconds left until the deadline.
            instance: Instance that is to run the request.
        """

    def classify(self, head: http_head.ResponseHead, attempt_id: str) -> ReplyKind:
        """Classify a response to the call with an attempt id."""

    def echoed_id(self, head: http_head.ResponseHead) -> str:
        """Return the attempt id that a response names; empty if it names none."""

    def read_load(self, head: http_head.ResponseHead) -> ReportedLoad | None:
        """Return the load that a response reports."""

    def read_health(self, head: http_head.ResponseHead) -> HealthReport:
        """Read the response to a health check."""

    def retry_headers(self, wait_ms: float) -> list[http_head.Header]:
        """Return the headers that tell a caller when to retry."""
