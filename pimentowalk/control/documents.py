"""The configuration document; the highest version is in force."""

import base64
import logging

import attrs

from pimentowalk.control import commands
from pimentowalk.control import parts
from pimentowalk.control import requests
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.topology import documents as topology_documents

LOG = logging.getLogger(__name__)


@attrs.frozen
class DocumentVersion:
    """The version in force after a command or at the time of a query."""

    version: int
    replaced: bool = False


@attrs.frozen
class StoredDocument:
    """The document in force as it was sent; version 0 means none."""

    version: int
    content: bytes


@commands.command('PutDocument', DocumentVersion, logged=True)
@attrs.frozen
class PutDocument:
    """Put a document in force if its version is above the current one.

    `content` is the compressed text as the operator sent it.
    """

    version: int = attrs.field(
        validator=attrs.validators.le(topology_documents.MAX_VERSION)
    )
    content: bytes


@commands.command('CheckVersion', DocumentVersion)
@attrs.frozen
class CheckVersion:
    """Query the version in force at the leader."""


@commands.command('ReadDocument', StoredDocument)
@attrs.frozen
class ReadDocument:
    """Query the document in force at the leader."""


@parts.part('document')
class DocumentPart(parts.Part):
    """Hold the document in force.

    It is withdrawn if a record that cannot be decoded may have replaced it.
    """

    def __init__(self):
        self.version = 0
        self.content = b''

    @property
    def is_withdrawn(self):
        """Return whether no document is in force until a higher version."""
        return self.version > 0 and not self.content

    def check_in_force(self):
        """Raise NotRun if the document was withdrawn."""
        if self.is_withdrawn:
            raise errors.NotRun(
                'the newest configuration is not supported; a version above '
                f'{self.version} replaces it',
                step='read configuration',
            )

    def snapshot(self):
        """Return version and content as JSON data."""
        text = base64.b64encode(self.content).decode()
        return {'version': self.version, 'content': text}

    def restore(self, data):
        """Restore version and content.

        A version that only earlier releases accepted is dropped, since it
        would keep each later document from being accepted.
        """
        if data['version'] > topology_documents.MAX_VERSION:
            LOG.error(
                'the stored document is dropped: version %d is not supported',
                data['version'],
                extra=logs.fields(step='restore'),
            )
            return
        self.version = data['version']
        self.content = base64.b64decode(data['content'])


@parts.handles('PutDocument')
def put_document(state, body, context):
    """Apply a `PutDocument` command; ignore a version that is not higher."""
    part = state.part('document')
    if body.version <= part.version:
        # A duplicate or superseded change is acknowledged without effect.
        context.changed = False
        return DocumentVersion(part.version)
    context.detail = f'document {part.version} -> {body.version}'
    part.version = body.version
    part.content = body.content
    return DocumentVersion(part.version, replaced=True)


@parts.handles_skipped('PutDocument')
def withdraw_document(state):
    """Withdraw the document, whose keys the skipped one may have revoked."""
    part = state.part('document')
    part.content = b''
    LOG.error(
        'no configuration is in force until one above version %d',
        part.version,
        extra=logs.fields(step='apply'),
    )


@requests.QUERIES.register('CheckVersion')
def check_version(handler, body):
    """Return the version in force at the leader."""
    part = handler.state.part('document')
    part.check_in_force()
    return DocumentVersion(part.version)


@requests.QUERIES.register('ReadDocument')
def read_document(handler, body):
    """Return the document in force at the leader."""
    part = handler.state.part('document')
    part.check_in_force()
    return StoredDocument(part.version, part.content)
