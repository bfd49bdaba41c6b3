"""Run a module that is connected to another host than the one it names.

Usage:
  translations NAMED REACHED MODULE [ARGUMENT...]

Connections of the module to host NAMED go to host REACHED instead, like
those of a vm whose network translates addresses. The module's code is run
as it is.
"""

import runpy
import socket
import sys
from typing import Any


def translate(named: str, reached: str) -> None:
    """Connect the sockets of this process to another host than one named."""
    sockets: Any = socket.socket
    connect = sockets.connect

    def connect_translated(self: socket.socket, address: Any) -> None:
        if isinstance(address, tuple) and address[0] == named:
            address = (reached, *address[1:])
        connect(self, address)

    sockets.connect = connect_translated


def main() -> None:
    """Run the module that the command line names."""
    named, reached, module, *arguments = sys.argv[1:]
    translate(named, reached)
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
