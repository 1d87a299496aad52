"""Guard the verdict of the test runner."""

import pytest

from tools import run_tests


def write(folder, text):
    path = folder / 'KNOWN-RED.txt'
    path.write_text(text)
    return path


def test_an_entry_needs_all_four_fields(tmp_path):
    """An entry without its cause would hide a failure for good."""
    path = write(tmp_path, '# comment\na::b | make test\n')
    with pytest.raises(ValueError, match='KNOWN-RED.txt:2'):
        run_tests.read_known_red(path)


@pytest.mark.parametrize(
    ('listed', 'results', 'passes'),
    [
        ([], {'a::b': False}, True),
        ([], {'a::b': True}, False),
        (['a::b'], {'a::b': True}, True),
        (['a::b'], {'a::b': False}, True),
        (['a::gone'], {'a::b': False}, False),
        (['a::b'], {'a::b': True, 'a::c': True}, False),
        ([], {}, False),
    ],
)
def test_only_listed_tests_may_fail(listed, results, passes):
    """An unlisted failure or a stale entry must fail the run."""
    _, passed = run_tests.verdict(listed, results)
    assert passed is passes


def test_outcomes_are_read_from_the_report(tmp_path):
    """A failure that the report holds must not be taken for a pass."""
    report = tmp_path / 'report.xml'
    report.write_text(
        '<testsuites><testsuite>'
        '<testcase classname="m" name="good"/>'
        '<testcase classname="m" name="bad"><failure/></testcase>'
        '<testcase classname="m" name="broken"><error/></testcase>'
        '</testsuite></testsuites>'
    )
    assert run_tests.outcomes(report) == {
        'm::good': False,
        'm::bad': True,
        'm::broken': True,
    }
