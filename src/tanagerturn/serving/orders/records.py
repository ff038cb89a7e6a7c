"""Records of open orders in the replicated store, one key per engine.

A key is created only if it is absent, and every write is fenced by the control lease.
Each engine therefore has at most one open order, and a holder that lost the lease can't
write.
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
    """Return the store key of the record of an engine's open order."""
    return ORDER_PREFIX + backend_server


def record_transaction(
    step: RecordOrder, lease: LeaseName, existing_revision: int = 0
) -> coordination_pb2.Transaction:
    """Return the transaction that stores an order.

    Args:
        step: The step that asks for the record.
        lease: Name of the control lease.
        existing_revision: Store revision of the adopted record; 0 for a new order.
    """
    put = coordination_pb2.Put(
        key=order_key(step.order.backend_server),
        value=step.order.SerializeToString(deterministic=True),
        expected_revision=existing_revision,
    )
    number = step.order.fencing_number
    fence = coordination_pb2.Fence(lease=lease, fencing_number=number)
    return coordination_pb2.Transaction(puts=[put], fences=[fence])


def close_transaction(
    step: CloseOrder, lease: LeaseName, number: FencingNumber, revision: int
) -> coordination_pb2.Transaction:
    """Return the transaction that deletes the record of an order.

    Args:
        step: The step that asks for the deletion.
        lease: Name of the control lease.
        number: Fencing number of the control lease.
        revision: Store revision of the record to delete.
    """
    delete = coordination_pb2.Delete(
        key=order_key(step.order.backend_server), expected_revision=revision
    )
    fence = coordination_pb2.Fence(lease=lease, fencing_number=number)
    return coordination_pb2.Transaction(deletes=[delete], fences=[fence])


def orders_in(
    entries: Iterable[coordination_pb2.KeyValue],
) -> list[serving_pb2.Order]:
    """Parse the orders from the entries of a scan of `ORDER_PREFIX`."""
    return [serving_pb2.Order.FromString(entry.value) for entry in entries]
