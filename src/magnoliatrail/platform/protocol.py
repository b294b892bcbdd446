"""Headers, paths and keys of the platform's protocol."""

# Headers of requests and answers.
REQUEST_ID = "Magnoliatrail-Request-Id"
DEADLINE_MS = "Magnoliatrail-Deadline-Milliseconds"
SIGNATURE = "Magnoliatrail-Response-Signature"
NOT_EXECUTED = "Magnoliatrail-Not-Executed"
EXPECT_INSTANCE = "Magnoliatrail-Expect-Instance"
EXPECT_VERSION = "Magnoliatrail-Expect-Version"
# MODEL, or MODEL/ADAPTER.
MODEL = "Magnoliatrail-Model"
# PROMPT,OUTPUT; the second is the maximum number of generated tokens.
TOKEN_COUNTS = "Magnoliatrail-Token-Counts"
PROMPT_PREFIX = "Magnoliatrail-Prompt-Prefix"
# Rises by one each time the store comes back from a copy.
STORE_ERA = "Store-Era"
# The id of the last event that a caller has, and the attempt that began its stream.
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
# The server that answered is leaving.
SERVER_LEAVING = "Server-Leaving"
# Requests a second that the server takes from all instances together.
SERVER_LIMIT = "Server-Limit"
INSTANCE_ID = "Magnoliatrail-Instance-Id"
RETRY_AFTER = "Retry-After"
LENGTH_HINT = "Magnoliatrail-Length-Hint"
PRIORITY = "Magnoliatrail-Request-Priority"
# The key that names the caller's account, and nothing else.
API_KEY = "Api-Key"
# The name of the caller's account, for backend servers.
TENANT = "Magnoliatrail-Tenant"
# Name the caller, where the operators tell callers apart.
CALLER_HEADERS = (API_KEY, "Authorization")

# Headers to a backend server that only the system may set.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        TENANT,
        NOT_EXECUTED,
        "Magnoliatrail-Hold",
        "Magnoliatrail-Pin-Milliseconds",
        "Magnoliatrail-Kv-Cache-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
# A `Connection` header cannot remove headers with this prefix from a request.
PROTECTED_PREFIX = "magnoliatrail-"

READY_PATH = "/v1/ready"
ORDER_PATH = "/v1/order"
REPORT_PATH = "/v1/report"

# Tables and keys of the store that operators and backend servers write.
OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
VERSION_PREFIX = "version/"
SERVERS_TABLE = "servers"
# The system's own table of owners and instances.
CELLS_TABLE = "cells"
# Its records of which software version began which streams.
STREAMS_TABLE = "streams"

SETTINGS_VARIABLE = "MAGNOLIATRAIL_CONFIG"
