"""The file operations that all durable state is written with.

Tests replace `Files` with a version that loses or tears unsynced writes.
"""

import errno
import logging
import os
import threading
import time

from pimentowalk.core import errors

LOG = logging.getLogger(__name__)

# A full disk rejects writes but loses no data, so a write is retried after
# this time. Until it succeeds, nothing that depends on it is acknowledged.
DISK_FULL_RETRY_S = 0.2
DISK_FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})
TEMPORARY_SUFFIX = '.tmp'
_THREAD = threading.local()


class WriteStopped(errors.PimentowalkError):
    """A stop interrupted an operation that may be partly done."""


def end_retries_on(stopping):
    """End the retries of the calling thread once an event is set."""
    _THREAD.stopping = stopping


def _wait_before_retry():
    stopping = getattr(_THREAD, 'stopping', None)
    if stopping is None:
        time.sleep(DISK_FULL_RETRY_S)
    elif stopping.wait(DISK_FULL_RETRY_S):
        raise WriteStopped('stopped while the disk was full', step='write')


def retry_while_disk_full(operation, *arguments):
    """Return the result of an operation, retried while the disk is full.

    Raises WriteStopped if the thread is stopped meanwhile.

    Do not use it for the sync of a file alone: after a failed sync the content
    on disk is unknown, and a second sync may report success without writing.
    `replace_durably` writes a new file instead.
    """
    is_logged = False
    while True:
        try:
            result = operation(*arguments)
        except OSError as error:
            if error.errno not in DISK_FULL_ERRORS:
                raise
            if not is_logged:
                is_logged = True
                LOG.warning('the disk is full; waiting for room')
            _wait_before_retry()
        else:
            if is_logged:
                LOG.info('the disk has room again')
            return result


class File:
    """An open file with writes at explicit offsets."""

    def __init__(self, path):
        flags = os.O_RDWR | os.O_CREAT
        self._fd = retry_while_disk_full(os.open, path, flags, 0o600)

    def write_at(self, offset, data):
        """Write at least part of the data; return the number of bytes."""
        return os.pwrite(self._fd, data, offset)

    def truncate(self, size):
        """Truncate the file to a size in bytes."""
        os.ftruncate(self._fd, size)

    def sync(self):
        """Return once content and size are on disk; raise OSError."""
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
        sync_path(os.path.dirname(os.path.abspath(self.folder)))

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
        retry_while_disk_full(
            os.replace, self._path(source), self._path(target)
        )

    def remove(self, name):
        """Remove a file."""
        retry_while_disk_full(os.unlink, self._path(name))

    def sync_folder(self):
        """Return once creations, renames and removals are on disk."""
        sync_path(self.folder)


def sync_path(path):
    """Return once the entries of a folder are on disk; raise OSError."""
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def truncate(file, size):
    """Truncate a file to a size in bytes."""
    # A copy-on-write file system needs room to shorten a file.
    retry_while_disk_full(file.truncate, size)


def write_all(file, offset, data):
    """Write all of the data, continuing after short writes."""
    remaining = memoryview(data)
    while remaining:
        count = retry_while_disk_full(file.write_at, offset, remaining)
        if count <= 0:
            raise OSError(f'no byte was written at offset {offset}')
        offset += count
        remaining = remaining[count:]


def replace_durably(files, name, data):
    """Replace a file atomically: a crash leaves the old or new content.

    If the disk is full, each retry writes another new file.
    """
    retry_while_disk_full(_replace_once, files, name, data)


def _replace_once(files, name, data):
    temporary = name + TEMPORARY_SUFFIX
    file = files.open(temporary)
    try:
        truncate(file, 0)
        write_all(file, 0, data)
        file.sync()
    except OSError as error:
        if error.errno in DISK_FULL_ERRORS:
            files.remove(temporary)
        raise
    finally:
        file.close()
    files.replace(temporary, name)
    files.sync_folder()
