"""The replicated state machine of the control plane."""

import json
import logging

from pimentowalk.control import audit  # noqa: F401 registers a part
from pimentowalk.control import change_results  # noqa: F401 registers a part
from pimentowalk.control import claims  # noqa: F401 registers a part
from pimentowalk.control import commands
from pimentowalk.control import documents  # noqa: F401 registers a part
from pimentowalk.control import fences  # noqa: F401 registers a part
from pimentowalk.control import member_changes  # noqa: F401 registers a handler
from pimentowalk.control import parts
from pimentowalk.control import publishing  # noqa: F401 registers a part
from pimentowalk.control import quarantine  # noqa: F401 registers a part
from pimentowalk.core import errors
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

SNAPSHOT_FORMAT = 2


class ControlState:
    """Apply logged commands deterministically.

    `apply` returns the result of a command, or a `Refusal` that had no
    effect. Only the records provide the time, so that replicas agree.
    """

    def __init__(self):
        self.index = 0
        self.time_s = 0.0
        self._parts = {name: cls() for name, cls in parts.PARTS.entries()}
        self._callbacks = []

    def part(self, name):
        """Return the part registered under a name."""
        return self._parts[name]

    @property
    def version(self):
        """Return the configuration version."""
        return self.part('publishing').version

    def on_change(self, callback):
        """Call `callback()` after each applied record or restored snapshot."""
        self._callbacks.append(callback)

    def apply(self, index, command, time_s):
        """Apply one command; return its result or a `Refusal`."""
        self.index = index
        # The clocks of successive leaders differ; time must not go backwards.
        self.time_s = max(self.time_s, time_s)
        try:
            body = commands.from_log(command)
        except errors.PimentowalkError as error:
            LOG.error(
                'record %d is skipped: %s',
                index,
                error,
                extra=logs.fields(step='apply'),
            )
            self._skip(command)
            return commands.Refusal(error.code, error.message)
        try:
            result = self._dispatch(body, command)
        except errors.PimentowalkError as error:
            return commands.Refusal(error.code, error.message)
        for callback in self._callbacks:
            callback()
        return result

    def _skip(self, command):
        """Call the handler of a command that cannot be decoded, if any."""
        name = commands.name_in_log(command)
        if name in parts.SKIP_HANDLERS.names():
            parts.SKIP_HANDLERS.get(name)(self)
            for callback in self._callbacks:
                callback()

    def earlier_result(self, body, content):
        """Return the stored result for a change id, or None.

        `content` is the command as encoded in its log record.
        """
        if not hasattr(body, 'change_id'):
            return None
        data = self.part('changes').earlier_result(body, content)
        if data is None:
            return None
        return commands.CONVERTER.structure(
            {**data, 'repeated': True}, body.RESULT
        )

    def _dispatch(self, body, content):
        handler = parts.HANDLERS.get(body.NAME)
        earlier = self.earlier_result(body, content)
        if earlier is not None:
            return earlier
        from_version = self.version
        context = parts.Context(self.index, self.time_s)
        result = handler(self, body, context)
        if hasattr(body, 'change_id'):
            self.part('changes').record_result(body, content, result)
        if context.changed:
            self._record(body, context, from_version)
        return result

    def _record(self, body, context, from_version):
        self.part('audit').add(
            commands.AuditRecord(
                index=context.index,
                time_s=context.time_s,
                author=getattr(body, 'author', ''),
                name=body.NAME,
                change_id=getattr(body, 'change_id', ''),
                from_version=from_version,
                to_version=self.version,
                detail=context.detail,
            ),
            operator=body.OPERATOR,
        )

    def snapshot(self):
        """Return the state as a JSON header line and one line per entry."""
        lines = {n: p.lines() for n, p in self._parts.items()}
        header = {
            'format': SNAPSHOT_FORMAT,
            'index': self.index,
            'time_s': self.time_s,
            'parts': {n: p.snapshot() for n, p in self._parts.items()},
            'lines': {name: len(entries) for name, entries in lines.items()},
        }
        text = [json.dumps(header, separators=(',', ':'))]
        for entries in lines.values():
            text += entries
        return '\n'.join(text).encode()

    def restore(self, content):
        """Replace the state with a snapshot; raise DamagedData."""
        try:
            header, restored_parts = _read_snapshot(content)
        except (ValueError, KeyError, TypeError) as error:
            raise errors.DamagedData(
                f'the snapshot cannot be read: {error!r}', step='restore'
            ) from None
        self.index = header['index']
        self.time_s = header['time_s']
        self._parts = restored_parts
        for callback in self._callbacks:
            callback()


def _read_snapshot(content):
    header_line, *lines = content.decode().split('\n')
    header = json.loads(header_line)
    if header['format'] != SNAPSHOT_FORMAT:
        raise errors.DamagedData(
            f'snapshot format {header["format"]} is not {SNAPSHOT_FORMAT}',
            step='restore',
        )
    if sum(header['lines'].values()) != len(lines):
        raise ValueError('the number of lines differs from the header')
    restored_parts = {name: cls() for name, cls in parts.PARTS.entries()}
    for name, part in restored_parts.items():
        # A snapshot written before a part was introduced leaves it empty.
        if name in header['parts']:
            part.restore(header['parts'][name])
    begin = 0
    # The lines of the parts are in the order of the header.
    for name, count in header['lines'].items():
        restored_parts[name].restore_lines(lines[begin : begin + count])
        begin += count
    return header, restored_parts
