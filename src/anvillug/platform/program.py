"""Runs a node in the platform and checks its settings file."""

from __future__ import annotations

import gc
import pathlib
from typing import Any

from anvillug import clock, event_log, findings, ids
from anvillug.platform import documents, headers, settings
from anvillug.process import (
    duty_holder,
    duty_settings,
    lifetime,
    mesh_settings,
    plain_tcp,
    settings_watch,
)
from anvillug.version import rollout

_EXIT_BAD_INPUT = 2


class _StatusCodec:
    """Codec of rollout status records; see `rollout_writer.StatusCodec`."""

    def key(self, service: ids.ServiceName) -> str:
        """Return the record key of a service's rollout."""
        return f'{documents.ROLLOUT_PREFIX}{service}'

    def encode(self, status: rollout.Status) -> bytes:
        """Encode a status."""
        return documents.encode_status(status)

    def decode(self, key: str, value: bytes) -> rollout.Status | None:
        """Decode a status from its record; return None for any other record."""
        if not key.startswith(documents.ROLLOUT_PREFIX):
            return None
        service = ids.ServiceName(key.removeprefix(documents.ROLLOUT_PREFIX))
        return documents.decode_status(service, value)


def check(path: pathlib.Path) -> int:
    """Check a settings file and print the findings.

    Args:
        path: Settings file.

    Returns:
        Exit code: 0 for valid settings, else 2.
    """
    loaded = settings.load(path)
    if isinstance(loaded, tuple):
        lifetime.print_error(findings.report(loaded))
        return _EXIT_BAD_INPUT
    return 0


def run(path: pathlib.Path) -> int:
    """Run a node until SIGTERM; it waits for valid settings and for addresses in use.

    Args:
        path: Settings file.

    Returns:
        Exit code: 0 after a graceful stop, 2 for an address that can never be used.
    """
    time = clock.SystemClock()
    log_lines = event_log.set_up_bounded(lifetime.STANDARD_OUTPUT, time)
    version, valid = settings_watch.load_at_start(path, settings.load, time)
    plain_tcp.disable_tls()
    from anvillug.process import event_loop  # noqa: PLC0415

    event_loop.install()
    from twisted.internet import reactor  # noqa: PLC0415

    from anvillug.platform import node_start, store  # noqa: PLC0415
    from anvillug.process import error_reports, mesh_node  # noqa: PLC0415

    # What was imported stays; later collections don't search it.
    gc.freeze()
    gc.enable()
    error_reports.forward_twisted_errors()

    def build(current: mesh_settings.MeshSettings) -> mesh_node.MeshNode:
        return mesh_node.MeshNode(
            reactor,
            current,
            time,
            store.Store(reactor, current.store_address),
            mesh_node.Topics(
                store.OPERATOR_TOPIC, store.STATUS_TOPIC, store.MEMBER_TOPIC, store.DUTY_TOPIC
            ),
            headers.PlatformDialect(),
            documents.decode_directives,
            _StatusCodec(),
            log_lines,
            lambda duty: _reporter(reactor, duty),
        )

    start = node_start.NodeStart(reactor, path, build, valid, version)
    if not start.status:
        reactor.run(installSignalHandlers=False)
    return start.status


def _reporter(reactor: Any, duty: duty_settings.DutySettings) -> duty_holder.Reporter:
    """Return the sender of usage reports; its library is loaded only where there are any."""
    from anvillug.platform import cloud  # noqa: PLC0415

    return cloud.Cloud(reactor, duty)
