"""Names of headers, paths and store keys that the platform defines."""

from __future__ import annotations

SETTINGS_VARIABLE = "GENTIANHITCH_NODE_FILE"

REQUEST_ID = b"X-Gentianhitch-Request-Id"
# Remaining milliseconds until the caller's timeout: a duration, not a timestamp.
REMAINING_MS = b"X-Gentianhitch-Request-Deadline"
EXPECTED_SERVER = b"X-Gentianhitch-Expected-Instance"
WORKSPACE = b"X-Gentianhitch-Tenant-Name"
SIGNATURE = b"X-Gentianhitch-Response-Signature"
NOT_EXECUTED = b"X-Gentianhitch-Not-Executed"
SERVER_LEAVING = b"Server-Leaving"
# Rises by one each time the store returns from a copy; in all its answers.
STORE_ERA = b"Store-Era"

READINESS_PATH = "/v1/readiness"
RESOLVE_PATH = "/v1/resolve"

CONFIGURATION_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
# All prefixes sort after CONFIGURATION_KEY: one range read lists them.
SERVERS_PREFIX = "servers/"
PEERS_PREFIX = "peers/"
