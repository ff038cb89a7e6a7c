"""Command line of `tanager-standin`."""

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

ON_DEMAND_PRICE_FACTOR: Final = 3.0
"""Ratio of an on-demand host's price to a reclaimable host's."""


class RunningStandin(Protocol):
    """A running stand-in of any type."""

    @property
    def address(self) -> str:
        """IP address and port that the stand-in listens on."""
        ...

    def stop(self) -> None:
        """Stop serving."""


def parse_fault(text: str) -> tuple[Fault, float]:
    """Parse the value NAME=RATE of the option `--fault`.

    Returns:
        The fault, and the fraction of requests that get it.

    Raises:
        click.BadParameter: The fault is unknown, or the rate is not a number from
            0 to 1.
    """
    name, _, rate_text = text.partition("=")
    try:
        fault, rate = Fault(name), float(rate_text)
    except ValueError as error:
        known = ", ".join(fault.value for fault in Fault)
        raise click.BadParameter(
            f"fault {text!r}: expected NAME=RATE, where RATE is a number and NAME is "
            f"one of {known}"
        ) from error
    if not 0 <= rate <= 1:
        raise click.BadParameter(f"rate of fault {name} is {rate}, must be from 0 to 1")
    return fault, rate


def parse_offer(text: str) -> tuple[Offer, Offer]:
    """Parse the value ZONE,CLASS,PRICE of the option `--offer`.

    Returns:
        The offer of reclaimable hosts at that price, and the offer of on-demand
        hosts at `ON_DEMAND_PRICE_FACTOR` times the price.

    Raises:
        click.BadParameter: The value has another form, or the price is not a number.
    """
    parts = text.split(",")
    if len(parts) != 3:
        raise click.BadParameter(f"offer {text!r}: expected ZONE,CLASS,PRICE")
    zone, host_class, price_text = parts
    try:
        price = float(price_text)
    except ValueError as error:
        raise click.BadParameter(
            f"price {price_text!r} of offer {text!r} is not a number"
        ) from error
    return (
        Offer(zone, host_class, True, price),
        Offer(zone, host_class, False, price * ON_DEMAND_PRICE_FACTOR),
    )


def run_until_signal(standin: RunningStandin) -> None:
    """Print the stand-in's address, wait for SIGTERM or SIGINT, then stop it."""
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    click.echo(standin.address)
    stop_requested.wait()
    standin.stop()


def common_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of all stand-ins to a command."""
    options = (
        click.option("--ip", default="127.0.0.1", help="IP address to listen on."),
        click.option(
            "--port", default=0, help="Port to listen on; 0 selects a free one."
        ),
        click.option(
            "--seed", default=0, help="Seed of injected faults and random choices."
        ),
    )
    for option in reversed(options):
        command = option(command)
    return command


def backend_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of stand-ins that announce themselves to a command."""
    options = (
        click.option("--id", required=True, help="Id of the backend server."),
        click.option(
            "--announce-to",
            multiple=True,
            help="IP:PORT of an entry host's announcement listener; repeatable.",
        ),
        click.option(
            "--announce-key",
            default="",
            help="Bearer key of announcements; empty to send none.",
        ),
        click.option(
            "--heartbeat-ms",
            default=1000,
            help="Longest time between two announcements, in milliseconds.",
        ),
        click.option("--zone", default="a", help="Availability zone of the host."),
        click.option("--price", default=1.0, help="Price of the host per hour."),
        click.option(
            "--service",
            multiple=True,
            help="Service of the backend server; repeatable.",
        ),
        click.option(
            "--slots",
            default=32,
            help="Maximum number of requests that run concurrently.",
        ),
        click.option(
            "--fault",
            "faults",
            multiple=True,
            help="NAME=RATE: fault to inject, and the fraction of requests (0 to 1).",
        ),
        click.option(
            "--fault-delay-ms",
            default=500.0,
            help="Duration of the faults delay and answer_late, in milliseconds.",
        ),
    )
    for option in reversed(options):
        command = option(command)
    return common_options(command)


def backend_config(values: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration fields that engines and plain services share.

    Args:
        values: Values of the command's options by name.

    Returns:
        Fields of `EngineConfig` or `ServiceConfig` by name. "services" is missing if
        no service is given, so that the configuration's default applies.

    Raises:
        click.BadParameter: A value of `--fault` is not valid.
    """
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
    """Run a stand-in: print its address and serve until SIGTERM or SIGINT."""


@main.command()
@backend_options
@click.option("--model", default="draft", help="Model that is loaded at the start.")
@click.option("--model-version", default="1", help="Version of the loaded model.")
@click.option(
    "--step-ms",
    default=15.0,
    help="Duration of a step without any request, in milliseconds.",
)
@click.option("--kv-tokens", default=65536, help="KV cache capacity in tokens.")
@click.option(
    "--weight-store-url",
    default="",
    help="URL of the weight store; empty to load models without fetching weights.",
)
@click.option(
    "--checks-fencing/--ignores-fencing",
    default=True,
    help="Whether orders with a stale fencing number are refused.",
)
def engine(**values: Any) -> None:
    """Serve as a model engine."""
    config = EngineConfig(
        model=values["model"],
        version=values["model_version"],
        step_ms=values["step_ms"],
        kv_tokens=values["kv_tokens"],
        weight_store_url=values["weight_store_url"],
        checks_fencing=values["checks_fencing"],
        seed=values["seed"],
        **backend_config(values),
    )
    run_until_signal(start_engine(config))


@main.command()
@backend_options
@click.option("--lookup-ms", default=2.0, help="Duration of a lookup, in milliseconds.")
@click.option(
    "--execute-ms",
    default=5.0,
    help="Duration of a purchase or filing, in milliseconds.",
)
def service(**values: Any) -> None:
    """Serve as a plain service that counts executions by idempotency key."""
    config = ServiceConfig(
        lookup_ms=values["lookup_ms"],
        execute_ms=values["execute_ms"],
        **backend_config(values),
    )
    run_until_signal(start_service(config))


@main.command()
@common_options
@click.option("--loads-per-s", default=1.0, help="Sustained limit of loads per second.")
@click.option("--burst", default=2, help="Loads allowed at once after idle time.")
def weights(**values: Any) -> None:
    """Serve as a weight store with a rate limit."""
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
    help="ZONE,CLASS,PRICE of reclaimable hosts; on-demand hosts cost three times "
    "the price. Repeatable.",
)
@click.option(
    "--start-ms", default=1000.0, help="Time to start a host, in milliseconds."
)
@click.option(
    "--refuse-rate", default=0.0, help="Fraction of starts to refuse, from 0 to 1."
)
def cloud(**values: Any) -> None:
    """Serve as a cloud API; no backend servers run on its hosts."""
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
