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

"""What a log line costs.

`python -m bench.logs` writes lines as a gateway does for each request, to a
standard output that is read by nobody or thrown away, and prints processor
time a line, with and without them.
"""

import argparse
import os
import sys
import time
import typing

from galenahatch import logs

_KINDS: typing.Final = 100
"""Kinds of lines: what is over a rate for each is left out, and cheaper."""
_LINES: typing.Final = _KINDS * logs.MAX_LINES_PER_SECOND


def _cost(write: bool) -> float:
    """Return the processor seconds that a line takes."""
    log = logs.Log('plain')
    began = time.process_time()
    for number in range(_LINES):
        if write:
            log.info(
                f'Sent {number % _KINDS}.',
                request=f'{number:016x}',
                upstream='i-0685c93679',
                fate='answered',
                status=200,
                seconds=0.0312,
                detail='',
            )
    return (time.process_time() - began) / _LINES


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(description='Cost of a log line')
    parser.parse_args()
    told = os.dup(sys.stdout.fileno())
    nowhere = os.open(os.devnull, os.O_WRONLY)
    os.dup2(nowhere, sys.stdout.fileno())
    logs.configure_bounded('info')
    cost = _cost(True) - _cost(False)
    text = f'{cost * 1e6:.1f} us of processor time a line\n'
    os.write(told, text.encode())
    return 0


if __name__ == '__main__':
    sys.exit(main())
