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

"""What the stand-ins share."""

import typing

import aiohttp
from aiohttp import web
import msgspec

SESSION: typing.Final = web.AppKey('session', aiohttp.ClientSession)


def answer(body: typing.Any) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(body), content_type='application/json'
    )


def cut(request: web.Request) -> web.Response:
    """Break the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _session(app: web.Application) -> typing.AsyncIterator[None]:
    app[SESSION] = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    )
    yield
    await app[SESSION].close()


def application(routes: list[web.RouteDef]) -> web.Application:
    """Return a web application with these routes."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(routes)
    app.cleanup_ctx.append(_session)
    return app
