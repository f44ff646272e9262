"""Jobs, each of which carries one attempt to a host, and their results."""

from __future__ import annotations

import dataclasses
import enum
import math

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.request import dialect
from anvillug.version import directives


class ResultKind(enum.Enum):
    """Outcome of a job that was sent to a host, as far as it is known."""

    ANSWERED = 'answered'
    """The complete response of the backend server was received."""
    REFUSED = 'refused'
    """The host rejected the job; its backend server has not received it and will not."""
    WILLING = 'willing'
    """The host would accept the job; result of an inquiry, which starts no run."""
    SHED = 'shed'
    """The backend server received the job and reported that it has not run it."""
    UNKNOWN = 'unknown'
    """The job may have run; no complete response was received."""


@dataclasses.dataclass(slots=True)
class Job:
    """One attempt of a call, as it is sent to a host."""

    attempt_id: str
    """Attempt id from the caller's headers."""
    service: ids.ServiceName
    """Service that the request is routed to."""
    route: ids.RouteName
    """Route of the request."""
    head: http_head.RequestHead
    """Method, target and headers for the backend server."""
    body: bytes
    """Complete body."""
    deadline: clock.Milliseconds
    """Monotonic time on this host after which the result is no longer needed."""
    repeatable: bool
    """Whether the request may run more than once."""
    priority: int
    """Priority under overload; 0 is the highest."""
    position: directives.Position
    """Position of the directives that the request was routed by."""
    instance: ids.InstanceId
    """Instance of the backend server that the sender selected."""
    must_accept: bool = False
    """Whether the host must accept the job even while it is slow."""
    tenant: ids.TenantName = ids.TenantName('')
    """Tenant whose key the caller sent; empty if the request needs none."""
    origin_zone: ids.ZoneName = ids.ZoneName('')
    """Availability zone of the caller."""
    objective: clock.Milliseconds = clock.Milliseconds(math.inf)
    """Monotonic time on this host until which the response meets its latency objective."""

    @property
    def size(self) -> int:
        """Size of the body in bytes."""
        return len(self.body)

    def release_body(self) -> None:
        """Release the body once it is not sent any more.

        The objects of a run refer to each other, and may be collected much later.
        """
        self.body = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of a job."""

    kind: ResultKind
    """Outcome."""
    reason: str = ''
    """Why there is no response."""
    head: http_head.ResponseHead | None = None
    """Status and end-to-end headers of the response."""
    body: bytes = b''
    """Body of the response."""
    load: dialect.ReportedLoad | None = None
    """Most recently reported load of the backend server."""
    position: directives.Position = directives.ORIGIN
    """Position of the directives in effect at the host."""
    retry_after_ms: float = 0.0
    """Expected time in milliseconds until the host has room for the job; 0 if unknown."""
    node_failed: bool = False
    """Whether the node beside the backend server did not respond or could not be reached."""

    @property
    def is_version_evidence(self) -> bool:
        """Whether the result is evidence on the backend server's version.

        Sheds, rejections and failures of nodes are not: they say nothing about the version.
        """
        connection_broke = self.kind is ResultKind.UNKNOWN and not self.node_failed
        return connection_broke or self.kind is ResultKind.ANSWERED

    @property
    def failed(self) -> bool:
        """Whether the backend server responded with a server error."""
        return self.head is not None and self.head.status >= _MIN_SERVER_ERROR_STATUS


_MIN_SERVER_ERROR_STATUS = 500
