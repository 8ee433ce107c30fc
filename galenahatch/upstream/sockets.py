# Licensed under the Apache License, Version 2.0 (the "License"); you may
# not use this file except in compliance with the License. You may obtain
# a copy of the License at
#
#     http://www.apache.org/licenses/LICENSE-2.0
#
# Unless required by applicable law or agreed to in writing, software
# distributed under the License is distributed on an "AS IS" BASIS, WITHOUT
# WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied. See the
# License for the specific language governing permissions and limitations
# under the License.

"""What the kernel knows of a connection beyond what the event loop reports."""

import asyncio
import fcntl
import socket
import struct
import termios
import typing

_INT: typing.Final = struct.Struct('i')


def pending_error(transport: asyncio.Transport | None) -> int:
    """Return the error that has not been reported yet; 0 for none."""
    sock = transport and transport.get_extra_info('socket')
    if not sock:
        return 0
    return int(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def has_unsent_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether the peer has not acknowledged all that was written.

    When a peer closes its side, it acknowledges what it has received by then.
    """
    sock = transport and transport.get_extra_info('socket')
    if transport is None or not sock:
        return False
    if transport.get_write_buffer_size():
        return True
    try:
        unsent = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return False
    return bool(_INT.unpack(unsent)[0])
