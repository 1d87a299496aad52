"""Encode message classes as capnp frames and decode them."""

import pathlib
import struct

import attrs
import capnp

from pimentowalk.core import errors
from pimentowalk.wire import messages
from pimentowalk.wire import schema

capnp.remove_import_hook()

MAGIC = b'PW'
FORMAT_VERSION = 1
HEADER = struct.Struct('>2sBxI')
MAX_FRAME_BYTES = 1 << 20
# The capnp reader refuses messages that would be walked beyond this, which
# guards against amplification by pointers that share one target.
TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('frames.capnp')))


@attrs.frozen
class Envelope:
    """A decoded frame: its body, and the sender's version and call id."""

    body: object
    config_version: int = 0
    call_id: int = 0


def _plain(value):
    return value


def _struct_to_dict(value):
    return _ENCODERS[type(value)](value)


def _encoder(cls):
    plan = []
    for name, annotation in schema.field_types(cls).items():
        element = schema.element_type(annotation)
        if element is not None and attrs.has(element):
            convert = _list_to_dicts
        elif attrs.has(annotation):
            convert = _struct_to_dict
        else:
            convert = _plain
        plan.append((name, schema.camel(name), convert))

    def encode(value):
        return {
            target: convert(getattr(value, name))
            for name, target, convert in plan
        }

    return encode


def _list_to_dicts(values):
    return [_ENCODERS[type(value)](value) for value in values]


def _reader(annotation):
    element = schema.element_type(annotation)
    if element is not None:
        read = _reader(element)
        return list if read is _plain else lambda v: [read(x) for x in v]
    if attrs.has(annotation):
        return lambda value: _DECODERS[annotation](value)
    return _plain


def _decoder(cls):
    plan = [
        (schema.camel(name), _reader(annotation))
        for name, annotation in schema.field_types(cls).items()
    ]

    def decode(reader):
        return cls(*[read(getattr(reader, name)) for name, read in plan])

    return decode


def _classes():
    found = []
    for _, cls in messages.FRAMES.entries():
        schema.collect(cls, found)
        found.append(cls)
    return found


_ENCODERS = {cls: _encoder(cls) for cls in _classes()}
_DECODERS = {cls: _decoder(cls) for cls in _classes()}


def encode(body, *, config_version=0, call_id=0):
    """Return a frame with its header; raise FrameError if too large."""
    fields = {
        'configVersion': config_version,
        'callId': call_id,
        body.FRAME_NAME: _ENCODERS[type(body)](body),
    }
    try:
        payload = _SCHEMA.Frame.new_message(**fields).to_bytes()
    except (capnp.KjException, TypeError, OverflowError) as error:
        raise errors.FrameError(
            f'cannot encode {body.FRAME_NAME}: {error}', step='encode'
        ) from None
    if len(payload) > MAX_FRAME_BYTES:
        raise errors.FrameError(
            f'{body.FRAME_NAME} of {len(payload)} bytes exceeds '
            f'{MAX_FRAME_BYTES}',
            code='too_large',
            step='encode',
        )
    return HEADER.pack(MAGIC, FORMAT_VERSION, len(payload)) + payload


def body_length(header, peer=''):
    """Return the body length that a header gives; raise FrameError."""
    magic, version, length = HEADER.unpack(header)
    if magic != MAGIC:
        raise errors.FrameError('not a frame', step='header', peer=peer)
    if version != FORMAT_VERSION:
        raise errors.FrameError(
            f'format version {version} is not {FORMAT_VERSION}',
            step='header',
            peer=peer,
        )
    if length > MAX_FRAME_BYTES:
        raise errors.FrameError(
            f'a frame of {length} bytes exceeds {MAX_FRAME_BYTES}',
            step='header',
            peer=peer,
        )
    return length


def decode(payload, peer=''):
    """Return the envelope of a frame body; raise FrameError."""
    try:
        with _SCHEMA.Frame.from_bytes(
            payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as frame:
            name = frame.which()
            decoder = _DECODERS[messages.FRAMES.get(str(name))]
            return Envelope(
                decoder(getattr(frame, str(name))),
                frame.configVersion,
                frame.callId,
            )
    except (
        capnp.KjException,
        UnicodeDecodeError,
        ValueError,
        AttributeError,
        errors.PimentowalkError,
    ) as error:
        raise errors.FrameError(
            f'malformed frame: {error}', step='decode', peer=peer
        ) from None
