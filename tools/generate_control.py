"""Generates the Python code of the control protocol with grpcio-tools."""

from __future__ import annotations

import pathlib
import shutil
import sys
import tempfile

from grpc_tools import protoc

_SOURCES = pathlib.Path(__file__).resolve().parent.parent / 'src'
_PACKAGE = pathlib.PurePath('anvillug', 'connection')


def main() -> int:
    """Generate `_control_pb2.py` and `_control_pb2_grpc.py` in the folder of the protocol.

    Returns:
        Exit code of protoc.
    """
    with tempfile.TemporaryDirectory() as scratch:
        # The path below the include directory becomes the import path, and the file name
        # gives the private module name, so the generated code needs no editing.
        proto = pathlib.Path(scratch) / _PACKAGE / '_control.proto'
        proto.parent.mkdir(parents=True)
        shutil.copy(_SOURCES / _PACKAGE / 'control.proto', proto)
        outputs = [f'--python_out={_SOURCES}', f'--grpc_python_out={_SOURCES}']
        return protoc.main(['protoc', f'-I{scratch}', *outputs, str(proto)])


if __name__ == '__main__':
    sys.exit(main())
