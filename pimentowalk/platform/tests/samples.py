"""Sample messages in the formats of the platform."""

import copy
import json

ENGINE = {
    'slots': 96,
    'kv-token-bytes': 1180000,
    'models': [{'name': 'm1', 'pace': 1.0, 'load-s': 14.0}],
    'step_ms': 1.02,
    'read_per_s': 164000.0,
    'loads_at_once': 6,
    'usual': {'prompt': 775, 'answer': 216},
    'layers': 8,
    'layer-mb': 1750.0,
    'activation-bytes': 59000,
    'pipe-mbps': 13000.0,
    'kinds': [{'name': 'v100', 'size-mb': 28800.0, 'pace': 5.3}],
}
STREAM_ROUTE = {
    'name': 'r-stream',
    'host': 'a.example',
    'path-prefix': '/draft/',
    'kind': 'streaming',
    'timeout-ms': 20000,
    'latency-target-ms': 500,
    'priority': 1,
    'service': 'model',
    'attempts': 2,
    'public': False,
    'resumable': True,
    'gap-target-ms': 250,
}
SAFE_ROUTE = {
    'name': 'r-safe',
    'host': 'a.example',
    'path-prefix': '/look/',
    'kind': 'safe',
    'timeout-ms': 800,
    'priority': 2,
    'service': 'jobs',
    'attempts': 2,
}
BOOK_ROUTE = {
    'name': 'r-book',
    'host': 'a.example',
    'path-prefix': '/book/',
    'kind': 'non_idempotent',
    'timeout-ms': 800,
    'priority': 2,
    'backends': [{'service': 'jobs', 'weight': 100}],
    'attempts': 1,
}
CONFIGURATION = {
    'version': 3,
    'routes': [STREAM_ROUTE, SAFE_ROUTE, BOOK_ROUTE],
    'services': [
        {'name': 'model', 'health-path': '/health', 'engine': ENGINE},
        {'name': 'jobs', 'health-path': '/health', 'max-connections': 120},
    ],
    'limits': {'max-body-bytes': 4194304, 'idle-timeout-ms': 15000},
    'tenants': [{'name': 't1', 'api-keys': ['k1', 'k2'], 'priority': 1}],
}
ANNOUNCEMENT = {
    'service': 'model',
    'address': '127.0.0.1:8080',
    'zone': 'z1',
    'version': 'v1',
    'slots': 96,
    'state': 'ready',
    'warmup-left-ms': 0,
    'models': [{'name': 'm1', 'version': 1, 'adapters': []}],
    'layers': {'from': 0, 'to': 8, 'version': 1},
    'kind': 'v100',
    'sequence': 4,
    'born': 1700000000000,
}


def configuration(**changes):
    """Return an encoded configuration with some fields replaced."""
    return json.dumps(copy.deepcopy(CONFIGURATION) | changes).encode()


def announcement(**changes):
    """Return an encoded announcement with some fields replaced."""
    return json.dumps(ANNOUNCEMENT | changes).encode()
