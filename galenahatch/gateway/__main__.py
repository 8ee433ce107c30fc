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

SIGHUP tells that the settings have changed and may come at any moment. Until
the gateway handles it, it is ignored: loading the program takes half a
second, in which the signal would end the process.

Nothing that is loaded becomes garbage, so the collector waits until all is
there, and never looks at it again. A gateway that was killed serves earlier.
"""

import gc
import importlib
import signal
import sys

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    program = importlib.import_module('galenahatch.gateway.program')
    gc.freeze()
    gc.enable()
    sys.exit(program.main())
