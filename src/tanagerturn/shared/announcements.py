"""HTTP listener that receives the announcements of backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import orjson
from google.protobuf import json_format

from tanagerturn.actors import ask
from tanagerturn.observe.logs import component_logger
from tanagerturn.observe.operations import WsgiServer
from tanagerturn.schema.serving_pb2 import Announcement
from tanagerturn.shared.problems import ProblemError, make_problem_response

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import pykka

    from tanagerturn.schema.settings_pb2 import Listener
    from tanagerturn.shared.resolved_settings import ResolvedSettings

log = component_logger("announcements")

LISTENER_THREADS: Final = 4
BODY_LIMIT_BYTES: Final = 1024 * 1024


@dataclass(frozen=True)
class Announce:
    """Message to an actor: a backend server has sent an announcement."""

    announcement: Announcement
    """Announcement, decoded but not validated."""


class AnnouncementServer:
    """Receives announcements of backend servers over HTTP for an actor.

    Args:
        listener: IP address and port to listen on; port 0 selects a free port.
        directory: Actor that handles `Announce`: the directory of an entry process
            or the order actor of a control process.
        current_settings: Returns the settings in force.
    """

    def __init__(
        self,
        listener: Listener,
        directory: pykka.ActorRef[Any],
        current_settings: Callable[[], ResolvedSettings],
    ) -> None:
        self.directory = directory
        """Actor that handles `Announce`."""
        self.current_settings = current_settings
        """Returns the settings in force."""
        self.server = WsgiServer(
            self.application,
            listener,
            LISTENER_THREADS,
            "announcements",
            max_request_body_size=BODY_LIMIT_BYTES,
        )
        """HTTP server of the listener."""
        self.address = self.server.address
        """IP address and port of the listener."""
        self.server.start()

    def application(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Respond to the HTTP request of one announcement (WSGI application)."""
        try:
            body = self._process_announcement(environ)
        except ProblemError as error:
            problem = make_problem_response(error, "")
            start_response(f"{problem.status} {error.title}", problem.headers)
            return [problem.body]
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]

    def stop(self) -> None:
        """Close the listener and its connections."""
        self.server.stop()

    def _process_announcement(self, environ: Any) -> bytes:
        if environ["PATH_INFO"] != "/announcements":
            raise ProblemError(404, "Not found", "Announce at /announcements.")
        if environ["REQUEST_METHOD"] != "POST":
            raise ProblemError(405, "Method not allowed", "Use POST.")
        self._authenticate(environ)
        announcement = parse_announcement(environ["wsgi.input"].read())
        result = ask(self.directory, Announce(announcement))
        if result.is_error():
            log.warning(
                "Refused the announcement of backend server {}: {}",
                announcement.id,
                result.error,
            )
            raise ProblemError(400, "Announcement refused", str(result.error))
        return orjson.dumps({"cache_sequence": result.ok.cache_sequence})

    def _authenticate(self, environ: Any) -> None:
        resolved = self.current_settings()
        if not resolved.settings.backend_access.key_hashes:
            return
        _, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if not resolved.backend_keys.owner_of(key.strip()):
            raise ProblemError(403, "Unknown key", "This backend server is not known.")


def parse_announcement(body: bytes) -> Announcement:
    """Return the announcement in a request body.

    Args:
        body: Announcement as protobuf JSON in UTF-8.

    Raises:
        ProblemError: The body is not a valid announcement.
    """
    try:
        return json_format.Parse(body, Announcement(), max_recursion_depth=20)
    except (json_format.ParseError, UnicodeDecodeError, RecursionError) as error:
        raise ProblemError(400, "Malformed announcement", str(error)) from error
