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

"""Active configuration, whose revision only increases.

The table stores a head: the revision, the ID of the change that created it,
and the digest of its body. A daemon accepts configurations from both the
table and peers and keeps the highest revision, so a stale read or an outdated
peer never reverts it.
"""

import hashlib
import typing

import msgspec

from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids
from galenahatch import schema

HEAD_KEY: typing.Final = 'config/head'


class Head(msgspec.Struct, frozen=True, array_like=True):
    """Record of the latest accepted change in the table.

    Attributes:
        revision: Revision created by the change.
        change: ID of the accepted attempt.
        digest: Digest of the encoded bundle, part of its object key.
        author: Author of the change.
        note: One-line description of the change.
    """

    revision: ids.Revision
    change: ids.ChangeId
    digest: str
    author: str
    note: str


class Accepted(msgspec.Struct, frozen=True, array_like=True):
    """Accepted configuration with its head."""

    head: Head
    bundle: schema.Bundle


_HEAD: typing.Final = msgspec.msgpack.Decoder(Head)
_ACCEPTED: typing.Final = msgspec.msgpack.Decoder(Accepted)
_BUNDLE: typing.Final = msgspec.msgpack.Decoder(schema.Bundle)


def history_key(revision: int) -> str:
    """Return the table key of the head of a past revision."""
    return f'config/history/{revision:012d}'


def body_key(digest: str) -> str:
    """Return the object key of a bundle."""
    return f'config/{digest}'


def bundle_digest(body: bytes) -> str:
    """Return the digest of an encoded bundle."""
    return hashlib.sha256(body).hexdigest()


def encode(value: Head | Accepted | schema.Bundle) -> bytes:
    """Encode a head, an accepted configuration or a bundle."""
    return msgspec.msgpack.encode(value, order='sorted')


def decode_head(data: bytes) -> Head | errors.Failure:
    """Decode a head."""
    return decoding.decode(_HEAD, data, errors.BAD_FRAME)


def decode_accepted(data: bytes) -> Accepted | errors.Failure:
    """Decode an accepted configuration and verify its digest."""
    accepted = decoding.decode(_ACCEPTED, data, errors.BAD_FRAME)
    if isinstance(accepted, errors.Failure):
        return accepted
    if bundle_digest(encode(accepted.bundle)) != accepted.head.digest:
        return errors.Failure(errors.BAD_FRAME, 'digest of the bundle')
    return accepted


def decode_bundle(data: bytes, digest: str) -> schema.Bundle | errors.Failure:
    """Verify the digest of an encoded bundle and decode it."""
    if bundle_digest(data) != digest:
        return errors.Failure(errors.BAD_FRAME, 'digest of the bundle')
    return decoding.decode(_BUNDLE, data, errors.BAD_FRAME)


class ActiveConfiguration:
    """Active configuration of a daemon."""

    def __init__(self) -> None:
        self._accepted: Accepted | None = None
        self._sites: dict[str, schema.Config] = {}
        self._site_by_data_centre: dict[ids.DataCentre, schema.Site] = {}
        self._engines: dict[ids.EngineName, schema.Engine] = {}

    @property
    def accepted(self) -> Accepted | None:
        """Active configuration, or None before the first."""
        return self._accepted

    @property
    def revision(self) -> ids.Revision:
        """Active revision, or 0 before the first."""
        if self._accepted is None:
            return ids.Revision(0)
        return self._accepted.head.revision

    @property
    def sites(self) -> dict[str, schema.Config]:
        """Merged configuration by site."""
        return self._sites

    def apply_if_newer(
        self, accepted: Accepted, sites: dict[str, schema.Config] | None
    ) -> bool:
        """Apply a configuration if it is newer; return whether it was.

        Args:
            accepted: Accepted configuration.
            sites: Result of `config.load` by site; not applied if empty.
        """
        if accepted.head.revision <= self.revision or not sites:
            return False
        self._accepted = accepted
        self._sites = sites
        self._site_by_data_centre = {
            centre: site
            for name, settings in sites.items()
            for site in settings.sites
            for centre in site.data_centres
            if site.name == name
        }
        self._engines = {}
        for settings in sites.values():
            for engine in settings.engines:
                self._engines.setdefault(engine.name, engine)
        return True

    def site_of(self, data_centre: ids.DataCentre) -> schema.Site | None:
        """Return the site of a data centre."""
        return self._site_by_data_centre.get(data_centre)

    def config_of(self, data_centre: ids.DataCentre) -> schema.Config | None:
        """Return the configuration of a data centre's site."""
        site = self.site_of(data_centre)
        return self._sites.get(site.name) if site else None

    def engine(self, name: ids.EngineName) -> schema.Engine | None:
        """Return an engine by name, from any site."""
        return self._engines.get(name)
