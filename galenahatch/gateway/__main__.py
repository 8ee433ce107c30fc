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

"""Entry point of the gateway: `python3 -m galenahatch.gateway`.

SIGHUP announces changed settings and may arrive at any moment. It is ignored
until the gateway installs its handler: loading the program takes half a
second, during which the signal would end the process.

After a kill, the gateway serves again only once it has loaded, which takes
0.7 s of CPU time, and VMs have half a CPU or less. So unused parts are not
loaded: the HTTP library would read all system certificates on import, though
the gateway doesn't use TLS, and the service library would import a terminal
formatter. Loaded modules never become garbage, so the garbage collector is
off during loading and ignores them afterwards.
"""

import gc
import importlib
import os
import signal
import sys
import typing

_CERTIFICATE_FILE_VARIABLE: typing.Final = 'SSL_CERT_FILE'
"""Variable with the path of the file of TLS certificates. An empty file
saves 0.04 s of CPU time and 1.7 MB (median of five starts)."""
_TERMINAL_FORMATTER: typing.Final = 'rich'
"""Optional dependency of the service library. Leaving it out saves 0.07 s of
CPU time and 0.9 MB (median of five starts)."""

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    os.environ.setdefault(_CERTIFICATE_FILE_VARIABLE, os.devnull)
    sys.modules[_TERMINAL_FORMATTER] = None  # type: ignore[assignment]
    gc.disable()
    program = importlib.import_module('galenahatch.gateway.program')
    gc.freeze()
    gc.enable()
    sys.exit(program.main())
