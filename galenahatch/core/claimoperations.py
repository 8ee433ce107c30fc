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

"""Transactions for operations on claims, and the replies to them.

`committed_reply` is for an operation that took effect, `conflict_reply` for
one whose condition does not hold, `readback_reply` for one whose result was
read back after the table's response was lost, and `unconfirmed_reply` for one
whose result is unknown.
"""

import collections.abc

from galenahatch.core import claim
from galenahatch.core import transaction
from galenahatch import ids
from galenahatch import messages
from galenahatch import states

Operation = messages.ClaimRequest | messages.ClaimVoid | messages.ClaimDone


def table_key(key: ids.ClaimKey) -> str:
    """Return the table key of a claim."""
    return f'claim/{key}'


def claim_key_from(name: str) -> ids.ClaimKey:
    """Return the claim key in a table key."""
    return ids.ClaimKey(name.partition('/')[2])


def encode_new_claim(request: messages.ClaimRequest) -> bytes:
    """Return the encoded record of a new claim."""
    return claim.encode(
        claim.Record(
            request.token,
            request.fingerprint,
            request.holder,
            request.incarnation,
        )
    )


def build_transaction(
    operations: collections.abc.Iterable[Operation],
) -> transaction.Transaction:
    """Combine operations on different keys into one transaction."""
    conditions = []
    writes = []
    for operation in operations:
        expected, new = expected_and_new_value(operation)
        key = table_key(operation.key)
        conditions.append(transaction.Condition(key, expected))
        writes.append(transaction.Write(key, new))
    return transaction.Transaction(tuple(conditions), tuple(writes))


def expected_and_new_value(
    operation: Operation,
) -> tuple[bytes | None, bytes | None]:
    """Return the expected current value and the new value."""
    if isinstance(operation, messages.ClaimRequest):
        return None, encode_new_claim(operation)
    if isinstance(operation, messages.ClaimVoid):
        return operation.record, None
    return operation.expected_record, operation.record


def committed_reply(operation: Operation) -> messages.AnyMessage:
    """Return the reply to an operation that took effect."""
    if isinstance(operation, messages.ClaimRequest):
        return claim.claim_reply(operation, encode_new_claim(operation))
    if isinstance(operation, messages.ClaimVoid):
        return messages.VoidReply(operation.key, operation.token, True)
    return messages.DoneReply(operation.key, operation.token, True)


def conflict_reply(
    operation: Operation, value: bytes | None
) -> messages.AnyMessage:
    """Return the reply to an operation whose condition does not hold."""
    if isinstance(operation, messages.ClaimRequest):
        return claim.claim_reply(operation, value)
    if isinstance(operation, messages.ClaimVoid):
        # The stored value is not the claim to remove.
        return messages.VoidReply(operation.key, operation.token, True)
    # The finished record is already stored or the claim was removed; nothing
    # is left to write.
    return messages.DoneReply(operation.key, operation.token, True)


def readback_reply(
    operation: Operation, value: bytes | None
) -> messages.AnyMessage:
    """Return the reply after reading the value back from the table."""
    if isinstance(operation, messages.ClaimRequest):
        return claim.claim_reply(operation, value)
    if isinstance(operation, messages.ClaimVoid):
        is_removed = value != operation.record
        return messages.VoidReply(operation.key, operation.token, is_removed)
    is_stored = value == operation.record
    return messages.DoneReply(operation.key, operation.token, is_stored)


def unconfirmed_reply(operation: Operation) -> messages.AnyMessage:
    """Return the reply if reading the table back failed as well."""
    if isinstance(operation, messages.ClaimRequest):
        status = states.ClaimStatus.UNREAD
        return messages.ClaimReply(operation.key, operation.token, status)
    if isinstance(operation, messages.ClaimVoid):
        return messages.VoidReply(operation.key, operation.token, False)
    return messages.DoneReply(operation.key, operation.token, False)
