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

"""Customers: who calls, known by a key, and what each may use.

A key is looked up by its digest, so that the table neither shows keys nor
tells by its timing how much of a guessed key was right.
"""

import dataclasses
import enum
import hashlib
import re
import typing

from galenahatch import errors
from galenahatch import ids

_DIGEST_DIGITS: typing.Final = 16
_BEARER: typing.Final = re.compile(r'[Bb][Ee][Aa][Rr][Ee][Rr](?:[ \t]+(.*))?')
_KEY: typing.Final = re.compile(r'[\x21-\x7e]+')


class Unit(enum.Enum):
    """What a quota counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True)
class Quota:
    """A token bucket: what a customer may use over all VMs.

    Attributes:
        rate: units a second.
        burst: units that may be used at once.
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True)
class Customer:
    """One customer.

    Attributes:
        keys: digests of its keys.
        priority: goes before that of a route; None for the route's.
        quota: None for no limit.
        plain_tokens: that a request counts as if it states no sizes.
    """

    name: ids.CustomerName
    keys: frozenset[ids.KeyDigest]
    priority: int | None = None
    unit: Unit = Unit.REQUESTS
    quota: Quota | None = None
    default_tokens: float = 0.0

    def cost(self, tokens: int | None) -> float:
        """Return the units that a request counts as.

        Args:
            tokens: of its prompt and at most of its answer; None if it
                states none.
        """
        if self.unit is Unit.REQUESTS:
            return 1.0
        return self.default_tokens if tokens is None else float(tokens)


class Customers:
    """The customers of one configuration.

    Args:
        customers: with names and keys that differ.
    """

    def __init__(self, customers: typing.Iterable[Customer]) -> None:
        self._by_name = {customer.name: customer for customer in customers}
        self._by_key = {
            key: customer
            for customer in self._by_name.values()
            for key in customer.keys
        }

    @property
    def by_name(self) -> typing.Mapping[ids.CustomerName, Customer]:
        """All customers."""
        return self._by_name

    @property
    def key_count(self) -> int:
        """How many keys there are."""
        return len(self._by_key)

    def find_by_key(self, key: ids.KeyDigest) -> Customer | None:
        """Return the customer that holds a key."""
        return self._by_key.get(key)


def key_digest(key: str) -> ids.KeyDigest:
    """Return what stands for a key."""
    data = key.encode(errors='surrogateescape')
    return ids.KeyDigest(hashlib.sha256(data).hexdigest()[:_DIGEST_DIGITS])


def authenticate(
    customers: Customers,
    credentials: typing.Sequence[str],
    is_anonymous: bool,
) -> Customer | errors.Failure | None:
    """Return who calls; None for nobody in particular.

    A key that nobody holds is refused on every route: who sends one means to
    be known, and a key that was taken away opens nothing any more.

    Args:
        customers: of the configuration in force.
        credentials: values of all `Authorization` headers of the request.
        is_anonymous: whether the route takes callers without a key.
    """
    if len(credentials) > 1:
        detail = f'{len(credentials)} Authorization headers'
        return errors.Failure(errors.UNAUTHORIZED, detail)
    bearer = _BEARER.fullmatch(credentials[0].strip()) if credentials else None
    if bearer is None:
        if is_anonymous:
            return None
        detail = 'no bearer token' if credentials else 'no key'
        return errors.Failure(errors.UNAUTHORIZED, detail)
    key = bearer.group(1) or ''
    if not _KEY.fullmatch(key):
        return errors.Failure(errors.UNAUTHORIZED, 'malformed key')
    customer = customers.find_by_key(key_digest(key))
    if customer is None:
        detail = f'unknown key {key_digest(key)}'
        return errors.Failure(errors.UNAUTHORIZED, detail)
    return customer
