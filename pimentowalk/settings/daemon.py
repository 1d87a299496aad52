"""Settings of the daemons: one INI file for each process."""

import pathlib

import attrs

from pimentowalk.core import errors
from pimentowalk.settings import ini
from pimentowalk.settings import values
from pimentowalk.topology import instances

MAX_CONTROL_INSTANCES = 8
# One voter serves development; more must form a useful majority.
VOTER_COUNTS = (0, 1, 3, 5)
MAX_DURATION_S = 86400


@attrs.frozen
class ProcessSettings:
    """What every daemon has: identity, peer address, control instances.

    `port` 0 lets the system choose a port.
    """

    node_id: str
    zone: str
    region: str
    host: str
    port: int
    log_level: str
    control: list[instances.Instance]
    heartbeat_s: float = 1.0


@attrs.frozen
class EntrySettings:
    """Settings of `pimentowalk-entry`."""

    process: ProcessSettings
    http_host: str
    http_port: int
    servers_per_range: int = 16
    drain_timeout_s: float = 30.0


@attrs.frozen
class AgentSettings:
    """Settings of `pimentowalk-agent`; `data_folder` may be empty."""

    process: ProcessSettings
    service: str
    kind: str
    backend_url: str
    data_folder: str = ''
    drain_timeout_s: float = 30.0


@attrs.frozen
class ControlSettings:
    """Settings of `pimentowalk-control`.

    `voters` are ids from `process.control` that form the first set of
    voters; an instance with an empty list joins as a learner. The file
    may also list them as `id@host:port`.
    """

    process: ProcessSettings
    data_folder: str
    voters: list[str]
    operators_file: str
    drain_timeout_s: float = 30.0


def control_instance(text):
    """Return the instance that `id@host:port` names."""
    instance_id, _, address = text.partition('@')
    host, _, port = address.rpartition(':')
    if not instance_id or not host:
        raise ValueError(f'{text!r} is not written id@host:port')
    return instances.Instance(
        values.name(instance_id),
        values.ip(host.removeprefix('[').removesuffix(']')),
        values.integer(1, values.MAX_PORT)(port),
    )


def control_instances(text):
    """Return the control instances of a comma-separated list."""
    found = values.list_of(control_instance)(text)
    if not 1 <= len(found) <= MAX_CONTROL_INSTANCES:
        raise ValueError(
            f'{len(found)} control instances; '
            f'expected 1 to {MAX_CONTROL_INSTANCES}'
        )
    ids = {one.instance_id for one in found}
    addresses = {(one.host, one.port) for one in found}
    if len(ids) < len(found) or len(addresses) < len(found):
        raise ValueError('two control instances share an id or an address')
    return found


def voter(text):
    """Return the id, or the instance, that names a voter."""
    return control_instance(text) if '@' in text else values.name(text)


def voters(text):
    """Return the ids or instances that name the first voters."""
    found = values.list_of(voter)(text)
    if len(found) not in VOTER_COUNTS:
        raise ValueError(f'{len(found)} voters; expected 3 or 5 (or 1, or 0)')
    return found


def _path_reader(settings_path, *, required):
    folder = pathlib.Path(settings_path).absolute().parent

    def read(text):
        if '\0' in text or (required and not text):
            raise ValueError(f'{text!r} is not a path')
        return str(folder / text) if text else ''

    return read


PROCESS_READERS = {
    'node_id': values.name,
    'zone': values.name,
    'region': values.optional(values.name),
    'host': values.ip,
    'port': values.integer(0, values.MAX_PORT),
    'log_level': values.choice(values.LOG_LEVELS),
    'control': control_instances,
    'heartbeat_s': values.number(0.05, 60, 'seconds'),
}
DRAIN_TIMEOUT_S = values.number(0, MAX_DURATION_S, 'seconds')


def load_entry(path):
    """Return the settings of an entry; raise SettingsError."""
    readers = {
        'http_host': values.listen_ip,
        'http_port': values.integer(0, values.MAX_PORT),
        'servers_per_range': values.integer(1, 1024),
        'drain_timeout_s': DRAIN_TIMEOUT_S,
    }
    return _load(path, 'entry', EntrySettings, readers)


def load_agent(path):
    """Return the settings of an agent; raise SettingsError.

    A relative `data_folder` starts at the folder of the settings file.
    """
    kinds = (instances.STAGE, instances.PLAIN)
    readers = {
        'service': values.name,
        'kind': values.choice(kinds),
        'backend_url': values.http_url,
        'data_folder': _path_reader(path, required=False),
        'drain_timeout_s': DRAIN_TIMEOUT_S,
    }
    return _load(path, 'agent', AgentSettings, readers)


def load_control(path):
    """Return the settings of a control instance; raise SettingsError.

    Relative paths start at the folder of the settings file.
    """
    readers = {
        'data_folder': _path_reader(path, required=True),
        'operators_file': _path_reader(path, required=True),
        'voters': voters,
        'drain_timeout_s': DRAIN_TIMEOUT_S,
    }
    return _load(path, 'control', ControlSettings, readers, _resolve_voters)


def _resolve_voters(document, settings):
    known = {one.instance_id: one for one in settings.process.control}
    found = []
    for named in settings.voters:
        instance_id = getattr(named, 'instance_id', named)
        if named not in (instance_id, known.get(instance_id)):
            reason = f'{instance_id!r} has another address in [process]'
            document.report('control', 'voters', reason)
        if instance_id not in known:
            reason = f'{instance_id!r} is no instance of [process] control'
            document.report('control', 'voters', reason)
        found.append(instance_id)
    if len(set(found)) < len(found):
        document.report('control', 'voters', 'an instance is listed twice')
    return attrs.evolve(settings, voters=found)


def _unchanged(document, settings):
    return settings


def _load(path, section, cls, readers, finish=_unchanged):
    document = ini.read(path)
    if not document.problems or document.sections:
        settings = _build(document, section, cls, readers)
        if settings is not None:
            settings = finish(document, settings)
    if document.problems:
        raise errors.SettingsError(
            '\n'.join(str(problem) for problem in document.problems),
            step='read settings',
        )
    return settings


def _build(document, section, cls, readers):
    known = ('process', section)
    for name in document.sections:
        if name not in known:
            reason = f'unknown section; known: {", ".join(known)}'
            document.report(name, '', reason)
    process = ini.build(
        ProcessSettings,
        document,
        'process',
        PROCESS_READERS,
        region='',
        log_level='INFO',
    )
    settings = ini.build(cls, document, section, readers, process=process)
    return settings if process is not None else None
