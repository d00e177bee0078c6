"""Responses that break off."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from typing import Final

from waitress.channel import ClientDisconnected
from waitress.task import WSGITask

# Value of SO_LINGER with which closing a connection resets it.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class ResettingTask(WSGITask):  # type: ignore[misc]
    """Resets the connection if a response without a length breaks off.

    The end of the connection is the end of such a response, which only callers
    with HTTP 1.0 get; chunks show to others that it is incomplete.
    """

    def execute(self) -> None:
        """Run the application and send its response."""
        try:
            super().execute()
        except ClientDisconnected:
            raise
        except Exception:
            has_end = self.chunked_response or self.content_length is not None
            if self.wrote_header and not has_end:
                self._reset_on_close()
            raise

    def _reset_on_close(self) -> None:
        # The server's thread may have closed the connection meanwhile; its
        # socket is None or closed then.
        with suppress(AttributeError, OSError):
            self.channel.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
