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

"""Registry of all reasons for which a request or a command fails.

A reason defines the HTTP status, the outcome reported to the caller and the
message for users. Functions return expected failures as a `Failure` in place
of a value. Exceptions are reserved for programming errors.
"""

import typing

from galenahatch import failures

Outcome = failures.Outcome
Reason = failures.Reason
Failure = failures.Failure

REASONS: typing.Final[dict[str, Reason]] = {}


def _register(
    name: str, status: int, outcome: Outcome, message: str, advice: str
) -> Reason:
    reason = Reason(name, status, outcome, message, advice)
    REASONS[name] = reason
    return reason


_NOT_RUN = Outcome.NOT_RUN
_FAILED = Outcome.FAILED
_UNKNOWN = Outcome.UNKNOWN

# Invalid requests. None of them is sent to an upstream.
BAD_JSON = _register(
    'bad_json', 400, _NOT_RUN, 'The body is not JSON.', 'Send JSON.'
)
BAD_FIELD = _register(
    'bad_field',
    400,
    _NOT_RUN,
    'A field has a wrong type or value.',
    'Correct the field that the detail names.',
)
BAD_HEADER = _register(
    'bad_header',
    400,
    _NOT_RUN,
    'A Galenahatch header has a wrong value.',
    'Correct the header that the detail names.',
)
KEY_REQUIRED = _register(
    'idempotency_key_required',
    400,
    _NOT_RUN,
    'A non-idempotent request needs an Idempotency-Key.',
    'Send a key of your own that names the request.',
)
KEY_REUSED = _register(
    'idempotency_key_reused',
    422,
    _NOT_RUN,
    'The Idempotency-Key was used before with another body.',
    'Use a new key for a new request.',
)
UNAUTHORIZED = _register(
    'unauthorized',
    401,
    _NOT_RUN,
    'The caller is not known.',
    'Send the bearer token of a declared caller.',
)
UNKNOWN_MODEL = _register(
    'unknown_model',
    404,
    _NOT_RUN,
    'No service of this site has that name.',
    'Name a declared service; see galenahatchctl show.',
)
BODY_TOO_LARGE = _register(
    'body_too_large',
    413,
    _NOT_RUN,
    'The body is over the limit.',
    'Shorten it, or raise --max-body-bytes.',
)
BAD_CHUNKS = _register(
    'bad_chunks',
    400,
    _NOT_RUN,
    'The chunks of the body are wrong, or too many of them tiny.',
    'Send it with its length, or in larger chunks.',
)
BODY_TIMEOUT = _register(
    'body_timeout',
    408,
    _NOT_RUN,
    'The body did not come in time.',
    'Send the body at once.',
)
NO_ROUTE = _register(
    'no_route',
    404,
    _NOT_RUN,
    'There is no such path or method.',
    'See the README for the paths.',
)
PROMPT_TOO_LONG = _register(
    'prompt_too_long',
    413,
    _NOT_RUN,
    'The prompt is over the limit of the service.',
    'Shorten it, or raise max_prompt_tokens of the service.',
)

# Rejected before any work was sent.
NO_TIME = _register(
    'no_time',
    429,
    _NOT_RUN,
    'The queue ahead is longer than the time left.',
    'Come back after Retry-After; add engines if it lasts.',
)
QUEUE_FULL = _register(
    'queue_full',
    429,
    _NOT_RUN,
    'The queue of the service is full.',
    'Come back after Retry-After; add engines if it lasts.',
)
SHARE_USED = _register(
    'share_used',
    429,
    _NOT_RUN,
    'The caller has more requests waiting than its share.',
    'Come back after Retry-After, or raise the share of the caller.',
)
OVER_QUOTA = _register(
    'over_quota', 429, _NOT_RUN, 'The quota is used.', 'Wait, or raise it.'
)
ABOVE_QUOTA = _register(
    'above_quota', 429, _NOT_RUN, 'No quota holds so much.', 'Raise the burst.'
)
NO_ENGINE = _register(
    'no_engine',
    503,
    _NOT_RUN,
    'No engine of the service can take work.',
    'See galenahatchctl status: start or undrain engines.',
)
RATE_LIMITED = _register(
    'rate_limited', 503, _NOT_RUN, 'All are at their limit.', 'Wait.'
)
NO_SCHEDULER = _register(
    'no_scheduler',
    503,
    _NOT_RUN,
    'No scheduler answers.',
    'See galenahatchctl status: start galenahatch-scheduler.',
)
NO_CONFIGURATION = _register(
    'no_configuration',
    503,
    _NOT_RUN,
    'No configuration is known yet.',
    'Bring the table or a peer back, or apply a first configuration.',
)
LEAVING = _register(
    'leaving', 503, _NOT_RUN, 'This entry is stopping.', 'Use another entry.'
)
SHORT_OF_MEMORY = _register(
    'short_of_memory', 503, _NOT_RUN, 'No memory for the body.', 'Wait.'
)
CLAIM_UNCONFIRMED = _register(
    'claim_unconfirmed',
    503,
    _NOT_RUN,
    'The table did not take the claim; the key was never run.',
    'Come back after Retry-After; see the health of the table.',
)
CLAIM_UNREAD = _register(
    'claim_unread',
    503,
    _UNKNOWN,
    'Nothing was sent now; whether the key ran before can not be read.',
    'Come back with the same key after Retry-After: it runs at most once.',
)
CLAIM_ABANDONED = _register(
    'claim_abandoned',
    503,
    _NOT_RUN,
    'An earlier claim was given up before anything was sent.',
    'Come back after Retry-After: the old claim is being removed.',
)
RETRIES_SPENT = _register(
    'retries_spent',
    503,
    _NOT_RUN,
    'Upstreams refused the request and the retry budget is spent.',
    'Come back after Retry-After; see the health of the engines.',
)

# Work was sent, and its outcome is known.
CALLER_GONE = _register(
    'caller_gone',
    499,
    _FAILED,
    'The caller went away and the request was cancelled.',
    'Send it again under a new key.',
)
DEADLINE = _register(
    'deadline',
    504,
    _FAILED,
    'The deadline passed while the request ran; it was cancelled.',
    'Allow more time, or ask for less.',
)
ENGINE_FAILED = _register(
    'engine_failed',
    502,
    _FAILED,
    'The engine reported an error.',
    'See the log of the engine.',
)
RETRIES_FAILED = _register(
    'retries_failed',
    502,
    _FAILED,
    'Every attempt failed and the retry budget is spent.',
    'Come back later; see the health of the engines.',
)
UPSTREAM_REFUSED = _register(
    'upstream_refused',
    503,
    _NOT_RUN,
    'The upstream refused the work before starting it.',
    'Come back after Retry-After.',
)
UPSTREAM_UNREACHABLE = _register(
    'upstream_unreachable',
    503,
    _NOT_RUN,
    'No connection to the upstream; nothing was sent.',
    'Start the upstream, or remove it from the configuration.',
)

# Work may or may not have run.
IN_FLIGHT = _register(
    'in_flight',
    409,
    _UNKNOWN,
    'A request with this key is running.',
    'Ask again after Retry-After for its answer.',
)
HOLDER_GONE = _register(
    'holder_gone',
    409,
    _UNKNOWN,
    'The entry that ran this key is gone; it is never run again.',
    'Check by hand whether the work took effect.',
)
SEND_INTERRUPTED = _register(
    'send_interrupted',
    502,
    _UNKNOWN,
    'The connection broke after work was sent.',
    'Check by hand whether the work took effect.',
)
ENDS_ENGINES = _register(
    'ends_engines',
    502,
    _FAILED,
    'Engines end when they begin this request; it is not sent again.',
    'Change the request; see the logs of the engines that ended.',
)
VERSION_UNKNOWN = _register(
    'version_unknown',
    503,
    _NOT_RUN,
    'It is not known which software version began the stream.',
    'Begin the stream anew.',
)
VERSION_NOT_SERVED = _register(
    'version_not_served',
    503,
    _NOT_RUN,
    'No engine runs the software version that began the stream.',
    'Retry after the stated time, or begin the stream anew.',
)
STREAM_BROKEN = _register(
    'stream_broken',
    502,
    _UNKNOWN,
    'The stream ended without its end marker.',
    'Send an idempotent request again.',
)
STREAM_GONE = _register(
    'stream_gone',
    502,
    _UNKNOWN,
    'The engine no longer has the stream.',
    'Send an idempotent request again.',
)
BAD_UPSTREAM = _register(
    'bad_upstream',
    502,
    _UNKNOWN,
    'The upstream broke its protocol.',
    'See the log of the upstream; it may be the wrong version.',
)
INTERNAL = _register(
    'internal',
    500,
    _UNKNOWN,
    'The entry failed in a way that it does not know.',
    'Report it with the log lines of the request.',
)

# Communication between processes and with the platform.
BAD_FRAME = _register(
    'bad_frame',
    400,
    _NOT_RUN,
    'A message is malformed or of an unknown version.',
    'Check that all daemons run versions that overlap.',
)
STORE_UNAVAILABLE = _register(
    'store_unavailable',
    503,
    _UNKNOWN,
    'A store of the platform did not answer.',
    'See the health of the table and the object store.',
)
STORE_BUSY = _register(
    'store_busy',
    503,
    _NOT_RUN,
    'The store takes no more calls for the moment.',
    'Lower the rate of calls, or raise the store\'s limits.',
)
HISTORY_GONE = _register(
    'history_gone',
    503,
    _NOT_RUN,
    'The store no longer knows the changes asked for.',
    'Nothing; the whole table is read again.',
)
NOT_FOUND = _register(
    'not_found', 404, _NOT_RUN, 'There is no such item.', 'Check the name.'
)
STALE_FENCING = _register(
    'stale_fencing',
    409,
    _NOT_RUN,
    'The engine refused an old fencing number.',
    'None needed: a newer controller has taken over.',
)

# Operators' commands.
BAD_CONFIGURATION = _register(
    'bad_configuration',
    400,
    _NOT_RUN,
    'The configuration has errors.',
    'Correct each listed key.',
)
CHANGE_CONFLICT = _register(
    'change_conflict',
    409,
    _NOT_RUN,
    'Another change was accepted first.',
    'Read it with galenahatchctl diff, then apply again.',
)
CHANGE_UNKNOWN = _register(
    'change_unknown',
    503,
    _UNKNOWN,
    'The table did not confirm the change.',
    'Run galenahatchctl history to see whether it was accepted.',
)
NOT_IN_FORCE = _register(
    'not_in_force',
    504,
    _UNKNOWN,
    'The change is accepted but not yet in force everywhere.',
    'See galenahatchctl status for the daemons that lag.',
)
BAD_SETTING = _register(
    'bad_setting',
    400,
    _NOT_RUN,
    'A setting has a wrong value.',
    'Correct the flag or environment variable that the detail names.',
)
