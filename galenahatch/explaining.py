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

"""The part of `galenahatchctl explain` that reads logs."""

import pathlib

from galenahatch import console
from galenahatch import errors
from galenahatch import trace


def explain(request_id: str, files: list[pathlib.Path], json: bool) -> int:
    """Print the log lines of a request and return the exit code."""
    try:
        lines = trace.read_logs(files)
    except OSError as error:
        failure = errors.Failure(errors.BAD_SETTING, f'--logs: {error}')
        return console.report(failure)
    matching = trace.request_lines(lines, request_id)
    if not matching:
        detail = f'request {request_id}'
        return console.report(errors.Failure(errors.NOT_FOUND, detail))
    rows = [(line.at, line.part, line.message, line.text) for line in matching]
    console.print_table(('time', 'part', 'message', 'fields'), rows, json)
    return console.SUCCESS
