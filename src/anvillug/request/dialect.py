"""Interface to the headers that callers and backend servers speak.

The code that carries calls knows what a message says, not how it is spelled.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol as Interface

from anvillug import ids
from anvillug.connection import http_head


class ReplyKind(enum.Enum):
    """What an answer of a backend server says about the call."""

    ANSWER = 'answer'
    """The backend server's own answer to this call, a failure included."""
    NOT_RUN = 'not-run'
    """The backend server has not run the call."""
    OTHER_INSTANCE = 'other-instance'
    """Another instance has the address; it has not run the call."""
    FOREIGN = 'foreign'
    """Not an answer to this call."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a backend server tells with an answer."""

    running: int
    """Requests that run."""
    waiting: int
    """Requests that wait for a slot."""
    slots: int
    """Requests that can run at once."""
    slowness: float
    """How long work takes at this moment, 100 as usual."""
    fault_share: float = 0.0
    """Share of recent runs that failed or were slow; added by the node beside the server."""


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """What the health check of a backend server says."""

    healthy: bool
    """Whether the backend server takes itself for healthy and is not leaving."""
    instance: ids.InstanceId
    """Instance that answered, empty where it does not say."""
    cold_ms: float
    """How much longer the backend server stays cold, in milliseconds."""
    load: ReportedLoad | None
    """Load, where the service tells it."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerTerms:
    """What a caller says about its request."""

    attempt_id: str
    """Id of the caller's attempt, empty where there is none."""
    deadline_ms: float
    """How long the caller waits in milliseconds; infinite where it does not say."""


class Dialect(Interface):
    """Reads and writes the headers of callers and backend servers."""

    def read_terms(self, head: http_head.RequestHead) -> CallerTerms:
        """Read what a caller says about its request."""

    def forward_headers(
        self,
        head: http_head.RequestHead,
        caller_service: str,
    ) -> list[http_head.Header]:
        """Return the headers of a request for the backend server, without the time left.

        Args:
            head: Head as the caller sent it.
            caller_service: Service beside which the request began.
        """

    def dispatch_headers(
        self, deadline_ms: float, instance: ids.InstanceId
    ) -> list[http_head.Header]:
        """Return the headers that are set when a request goes to the backend server.

        Args:
            deadline_ms: Time that is left in milliseconds.
            instance: Instance that is to run the request.
        """

    def classify(self, head: http_head.ResponseHead, attempt_id: str) -> ReplyKind:
        """Tell what an answer says about the call with an attempt id."""

    def read_load(self, head: http_head.ResponseHead) -> ReportedLoad | None:
        """Return the load that an answer tells."""

    def read_health(self, head: http_head.ResponseHead) -> HealthReport:
        """Read the answer to a health check."""

    def retry_headers(self, wait_ms: float) -> list[http_head.Header]:
        """Return the headers that tell a caller when to come back."""
