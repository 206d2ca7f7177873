"""Names of headers, paths and keys that the users' platform defines."""

from __future__ import annotations

SETTINGS_VARIABLE = "GENTIANHITCH_NODE_FILE"

REQUEST_ID = b"X-Gentianhitch-Request-Id"
# Milliseconds that the caller still waits: a duration, not a point in time.
REMAINING_MS = b"X-Gentianhitch-Request-Deadline"
EXPECTED_SERVER = b"X-Gentianhitch-Expected-Instance"
WORKSPACE = b"X-Gentianhitch-Tenant-Name"
SIGNATURE = b"X-Gentianhitch-Response-Signature"
NOT_EXECUTED = b"X-Gentianhitch-Not-Executed"

READINESS_PATH = "/v1/readiness"
RESOLVE_PATH = "/v1/resolve"

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
# Behind CONFIGURATION_KEY in the order of keys, as the servers are.
PEERS_PREFIX = "peers/"
