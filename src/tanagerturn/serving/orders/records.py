"""How orders stand in the replicated store: one key for each engine.

The key is created only where it is absent, and every write carries the control
lease as a fence. So there is one open order for each engine, and a holder that
has lost the lease records nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.schema import coordination_pb2, serving_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.coordination.ids import FencingNumber, LeaseName
    from tanagerturn.serving.orders.messages import CloseOrder, RecordOrder

ORDER_PREFIX: Final = "order/"


def order_key(backend_server: str) -> str:
    """Return the key of an engine's open order."""
    return ORDER_PREFIX + backend_server


def record_transaction(
    step: RecordOrder, lease: LeaseName, found_revision: int = 0
) -> coordination_pb2.Transaction:
    """Return the write of an order.

    Args:
        step: What to record.
        lease: Control lease.
        found_revision: Revision of the record that is adopted; 0 for a new one.
    """
    put = coordination_pb2.Put(
        key=order_key(step.order.backend_server),
        value=step.order.SerializeToString(deterministic=True),
        expected_revision=found_revision,
    )
    number = step.order.fencing_number
    fence = coordination_pb2.Fence(lease=lease, fencing_number=number)
    return coordination_pb2.Transaction(puts=[put], fences=[fence])


def close_transaction(
    step: CloseOrder, lease: LeaseName, number: FencingNumber, revision: int
) -> coordination_pb2.Transaction:
    """Return the removal of an order's record.

    Args:
        step: What to close.
        lease: Control lease.
        number: Fencing number of the holder.
        revision: Revision of the record.
    """
    delete = coordination_pb2.Delete(
        key=order_key(step.order.backend_server), expected_revision=revision
    )
    fence = coordination_pb2.Fence(lease=lease, fencing_number=number)
    return coordination_pb2.Transaction(deletes=[delete], fences=[fence])


def orders_in(
    entries: Iterable[coordination_pb2.KeyValue],
) -> list[serving_pb2.Order]:
    """Return the orders of a scan of `ORDER_PREFIX`."""
    return [serving_pb2.Order.FromString(entry.value) for entry in entries]
