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

"""Components whose state gateways exchange in heartbeats."""

import dataclasses

from galenahatch.gateway import accounts
from galenahatch.gateway import loads
from galenahatch.gateway import notices
from galenahatch.gateway import outcomes
from galenahatch.gateway import quarantine
from galenahatch.gateway import ratelimits
from galenahatch.gateway import repeatresults


@dataclasses.dataclass(frozen=True)
class Exchanges:
    """Components whose state gateways exchange in heartbeats.

    Attributes:
        outcomes: Results of sends to plain upstreams.
        guard: Requests that may end upstreams.
        accounts: Use of quotas by customers.
        rate_limits: Limits that upstreams announce.
        notices: Other announcements in answers of upstreams.
        loads: Load that upstreams state.
        repeats: Results of repeated plain calls.
    """

    outcomes: outcomes.OutcomeExchange
    guard: quarantine.Guard
    accounts: accounts.Accounts
    rate_limits: ratelimits.RateLimits
    notices: notices.Notices
    loads: loads.LoadExchange
    repeats: repeatresults.RepeatExchange
