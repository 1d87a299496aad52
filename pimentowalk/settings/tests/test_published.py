"""Test the operator files, which change what all entries do."""

import hypothesis
from hypothesis import strategies
import pytest

from pimentowalk.settings import published
from pimentowalk.topology import contracts

HASHES = [f'{number:064x}' for number in range(1, 9)]
SERVICES = """
[service skrivar]
kind = model
model = skrivar-7b
version = 3
total_layers = 24
adapters = nynorsk, bokmål
[service verkstad]
kind = plain
"""
ROUTES = """
[route skrivar]
service = skrivar
path_prefix = /v1
[route verkstad]
service = verkstad
path_prefix = /bookings
timeout_s = 12.5
non_idempotent_methods = POST, PUT
"""
ACCOUNTS = f"""
[account Nordfjord-Hjul]
key_sha256 = {HASHES[0]}
weight = 4
services = skrivar, verkstad
[account voss]
key_sha256 = {HASHES[1]}
"""
VALID = SERVICES + ROUTES + ACCOUNTS


def write_folder(root, name='hjulverk', **files):
    path = root / name
    path.mkdir()
    for stem, text in files.items():
        (path / f'{stem}.ini').write_text(text, encoding='utf-8')
    return path


def problems_of(root, text, **options):
    path = write_folder(root, everything=text)
    return published.collect([path], **options)[1]


def test_files_of_a_folder_form_one_source(tmp_path):
    """A dropped field would silently change limits."""
    path = write_folder(tmp_path, services=SERVICES, routes=ROUTES, x=ACCOUNTS)
    (path / 'README.txt').write_text('no settings')
    (path / '.old.ini').write_text('no settings')
    sources, problems = published.collect([path])
    assert problems == []
    source = sources['hjulverk']
    assert source.services == [
        contracts.Service(
            'skrivar',
            model='skrivar-7b',
            version='3',
            total_layers=24,
            adapters=['nynorsk', 'bokmål'],
        ),
        contracts.Service('verkstad', kind='plain'),
    ]
    assert source.routes[1] == contracts.Route(
        'verkstad',
        'verkstad',
        '/bookings',
        timeout_s=12.5,
        non_idempotent_methods=['POST', 'PUT'],
    )
    assert [account.weight for account in source.accounts] == [4.0, 1.0]


# Each row: text in VALID, its replacement, and the section, key and reason of
# the expected problem. `-` is an empty field; an indented line continues the
# row above.
FAULTS = r"""
= 12.5 | = 30s | route verkstad | timeout_s | has a unit 's'
= 12.5 | = 30 s | route verkstad | timeout_s | such as 30
weight = 4 | weight = 4% | account Nordf | weight | unit '%'
weight = 4 | weight = 1e3 | account Nordf | weight | plain nu
weight = 4 | weight = 0 | account Nordf | weight | between
, bokmål | , nynorsk | service skrivar | adapters | twice
weight | wieght | account Nordf | wieght | unknown key
= plain | = plane | service verkstad | kind | unknown name
kind = plain | kind = plain\nmodel = x | service verkstad | model | kind plain
total_layers = 24 | - | service skrivar | total_layers | missin
model = skrivar-7b | - | service skrivar | model | missing
version = 3 | queue_policy = lifo | service skrivar | queue_policy |
    unknown name 'lifo'; known: fair
service = verkstad | service = verksted | route verkstad | service |
    unknown service 'verksted'; known: skrivar, verkstad
skrivar, verkstad | skrivar, x | account Nordf | services | unknown service 'x'
= /v1 | = /bookings | route verkstad | path_prefix | overlaps
= /v1 | = / | route verkstad | path_prefix | overlaps /
= /bookings | = /v1/bookings | route verkstad | path_prefix | overlaps /v1
= /bookings | = /metrics/x | route verkstad | path_prefix |
    answered by the entries
/bookings | bookings | route verkstad | path_prefix | path
/bookings | /a//b | route verkstad | path_prefix | shortest
HASHES[1] | HASHES[0] | account voss | key_sha256 | the same
HASHES[1] | secret | account voss | key_sha256 | 64 lower-case
[account voss] | [account Nordfjord-Hjul] | account Nordfjord-Hjul | - |
    duplicate
[account voss] | [acount voss] | acount voss | - | unknown sec
[account voss] | [account a b] | account a b | - | not a name
[account voss] | [account] | account | - | not a name
kind = plain | kind = model\nmodel = skrivar\ntotal_layers = 1 |
    service verkstad | model | the same as
"""


def fault_rows():
    """Return the fields of each row of FAULTS."""
    text = FAULTS.strip().replace('\n    ', ' ')
    for number in (0, 1):
        text = text.replace(f'HASHES[{number}]', HASHES[number])
    rows = [
        line.replace('\\n', '\n').split(' | ') for line in text.split('\n')
    ]
    return [['' if field == '-' else field for field in row] for row in rows]


@pytest.mark.parametrize(
    ('old', 'new', 'section', 'key', 'reason'), fault_rows()
)
def test_each_fault_is_reported_at_its_location(
    tmp_path, old, new, section, key, reason
):
    """An accepted fault would reach every entry within seconds."""
    changed = VALID.replace(old, new, 1)
    assert changed != VALID
    problems = problems_of(tmp_path, changed)
    assert [
        problem
        for problem in problems
        if problem.section.startswith(section)
        and problem.key == key
        and reason in problem.reason
        and problem.file.endswith('everything.ini')
    ], problems


def test_all_problems_are_reported_in_one_run(tmp_path):
    """Operators must not have to find the problems one at a time."""
    first = write_folder(tmp_path, 'a', x=VALID.replace('12.5', '30s'))
    second = write_folder(tmp_path, 'b', x='[route r]\nservice = none\n')
    third = write_folder(tmp_path, 'c')
    missing = tmp_path / 'd'
    _, problems = published.collect([first, second, third, missing])
    places = {(problem.file, problem.key) for problem in problems}
    assert places == {
        (str(first / 'x.ini'), 'timeout_s'),
        (str(second / 'x.ini'), 'path_prefix'),
        (str(third), ''),
        (str(missing), ''),
    }


def test_names_are_unique_across_files_and_sources(tmp_path):
    """Two definitions of a name would make the result depend on file order."""
    first = write_folder(tmp_path, 'a', x=VALID)
    second = write_folder(tmp_path, 'b', x=SERVICES, y=ACCOUNTS)
    problems = published.collect([first, second])[1]
    reported = {(p.section, p.reason.split(' is ')[0]) for p in problems}
    assert ('service skrivar', 'service skrivar') in reported
    assert ('account voss', 'account voss') in reported
    again = published.collect([first, tmp_path / 'c' / '..' / 'a'])[1]
    assert 'two folders' in again[0].reason


def test_folders_are_checked_against_other_published_sources(tmp_path):
    """A publish must not take over a path or key of another source."""
    other = published.Source(
        [contracts.Service('verkstad', kind='plain')],
        # Its unknown service must not be reported for the checked folder.
        [contracts.Route('old', 'gone', '/jobs')],
        [contracts.ClientAccount('voss-2', HASHES[3])],
    )
    text = (
        '[route jobs]\nservice = verkstad\npath_prefix = /jobs/open\n'
        f'[account new]\nkey_sha256 = {HASHES[3]}\n'
    )
    path = write_folder(tmp_path, x=text)
    assert "unknown service 'verkstad'" in str(published.collect([path])[1])
    _, problems = published.collect([path], published={'other': other})
    assert [(p.section, p.key) for p in problems] == [
        ('account new', 'key_sha256'),
        ('route jobs', 'path_prefix'),
    ]
    assert 'published source other' in problems[0].reason
    _, problems = published.collect([path], published={'hjulverk': other})
    assert [p.key for p in problems] == ['service']


def test_policies_can_be_passed_in(tmp_path):
    """A policy that exists in only one version must not be published."""
    text = VALID.replace('version = 3', 'chain_policy = best')
    policies = {'chain_policy': {'best'}, 'queue_policy': {'fair'}}
    path = write_folder(tmp_path, x=text)
    assert published.collect([path], policies=policies)[1] == []
    assert 'known: ' in str(published.collect([path])[1])


def test_known_policies_include_the_defaults():
    """An unknown default would cause every service to be refused."""
    service = contracts.Service('any')
    for key, known in published.known_policies().items():
        assert getattr(service, key) in known


ini_lines = strategies.lists(
    strategies.one_of(
        strategies.text(max_size=30),
        strategies.sampled_from(VALID.split('\n')),
    ),
    max_size=30,
)


@hypothesis.settings(
    max_examples=300,
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(ini_lines)
def test_arbitrary_text_gives_contracts_or_problems(tmp_path, lines):
    """An exception would hide the problems found so far."""
    path = tmp_path / 'source'
    path.mkdir(exist_ok=True)
    text = '\n'.join(lines)
    content = text.encode('utf-8', errors='surrogatepass')
    (path / 'x.ini').write_bytes(content)
    sources, problems = published.collect([path])
    assert list(sources) == ['source']
    assert all(str(problem) for problem in problems)
