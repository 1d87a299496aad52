"""In-memory files that lose unsynced writes and fail on demand."""

import errno

from pimentowalk.control import files as control_files

# A crash keeps or loses each unsynced sector independently. Real sectors are
# larger; with small ones a record can be torn in more ways.
SECTOR_BYTES = 16
# Operations that a full disk may refuse.
WRITE = 'write'
TRUNCATE = 'truncate'
CREATE = 'create'
RENAME = 'rename'
ALL = frozenset([WRITE, TRUNCATE, CREATE, RENAME])
# A file system that allocates late reports a full disk only in a sync.
SYNC = 'sync'
SYNC_FOLDER = 'sync folder'


class FaultyFile:
    """One file: the content on disk, and the content with later writes.

    After a failed sync, no later sync of the file writes anything, although
    it reports success: the system has discarded which pages are unwritten.
    """

    def __init__(self, files):
        self._files = files
        self._has_lost_writes = False
        self.durable = b''
        self.current = b''

    def write_at(self, offset, data):
        """Write the data, or half of it while `short_writes` is set."""
        self._files.count_operation()
        self._files.check_room(WRITE)
        data = bytes(data)
        if self._files.short_writes and len(data) > 1:
            data = data[: len(data) // 2]
        padded = self.current.ljust(offset, b'\0')
        self.current = padded[:offset] + data + padded[offset + len(data) :]
        return len(data)

    def truncate(self, size):
        """Truncate the file."""
        self._files.count_operation()
        self._files.check_room(TRUNCATE)
        self.current = self.current[:size]

    def sync(self):
        """Make the content durable, unless an earlier sync has failed."""
        self._files.count_operation()
        try:
            self._files.check_room(SYNC)
        except OSError:
            self._has_lost_writes = True
            raise
        if not self._has_lost_writes:
            self.durable = self.current

    def close(self):
        """Do nothing."""

    def crash(self, random):
        """Keep a random choice of the unsynced sectors."""
        self._has_lost_writes = False
        size = random.choice([len(self.durable), len(self.current)])
        old = self.durable.ljust(size, b'\0')
        new = self.current.ljust(size, b'\0')
        kept = bytearray()
        for start in range(0, size, SECTOR_BYTES):
            source = random.choice([old, new])
            kept += source[start : min(start + SECTOR_BYTES, size)]
        self.durable = self.current = bytes(kept)


class FaultyFiles:
    """An in-memory folder with the interface of `files.Files`.

    If `fail_after` is set, that many operations succeed, and all later ones
    raise OSError until `crash` is called. The operations in `refused` fail
    as on a full disk, with the error number `full_error`.
    """

    folder = 'memory'

    def __init__(self):
        self._durable = {}
        self._current = {}
        self._unsynced_entry_changes = []
        self.short_writes = False
        self.fail_after = None
        self.refused = frozenset()
        self.full_error = errno.ENOSPC

    def check_room(self, operation):
        """Raise OSError if the operation needs room on a full disk."""
        if operation in self.refused:
            raise OSError(self.full_error, 'the disk is full')

    def count_operation(self):
        """Count one operation; raise OSError once `fail_after` is used up."""
        if self.fail_after is not None:
            if self.fail_after <= 0:
                raise OSError(errno.EIO, 'injected failure')
            self.fail_after -= 1

    def make_folder(self):
        """Do nothing; the folder always exists."""

    def names(self):
        """Return the names of all files, in order."""
        return sorted(self._current)

    def open(self, name):
        """Open or create a file."""
        if name not in self._current:
            control_files.retry_while_disk_full(self.check_room, CREATE)
            self._change_entries(name, FaultyFile(self))
        return self._current[name]

    def read(self, name):
        """Return the content of a file, or None."""
        file = self._current.get(name)
        return None if file is None else file.current

    def replace(self, source, target):
        """Rename a file over another."""
        control_files.retry_while_disk_full(self.check_room, RENAME)
        file = self._current[source]
        self._change_entries(source, None, target, file)

    def remove(self, name):
        """Remove a file."""
        self._change_entries(name, None)

    def _change_entries(self, *changes):
        self.count_operation()
        entry_changes = list(zip(changes[::2], changes[1::2], strict=True))
        self._unsynced_entry_changes.append(entry_changes)
        _apply_entry_changes(self._current, entry_changes)

    def sync_folder(self):
        """Make creations, renames and removals durable.

        Those of a failed sync are lost, as in `FaultyFile`.
        """
        self.count_operation()
        changes = list(self._unsynced_entry_changes)
        self._unsynced_entry_changes.clear()
        self.check_room(SYNC_FOLDER)
        for entry_changes in changes:
            _apply_entry_changes(self._durable, entry_changes)

    def crash(self, random):
        """Simulate a power loss: keep only some of the unsynced changes."""
        self.fail_after = None
        kept = random.randint(0, len(self._unsynced_entry_changes))
        for entry_changes in self._unsynced_entry_changes[:kept]:
            _apply_entry_changes(self._durable, entry_changes)
        self._unsynced_entry_changes.clear()
        self._current = dict(self._durable)
        for file in set(self._current.values()):
            file.crash(random)

    def wipe(self):
        """Simulate a lost disk: drop all files."""
        self.__init__()


def _apply_entry_changes(names, entry_changes):
    for name, file in entry_changes:
        if file is None:
            names.pop(name, None)
        else:
            names[name] = file


async def run_inline(function, *arguments):
    """Run blocking work in the event loop, for a deterministic order."""
    return function(*arguments)
