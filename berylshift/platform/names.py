"""The platform's names on the wire: headers, paths, tables and keys."""

ATTEMPT_ID = b"berylshift-attempt-id"
TIME_LEFT_MS = b"berylshift-deadline-ms"
PREFIX_BLOCKS = b"berylshift-prefix-hash"
MODEL = b"berylshift-model"
TOKEN_COUNTS = b"berylshift-token-count"
LENGTH_HINT = b"berylshift-length-hint"
LAST_EVENT_ID = b"last-event-id"
# The attempt that brought the first event of a stream that a caller resumes.
RESUMES = b"resumes"
SIGNATURE = b"berylshift-response-signature"
TARGET_INSTANCE = b"berylshift-target-instance"
INSTANCE = b"berylshift-instance-id"
LOAD = b"berylshift-instance-load"
NOT_RUN = b"berylshift-not-executed"
# Requests per second that a replica accepts from all hosts together.
RATE_LIMIT = b"server-limit"
DRAINING = b"server-leaving"
RANK = b"berylshift-request-priority"
PHASE = b"berylshift-phase"
KV_SOURCE = b"berylshift-kv-source"
WEIGHT_VERSIONS = b"berylshift-weight-versions"
KV_FETCH = b"kv-fetch"
KV_RESERVATION = b"berylshift-kv-retain"
KV_PIN_MS = b"berylshift-kv-pin-ms"
KV_BACKUP = b"berylshift-kv-replica"
EXPECTED_VERSION = b"berylshift-expected-version"
AUTHORIZATION = b"authorization"
CUSTOMER = b"berylshift-tenant"

# Only this system may send these to a replica; those from callers are dropped.
RESERVED = frozenset(
    {
        TARGET_INSTANCE,
        INSTANCE,
        LOAD,
        NOT_RUN,
        RANK,
        PHASE,
        KV_SOURCE,
        KV_FETCH,
        KV_RESERVATION,
        KV_PIN_MS,
        KV_BACKUP,
        EXPECTED_VERSION,
        SIGNATURE,
    }
)

# Headers that replicas may send in responses.
RESPONSE_HEADERS = frozenset(
    {
        ATTEMPT_ID,
        SIGNATURE,
        INSTANCE,
        LOAD,
        NOT_RUN,
        RATE_LIMIT,
        DRAINING,
        WEIGHT_VERSIONS,
    }
)

# Increases by one each time the store is restored from an older copy.
STORE_ERA = "store-era"

READY_PATH = "/v1/readyz"
KV_HANDLE_PATH = "/v1/kv-handle/"
REPORT_PATH = b"/v1/report"
ORDER_PATH = b"/v1/order"
SCALE_PATH = "/scale"
USAGE_PATH = "/usage"
LEASE_HOLDER = "berylshift-lease-holder"
FENCING_TOKEN = "berylshift-fencing-token"
ROWS_GET = "/v1/rows-get"
ROWS_FEED = "/v1/rows-feed"
ROWS_TX = "/v1/rows-tx"

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
REPLICA_TABLE = "servers"
LEASE_TABLE = "leases"
HOST_TABLE = "hosts"
CRASH_TABLE = "crashes"
BLOCK_CRASH_TABLE = "block-crashes"
USAGE_TABLE = "usage"
SCALING_TABLE = "scaling"
KEY_TABLE = "keys"
CHECKPOINT_TABLE = "checkpoints"
DATAGRAM_KEY = "datagrams"
FIRST_ERA_KEY = "first-era"
