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

"""Who calls: keys and customers, without a network."""

import typing

import pytest

from galenahatch.core import customers
from galenahatch import errors
from galenahatch.gateway import calls
from galenahatch import ids
from galenahatch.platform import wire

_LONG: typing.Final = 'k' * 16_384
_KNOWN: typing.Final = customers.Customers(
    (
        customers.Customer(
            ids.CustomerName('shop'),
            frozenset(
                customers.key_digest(key) for key in ('k1', 'k2', _LONG)
            ),
        ),
        customers.Customer(
            ids.CustomerName('desk'), frozenset({customers.key_digest('k3')})
        ),
    )
)
_SHOP: typing.Final = 'shop'
_REFUSED: typing.Final = '401'
_NOBODY: typing.Final = 'nobody'


def _identified(credentials: tuple[str, ...], is_anonymous: bool) -> str:
    found = customers.authenticate(_KNOWN, credentials, is_anonymous)
    if found is None:
        return _NOBODY
    if isinstance(found, errors.Failure):
        assert found.reason is errors.UNAUTHORIZED
        return str(found.reason.status)
    return found.name


@pytest.mark.parametrize(
    ('credentials', 'with_key', 'anonymous'),
    [
        ((), _REFUSED, _NOBODY),
        (('Bearer k1',), _SHOP, _SHOP),
        (('Bearer k2',), _SHOP, _SHOP),
        (('bearer k1',), _SHOP, _SHOP),
        (('BEARER  k1 ',), _SHOP, _SHOP),
        (('Bearer ' + _LONG,), _SHOP, _SHOP),
        (('Bearer x',), _REFUSED, _REFUSED),
        (('Bearer K1',), _REFUSED, _REFUSED),
        (('Bearer k1x',), _REFUSED, _REFUSED),
        (('Bearer ' + 'x' * 16_384,), _REFUSED, _REFUSED),
        (('Bearer',), _REFUSED, _REFUSED),
        (('Bearer ',), _REFUSED, _REFUSED),
        (('Bearer k1 k2',), _REFUSED, _REFUSED),
        (('Bearer k1,k2',), _REFUSED, _REFUSED),
        (('Bearer k\x01',), _REFUSED, _REFUSED),
        (('Bearer k\udcff',), _REFUSED, _REFUSED),
        (('Bearer k1', 'Bearer k1'), _REFUSED, _REFUSED),
        (('Bearer k1', 'Bearer k3'), _REFUSED, _REFUSED),
        (('Basic azE6',), _REFUSED, _NOBODY),
        (('k1',), _REFUSED, _NOBODY),
        (('',), _REFUSED, _NOBODY),
    ],
)
def test_identify(
    credentials: tuple[str, ...], with_key: str, anonymous: str
) -> None:
    """Each form of credentials has one course, on either kind of route."""
    assert _identified(credentials, False) == with_key
    assert _identified(credentials, True) == anonymous


def test_failures_show_no_key() -> None:
    """What is told of an unknown key is its digest."""
    found = customers.authenticate(_KNOWN, ('Bearer my-secret',), False)
    assert isinstance(found, errors.Failure)
    assert 'my-secret' not in found.detail
    assert customers.key_digest('my-secret') in found.detail


def _call(*headers: tuple[bytes, bytes]) -> calls.Call:
    raw = [(b'Host', b'h'), (b'X-Galenahatch-Request-Id', b'r1'), *headers]
    return wire.decode_call('POST', '/p', raw, b'', 0.0)


def test_key_goes_nowhere() -> None:
    """Neither the key nor a caller's word for its customer goes on."""
    call = _call(
        (b'AUTHORIZATION', b'Bearer k1'),
        (b'x-galenahatch-TENANT', b'desk'),
        (b'X-Galenahatch-Tenant', b'desk'),
    )
    found = customers.authenticate(_KNOWN, call.credentials, False)
    assert isinstance(found, customers.Customer)
    known = wire.with_customer(call, found)
    directions = calls.ForwardingOptions(ids.UpstreamId('i-1'), 1.0)
    sent = wire.upstream_headers(known, directions)
    assert sent.getall('X-Galenahatch-Tenant') == ['shop']
    assert 'Authorization' not in sent
    assert 'k1' not in repr(known)


def test_anonymous_route_names_nobody() -> None:
    """Without a key no customer is named, whatever the caller says."""
    call = _call((b'X-Galenahatch-Tenant', b'desk'))
    sent = wire.with_customer(call, None).headers
    assert 'X-Galenahatch-Tenant' not in sent


def test_without_customers_all_goes_on() -> None:
    """Where no customers are configured, credentials are the upstream's."""
    call = _call(
        (b'Authorization', b'Bearer k1'), (b'X-Galenahatch-Tenant', b'desk')
    )
    directions = calls.ForwardingOptions(ids.UpstreamId('i-1'), 1.0)
    sent = wire.upstream_headers(call, directions)
    assert sent['Authorization'] == 'Bearer k1'
    assert sent['X-Galenahatch-Tenant'] == 'desk'


def test_same_request_of_two_keys() -> None:
    """Two keys of one customer send the same request, two customers don't."""

    def digest(key: str) -> ids.RequestDigest:
        call = _call((b'Authorization', b'Bearer ' + key.encode()))
        found = customers.authenticate(_KNOWN, call.credentials, False)
        assert isinstance(found, customers.Customer)
        return wire.with_customer(call, found).digest

    assert digest('k1') == digest('k2')
    assert digest('k1') != digest('k3')


@pytest.mark.parametrize(
    ('count', 'tokens'),
    [
        (b'1460,80', 1540),
        (b'1460, 80', 1540),
        (b'', None),
        (b'many', None),
        (b'-1,80', None),
        (b'1460', None),
        (b'1,2,3', None),
        (b'9' * 400 + b',1', None),
    ],
)
def test_units(count: bytes, tokens: int | None) -> None:
    """A request counts as the sizes it states, else as a plain one."""
    call = _call((b'X-Galenahatch-Token-Count', count))
    assert call.tokens == tokens
    quota = customers.Quota(100.0, 100.0)
    by_tokens = customers.Customer(
        ids.CustomerName('a'),
        frozenset(),
        unit=customers.Unit.TOKENS,
        quota=quota,
        default_tokens=200.0,
    )
    assert wire.with_customer(call, by_tokens).quota_units == (tokens or 200)
    by_requests = customers.Customer(
        ids.CustomerName('a'), frozenset(), quota=quota
    )
    assert wire.with_customer(call, by_requests).quota_units == 1
    unlimited = customers.Customer(ids.CustomerName('a'), frozenset())
    assert wire.with_customer(call, unlimited).quota_units == 0
