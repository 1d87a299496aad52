"""Commands that check and publish folders of operator files."""

import asyncio

import attrs

from pimentowalk.cli import options as options_module
from pimentowalk.cli import output
from pimentowalk.cli import remote
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.settings import published

Options = options_module.Options


@attrs.define
class ProblemsError(errors.SettingsError):
    """Report all problems found in operator files."""

    problems: list

    def __attrs_post_init__(self):
        super().__init__(
            '\n'.join(map(str, self.problems)), step='check files'
        )


@options_module.with_shared_options
def check(*folders: str, online: bool = False, options: Options):
    """Check folders of operator files and print every problem.

    Exit status 2 if there are problems.

    :param folders: folders whose .ini files form one source each
    :param online: also check against the configuration in force
    """
    _require_folders(folders)
    if online:
        asyncio.run(_check_online(folders, options))
        return
    sources = _collect(folders)
    _show_sources(sources, options)


@options_module.with_shared_options
def publish(
    *folders: str,
    expected_version: int = -1,
    change_id: str = '',
    options: Options,
):
    """Publish folders of operator files as one change, or nothing.

    Prints every problem and exits with 2 if there are any. After exit
    status 3, repeat the command with the printed change id and expected
    version: the change is then applied once or its result returned.

    :param folders: folders whose .ini files form one source each
    :param expected_version: version that the change starts from; default
        is the version in force
    :param change_id: id of the change that is repeated
    """
    _require_folders(folders)
    asyncio.run(_publish(folders, expected_version, change_id, options))


def _require_folders(folders):
    if not folders:
        raise errors.SettingsError('name at least one folder')


def _collect(folders, in_force=None):
    sources, problems = published.collect(folders, published=in_force)
    if problems:
        raise ProblemsError(problems)
    return sources


def _show_sources(sources, options):
    if options.json:
        output.show_json({'problems': [], 'sources': sources})
        return
    rows = [
        [
            name,
            len(source.services),
            len(source.routes),
            len(source.accounts),
        ]
        for name, source in sources.items()
    ]
    output.show_table(['source', 'services', 'routes', 'accounts'], rows)


async def _check_online(folders, options):
    async with remote.control(options) as control:
        version, sources = await _collect_online(control, folders)
        command = _publish_command(control, sources, version, '', dry_run=True)
        await control.request(command)
    _show_sources(sources, options)


async def _collect_online(control, folders):
    """Return the version in force and sources checked against it."""
    try:
        result = await control.request(control.commands.ReadConfiguration())
    except errors.PimentowalkError:
        # Report problems of the files even if control does not answer.
        _collect(folders)
        raise
    return result.configuration.version, _collect(folders, result.sources)


def _publish_command(control, sources, version, change_id, *, dry_run=False):
    return control.commands.Publish(
        change_id=change_id or identifiers.new_change_id(),
        author=control.operator.name,
        expected_version=version,
        sources={
            name: control.commands.Source(
                services=source.services,
                routes=source.routes,
                accounts=source.accounts,
            )
            for name, source in sources.items()
        },
        dry_run=dry_run,
    )


async def _publish(folders, expected_version, change_id, options):
    async with remote.control(options) as control:
        version, sources = await _collect_online(control, folders)
        if expected_version >= 0:
            version = expected_version
        command = _publish_command(control, sources, version, change_id)
        try:
            result = await control.request(command)
        except errors.OutcomeUnknown as error:
            raise errors.OutcomeUnknown(
                f'{error.message}; repeat with --change-id '
                f'{command.change_id} --expected-version {version}',
                step=error.step,
                peer=error.peer,
            ) from None
    if options.json:
        output.show_json({'change_id': command.change_id, 'result': result})
        return
    repeated = ' (accepted before)' if result.repeated else ''
    print(f'version {result.version} accepted{repeated}')
