"""Run the entry process: `python -m pimentowalk.entry SETTINGS`."""

from pimentowalk.entry import daemon

if __name__ == '__main__':
    daemon.main()
