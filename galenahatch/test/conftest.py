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

"""Hypothesis profiles: one fixed run for CI, a long one for `make fuzz`."""

import os

import hypothesis

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
hypothesis.settings.register_profile(
    'long',
    max_examples=1500,
    stateful_step_count=80,
    deadline=None,
    database=None,
    print_blob=True,
)
hypothesis.settings.load_profile(os.environ.get('FUZZ_PROFILE', 'ci'))
