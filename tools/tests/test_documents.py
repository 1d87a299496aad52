"""Guard the pages that are derived from, or name, parts of the code."""

import pathlib
import re

from pimentowalk.core import errors
from tools import make_error_page

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


def test_the_error_page_is_current():
    """A code without a row leaves callers without its meaning."""
    assert make_error_page.PAGE.read_text() == make_error_page.render()


def test_the_page_for_callers_names_existing_codes():
    """Advice on a code that does not exist misleads callers."""
    table = (DOCS / 'callers.md').read_text().split('| what to do |')[1]
    codes = re.findall(r'^\| `(\w+)` \|', table, re.MULTILINE)
    assert len(codes) > 10
    assert set(codes) <= set(errors.CODES)


def test_links_between_the_pages_resolve():
    """A link to a moved page sends readers nowhere."""
    for page in DOCS.glob('*.md'):
        for target in re.findall(r'\]\(([\w./-]+)\)', page.read_text()):
            assert (page.parent / target).exists(), f'{page.name}: {target}'


def test_the_glossary_lists_each_word_once():
    """Two rows for one word would give it two meanings."""
    rows = (DOCS / 'glossary.md').read_text().split('|---|---|---|\n')[1]
    words = [line.split('|')[1].strip() for line in rows.splitlines()]
    assert len(words) == len(set(words)) > 40
