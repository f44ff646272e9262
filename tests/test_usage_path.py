"""Usage reports of real node processes, with a store and a platform that receives them."""

from __future__ import annotations

import json
import pathlib
import signal
import threading
from http import server as http_server

import pytest

from anvillug.bench import processes
from tests import reactor_thread, test_mesh_path

_WINDOW_S = 1


class _Platform(http_server.BaseHTTPRequestHandler):
    """Receives reports; the last part of each is its window."""

    protocol_version = 'HTTP/1.1'
    reports: list[tuple[str, int, dict]]

    def do_POST(self) -> None:  # noqa: N802 - name that the base class requires
        content = self.rfile.read(int(self.headers['Content-Length']))
        holder = self.headers['Anvillug-Duty-Holder']
        token = int(self.headers['Anvillug-Fencing-Token'])
        self.reports.append((holder, token, json.loads(content)))
        self.send_response(200)
        self.send_header('Content-Length', '0')
        self.end_headers()

    def log_message(self, *arguments: object) -> None:
        """Log nothing."""


@pytest.fixture
def platform():
    """Return the address of the platform and the reports that it has received."""
    handler = type('_Handler', (_Platform,), {'reports': []})
    server = http_server.ThreadingHTTPServer(('127.0.0.1', 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f'127.0.0.1:{server.server_port}', handler.reports
    server.shutdown()
    server.server_close()


@pytest.fixture
def mesh(running_reactor, tmp_path, monkeypatch, platform):
    """Return two nodes whose settings name the duty."""
    address, _ = platform
    start = processes.ChildProcess

    def start_with_duty(arguments, **options):
        path = pathlib.Path(arguments[1])
        document = json.loads(path.read_text())
        document['Platform']['Cloud'] = {'Address': address, 'Duties': ['usage_report']}
        document['Terms']['Bounds'] = {
            'LeaseMs': 800,
            'UsageWindowS': _WINDOW_S,
            'UsageLateS': 12,
        }
        path.write_text(json.dumps(document))
        return start(arguments, **options)

    monkeypatch.setattr(processes, 'ChildProcess', start_with_duty)
    mesh = test_mesh_path._Mesh(tmp_path)  # noqa: SLF001 - the only other user
    reactor_thread.call(mesh.open)
    yield mesh
    for node in mesh.nodes:
        node.kill()
    reactor_thread.call(mesh.close)


def _expect_every_window(reports):
    windows = {report['WindowSeq'] for _, _, report in reports}
    assert windows == set(range(min(windows), max(windows) + 1))


class TestUsageReports:
    """Guards against reports that stop, or go back to a lower token, when the holder is killed."""

    def test_killed_holder_is_replaced(self, mesh, platform):
        _, reports = platform
        reactor_thread.eventually(lambda: len(reports) > 2)
        holder, token, _ = reports[-1]
        mesh.nodes[int(holder.removeprefix('host-'))].kill()
        reactor_thread.eventually(lambda: reports[-1][0] != holder)
        reactor_thread.eventually(lambda: len(reports) > 6)
        assert reports[-1][1] > token
        _expect_every_window(reports)

    def test_stopped_holder_hands_the_duty_over(self, mesh, platform):
        _, reports = platform
        reactor_thread.eventually(lambda: len(reports) > 2)
        holder, token, _ = reports[-1]
        number = int(holder.removeprefix('host-'))
        mesh.nodes[number].send_signal(signal.SIGTERM)
        reactor_thread.eventually(lambda: reports[-1][0] != holder)
        assert mesh.log_count(number, 'event=duty_released') == 1
        assert reports[-1][1] > token
        _expect_every_window(reports)
