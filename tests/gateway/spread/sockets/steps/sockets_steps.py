"""Steps of sockets.feature; the sockets are on loopback."""

from __future__ import annotations

import asyncio
import time

from behave import given, then, when

from tanagerturn.gateway.spread.sockets import PolledUdpSocket

IP = "127.0.0.1"

ARRIVAL_S = 0.05
"""Time in seconds for datagrams on loopback to arrive."""


class LimitedSocket:
    """A socket whose buffer has space for a number of datagrams.

    Args:
        opened: Socket that sends.
        space: Number of datagrams that it still takes.
    """

    def __init__(self, opened, space):
        self.opened = opened
        self.space = space

    def sendto(self, data, recipient):
        """Send a datagram if there is space."""
        if not self.space:
            raise BlockingIOError
        self.space -= 1
        return self.opened.sendto(data, recipient)

    def recvfrom(self, limit_bytes):
        """Receive a datagram."""
        return self.opened.recvfrom(limit_bytes)

    def close(self):
        """Close the socket."""
        self.opened.close()


def number_of(data):
    return int(data.decode())


@given("a polled socket and a sender")
def sockets_open(context):
    context.passed_on, context.returned = [], []
    context.receiver = PolledUdpSocket(
        lambda data, address: context.passed_on.append(number_of(data))
    )
    context.sender = PolledUdpSocket(
        lambda data, address: context.returned.append(number_of(data))
    )
    for each in (context.receiver, context.sender):
        each.listen(IP, 0)
        context.closers.append(each.close)
    context.port = context.receiver.socket.getsockname()[1]


def send(context, count):
    for number in range(1, count + 1):
        context.sender.send(str(number).encode(), IP, context.port)
    time.sleep(ARRIVAL_S)


@when("{count:d} datagrams arrive")
def datagrams_arrive(context, count):
    send(context, count)


@then("the event loop has nothing to do, and no datagram was passed on")
def nothing_passed_on(context):
    asyncio.run(asyncio.sleep(ARRIVAL_S))
    assert context.passed_on == []


@then("the next poll passes on datagrams {first:d} to {last:d}")
def poll_passes_on(context, first, last):
    context.passed_on.clear()
    context.receiver.poll()
    assert context.passed_on == list(range(first, last + 1)), context.passed_on


@when("the sender has space for {space:d} of {count:d} datagrams")
def limited_space(context, space, count):
    context.sender.socket = LimitedSocket(context.sender.socket, space)
    send(context, count)


@when("the sender has space again")
def space_again(context):
    context.sender.socket.space = 1_000
    context.sender.poll()
    time.sleep(ARRIVAL_S)


@when("the sender's datagrams to a closed port are rejected")
def rejected(context):
    context.receiver.close()
    for number in range(3):
        context.sender.send(str(number).encode(), IP, context.port)
        time.sleep(ARRIVAL_S)


@then("it still receives what is sent to it")
def still_receives(context):
    other = PolledUdpSocket(lambda data, address: None)
    other.listen(IP, 0)
    context.closers.append(other.close)
    other.send(b"7", IP, context.sender.socket.getsockname()[1])
    time.sleep(ARRIVAL_S)
    context.sender.poll()
    assert context.returned == [7], context.returned


@when("both are closed")
def both_closed(context):
    context.sender.close()
    context.receiver.close()


@then("sending and polling have no effect")
def no_effect(context):
    send(context, 1)
    context.receiver.poll()
    assert context.passed_on == []
