"""Error responses that the router itself gives."""

from foxtailhatch.relay.refusals import RelayRefusal
from foxtailhatch.relay.request import CallerConnection


def send_refusal(caller: CallerConnection, refusal: RelayRefusal) -> None:
    """Send a refusal to the caller as a JSON error response."""
    body = b'{"error":"%s"}' % refusal.reason.value.encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', b'%d' % len(body)),
    ]
    if refusal.retry_after_s is not None:
        wait = f'{refusal.retry_after_s:.2f}'.encode()
        headers.append((b'retry-after', wait))
    caller.start(refusal.status, tuple(headers))
    caller.write(body)
    caller.finish()
