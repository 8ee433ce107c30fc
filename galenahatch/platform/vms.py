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

"""Client of the platform's VM list, which lags behind the actual VMs."""

import typing

import aiohttp
import msgspec

from galenahatch import bounds
from galenahatch import decoding
from galenahatch import errors
from galenahatch.platform import http

SYSTEM_GROUP: typing.Final = 'system'


class Vm(msgspec.Struct, frozen=True):
    """One VM.

    Attributes:
        name: id of the VM, never reused.
        address: IP address.
        data_centre: data centre that hosts the VM.
        state: "live" or "leaving".
        group: "system" for VMs of the daemons, else "upstream".
    """

    name: bounds.Text
    address: bounds.Text
    data_centre: bounds.Text
    state: bounds.Text = 'live'
    group: bounds.Text = SYSTEM_GROUP


class VmList(msgspec.Struct, frozen=True):
    """The VM list at one version; a later read may return an older one."""

    version: bounds.Number
    vms: tuple[Vm, ...]


_DECODER: typing.Final = msgspec.json.Decoder(VmList)


class VmListClient:
    """Client of the VM list at a base URL.

    Args:
        client: session that sends the platform's bearer token.
        url: base URL.
    """

    def __init__(self, client: aiohttp.ClientSession, url: str) -> None:
        self._client = client
        self._url = url.rstrip('/')

    async def read(self) -> VmList | errors.Failure:
        """Read the VM list."""
        reply = await http.call(self._client, 'GET', f'{self._url}/vms')
        if isinstance(reply, errors.Failure):
            return reply
        return decoding.decode(_DECODER, reply.body, errors.STORE_UNAVAILABLE)
