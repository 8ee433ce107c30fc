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

"""Reading logs back: from an id to the lines that explain it."""

import pathlib

import pytest

from galenahatch import console
from galenahatch import explaining
from galenahatch import trace

_LOG = '''\
  1.0 vm-1 {"time":"2026-01-01T00:00:01","part":"directory","message":\
"Upstream gone.","upstream":"i-1","ver":5}
not a line of ours {
{"time":"2026-01-01T00:00:02","part":"directory","message":"Upstream gone.",\
"upstream":"i-9"}
{"time":"2026-01-01T00:00:03","part":"owner","message":"Placed.",\
"stream":"ab.1","prefill":"i-1","decode":"i-2","why":"load=0.5"}
{"time":"2026-01-01T00:00:04","part":"owner","message":"Placed.",\
"stream":"abc.1","prefill":"i-1","decode":"i-2"}
{"time":"2026-01-01T00:00:05","part":"front","message":"Request failed.",\
"request":"ab","reason":"no_time","seconds":0.123456}
'''


def test_lines_of_a_request(tmp_path: pathlib.Path) -> None:
    """Own lines, and news of the upstreams that it was sent to."""
    file = tmp_path / 'log'
    file.write_text(_LOG)
    lines = trace.request_lines(trace.read_logs([file]), 'ab')
    assert [line.message for line in lines] == [
        'Upstream gone.',
        'Placed.',
        'Request failed.',
    ]
    assert lines[0].fields['upstream'] == 'i-1'
    assert 'seconds=0.1235' in lines[-1].text


def test_exit_codes(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Found, not found, and a file that is not there."""
    file = tmp_path / 'log'
    file.write_text(_LOG)
    assert explaining.explain('ab', [file], False) == console.SUCCESS
    assert 'no_time' in capsys.readouterr().out
    assert explaining.explain('zz', [file], False) == console.REFUSED
    missing = [tmp_path / 'none']
    assert explaining.explain('ab', missing, False) == console.USAGE_ERROR
