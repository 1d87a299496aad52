"""Run `python -m pimentowalk.control SETTINGS`."""

from pimentowalk.control import daemon

daemon.main()
