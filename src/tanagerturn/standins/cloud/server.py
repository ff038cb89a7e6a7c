"""HTTP server that runs a cloud model in real time; see docs/PROTOCOLS.md."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any, Final, Protocol
from urllib.parse import parse_qs, urlsplit

from tanagerturn.standins._http import StandinHandler, StandinHttpServer
from tanagerturn.standins.cloud.messages import (
    Host,
    HostState,
    Refusal,
    Shortage,
    StartRequest,
)
from tanagerturn.standins.cloud.model import CloudModel

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tanagerturn.standins.cloud.model import CloudConfig

MS_PER_S: Final = 1000.0
TICK_S: Final = 0.05
"""Time between two updates of the model, in seconds."""


class HostedBackend(Protocol):
    """A backend server that runs on a host of the cloud."""

    @property
    def address(self) -> str:
        """IP address and port of the backend server."""
        ...

    def stop(self) -> None:
        """Announce that the backend server is leaving, then stop."""

    def kill(self) -> None:
        """Stop at once, without an announcement."""

    def reclaim(self, notice_ms: float, announced: bool = True) -> None:
        """Stop after a reclaim notice.

        Args:
            notice_ms: Time until the backend server stops, in milliseconds.
            announced: Whether the backend server announces that it is leaving.
        """


class CloudServer:
    """A stand-in cloud that serves its API over HTTP.

    Args:
        config: Configuration of the cloud.
        start_backend: Starts the backend server of a host that has started to run;
            returns None if the host gets no backend server. None to run no backend
            servers at all.
    """

    def __init__(
        self,
        config: CloudConfig,
        start_backend: Callable[[Host], HostedBackend | None] | None = None,
    ) -> None:
        self.model = CloudModel(config)
        """Hosts, prices and notices; guarded by `lock`."""
        self.start_backend = start_backend
        """Starts the backend server of a host; None to run no backend servers."""
        self.backends: dict[str, HostedBackend] = {}
        """Running backend servers by host id; guarded by `lock`."""
        self.lock = threading.RLock()
        """Guards `model` and `backends`."""
        self.stopped = threading.Event()
        """Set to stop the update thread."""
        handler = type("BoundCloudHandler", (_CloudHandler,), {"cloud": self})
        self.http = StandinHttpServer(config.ip, config.port, handler)
        """HTTP server of the API."""

    @property
    def address(self) -> str:
        """IP address and port of the API."""
        return self.http.address

    def now_ms(self) -> float:
        """Return the wall-clock time, in milliseconds since the Unix epoch."""
        return time.time() * MS_PER_S

    def start(self) -> None:
        """Start the HTTP server and the thread that updates the model."""
        self.http.start("cloud-http")
        threading.Thread(target=self._run, name="cloud", daemon=True).start()

    def stop(self) -> None:
        """Stop the cloud; its backend servers keep running."""
        self.stopped.set()
        self.http.abort()

    def adopt(
        self, request: StartRequest, backend: HostedBackend, host_id: str
    ) -> None:
        """Add a running host with its running backend server.

        Args:
            request: Availability zone, class and reclaimability of the host.
            backend: Backend server on the host.
            host_id: Id of the host.
        """
        with self.lock:
            host = self.model.add_running(host_id, request, self.now_ms())
            host.address = backend.address
            self.backends[host_id] = backend

    def reclaim(
        self,
        host_ids: Iterable[str],
        notice_ms: float,
        announced: bool = True,
        from_cloud: bool = True,
    ) -> None:
        """Reclaim hosts.

        Args:
            host_ids: Ids of the hosts.
            notice_ms: Time until their backend servers stop, in milliseconds.
            announced: Whether their backend servers announce that they are leaving.
            from_cloud: Whether the API lists a notice for the hosts; otherwise it
                lists them as gone at once, without a notice.
        """
        with self.lock:
            host_ids = list(host_ids)
            if from_cloud:
                self.model.give_notice(host_ids, notice_ms, self.now_ms())
            for host_id in host_ids:
                backend = self.backends.pop(host_id, None)
                if backend is not None:
                    backend.reclaim(notice_ms, announced)
                if not from_cloud:
                    self.model.stop(host_id, self.now_ms())

    def refuse_starts(
        self, zone: str, host_class: str, for_ms: float, reclaimable_only: bool = False
    ) -> None:
        """Simulate a shortage, in which starts are refused.

        Args:
            zone: Affected availability zone; empty for all.
            host_class: Affected class of hosts; empty for all.
            for_ms: Duration of the shortage, in milliseconds.
            reclaimable_only: Whether on-demand hosts can still be started.
        """
        with self.lock:
            until_ms = self.now_ms() + for_ms
            shortage = Shortage(zone, host_class, reclaimable_only, until_ms)
            self.model.add_shortage(shortage)

    def set_price(self, zone: str, host_class: str, price_per_hour: float) -> None:
        """Change the price per hour of reclaimable hosts of a class in a zone."""
        with self.lock:
            self.model.set_price(zone, host_class, price_per_hour, self.now_ms())

    def cost(self) -> float:
        """Return the cost of all hosts up to the current time."""
        with self.lock:
            self.model.advance(self.now_ms())
            return self.model.cost

    def release(self, host_id: str) -> bool:
        """Release a host; its backend server announces that it is leaving, then stops.

        Returns:
            False if there is no host of this id.
        """
        with self.lock:
            exists = self.model.stop(host_id, self.now_ms())
            backend = self.backends.pop(host_id, None)
        if backend is not None:
            backend.stop()
        return exists

    def _run(self) -> None:
        while not self.stopped.wait(TICK_S):
            with self.lock:
                changed = self.model.advance(self.now_ms())
            for host in changed:
                if host.state == HostState.RUNNING:
                    self._start_backend(host)

    def _start_backend(self, host: Host) -> None:
        if self.start_backend is None:
            return
        backend = self.start_backend(host)
        if backend is None:
            return
        with self.lock:
            host.address = backend.address
            self.backends[host.id] = backend


class _CloudHandler(StandinHandler):
    """Handles the requests of one connection to the cloud API."""

    cloud: CloudServer
    """The cloud; set by the subclass that its server makes."""

    def dispatch(self) -> None:
        """Handle one API call."""
        target = urlsplit(self.path)
        try:
            body = self.read_json()
            if self.command == "POST" and target.path == "/hosts":
                self._start_host(body)
            elif self.command == "DELETE" and target.path.startswith("/hosts/"):
                self._release_host(target.path.removeprefix("/hosts/"))
            elif self.command == "GET":
                self._get(target.path, parse_qs(target.query))
            else:
                self.respond_problem(404, "no such path")
        except (ValueError, KeyError, TypeError) as error:
            self.respond_problem(400, f"bad request: {error}")

    def _start_host(self, body: dict[str, Any]) -> None:
        request = StartRequest(**body)
        with self.cloud.lock:
            started = self.cloud.model.start(request, self.cloud.now_ms())
        if isinstance(started, Refusal):
            self.respond_problem(409, started.reason)
            return
        self.respond_json(201, self._encode_host(started))

    def _release_host(self, host_id: str) -> None:
        if self.cloud.release(host_id):
            self.respond_json(200, {})
        else:
            self.respond_problem(404, "no such host")

    def _get(self, path: str, query: dict[str, list[str]]) -> None:
        with self.cloud.lock:
            model = self.cloud.model
            now_ms = self.cloud.now_ms()
            if path == "/offers":
                value = {"offers": [vars(offer) for offer in model.offers]}
            elif path == "/hosts":
                hosts = [self._encode_host(host) for host in model.hosts.values()]
                value = {"hosts": hosts}
            elif path == "/notices":
                value = self._encode_notices(int(query.get("after", ["0"])[0]), now_ms)
            else:
                self.respond_problem(404, "no such path")
                return
        self.respond_json(200, value)

    def _encode_host(self, host: Host) -> dict[str, Any]:
        request = host.request
        return {
            "id": host.id,
            "request_id": request.request_id,
            "availability_zone": request.availability_zone,
            "host_class": request.host_class,
            "reclaimable": request.reclaimable,
            "service": request.service,
            "state": host.state.value,
            "price_per_hour": self.cloud.model.price(request),
            "address": host.address,
        }

    def _encode_notices(self, after: int, now_ms: float) -> dict[str, Any]:
        notices = self.cloud.model.notices[max(0, after) :]
        return {
            "notices": [
                {
                    "sequence": notice.sequence,
                    "host_id": notice.host_id,
                    "availability_zone": notice.availability_zone,
                    "ends_in_ms": max(0, int(notice.ends_at_ms - now_ms)),
                }
                for notice in notices
            ],
            "sequence": len(self.cloud.model.notices),
        }


def start_cloud(
    config: CloudConfig,
    start_backend: Callable[[Host], HostedBackend | None] | None = None,
) -> CloudServer:
    """Start a stand-in cloud.

    Args:
        config: Configuration of the cloud.
        start_backend: Starts the backend server of a host that has started to run;
            returns None if the host gets no backend server. None to run no backend
            servers at all.

    Returns:
        The running cloud; its `stop` stops it.
    """
    server = CloudServer(config, start_backend)
    server.start()
    return server
