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

"""Customers, their API keys and quotas.

Keys are looked up by digest, so that the table does not reveal keys and
lookup times do not reveal how much of a guessed key is correct.
"""

import dataclasses
import enum
import hashlib
import re
import typing

from galenahatch.core import sharetimes
from galenahatch import errors
from galenahatch import ids

_DIGEST_DIGITS: typing.Final = 16
_BEARER_PATTERN: typing.Final = re.compile(
    r'[Bb][Ee][Aa][Rr][Ee][Rr](?:[ \t]+(.*))?'
)
_KEY_PATTERN: typing.Final = re.compile(r'[\x21-\x7e]+')


class Unit(enum.Enum):
    """Unit that a quota counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True)
class Quota:
    """Token bucket that limits a customer's use across all VMs.

    Attributes:
        rate: Units per second.
        burst: Maximum units that may be used at once.
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True)
class Customer:
    """Customer with its keys and quota.

    Attributes:
        keys: Digests of the customer's keys.
        priority: Priority that overrides that of a route; None for no
            override.
        weight: Share of contested capacity among customers of the same
            priority; above 0, or None for the default.
        quota: Quota, or None for no limit.
        default_tokens: Tokens counted for a request that states no sizes.
    """

    name: ids.CustomerName
    keys: frozenset[ids.KeyDigest]
    priority: int | None = None
    unit: Unit = Unit.REQUESTS
    quota: Quota | None = None
    default_tokens: float = 0.0
    weight: float | None = None

    def cost(self, tokens: int | None) -> float:
        """Return the quota units that a request uses.

        Args:
            tokens: Tokens of the prompt plus the maximum output tokens; None
                if the request states no sizes.
        """
        if self.unit is Unit.REQUESTS:
            return 1.0
        return self.default_tokens if tokens is None else float(tokens)


class Customers:
    """Customers of one configuration.

    Args:
        customers: Customers with distinct names and keys.
    """

    def __init__(self, customers: typing.Iterable[Customer]) -> None:
        self._by_name = {customer.name: customer for customer in customers}
        self._weights = {
            name: sharetimes.DEFAULT_WEIGHT
            if customer.weight is None
            else customer.weight
            for name, customer in self._by_name.items()
        }
        self._by_key = {
            key: customer
            for customer in self._by_name.values()
            for key in customer.keys
        }

    @property
    def by_name(self) -> typing.Mapping[ids.CustomerName, Customer]:
        """All customers by name."""
        return self._by_name

    @property
    def weights(self) -> typing.Mapping[ids.CustomerName, float]:
        """Weights of all customers by name."""
        return self._weights

    @property
    def has_explicit_weights(self) -> bool:
        """Whether the configuration states the weight of any customer."""
        return any(
            customer.weight is not None for customer in self._by_name.values()
        )

    @property
    def key_count(self) -> int:
        """Number of keys."""
        return len(self._by_key)

    def find_by_key(self, key: ids.KeyDigest) -> Customer | None:
        """Return the customer with a key, or None if it is unknown."""
        return self._by_key.get(key)


def key_digest(key: str) -> ids.KeyDigest:
    """Return the digest of a key."""
    data = key.encode(errors='surrogateescape')
    return ids.KeyDigest(hashlib.sha256(data).hexdigest()[:_DIGEST_DIGITS])


def authenticate(
    customers: Customers,
    credentials: typing.Sequence[str],
    is_anonymous: bool,
) -> Customer | errors.Failure | None:
    """Authenticate a caller; return None for an anonymous one.

    An unknown key is rejected on every route, including those that allow
    anonymous callers: its sender expects to be identified, and a revoked key
    must not grant access.

    Args:
        customers: Customers of the active configuration.
        credentials: Values of all `Authorization` headers of the request.
        is_anonymous: Whether the route allows callers without a key.
    """
    if len(credentials) > 1:
        detail = f'{len(credentials)} Authorization headers'
        return errors.Failure(errors.UNAUTHORIZED, detail)
    bearer = (
        _BEARER_PATTERN.fullmatch(credentials[0].strip())
        if credentials
        else None
    )
    if bearer is None:
        if is_anonymous:
            return None
        detail = 'no bearer token' if credentials else 'no key'
        return errors.Failure(errors.UNAUTHORIZED, detail)
    key = bearer.group(1) or ''
    if not _KEY_PATTERN.fullmatch(key):
        return errors.Failure(errors.UNAUTHORIZED, 'malformed key')
    customer = customers.find_by_key(key_digest(key))
    if customer is None:
        detail = f'unknown key {key_digest(key)}'
        return errors.Failure(errors.UNAUTHORIZED, detail)
    return customer
