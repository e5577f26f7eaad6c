from twisted.internet.task import Clock

from foxtailhatch.relay.timers import Timers


def test_callback_runs_after_its_delay():
    clock, done = Clock(), []
    Timers(clock).schedule('end', 2, done.append, 'end')
    clock.advance(1.9)
    assert done == []
    clock.advance(0.1)
    assert done == ['end']


def test_cancelled_callbacks_do_not_run():
    clock, done = Clock(), []
    timers = Timers(clock)
    timers.schedule('end', 2, done.append, 'end')
    timers.schedule('hold', 1, done.append, 'hold')
    timers.cancel_all()
    clock.advance(3)
    assert done == []


def test_callback_may_schedule_another_under_the_same_name():
    clock, done = Clock(), []
    timers = Timers(clock)

    def again():
        done.append('hold')
        timers.schedule('hold', 1, done.append, 'last')

    timers.schedule('hold', 1, again)
    clock.advance(1)
    clock.advance(1)
    assert done == ['hold', 'last']


# Guards against a timer that outlives its request, as another took its name.
def test_timer_of_the_same_name_replaces_the_pending_one():
    clock, fired = Clock(), []
    timers = Timers(clock)
    timers.schedule('hold', 1, fired.append, 'first')
    timers.schedule('hold', 2, fired.append, 'second')
    clock.advance(3)
    assert fired == ['second']


def test_no_timer_fires_after_all_are_cancelled():
    clock, fired = Clock(), []
    timers = Timers(clock)
    timers.schedule('hold', 1, fired.append, 'first')
    timers.schedule('hold', 2, fired.append, 'second')
    timers.cancel_all()
    clock.advance(3)
    assert fired == []
