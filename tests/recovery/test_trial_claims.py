from foxtailhatch.recovery.trial_claims import GRANT_TTL_S, TrialClaims


def test_claim_is_not_repeated_while_it_may_be_granted():
    claims = TrialClaims()
    assert claims.claim('bad', 0)
    assert not claims.claim('bad', GRANT_TTL_S)
    assert claims.claim('bad', GRANT_TTL_S + 1)


def test_grant_lapses():
    claims = TrialClaims()
    claims.grant('bad', 0)
    assert not claims.take('bad', GRANT_TTL_S + 1)


def test_released_part_has_no_grant():
    claims = TrialClaims()
    claims.grant('bad', 0)
    claims.forget('bad')
    assert not claims.take('bad', 0)
