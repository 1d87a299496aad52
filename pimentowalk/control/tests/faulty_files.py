"""Files in memory that lose unsynced writes and fail on demand."""

import errno

# A crash keeps or loses each unsynced sector by itself. Real sectors are
# larger; small ones tear a record in more ways.
SECTOR_BYTES = 16


class FaultyFile:
    """One file: what is on the disk, and what was written since."""

    def __init__(self, files):
        self._files = files
        self.durable = b''
        self.current = b''

    def write_at(self, offset, data):
        """Write some of the data: half of it when short writes are on."""
        self._files.step()
        data = bytes(data)
        if self._files.short_writes and len(data) > 1:
            data = data[: len(data) // 2]
        padded = self.current.ljust(offset, b'\0')
        self.current = padded[:offset] + data + padded[offset + len(data) :]
        return len(data)

    def truncate(self, size):
        """Cut the file."""
        self._files.step()
        self.current = self.current[:size]

    def sync(self):
        """Make the content durable."""
        self._files.step()
        self.durable = self.current

    def close(self):
        """Do nothing."""

    def crash(self, random):
        """Keep some of the unsynced sectors."""
        size = random.choice([len(self.durable), len(self.current)])
        old = self.durable.ljust(size, b'\0')
        new = self.current.ljust(size, b'\0')
        kept = bytearray()
        for start in range(0, size, SECTOR_BYTES):
            source = random.choice([old, new])
            kept += source[start : min(start + SECTOR_BYTES, size)]
        self.durable = self.current = bytes(kept)


class FaultyFiles:
    """A folder with the interface of `files.Files`.

    With `fail_after` set, the operation after that many raises OSError, and
    so do all later ones until `crash`.
    """

    folder = 'memory'

    def __init__(self):
        self._durable = {}
        self._current = {}
        self._unsynced_names = []
        self.short_writes = False
        self.fail_after = None

    def step(self):
        """Count one operation; fail when it is the chosen one."""
        if self.fail_after is not None:
            if self.fail_after <= 0:
                raise OSError(errno.EIO, 'injected')
            self.fail_after -= 1

    def make_folder(self):
        """Do nothing: the folder is always there."""

    def names(self):
        """Return the names of all files, in order."""
        return sorted(self._current)

    def open(self, name):
        """Open or create a file."""
        if name not in self._current:
            self._rename(name, FaultyFile(self))
        return self._current[name]

    def read(self, name):
        """Return the content of a file, or None."""
        file = self._current.get(name)
        return None if file is None else file.current

    def replace(self, source, target):
        """Rename a file over another."""
        file = self._current[source]
        self._rename(source, None, target, file)

    def remove(self, name):
        """Remove a file."""
        self._rename(name, None)

    def _rename(self, *changes):
        self.step()
        pairs = list(zip(changes[::2], changes[1::2], strict=True))
        self._unsynced_names.append(pairs)
        _change(self._current, pairs)

    def sync_folder(self):
        """Make creations, renames and removals durable."""
        self.step()
        self._durable = dict(self._current)
        self._unsynced_names.clear()

    def crash(self, random):
        """Lose power: keep some of what was not synced."""
        self.fail_after = None
        kept = random.randint(0, len(self._unsynced_names))
        for pairs in self._unsynced_names[:kept]:
            _change(self._durable, pairs)
        self._unsynced_names.clear()
        self._current = dict(self._durable)
        for file in set(self._current.values()):
            file.crash(random)

    def wipe(self):
        """Lose the disk."""
        self.__init__()


def _change(names, pairs):
    for name, file in pairs:
        if file is None:
            names.pop(name, None)
        else:
            names[name] = file


async def run_inline(function, *arguments):
    """Run blocking work at once, for an order that does not vary."""
    return function(*arguments)
