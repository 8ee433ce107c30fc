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

"""Links to the schedulers, and the membership that a daemon observes.

Every daemon connects to the schedulers of its region: those in its options
and those in the VM list. It sends heartbeats over each link and receives the
schedulers' heartbeats in return; a scheduler receives those of all roles. The
interval grows with the number of members, which bounds the cost of heartbeats
for a daemon in a region of any size.
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

_INTERVAL_PER_MEMBER_S: typing.Final = 0.02
_MAX_INITIAL_LINKS: typing.Final = 8
_log = logs.Log('peers')

Handler = collections.abc.Callable[[messages.AnyMessage], None]
VmListener = collections.abc.Callable[[vms.VmList], None]


class Peers:
    """Links to the schedulers, and the live members.

    Args:
        options: options of this daemon.
        role: role of this daemon.
        settings: distribution of the configuration.
        vm_client: client of the VM list.
        handler: callback for each message that is not about peers.
    """

    def __init__(
        self,
        options: options_module.Options,
        role: states.Role,
        settings: distribution.Distribution,
        vm_client: vms.VmListClient,
        handler: Handler,
    ) -> None:
        self._options = options
        self._role = role
        self._config = settings
        self._vms = vm_client
        self._handler = handler
        self._links: dict[ids.MemberId, bus.Link[messages.AnyMessage]] = {}
        self._invalid_addresses: set[str] = set()
        self._vm_listeners: list[VmListener] = []
        self._heartbeat_listeners: list[
            collections.abc.Callable[[], None]
        ] = []
        self._system_vms: dict[str, vms.Vm] = {}
        self.incarnation = clock.random_incarnation()
        self.member = member_id(role, options)
        self.membership = membership.Membership(self._silence_timeout())
        self.standing = states.Standing.LIVE
        self.not_ready_reason = ''
        self.load = 0

    def on_vm_list(self, listener: VmListener) -> None:
        """Register a callback for each VM list."""
        self._vm_listeners.append(listener)

    def on_heartbeat(
        self, listener: collections.abc.Callable[[], None]
    ) -> None:
        """Register a callback for each round of heartbeats."""
        self._heartbeat_listeners.append(listener)

    def start(self, background_tasks: tasks.Tasks) -> None:
        """Connect to the configured peers and start the tasks."""
        for address in self._options.peers:
            self._connect(address)
        interval = self.interval
        background_tasks.run_forever(
            'heartbeats',
            lambda: tasks.run_periodically(interval, self._send_heartbeats),
        )
        poll = self._options.vms_poll
        background_tasks.run_forever(
            'vms', lambda: tasks.run_periodically(lambda: poll, self._read_vms)
        )

    def close(self) -> None:
        """Close every link."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def interval(self) -> float:
        """Return the heartbeat interval in seconds."""
        scaled = self.membership.count() * _INTERVAL_PER_MEMBER_S
        return max(self._options.heartbeat, scaled)

    def schedulers(self) -> list[ids.MemberId]:
        """Return the live schedulers."""
        return self.membership.live_members(states.Role.SCHEDULER, clock.now())

    def send(self, member: ids.MemberId, message: messages.AnyMessage) -> bool:
        """Send a message to a scheduler; return False without a link."""
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
            ready=not self.not_ready_reason,
            load=self.load,
            reason=self.not_ready_reason,
        )

    def record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Record a heartbeat received from a link or from the hub."""
        now = clock.now()
        is_new = self.membership.record_heartbeat(heartbeat, now)
        if is_new and heartbeat.member != self.member:
            _log.info(
                'New member or incarnation observed.',
                member=heartbeat.member,
                incarnation=heartbeat.incarnation,
            )
        self._config.record_peer_revision(heartbeat.member, heartbeat.revision)

    def _silence_timeout(self) -> float:
        return self._options.silence * self._options.heartbeat

    async def _send_heartbeats(self) -> None:
        now = clock.now()
        self.membership.silence_timeout = (
            self._options.silence * self.interval()
        )
        self.membership.forget_silent(now)
        self.broadcast(self.heartbeat())
        for listener in self._heartbeat_listeners:
            listener()

    async def _read_vms(self) -> None:
        vm_list = await self._vms.read()
        if isinstance(vm_list, errors.Failure):
            return
        system_vms = [vm for vm in vm_list.vms if vm.group == vms.SYSTEM_GROUP]
        self.membership.record_vm_list(
            (vm.address for vm in system_vms if vm.state == 'live'),
            (vm.address for vm in system_vms if vm.state != 'live'),
        )
        self._system_vms = {vm.address: vm for vm in system_vms}
        self._update_links()
        for listener in self._vm_listeners:
            listener(vm_list)

    def _update_links(self) -> None:
        addresses = {vm.address for vm in self._reachable_vms()}
        addresses.update(self._options.peers)
        for address in sorted(addresses):
            self._connect(address)
        for member in list(self._links):
            address = membership.address_of(member)
            silence = self.membership.silence_duration(member, clock.now())
            unreachable = address not in addresses and not 0 <= silence < 30
            if unreachable:
                self._links.pop(member).close()

    def _reachable_vms(self) -> list[vms.Vm]:
        """Return the VMs of this region, or a few while it is unknown."""
        vm_list = sorted(self._system_vms.values(), key=lambda vm: vm.name)
        region = self._config.region_of(self._options.data_centre)
        if region is None:
            return vm_list[:_MAX_INITIAL_LINKS]
        return [
            vm
            for vm in vm_list
            if self._config.region_of(ids.DataCentre(vm.data_centre)) == region
        ]

    def _connect(self, address: str) -> None:
        port = self._options.scheduler_port
        member = ids.MemberId(f'scheduler/{address}:{port}')
        if member in self._links or member == self.member:
            return
        try:
            self._links[member] = bus.Link(
                bus.endpoint(address, port), messages.CODEC, self._receive
            )
        except ValueError as error:
            if address not in self._invalid_addresses:
                self._invalid_addresses.add(address)
                _log.error(
                    'Invalid VM address.', address=address, error=str(error)
                )

    def _receive(self, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.Heartbeat):
            self.record_heartbeat(message)
        elif isinstance(message, messages.ConfigBody):
            self._config.apply_peer_config(message)
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
