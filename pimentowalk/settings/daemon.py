"""Settings of the daemons: one INI file for each process."""

import pathlib

import attrs

from pimentowalk.core import errors
from pimentowalk.settings import ini
from pimentowalk.settings import values
from pimentowalk.topology import instances

MAX_CONTROL_INSTANCES = 8
# No voters marks a learner, and one voter is for development. Larger sets are
# odd: an even number tolerates no more failures than the odd one below it.
VOTER_COUNTS = (0, 1, 3, 5)
MAX_DURATION_S = 86400


@attrs.frozen
class ProcessSettings:
    """Settings of every daemon: identity, peer address, control instances.

    With `port` 0 the operating system chooses the port.
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

    `voters` are the ids of the instances in `process.control` that form
    the initial voter set; an instance with an empty list joins as a learner.
    The file may also list voters as `id@host:port`.
    """

    process: ProcessSettings
    data_folder: str
    voters: list[str]
    operators_file: str
    drain_timeout_s: float = 30.0


def control_instance(text):
    """Return the control instance written as `id@host:port`."""
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
    parsed = values.list_of(control_instance)(text)
    if not 1 <= len(parsed) <= MAX_CONTROL_INSTANCES:
        raise ValueError(
            f'{len(parsed)} control instances; '
            f'expected 1 to {MAX_CONTROL_INSTANCES}'
        )
    ids = {instance.instance_id for instance in parsed}
    addresses = {(instance.host, instance.port) for instance in parsed}
    if len(ids) < len(parsed) or len(addresses) < len(parsed):
        raise ValueError('two control instances share an id or an address')
    return parsed


def voter(text):
    """Return a voter as an id or, if written `id@host:port`, an instance."""
    return control_instance(text) if '@' in text else values.name(text)


def voters(text):
    """Return the initial voters as ids or instances."""
    parsed = values.list_of(voter)(text)
    if len(parsed) not in VOTER_COUNTS:
        raise ValueError(f'{len(parsed)} voters; expected 3 or 5 (or 1, or 0)')
    return parsed


def _path_parser(settings_path, *, required):
    folder = pathlib.Path(settings_path).absolute().parent

    def parse(text):
        if '\0' in text or (required and not text):
            raise ValueError(f'{text!r} is not a path')
        return str(folder / text) if text else ''

    return parse


PROCESS_PARSERS = {
    'node_id': values.name,
    'zone': values.name,
    'region': values.optional(values.name),
    'host': values.ip,
    'port': values.integer(0, values.MAX_PORT),
    'log_level': values.choice(values.LOG_LEVELS),
    'control': control_instances,
    'heartbeat_s': values.number(0.05, 60, 'seconds'),
}
DRAIN_TIMEOUT_PARSER = values.number(0, MAX_DURATION_S, 'seconds')


def load_entry(path):
    """Return the settings of an entry; raise SettingsError."""
    parsers = {
        'http_host': values.listen_ip,
        'http_port': values.integer(0, values.MAX_PORT),
        'servers_per_range': values.integer(1, 1024),
        'drain_timeout_s': DRAIN_TIMEOUT_PARSER,
    }
    return _load(path, 'entry', EntrySettings, parsers)


def load_agent(path):
    """Return the settings of an agent; raise SettingsError.

    A relative `data_folder` is resolved against the settings file's folder.
    """
    kinds = (instances.STAGE, instances.PLAIN)
    parsers = {
        'service': values.name,
        'kind': values.choice(kinds),
        'backend_url': values.http_url,
        'data_folder': _path_parser(path, required=False),
        'drain_timeout_s': DRAIN_TIMEOUT_PARSER,
    }
    return _load(path, 'agent', AgentSettings, parsers)


def load_control(path):
    """Return the settings of a control instance; raise SettingsError.

    Relative paths are resolved against the settings file's folder.
    """
    parsers = {
        'data_folder': _path_parser(path, required=True),
        'operators_file': _path_parser(path, required=True),
        'voters': voters,
        'drain_timeout_s': DRAIN_TIMEOUT_PARSER,
    }
    return _load(path, 'control', ControlSettings, parsers, _resolve_voters)


def _resolve_voters(document, settings):
    known = {
        instance.instance_id: instance for instance in settings.process.control
    }
    voter_ids = []
    for listed in settings.voters:
        instance_id = getattr(listed, 'instance_id', listed)
        if listed not in (instance_id, known.get(instance_id)):
            reason = f'{instance_id!r} has another address in [process]'
            document.report('control', 'voters', reason)
        if instance_id not in known:
            reason = f'{instance_id!r} is not an instance of [process] control'
            document.report('control', 'voters', reason)
        voter_ids.append(instance_id)
    if len(set(voter_ids)) < len(voter_ids):
        document.report('control', 'voters', 'an instance is listed twice')
    return attrs.evolve(settings, voters=voter_ids)


def _unchanged(document, settings):
    return settings


def _load(path, section, cls, parsers, resolve=_unchanged):
    document = ini.read(path)
    if not document.problems or document.sections:
        settings = _build(document, section, cls, parsers)
        if settings is not None:
            settings = resolve(document, settings)
    if document.problems:
        raise errors.SettingsError(
            '\n'.join(str(problem) for problem in document.problems),
            step='read settings',
        )
    return settings


def _build(document, section, cls, parsers):
    known = ('process', section)
    for name in document.sections:
        if name not in known:
            reason = f'unknown section; known: {", ".join(known)}'
            document.report(name, '', reason)
    process = ini.build(
        ProcessSettings,
        document,
        'process',
        PROCESS_PARSERS,
        region='',
        log_level='INFO',
    )
    settings = ini.build(cls, document, section, parsers, process=process)
    return settings if process is not None else None
