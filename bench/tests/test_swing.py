"""Checks of the load that the measurement of the crest sends."""

from bench import swing


def test_load_is_the_swing_that_the_page_describes():
    """Arrivals of another size would make the goals meaningless."""
    requests = swing.arrivals()
    begin_s, end_s = swing.CREST_BEGIN_S, swing.CREST_END_S
    crest = [r for r in requests if begin_s <= r.at_s < end_s]
    long = [r for r in crest if r.long]
    cost = sum(r.tokens + swing.PROMPT_TOKENS for r in crest)
    bound = swing.BOUND_TOKENS_PER_S * swing.CREST_S
    assert 2.7 < cost / bound < 3.4
    assert 0.07 < len(long) / len(crest) < 0.13
    assert sum(r.tokens for r in long) > 0.5 * cost
    assert len({r.account for r in requests}) == len(swing.OFFERED) + 1


def test_every_equal_account_offers_more_than_its_share():
    """Jain's index means nothing for accounts that ask for less."""
    begin_s, end_s = swing.CREST_BEGIN_S, swing.CREST_END_S
    share = swing.BOUND_TOKENS_PER_S * swing.CREST_S / len(swing.OFFERED)
    for number in range(len(swing.OFFERED)):
        offered = sum(
            r.tokens + swing.PROMPT_TOKENS
            for r in swing.arrivals()
            if r.account == f'office-{number}' and begin_s <= r.at_s < end_s
        )
        assert offered > share, number
