"""The platform's names of headers, topics and calls."""

REQUEST_ID = b'foxtailhatch-request-id'
DEADLINE_MS = b'foxtailhatch-deadline-ms'
LAST_EVENT_ID = b'last-event-id'
# Proves that an answer is the endpoint's own.
RESPONSE_SEAL = b'foxtailhatch-response-seal'
ACCOUNT = b'foxtailhatch-tenant'
EXPECTED_ENDPOINT = b'foxtailhatch-expect-instance'
NOT_RUN = b'foxtailhatch-not-executed'
# Prompt tokens and the most output tokens, with a comma between.
TOKEN_COUNTS = b'foxtailhatch-token-usage'
URGENCY = b'foxtailhatch-request-urgency'
# The chain of endpoints that a request passes through.
CHAIN = b'foxtailhatch-hops'
# A request that names more endpoints than this is refused.
MAX_CHAIN_STAGES = 32
# The caller's guess of the number of output tokens.
OUTPUT_LENGTH_HINT = b'foxtailhatch-length-hint'
FAILED_ENDPOINT = b'at-server'
AUTHORIZATION = b'authorization'
KEY_SCHEME = b'bearer '

CONFIGURATION_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
ENDPOINT_TOPIC = 'keyed.servers'
# Topics of our own.
ENTRY_TOPIC = 'keyed.entries'
OBSERVATION_TOPIC = 'keyed.findings'
LEASE_TOPIC = 'placement'
LEASE_GROUP = 'placement'

READY_PATH = b'/readyz'
ADVICE_PATH = b'/resolve'
REPORT_PATH = '/report'
ORDER_PATH = '/order'
