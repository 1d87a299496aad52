"""Run a gateway: `python3 -m pimentowalk.platform [SETTINGS]`."""

import signal
import sys


def main():
    """Parse the command line and run a gateway."""
    # Until the event loop installs its own handlers, no request is being
    # served, so that the process may exit at once.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    # By default it would end the process. The settings file is watched, so
    # that the change behind the signal is not missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported after the signals are handled: imports can take seconds on a
    # loaded machine.
    from pimentowalk.platform import program

    if len(sys.argv) == 1:
        return program.run()
    # The platform passes no arguments; importing the parser takes 0.1 s.
    import defopt

    return defopt.run(program.run)


if __name__ == '__main__':
    sys.exit(main())
