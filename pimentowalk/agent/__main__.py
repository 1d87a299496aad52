"""Command line entry point: `python -m pimentowalk.agent SETTINGS`."""

from pimentowalk.agent import daemon

if __name__ == '__main__':
    daemon.main()
