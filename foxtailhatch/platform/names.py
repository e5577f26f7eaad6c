"""Header names, topics and paths of the platform's protocol."""

REQUEST_ID = b'foxtailhatch-request-id'
DEADLINE_MS = b'foxtailhatch-deadline-ms'
LAST_EVENT_ID = b'last-event-id'
# Present only on a response that the endpoint itself produced.
RESPONSE_SEAL = b'foxtailhatch-response-seal'
# Set by an entry on requests that it forwards to another one.
FORWARDED_BY = b'foxtailhatch-forwarded-by'
ACCOUNT = b'foxtailhatch-tenant'
EXPECTED_ENDPOINT = b'foxtailhatch-expect-instance'
NOT_RUN = b'foxtailhatch-not-executed'
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNTS = b'foxtailhatch-token-usage'
# Parts of the prompt in order, each as identifier, colon and number of tokens.
PROMPT_PARTS = b'foxtailhatch-prefix-hash'
# Requests a second that an endpoint in need takes from all entries together.
RATE_LIMIT = b'server-limit'
# "1" in all answers of an endpoint that leaves.
LEAVING = b'server-leaving'
# Set by an entry on responses to forwarded requests: the incarnation and name of
# the endpoint that said that it leaves.
LEAVING_ENDPOINT = b'foxtailhatch-leaving-endpoint'
# Seconds for which an endpoint that answers 503 wants nothing from this entry.
RETRY_AFTER = b'retry-after'
# In all answers of the store; rises by one each time the store returns from an
# older copy.
STORE_EPOCH = b'store-era'
URGENCY = b'foxtailhatch-request-urgency'
# The chain of endpoints that processes the request.
CHAIN = b'foxtailhatch-hops'
# Endpoints refuse a request with a longer chain.
MAX_CHAIN_STAGES = 32
# The caller's estimate of the number of output tokens.
OUTPUT_LENGTH_HINT = b'foxtailhatch-length-hint'
FAILED_ENDPOINT = b'at-server'
# Version of the weights, in the first line of the event at which it changes.
WEIGHT_VERSION = b'foxtailhatch-weight-versions'
AUTHORIZATION = b'authorization'
KEY_SCHEME = b'bearer '

CONFIGURATION_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
ENDPOINT_TOPIC = 'keyed.servers'
# Topics used by the routers only, not by the platform.
ENTRY_TOPIC = 'keyed.entries'
OBSERVATION_TOPIC = 'keyed.findings'
LEASE_TOPIC = 'placement'
LEASE_GROUP = 'placement'

READY_PATH = b'/readyz'
ADVICE_PATH = b'/resolve'
REPORT_PATH = '/report'
ORDER_PATH = '/order'
