"""JSON bytes that are compressed if they are long."""

import json
import zlib

from pimentowalk.core import errors

# A frame holds 1 MiB; 11,000 accounts need about 3 MB of JSON, which
# compresses below that limit.
COMPRESS_ABOVE_BYTES = 1 << 16
MAX_CONTENT_BYTES = 16 << 20


def pack(value):
    """Return JSON bytes, compressed if they are long."""
    content = json.dumps(value, separators=(',', ':')).encode()
    if len(content) > COMPRESS_ABOVE_BYTES:
        return zlib.compress(content, 1)
    return content


def unpack(content):
    """Return the value of packed JSON; raise PimentowalkError."""
    try:
        if content[:1] == b'\x78':
            unzip = zlib.decompressobj()
            content = unzip.decompress(content, MAX_CONTENT_BYTES)
            if unzip.unconsumed_tail:
                raise errors.PimentowalkError(
                    f'the content exceeds {MAX_CONTENT_BYTES} bytes',
                    code='too_large',
                )
        return json.loads(content)
    except (ValueError, zlib.error, RecursionError) as error:
        raise errors.PimentowalkError(
            f'malformed content: {error}', code='bad_request'
        ) from None
