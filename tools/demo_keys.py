"""Derive the account keys of the examples.

The examples publish only the SHA-256 of a key, as real operators do. Their
keys are derived from public names so that the demo can use them; such keys
protect nothing and belong to loopback only.
"""

import hashlib

import defopt


def demo_key(deployment, account):
    """Return the key of an account of an example deployment.

    >>> demo_key('hjulverk', 'voss-dekk')
    'demo-6884a9eb5ba603f7a3427ddd73d715e2'
    """
    names = f'pimentowalk demo key\0{deployment}\0{account}'
    return f'demo-{hashlib.sha256(names.encode()).hexdigest()[:32]}'


def key_sha256(key):
    """Return what the operator files hold of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def main(deployment: str, account: str):
    """Print the key of an account of an example and its SHA-256.

    :param deployment: folder in examples/, such as hjulverk
    :param account: name of the client account
    """
    key = demo_key(deployment, account)
    print(key)
    print(key_sha256(key))


if __name__ == '__main__':
    defopt.run(main)
