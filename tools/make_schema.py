"""Write wire/frames.capnp from the message classes."""

import pathlib

from pimentowalk.wire import schema


def main():
    """Write the schema beside the module that renders it."""
    path = pathlib.Path(schema.__file__).with_name('frames.capnp')
    path.write_text(schema.render())


if __name__ == '__main__':
    main()
