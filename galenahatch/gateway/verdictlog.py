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

"""Log lines about the version at which a stream continues."""

import collections.abc
import enum

from galenahatch import ids
from galenahatch import logs

_log = logs.Log('versions')


class Source(enum.Enum):
    """What a verdict rests on.

    Attributes:
        GATEWAY: A record of the gateway that the stream returned to.
        OWNER: A record of the owner.
        ROW: The row of versions, which lists only this one.
        NOT_STATED: Engines that state no version.
    """

    GATEWAY = 'gateway'
    OWNER = 'owner'
    ROW = 'row'
    NOT_STATED = 'not stated'


def log_found(
    keys: collections.abc.Iterable[ids.StreamKey],
    version: ids.SoftwareVersion,
    source: Source,
    waited: float = 0.0,
) -> None:
    """Log that the version of a stream is known.

    Args:
        keys: Keys of the stream.
        version: The version; empty for any.
        source: What tells it.
        waited: Seconds since the owner was asked.
    """
    _log.info(
        'Version of a stream found.',
        keys=' '.join(keys),
        version=version,
        source=source.value,
        waited=waited,
    )


def log_unknown(
    service: ids.ServiceName,
    keys: collections.abc.Iterable[ids.StreamKey],
    versions: collections.abc.Iterable[ids.SoftwareVersion],
    knows_all: bool,
    is_loaded: bool,
    is_new_owner: bool,
) -> None:
    """Log that the version of a stream is not known.

    Args:
        service: Service of the stream.
        keys: Keys of the stream.
        versions: Versions in service, or recently.
        knows_all: Whether these are all.
        is_loaded: Whether the store has been read since the owner was asked.
        is_new_owner: Whether others may still tell the version.
    """
    _log.info(
        'Version of a stream unknown.',
        service=service,
        keys=' '.join(keys),
        versions=' '.join(sorted(versions)),
        knows_all=knows_all,
        loaded=is_loaded,
        new_owner=is_new_owner,
    )
