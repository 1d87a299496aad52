"""Apply every explored log to the real control state."""

from pimentowalk.control import commands
from pimentowalk.control import state as control_state

TIME_S = 1_000.0


class Replay:
    """Remember the state and the last result of each log.

    `bodies` maps the names of which logs consist to commands.
    """

    def __init__(self, bodies):
        self._contents = {
            name: commands.to_log(body) for name, body in bodies.items()
        }
        self._known = {(): (None, control_state.ControlState().snapshot())}

    def _entry(self, log):
        if log not in self._known:
            state = self.state(log[:-1])
            content = self._contents[log[-1]]
            result = state.apply(len(log), content, TIME_S)
            self._known[log] = (result, state.snapshot())
        return self._known[log]

    def result(self, log):
        """Return the result of the last command of a log."""
        return self._entry(log)[0]

    def state(self, log):
        """Return the control state after a log."""
        state = control_state.ControlState()
        state.restore(self._entry(log)[1])
        return state
