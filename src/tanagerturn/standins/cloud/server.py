"""Runs the cloud model on the real clock behind HTTP; see docs/PROTOCOLS.md."""

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


class HostedBackend(Protocol):
    """A backend server on a host of the cloud."""

    @property
    def address(self) -> str:
        """IP number and port."""
        ...

    def stop(self) -> None:
        """Leave and end."""

    def kill(self) -> None:
        """Die at once."""

    def reclaim(self, notice_ms: float, announced: bool = True) -> None:
        """Go after a notice."""


class CloudServer:
    """A running cloud.

    Args:
        config: What the cloud offers and how it behaves.
        start_backend: Starts the backend server of a host that came up; None
            for a cloud whose hosts are empty.
    """

    def __init__(
        self,
        config: CloudConfig,
        start_backend: Callable[[Host], HostedBackend | None] | None = None,
    ) -> None:
        self.model = CloudModel(config)
        """The model; guarded by `lock`."""
        self.start_backend = start_backend
        """Starts the backend server of a host."""
        self.backends: dict[str, HostedBackend] = {}
        """Running backend servers by host."""
        self.lock = threading.RLock()
        """Guards the model and the backend servers."""
        self.stopped = threading.Event()
        """Set to end the cloud."""
        handler = type("BoundCloudHandler", (_CloudHandler,), {"cloud": self})
        self.http = StandinHttpServer(config.ip, config.port, handler)
        """The listener."""

    @property
    def address(self) -> str:
        """IP number and port."""
        return self.http.address

    def now_ms(self) -> float:
        """Return the wall clock."""
        return time.time() * MS_PER_S

    def start(self) -> None:
        """Serve, and start and end hosts in time."""
        self.http.start("cloud-http")
        threading.Thread(target=self._run, name="cloud", daemon=True).start()

    def stop(self) -> None:
        """End the cloud; backend servers stay."""
        self.stopped.set()
        self.http.cut()

    def adopt(
        self, request: StartRequest, backend: HostedBackend, host_id: str
    ) -> None:
        """Add a host whose backend server runs already."""
        with self.lock:
            host = self.model.add_running(host_id, request, self.now_ms())
            host.address = backend.address
            self.backends[host_id] = backend

    def notice(
        self,
        host_ids: Iterable[str],
        notice_ms: float,
        announced: bool = True,
        from_cloud: bool = True,
    ) -> None:
        """Take hosts back.

        Args:
            host_ids: Hosts that go.
            notice_ms: Time until they go.
            announced: Whether their backend servers tell of it.
            from_cloud: Whether the cloud tells of it; otherwise it shows only
                when they are gone.
        """
        with self.lock:
            host_ids = list(host_ids)
            if from_cloud:
                self.model.notice(host_ids, notice_ms, self.now_ms())
            for host_id in host_ids:
                backend = self.backends.pop(host_id, None)
                if backend is not None:
                    backend.reclaim(notice_ms, announced)
                if not from_cloud:
                    self.model.stop(host_id, self.now_ms())

    def refuse_starts(
        self, zone: str, host_class: str, for_ms: float, reclaimable_only: bool = False
    ) -> None:
        """Refuse starts for a time."""
        with self.lock:
            until_ms = self.now_ms() + for_ms
            shortage = Shortage(zone, host_class, reclaimable_only, until_ms)
            self.model.refuse_starts(shortage)

    def set_price(self, zone: str, host_class: str, price_per_hour: float) -> None:
        """Change the price of reclaimable hosts."""
        with self.lock:
            self.model.set_price(zone, host_class, price_per_hour, self.now_ms())

    def cost(self) -> float:
        """Return the cost of all hosts up to now."""
        with self.lock:
            self.model.advance(self.now_ms())
            return self.model.cost

    def give_back(self, host_id: str) -> bool:
        """Give a host back; its backend server leaves first."""
        with self.lock:
            known = self.model.stop(host_id, self.now_ms())
            backend = self.backends.pop(host_id, None)
        if backend is not None:
            backend.stop()
        return known

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
    """One connection to the cloud API."""

    cloud: CloudServer

    def dispatch(self) -> None:
        """Answer one call."""
        target = urlsplit(self.path)
        try:
            body = self.read_json()
            if self.command == "POST" and target.path == "/hosts":
                self._start(body)
            elif self.command == "DELETE" and target.path.startswith("/hosts/"):
                self._stop(target.path.removeprefix("/hosts/"))
            elif self.command == "GET":
                self._show(target.path, parse_qs(target.query))
            else:
                self.answer_problem(404, "no such path")
        except (ValueError, KeyError, TypeError) as error:
            self.answer_problem(400, f"bad request: {error}")

    def _start(self, body: dict[str, Any]) -> None:
        request = StartRequest(**body)
        with self.cloud.lock:
            started = self.cloud.model.start(request, self.cloud.now_ms())
        if isinstance(started, Refusal):
            self.answer_problem(409, started.reason)
            return
        self.answer_json(201, self._host_value(started))

    def _stop(self, host_id: str) -> None:
        if self.cloud.give_back(host_id):
            self.answer_json(200, {})
        else:
            self.answer_problem(404, "no such host")

    def _show(self, path: str, query: dict[str, list[str]]) -> None:
        with self.cloud.lock:
            model = self.cloud.model
            now_ms = self.cloud.now_ms()
            if path == "/offers":
                value = {"offers": [vars(offer) for offer in model.offers]}
            elif path == "/hosts":
                hosts = [self._host_value(host) for host in model.hosts.values()]
                value = {"hosts": hosts}
            elif path == "/notices":
                value = self._notices(int(query.get("after", ["0"])[0]), now_ms)
            else:
                self.answer_problem(404, "no such path")
                return
        self.answer_json(200, value)

    def _host_value(self, host: Host) -> dict[str, Any]:
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

    def _notices(self, after: int, now_ms: float) -> dict[str, Any]:
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
        config: What the cloud offers and how it behaves.
        start_backend: Starts the backend server of a host that came up.

    Returns:
        The running cloud.
    """
    server = CloudServer(config, start_backend)
    server.start()
    return server
