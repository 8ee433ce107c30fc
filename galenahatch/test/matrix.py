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

"""Rows of the fault matrix, and the callers that they send."""

import dataclasses
import http.client
import json
import pathlib
import socket
import threading
import typing

from galenahatch.test import deployment

ROWS: typing.Final = (
    pathlib.Path(__file__).resolve().parents[2] / 'test-data' / 'faults.txt'
)
MAX_TOKENS: typing.Final = 60


@dataclasses.dataclass(frozen=True)
class Row:
    """One case of the matrix."""

    step: str
    fault: str
    kind: str
    allowed: tuple[str, ...]
    ci: bool

    @property
    def name(self) -> str:
        """Its name."""
        return f'{self.step}-{self.fault}-{self.kind}'

    @property
    def once(self) -> bool:
        """Whether the request is non-idempotent."""
        return self.kind == 'once'


def rows() -> list[Row]:
    """Return the rows of the matrix."""
    found = []
    for line in ROWS.read_text().splitlines():
        words = line.split()
        if not words or words[0].startswith('#'):
            continue
        allowed = tuple(words[3].split(','))
        found.append(Row(words[0], words[1], words[2], allowed, 'ci' in words))
    return found


class Caller(threading.Thread):
    """One request on a connection of its own, which can be dropped."""

    def __init__(
        self,
        running: deployment.Deployment,
        index: int,
        prompt: str,
        key: str,
        once: bool,
    ) -> None:
        super().__init__(daemon=True)
        self._address = running.addresses[index]
        self._port = running.ports['entry']
        self._headers = {'Authorization': f'Bearer {deployment.TOKEN}'}
        if once:
            self._headers['Idempotency-Key'] = key
            self._headers['Galenahatch-Non-Idempotent'] = 'true'
        self._body = json.dumps(
            {
                'model': 'log-reader',
                'prompt': prompt,
                'max_tokens': MAX_TOKENS,
            }
        )
        self._connection = http.client.HTTPConnection(
            self._address, self._port, timeout=60
        )
        self.outcome = 'gone'
        self.body: typing.Any = None

    def run(self) -> None:
        """Send the request and keep what comes back."""
        try:
            self._connection.request(
                'POST', '/v1/completions', self._body, self._headers
            )
            response = self._connection.getresponse()
            self.body = json.loads(response.read())
            self.outcome = response.headers['Galenahatch-Outcome']
        except (OSError, http.client.HTTPException, ValueError):
            self.outcome = 'gone'

    def leave(self) -> None:
        """Drop the connection."""
        if self._connection.sock is not None:
            self._connection.sock.shutdown(socket.SHUT_RDWR)

    def text(self) -> str:
        """Return the text of the answer."""
        return deployment.text_of(self.body)
