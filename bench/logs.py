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

"""Measures the processor time of a log line.

`python -m bench.logs` logs lines as a gateway does for each request, with
the standard output sent to the null device, and prints the processor time of
a line less that of the loop around it.
"""

import argparse
import os
import sys
import time
import typing

from galenahatch import logs

_MESSAGE_KINDS: typing.Final = 100
"""Distinct log sentences: lines over the rate limit of a sentence are dropped,
which would make them cheaper."""
_LINES: typing.Final = _MESSAGE_KINDS * logs.MAX_LINES_PER_SECOND


def _seconds_per_line(writes_lines: bool) -> float:
    """Return the processor seconds for each turn of the loop.

    Args:
        writes_lines: whether each turn logs a line.
    """
    log = logs.Log('plain')
    started_at = time.process_time()
    for number in range(_LINES):
        if writes_lines:
            log.info(
                f'Sent {number % _MESSAGE_KINDS}.',
                request=f'{number:016x}',
                upstream='i-0685c93679',
                fate='answered',
                status=200,
                seconds=0.0312,
                detail='',
            )
    return (time.process_time() - started_at) / _LINES


def main() -> int:
    """Print the processor time of a log line."""
    parser = argparse.ArgumentParser(description='Cost of a log line')
    parser.parse_args()
    printed_fd = os.dup(sys.stdout.fileno())
    null_fd = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_fd, sys.stdout.fileno())
    logs.configure_bounded('info')
    cost_s = _seconds_per_line(True) - _seconds_per_line(False)
    text = f'{cost_s * 1e6:.1f} us of processor time a line\n'
    os.write(printed_fd, text.encode())
    return 0


if __name__ == '__main__':
    sys.exit(main())
