"""A request on its way to a backend server, and what became of it."""

from __future__ import annotations

import dataclasses
import enum

from anvillug import clock, ids
from anvillug.connection import http_head
from anvillug.request import dialect
from anvillug.version import directives


class ResultKind(enum.Enum):
    """What is known of a job that was handed to a host."""

    ANSWERED = 'answered'
    """The backend server's whole answer is here."""
    REFUSED = 'refused'
    """The host has not offered the job to its backend server, and will not."""
    WILLING = 'willing'
    """The host would take the job; it has been asked only."""
    SHED = 'shed'
    """The backend server got the job and says that it has not run it."""
    UNKNOWN = 'unknown'
    """The job may have run; there is no whole answer."""


@dataclasses.dataclass(slots=True)
class Job:
    """One try of a request at one host."""

    attempt_id: str
    """Id of the caller's attempt."""
    service: ids.ServiceName
    """Service that is to run the request."""
    route: ids.RouteName
    """Route of the request."""
    head: http_head.RequestHead
    """Method, target and headers for the backend server."""
    body: bytes
    """Whole body."""
    deadline: clock.Milliseconds
    """Monotonic time on this host after which the work is of no use."""
    repeatable: bool
    """Whether the request may run more than once."""
    priority: int
    """Rank under overload, 0 is the most important."""
    position: directives.Position
    """Position of the directives that the request was routed by."""
    instance: ids.InstanceId
    """Instance that the sender has chosen."""
    insists: bool = False
    """Whether the host should take the job even while it is slow."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of a job."""

    kind: ResultKind
    """What is known."""
    reason: str = ''
    """Why there is no answer."""
    head: http_head.ResponseHead | None = None
    """Status and end-to-end headers of the answer."""
    body: bytes = b''
    """Body of the answer."""
    load: dialect.ReportedLoad | None = None
    """Newest load of the backend server."""
    position: directives.Position = directives.Position(0)
    """Position of the directives at the host."""
    node_failed: bool = False
    """Whether the node beside the backend server broke off or could not be reached."""

    @property
    def tells_of_version(self) -> bool:
        """Whether the result is evidence on the backend server's version."""
        broke_off = self.kind is ResultKind.UNKNOWN and not self.node_failed
        return broke_off or self.kind is ResultKind.ANSWERED

    @property
    def failed(self) -> bool:
        """Whether the backend server answered with a failure of its own."""
        return self.head is not None and self.head.status >= _SERVER_ERROR


_SERVER_ERROR = 500
