"""HTTP listener for backend servers' announcements."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import orjson
from google.protobuf import json_format

from tanagerturn.actors import ask
from tanagerturn.observe.logs import part_logger
from tanagerturn.observe.operations import WsgiServer
from tanagerturn.schema.serving_pb2 import Announcement
from tanagerturn.shared.problems import ProblemError, make_problem

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import pykka

    from tanagerturn.schema.settings_pb2 import Listener
    from tanagerturn.shared.site import Site

log = part_logger("announcements")

THREADS: Final = 4
BODY_LIMIT_BYTES: Final = 1024 * 1024


@dataclass(frozen=True)
class Announce:
    """A backend server announced itself."""

    announcement: Announcement
    """The announcement."""


class AnnouncementServer:
    """Takes announcements and hands them to the directory.

    Args:
        listener: IP number and port.
        directory: Actor that owns the view of the backend servers.
        site: Returns the settings in force.
    """

    def __init__(
        self,
        listener: Listener,
        directory: pykka.ActorRef[Any],
        site: Callable[[], Site],
    ) -> None:
        self.directory = directory
        """Actor that owns the view of the backend servers."""
        self.site = site
        """Returns the settings in force."""
        self.server = WsgiServer(
            self.application,
            listener,
            THREADS,
            "announcements",
            max_request_body_size=BODY_LIMIT_BYTES,
        )
        """Its listener."""
        self.address = self.server.address
        """IP number and port that it listens on."""
        self.server.start()

    def application(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Answer one announcement, by WSGI."""
        try:
            body = self._take(environ)
        except ProblemError as error:
            problem = make_problem(error, "")
            start_response(f"{problem.status} {error.title}", problem.headers)
            return [problem.body]
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]

    def stop(self) -> None:
        """Close the listener."""
        self.server.stop()

    def _take(self, environ: Any) -> bytes:
        if environ["PATH_INFO"] != "/announcements":
            raise ProblemError(404, "Not found", "Announce at /announcements.")
        if environ["REQUEST_METHOD"] != "POST":
            raise ProblemError(405, "Method not allowed", "Use POST.")
        self._authenticate(environ)
        announcement = parse_announcement(environ["wsgi.input"].read())
        result = ask(self.directory, Announce(announcement))
        if result.is_error():
            log.warning("Refused an announcement: {}", result.error)
            raise ProblemError(400, "Announcement refused", str(result.error))
        return orjson.dumps({"cache_sequence": result.ok.cache_sequence})

    def _authenticate(self, environ: Any) -> None:
        site = self.site()
        if not site.settings.backend_access.key_hashes:
            return
        _, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if not site.backend_keys.owner_of(key.strip()):
            raise ProblemError(403, "Unknown key", "This backend server is not known.")


def parse_announcement(body: bytes) -> Announcement:
    """Read an announcement.

    Args:
        body: Protobuf JSON.

    Raises:
        ProblemError: The body is not an announcement.
    """
    try:
        return json_format.Parse(body, Announcement(), max_recursion_depth=20)
    except (json_format.ParseError, UnicodeDecodeError, RecursionError) as error:
        raise ProblemError(400, "Malformed announcement", str(error)) from error
