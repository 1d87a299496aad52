"""Build configurations and backend servers for the tests of control."""

from pimentowalk.control import commands
from pimentowalk.topology import contracts
from pimentowalk.topology import instances


def source(number=1, weight=1.0):
    """Return a source with one service, route and account."""
    return commands.Source(
        [contracts.Service(f'svc-{number}', model='m', total_layers=4)],
        [contracts.Route(f'r-{number}', f'svc-{number}', f'/r{number}')],
        [contracts.ClientAccount(f'acc-{number}', 'ab' * 32, weight)],
    )


def publish(change_id, expected_version, **sources):
    """Return a `Publish` of the named sources, by default of one."""
    return commands.Publish(
        change_id, 'anna', expected_version, sources or {'one': source()}
    )


def backend(server_id='server-1', incarnation=1, **fields):
    """Return a backend server of the service svc-1."""
    defaults = {'service': 'svc-1', 'host': '127.0.0.1', 'port': 9}
    defaults.update(model='m', end_layer=4, total_layers=4)
    defaults.update(fields)
    return instances.BackendServer(server_id, incarnation, **defaults)
