"""The platform's names of headers, topics and calls."""

REQUEST_ID = b'foxtailhatch-request-id'
DEADLINE_MS = b'foxtailhatch-deadline-ms'
LAST_EVENT_ID = b'last-event-id'
# Proves that an answer is the endpoint's own.
PROOF = b'foxtailhatch-response-seal'
ACCOUNT = b'foxtailhatch-tenant'
EXPECTED_ENDPOINT = b'foxtailhatch-expect-instance'
NOT_RUN = b'foxtailhatch-not-executed'
# Prompt tokens and the most output tokens, with a comma between.
TOKEN_COUNTS = b'foxtailhatch-token-usage'
URGENCY = b'foxtailhatch-request-urgency'
# The chain of endpoints that a request passes through.
CHAIN = b'foxtailhatch-hops'
# A request that names more endpoints than this is refused.
CHAIN_PARTS_MAX = 32
# The caller's guess of the number of output tokens.
LENGTH_GUESS = b'foxtailhatch-length-hint'
FAULTY_ENDPOINT = b'at-server'
AUTHORIZATION = b'authorization'
KEY_SCHEME = b'bearer '

CONFIGURATION_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
ENDPOINT_TOPIC = 'keyed.servers'
# Topics of our own.
ENTRY_TOPIC = 'keyed.entries'
FINDING_TOPIC = 'keyed.findings'
DECIDER_TOPIC = 'placement'
DECIDER_GROUP = 'placement'

READY_PATH = b'/readyz'
ADVICE_PATH = b'/resolve'
REPORT_PATH = '/report'
ORDER_PATH = '/order'
