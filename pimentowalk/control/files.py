"""The few file operations on which durable state is built.

Tests replace `Files` with a version that loses and cuts unsynced writes.
"""

import errno
import logging
import os
import time

LOG = logging.getLogger(__name__)

# A full disk refuses writes but loses nothing, so the write is tried again
# after this time. Until then nothing that depends on it is answered.
FULL_RETRY_S = 0.2


def retry_while_full(operation, *arguments):
    """Return the result of an operation, waiting while the disk is full.

    A failed sync is not repeated: what it left on the disk is unknown.
    """
    is_noted = False
    while True:
        try:
            result = operation(*arguments)
        except OSError as error:
            if error.errno != errno.ENOSPC:
                raise
            if not is_noted:
                is_noted = True
                LOG.warning('the disk is full; waiting for room')
            time.sleep(FULL_RETRY_S)
        else:
            if is_noted:
                LOG.info('the disk has room again')
            return result


class File:
    """An open file that is written at given offsets."""

    def __init__(self, path):
        flags = os.O_RDWR | os.O_CREAT
        self._fd = retry_while_full(os.open, path, flags, 0o600)

    def write_at(self, offset, data):
        """Write some of the data and return how many bytes were written."""
        return os.pwrite(self._fd, data, offset)

    def truncate(self, size):
        """Cut the file at a size."""
        os.ftruncate(self._fd, size)

    def sync(self):
        """Return once content and size are on the disk; raise OSError."""
        os.fdatasync(self._fd)

    def close(self):
        """Close the file."""
        os.close(self._fd)


class Files:
    """The files of one folder."""

    def __init__(self, folder):
        self.folder = str(folder)

    def _path(self, name):
        return os.path.join(self.folder, name)

    def make_folder(self):
        """Create the folder if it is missing, and sync its parent."""
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        _sync_path(os.path.dirname(os.path.abspath(self.folder)))

    def names(self):
        """Return the names of all files, in order."""
        return sorted(os.listdir(self.folder))

    def open(self, name):
        """Open a file for writing; create it if it is missing."""
        return File(self._path(name))

    def read(self, name):
        """Return the content of a file, or None if it is missing."""
        try:
            with open(self._path(name), 'rb') as source:
                return source.read()
        except FileNotFoundError:
            return None

    def replace(self, source, target):
        """Rename a file over another."""
        retry_while_full(os.replace, self._path(source), self._path(target))

    def remove(self, name):
        """Remove a file."""
        os.unlink(self._path(name))

    def sync_folder(self):
        """Return once creations, renames and removals are on the disk."""
        _sync_path(self.folder)


def _sync_path(path):
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_all(file, offset, data):
    """Write all of the data, however short the single writes are."""
    view = memoryview(data)
    while view:
        count = retry_while_full(file.write_at, offset, view)
        if count <= 0:
            raise OSError('a write made no progress')
        offset += count
        view = view[count:]


def replace_durably(files, name, data):
    """Replace a file as a whole, so that a crash leaves old or new."""
    temporary = name + '.tmp'
    file = files.open(temporary)
    try:
        file.truncate(0)
        write_all(file, 0, data)
        file.sync()
    finally:
        file.close()
    files.replace(temporary, name)
    files.sync_folder()
