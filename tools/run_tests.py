"""Run the tests; only those listed in KNOWN-RED.txt may fail."""

import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
FIELD_COUNT = 4


def read_known_red(path):
    """Return the listed test ids; raise ValueError on a malformed line."""
    listed = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith('#'):
            continue
        fields = [field.strip() for field in line.split(' | ')]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise ValueError(f'{path.name}:{number}: expected 4 fields')
        listed.append(fields[0])
    return listed


def outcomes(report):
    """Map each test id of a JUnit report to whether it failed."""
    result = {}
    for case in ElementTree.parse(report).getroot().iter('testcase'):
        name = f'{case.get("classname")}::{case.get("name")}'
        failed = any(child.tag in ('failure', 'error') for child in case)
        result[name] = result.get(name, False) or failed
    return result


def verdict(listed, results):
    """Return the lines to print and whether the run passes."""
    missing = [name for name in listed if name not in results]
    lines = [f'KNOWN-RED names no existing test: {name}' for name in missing]
    for name in listed:
        if name in results:
            state = 'failed' if results[name] else 'passed'
            lines.append(f'known red: {name}: {state}')
    unexpected = [
        name
        for name, failed in sorted(results.items())
        if failed and name not in listed
    ]
    lines.extend(f'failed: {name}' for name in unexpected)
    return lines, not missing and not unexpected and bool(results)


def main():
    """Run pytest with the given arguments and print the verdict."""
    listed = read_known_red(KNOWN_RED)
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.xml'
        command = [sys.executable, '-m', 'pytest', f'--junitxml={report}']
        status = subprocess.call(command + sys.argv[1:], cwd=ROOT)
        if status not in (0, 1):
            return status
        lines, passed = verdict(listed, outcomes(report))
    print('\n'.join(lines))
    return 0 if passed else 1


if __name__ == '__main__':
    sys.exit(main())
