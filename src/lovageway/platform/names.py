"""Header names, tables and paths of the platform."""

SETTINGS_VARIABLE = "LOVAGEWAY_NODE_FILE"
METRICS_PORT = 9464  # as deploy/system.toml declares it

ATTEMPT_ID = "attempt-id"
DEADLINE = "deadline-ms"
LAST_EVENT = "last-event-id"
SIGNATURE = "replica-signature"
ACCOUNT = "tenant"
EXPECTED_SERVER = "expected-replica"
SERVER_LOAD = "replica-load"
SERVER_LEAVING = "server-leaving"
SERVER_LIMIT = "server-limit"  # requests a second that the server takes from all daemons together
NOT_RUN = "not-executed"
RETRY_AFTER = "retry-after"
SERVER_ID = "replica-id"
# Sizes of a generation in tokens, "PROMPT,OUTPUT_LIMIT"; not the usage so far.
GENERATION_SIZES = "token-usage"
PROMPT_PARTS = "prompt-prefix"
LENGTH_HINT = "length-hint"
PRIORITY = "request-priority"
KV_SOURCE = "kv-from"
CHECKPOINT_TARGET = "kv-backup"

# Headers that only the system sets. Those that a client sends are dropped.
RESERVED = frozenset(
    {
        ACCOUNT,
        EXPECTED_SERVER,
        PRIORITY,
        KV_SOURCE,
        CHECKPOINT_TARGET,
        "kv-fetch",
        "pin-ms",
        "cache-hold",
        "expected-version",
    }
)
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "http2-settings",
    }
)

# Header of the store: rises when it returned from a copy and lost what it had acknowledged.
STORE_ERA = "store-era"

OPERATOR_TABLE = "op"
SERVERS_TABLE = "servers"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
ROLLOUT_PREFIX = "rollout/"  # of keys in the tables of the operator and of the statuses
STATUS_TABLE = "status"

READY_PATH = "/readiness"
DIRECTORY_PATH = "/resolution"
MOVE_PATH = "/kv-move"
REPORT_PATH = "/report"
KV_HANDLE_PATH = "/kv-handle/"
