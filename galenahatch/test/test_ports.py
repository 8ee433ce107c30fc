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

"""Ports that tests give to the processes that they start."""

import pathlib
import socket
import subprocess
import sys

from galenahatch.test import ports


def test_no_port_is_given_twice() -> None:
    """Neither here, nor by another process, nor by the kernel."""
    here = {ports.free() for _ in range(50)}
    assert len(here) == 50
    code = (
        'from galenahatch.test import ports\n'
        'print(*(ports.free() for _ in range(50)))'
    )
    told = subprocess.check_output([sys.executable, '-c', code], text=True)
    assert not here & {int(word) for word in told.split()}
    path = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
    assert max(here) < int(path.read_text().split()[0])


def test_taken_port_is_passed_over() -> None:
    """What is left bound is not given again."""
    taken = ports.free()
    with socket.socket() as holder:
        holder.bind(('127.0.0.1', taken))
        assert taken not in {ports.free() for _ in range(250)}
