"""JSON encoding with compression of long content."""

import json
import zlib

from pimentowalk.core import errors

# A frame holds at most 1 MiB. 11,000 accounts take about 3 MB of JSON, which
# compresses below that limit.
COMPRESSION_THRESHOLD_BYTES = 1 << 16
MAX_CONTENT_BYTES = 16 << 20


def pack(value):
    """Encode a value as JSON bytes, compressed if they are long."""
    content = json.dumps(value, separators=(',', ':')).encode()
    if len(content) > COMPRESSION_THRESHOLD_BYTES:
        return zlib.compress(content, 1)
    return content


def unpack(content):
    """Decode packed JSON; raise PimentowalkError."""
    try:
        if content[:1] == b'\x78':
            decompressor = zlib.decompressobj()
            content = decompressor.decompress(content, MAX_CONTENT_BYTES)
            if decompressor.unconsumed_tail:
                raise errors.PimentowalkError(
                    f'the content exceeds {MAX_CONTENT_BYTES} bytes',
                    code='too_large',
                )
        return json.loads(content)
    except (ValueError, zlib.error, RecursionError) as error:
        raise errors.PimentowalkError(
            f'malformed content: {error}', code='bad_request'
        ) from None
