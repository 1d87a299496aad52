"""Guard the capacity page."""

from bench import capacity


def test_page_agrees_with_the_recorded_slopes():
    """A page that drifts from its measurements claims what no run showed."""
    text = capacity.PAGE.read_text()
    assert capacity.TABLE.search(text)
    assert capacity.render(text) == text
