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

"""The other daemons, as one daemon sees them.

Every daemon connects to the schedulers of its region: those it was set up
with and those that the VM list has. It sends heartbeats over each link and
hears the schedulers' own in return; a scheduler hears all roles. The
interval grows with the number of members, which bounds what heartbeats
cost a daemon however large the region is.
"""

import collections.abc
import typing

from galenahatch import bus
from galenahatch import clock
from galenahatch.core import membership
from galenahatch import distribution
from galenahatch import errors
from galenahatch import ids
from galenahatch import logs
from galenahatch import messages
from galenahatch import options as options_module
from galenahatch.platform import vms
from galenahatch import states
from galenahatch import tasks

_SECONDS_PER_MEMBER: typing.Final = 0.02
_FIRST_LINKS: typing.Final = 8
_log = logs.Log('peers')

Handler = collections.abc.Callable[[messages.AnyMessage], None]
VmListener = collections.abc.Callable[[vms.VmList], None]


class Peers:
    """Links to the schedulers, and who is alive.

    Args:
        options: settings.
        role: of this daemon.
        in_force: the daemon's configuration.
        platform: client of the VM list.
        handler: called with each message that is not about peers.
    """

    def __init__(
        self,
        options: options_module.Options,
        role: states.Role,
        in_force: distribution.Distribution,
        platform: vms.Vms,
        handler: Handler,
    ) -> None:
        self._options = options
        self._role = role
        self._config = in_force
        self._vms = platform
        self._handler = handler
        self._links: dict[ids.MemberId, bus.Link[messages.AnyMessage]] = {}
        self._listeners: list[VmListener] = []
        self._reports: list[collections.abc.Callable[[], None]] = []
        self._system_vms: dict[str, vms.Vm] = {}
        self.incarnation = clock.random_incarnation()
        self.member = member_id(role, options)
        self.membership = membership.Membership(self._silence())
        self.standing = states.Standing.LIVE
        self.why_not_ready = ''
        self.load = 0

    def listen(self, listener: VmListener) -> None:
        """Call a function with each VM list."""
        self._listeners.append(listener)

    def report(self, send: collections.abc.Callable[[], None]) -> None:
        """Call a function after each round of heartbeats."""
        self._reports.append(send)

    def run(self, owner: tasks.Tasks) -> None:
        """Start the tasks."""
        for address in self._options.peers:
            self._connect(address)
        interval = self.interval
        owner.run_forever(
            'heartbeats', lambda: tasks.run_periodically(interval, self._beat)
        )
        poll = self._options.vms_poll
        owner.run_forever(
            'vms', lambda: tasks.run_periodically(lambda: poll, self._read_vms)
        )

    def close(self) -> None:
        """Close every link."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def interval(self) -> float:
        """Return the time between two heartbeats."""
        grown = self.membership.count() * _SECONDS_PER_MEMBER
        return max(self._options.heartbeat, grown)

    def schedulers(self) -> list[ids.MemberId]:
        """Return the live schedulers."""
        return self.membership.live_members(states.Role.SCHEDULER, clock.now())

    def send(self, member: ids.MemberId, message: messages.AnyMessage) -> bool:
        """Send a message to a scheduler; False without a link to it."""
        link = self._links.get(member)
        if link is None:
            return False
        link.send(message)
        return True

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Send a message to every scheduler."""
        for link in self._links.values():
            link.send(message)

    def heartbeat(self) -> messages.Heartbeat:
        """Return this daemon's own heartbeat."""
        return messages.Heartbeat(
            member=self.member,
            incarnation=self.incarnation,
            data_centre=self._options.data_centre,
            standing=self.standing,
            revision=self._config.revision,
            ready=not self.why_not_ready,
            load=self.load,
            why=self.why_not_ready,
        )

    def heard(self, heartbeat: messages.Heartbeat) -> None:
        """Take a heartbeat, from a link or from the hub."""
        now = clock.now()
        fresh = self.membership.record_heartbeat(heartbeat, now)
        if fresh and heartbeat.member != self.member:
            _log.info(
                'Member seen.',
                member=heartbeat.member,
                incarnation=heartbeat.incarnation,
            )
        self._config.hint(heartbeat.member, heartbeat.revision)

    def _silence(self) -> float:
        return self._options.silence * self._options.heartbeat

    async def _beat(self) -> None:
        now = clock.now()
        self.membership.silence_timeout = (
            self._options.silence * self.interval()
        )
        self.membership.forget_silent(now)
        self.broadcast(self.heartbeat())
        for report in self._reports:
            report()

    async def _read_vms(self) -> None:
        listed = await self._vms.read()
        if isinstance(listed, errors.Failure):
            return
        system = [vm for vm in listed.vms if vm.group == vms.SYSTEM]
        self.membership.record_vm_list(
            (vm.address for vm in system if vm.state == 'live'),
            (vm.address for vm in system if vm.state != 'live'),
        )
        self._system_vms = {vm.address: vm for vm in system}
        self._connect_listed()
        for listener in self._listeners:
            listener(listed)

    def _connect_listed(self) -> None:
        wanted = {vm.address for vm in self._wanted()}
        wanted.update(self._options.peers)
        for address in sorted(wanted):
            self._connect(address)
        for member in list(self._links):
            address = membership.address_of(member)
            silent = self.membership.silence_duration(member, clock.now())
            gone = address not in wanted and not 0 <= silent < 30
            if gone:
                self._links.pop(member).close()

    def _wanted(self) -> list[vms.Vm]:
        """Return the VMs of this region, or a few while it is not known."""
        listed = sorted(self._system_vms.values(), key=lambda vm: vm.name)
        region = self._config.region_of(self._options.data_centre)
        if region is None:
            return listed[:_FIRST_LINKS]
        return [
            vm
            for vm in listed
            if self._config.region_of(ids.DataCentre(vm.data_centre)) == region
        ]

    def _connect(self, address: str) -> None:
        port = self._options.scheduler_port
        member = ids.MemberId(f'scheduler/{address}:{port}')
        if member in self._links or member == self.member:
            return
        self._links[member] = bus.Link(
            f'tcp://{address}:{port}', messages.CODEC, self._receive
        )

    def _receive(self, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.Heartbeat):
            self.heard(message)
        elif isinstance(message, messages.ConfigBody):
            self._config.offered(message)
        else:
            self._handler(message)


def member_id(
    role: states.Role, options: options_module.Options
) -> ids.MemberId:
    """Return the id of this daemon."""
    ports = {
        states.Role.ENTRY: options.entry_port,
        states.Role.SCHEDULER: options.scheduler_port,
        states.Role.CONTROLLER: options.controller_http_port,
    }
    return ids.MemberId(f'{role.value}/{options.address}:{ports[role]}')
