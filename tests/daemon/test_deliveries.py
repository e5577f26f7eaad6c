from types import SimpleNamespace

from foxtailhatch.callers.connections import CutReason
from foxtailhatch.core import EventKind
from foxtailhatch.daemon.deliveries import DeliveryRecorder
from foxtailhatch.daemon.logs import STATE_CHANGES


# The log could not tell an answer that was delivered from one that was not.
def test_delivered_and_cut_answers_are_different_events():
    events = []
    board = SimpleNamespace(record=lambda *event: events.append(event))
    recorder = DeliveryRecorder(board)
    recorder.record_delivered('r-1')
    recorder.record_delivered('')
    recorder.record_cut('r-2', CutReason.NOT_DELIVERED, 'stop timeout')
    assert events == [
        (EventKind.ANSWER_DELIVERED, 'r-1'),
        (EventKind.REQUEST_CUT, 'r-2', 'answer not delivered; stop timeout'),
    ]
    assert EventKind.REQUEST_CUT in STATE_CHANGES
