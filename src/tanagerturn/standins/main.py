"""Command line of the stand-ins."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING, Any, Final, Protocol

import click

from tanagerturn.standins.cloud.messages import Offer
from tanagerturn.standins.cloud.model import CloudConfig
from tanagerturn.standins.cloud.server import start_cloud
from tanagerturn.standins.engine.config import EngineConfig
from tanagerturn.standins.engine.server import start_engine
from tanagerturn.standins.faults import Fault, FaultPlan
from tanagerturn.standins.service.config import ServiceConfig
from tanagerturn.standins.service.server import start_service
from tanagerturn.standins.weights.server import WeightStoreConfig, start_weight_store

if TYPE_CHECKING:
    from collections.abc import Callable

ON_DEMAND_FACTOR: Final = 3.0
"""Price of an on-demand host against a reclaimable one."""


class RunningStandin(Protocol):
    """What all running stand-ins have."""

    @property
    def address(self) -> str:
        """IP number and port."""
        ...

    def stop(self) -> None:
        """End it."""


def parse_fault(text: str) -> tuple[Fault, float]:
    """Read `NAME=SHARE`.

    Raises:
        click.BadParameter: The fault is unknown or the share is not in 0 to 1.
    """
    name, _, share = text.partition("=")
    try:
        fault, rate = Fault(name), float(share)
    except ValueError as error:
        known = ", ".join(fault.value for fault in Fault)
        raise click.BadParameter(f"want NAME=SHARE, NAME of {known}") from error
    if not 0 <= rate <= 1:
        raise click.BadParameter(f"share must be 0 to 1, not {rate}")
    return fault, rate


def parse_offer(text: str) -> tuple[Offer, Offer]:
    """Read `ZONE,CLASS,PRICE` as a reclaimable and an on-demand offer.

    Raises:
        click.BadParameter: The text has another form.
    """
    parts = text.split(",")
    if len(parts) != 3:
        raise click.BadParameter("want ZONE,CLASS,PRICE")
    zone, host_class, price_text = parts
    try:
        price = float(price_text)
    except ValueError as error:
        raise click.BadParameter(f"price {price_text!r} is no number") from error
    return (
        Offer(zone, host_class, True, price),
        Offer(zone, host_class, False, price * ON_DEMAND_FACTOR),
    )


def run_until_signal(standin: RunningStandin) -> None:
    """Print the address, wait for SIGTERM or SIGINT, and stop."""
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    click.echo(standin.address)
    ended.wait()
    standin.stop()


def common_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that all stand-ins have."""
    options = (
        click.option("--ip", default="127.0.0.1", help="IP number to listen on."),
        click.option("--port", default=0, help="Port; 0 takes a free one."),
        click.option("--seed", default=0, help="Seed of faults and chances."),
    )
    for option in reversed(options):
        command = option(command)
    return command


def backend_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of stand-ins that announce themselves."""
    options = (
        click.option("--id", required=True, help="Name of the backend server."),
        click.option(
            "--announce-to", multiple=True, help="IP:PORT of an announcement listener."
        ),
        click.option("--announce-key", default="", help="Bearer key to announce with."),
        click.option(
            "--heartbeat-ms", default=1000, help="Time between announcements."
        ),
        click.option("--zone", default="a", help="Availability zone."),
        click.option("--price", default=1.0, help="Price per hour."),
        click.option("--service", multiple=True, help="Service that it serves."),
        click.option("--slots", default=32, help="Concurrent requests."),
        click.option(
            "--fault", "faults", multiple=True, help="NAME=SHARE of requests."
        ),
        click.option(
            "--fault-delay-ms", default=500.0, help="Wait of delaying faults."
        ),
    )
    for option in reversed(options):
        command = option(command)
    return common_options(command)


def backend_values(values: dict[str, Any]) -> dict[str, Any]:
    """Turn options into fields of a configuration."""
    rates = dict(parse_fault(text) for text in values["faults"])
    fields = {
        "id": values["id"],
        "ip": values["ip"],
        "port": values["port"],
        "announce_to": tuple(values["announce_to"]),
        "announce_key": values["announce_key"],
        "heartbeat_ms": values["heartbeat_ms"],
        "availability_zone": values["zone"],
        "price_per_hour": values["price"],
        "slots": values["slots"],
        "faults": FaultPlan(values["seed"], rates, values["fault_delay_ms"]),
    }
    if values["service"]:
        fields["services"] = tuple(values["service"])
    return fields


@click.group()
@click.version_option(package_name="tanagerturn")
def main() -> None:
    """Small fakes of what tanagerturn meets; prints the address and serves."""


@main.command()
@backend_options
@click.option("--model", default="draft", help="Model loaded at the start.")
@click.option("--model-version", default="1", help="Its version.")
@click.option("--step-ms", default=15.0, help="Time of an empty step.")
@click.option("--kv-tokens", default=65536, help="Tokens of KV cache.")
@click.option("--weight-store-url", default="", help="Where models come from.")
@click.option(
    "--checks-fencing/--ignores-fencing",
    default=True,
    help="Whether orders with a stale fencing number are refused.",
)
def engine(**values: Any) -> None:
    """Serve a model engine."""
    config = EngineConfig(
        model=values["model"],
        version=values["model_version"],
        step_ms=values["step_ms"],
        kv_tokens=values["kv_tokens"],
        weight_store_url=values["weight_store_url"],
        checks_fencing=values["checks_fencing"],
        seed=values["seed"],
        **backend_values(values),
    )
    run_until_signal(start_engine(config))


@main.command()
@backend_options
@click.option("--lookup-ms", default=2.0, help="Time of a lookup.")
@click.option("--execute-ms", default=5.0, help="Time of a purchase or filing.")
def service(**values: Any) -> None:
    """Serve a plain service that counts executions per idempotency key."""
    config = ServiceConfig(
        lookup_ms=values["lookup_ms"],
        execute_ms=values["execute_ms"],
        **backend_values(values),
    )
    run_until_signal(start_service(config))


@main.command()
@common_options
@click.option("--loads-per-s", default=1.0, help="Loads allowed in the long run.")
@click.option("--burst", default=2, help="Loads allowed at once.")
def weights(**values: Any) -> None:
    """Serve a weight store with a rate limit."""
    config = WeightStoreConfig(
        ip=values["ip"],
        port=values["port"],
        loads_per_s=values["loads_per_s"],
        burst=values["burst"],
    )
    run_until_signal(start_weight_store(config))


@main.command()
@common_options
@click.option(
    "--offer",
    "offers",
    multiple=True,
    help="ZONE,CLASS,PRICE of reclaimable hosts; on-demand ones cost three times.",
)
@click.option("--start-ms", default=1000.0, help="Time to start a host.")
@click.option("--refuse-rate", default=0.0, help="Share of starts refused.")
def cloud(**values: Any) -> None:
    """Serve a cloud API whose hosts stay empty."""
    config = CloudConfig(
        ip=values["ip"],
        port=values["port"],
        offers=tuple(o for text in values["offers"] for o in parse_offer(text)),
        start_ms=values["start_ms"],
        refuse_rate=values["refuse_rate"],
        seed=values["seed"],
    )
    run_until_signal(start_cloud(config))


if __name__ == "__main__":
    main()
