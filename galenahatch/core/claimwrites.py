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

"""Operations on claims as transactions, and what to answer to each.

`written` answers an operation that took effect, `conflicted` one whose
condition does not hold, `found` one whose fate was read back after the
table's answer was lost, `unconfirmed` one of which nothing is known.
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
    """Return the claim that a table key names."""
    return ids.ClaimKey(name.partition('/')[2])


def encode_new_claim(request: messages.ClaimRequest) -> bytes:
    """Return the record of a fresh claim."""
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
    """Return one transaction for operations on different keys."""
    conditions = []
    writes = []
    for operation in operations:
        before, after = expected_and_new_value(operation)
        name = table_key(operation.key)
        conditions.append(transaction.Condition(name, before))
        writes.append(transaction.Write(name, after))
    return transaction.Transaction(tuple(conditions), tuple(writes))


def expected_and_new_value(
    operation: Operation,
) -> tuple[bytes | None, bytes | None]:
    """Return the value before and after an operation."""
    if isinstance(operation, messages.ClaimRequest):
        return None, encode_new_claim(operation)
    if isinstance(operation, messages.ClaimVoid):
        return operation.record, None
    return operation.claimed, operation.record


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
        # Whatever stands there is not the claim to remove.
        return messages.VoidReply(operation.key, operation.token, True)
    # The finished record stands already, or the claim is no more: either
    # way nothing is left to write.
    return messages.DoneReply(operation.key, operation.token, True)


def readback_reply(
    operation: Operation, value: bytes | None
) -> messages.AnyMessage:
    """Return the reply after reading back what the table holds."""
    if isinstance(operation, messages.ClaimRequest):
        return claim.claim_reply(operation, value)
    if isinstance(operation, messages.ClaimVoid):
        gone = value != operation.record
        return messages.VoidReply(operation.key, operation.token, gone)
    stored = value == operation.record
    return messages.DoneReply(operation.key, operation.token, stored)


def unconfirmed_reply(operation: Operation) -> messages.AnyMessage:
    """Return the reply when the table can't be read either."""
    if isinstance(operation, messages.ClaimRequest):
        status = states.ClaimStatus.UNREAD
        return messages.ClaimReply(operation.key, operation.token, status)
    if isinstance(operation, messages.ClaimVoid):
        return messages.VoidReply(operation.key, operation.token, False)
    return messages.DoneReply(operation.key, operation.token, False)
