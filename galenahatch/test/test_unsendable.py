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

"""Sends to upstreams whose address or id can't be sent to."""

import asyncio
import dataclasses

import multidict
import pytest

from galenahatch.core import fate
from galenahatch import errors
from galenahatch.gateway import sender as senders
from galenahatch.gateway import sendresults
from galenahatch.platform import wire
from galenahatch.test import ports
from galenahatch.test import samples


# Guards against: a request that can't be written raises out of the sender, so
# that its caller gets a 500 and the loops that poll or probe start again.
@pytest.mark.parametrize(
    ('address', 'header'),
    [
        ('', 'a\r\nb'),
        ('', 'a\x00b'),
        ('', 'a\x7fb'),
        ('[[10.0.0.1]]:80', ''),
        ('fe80::1%lo\r\n:80', ''),
        ('127.0.0.1:70000', ''),
        ('127.0.0.1:x', ''),
        (':80', ''),
    ],
)
@pytest.mark.parametrize('use_pool', [False, True])
def test_unsendable_request(address: str, header: str, use_pool: bool) -> None:
    """Nothing was sent, so the request may go elsewhere."""

    async def run() -> None:
        accepted: list[object] = []

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            accepted.append(await reader.read(1))
            writer.close()

        port = ports.free()
        listening = await asyncio.start_server(accept, '127.0.0.1', port)
        upstream = samples.upstream(port)
        if address:
            upstream = dataclasses.replace(upstream, address=address)
        headers = multidict.CIMultiDict({wire.INSTANCE_HEADER: header})
        sender = senders.Sender()
        result = await sender.send(
            upstream,
            samples.plain_call(),
            headers,
            wire.decode_response_head,
            timeout=1.0,
            connect_timeout=1.0,
            use_pool=use_pool,
        )
        assert isinstance(result, sendresults.FailedSend)
        assert result.fate is fate.Fate.NOT_SENT
        assert not any(accepted)
        reply = await sender.request_small(
            'GET', upstream.address, '/', 1.0, headers=headers
        )
        assert isinstance(reply, errors.Failure)
        assert await sender.check_port(upstream.address) is (
            senders.Reach.SILENT if address else senders.Reach.CONNECTED
        )
        await sender.close()
        listening.close()

    asyncio.run(run())
