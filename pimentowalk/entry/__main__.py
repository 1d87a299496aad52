"""Run an entry: `python -m pimentowalk.entry SETTINGS`."""

from pimentowalk.entry import daemon

daemon.main()
