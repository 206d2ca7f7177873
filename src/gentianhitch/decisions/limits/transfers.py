"""Hand shares over to other instances, at a planned stop and back again."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from itertools import count

import attrs
from loguru import logger

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.constants import MAX_TRANSFERRED_WORKSPACES
from gentianhitch.decisions.limits.constants import TRANSFER_RETRY_S
from gentianhitch.decisions.limits.counters import LimitCounters
from gentianhitch.decisions.limits.holdings import Holdings
from gentianhitch.decisions.limits.holdings import Right
from gentianhitch.decisions.limits.messages import ShareNotice
from gentianhitch.decisions.limits.messages import Transfer
from gentianhitch.decisions.limits.messages import TransferAck
from gentianhitch.decisions.limits.peers import Peer
from gentianhitch.decisions.limits.peers import PeerBook
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport

MAX_REMEMBERED = 16_384
"""Transfers received whose numbers are remembered against copies."""


@attrs.define
class Outgoing:
    """A transfer that its heir has not acknowledged yet."""

    transfer: Transfer
    address: Address
    next_send: float = -math.inf


class Transfers:
    """Send and receive the right to spend an origin's share.

    A right is at one instance or in one transfer. Whoever sends it stops using
    it first and never takes it back, so a transfer to an heir that has stopped
    loses the right until the agreed list changes.
    """

    def __init__(
        self,
        holdings: Holdings,
        peers: PeerBook,
        transport: Transport,
        own_address: Address,
        counters: LimitCounters,
    ) -> None:
        self.outgoing_by_number: dict[int, Outgoing] = {}
        self._holdings = holdings
        self._peers = peers
        self._transport = transport
        self._own_address = own_address
        self._counters = counters
        self._numbers = count(1)
        self._received: OrderedDict[tuple[InstanceId, int], None] = OrderedDict()

    def hand_over(self, origin: InstanceId, heir: Peer, now: float) -> None:
        """Stop using the share of ``origin`` and send it to ``heir``."""
        number = next(self._numbers)
        transfer = Transfer(
            number,
            heir.id,
            self._own_address,
            origin,
            self._lent_s(origin, now),
            self._holdings.log.newest,
            self._tokens(origin, now) if self._holdings.is_fresh(now) else {},
        )
        self._holdings.give_up(origin)
        self.outgoing_by_number[number] = Outgoing(transfer, heir.address)
        self._peers.learn_holder([origin], heir.address)
        self._counters.events_by_name["transfers_sent"] += 1
        logger.info("transfers the share of {} to {}", origin.name, heir.id.name)
        self.send_due(now)

    def send_due(self, now: float) -> None:
        """Send again what is not acknowledged, always to the same heir."""
        for outgoing in list(self.outgoing_by_number.values()):
            if now >= outgoing.next_send:
                outgoing.next_send = now + TRANSFER_RETRY_S
                self._transport.send(outgoing.address, outgoing.transfer)

    def receive(self, sender: InstanceId, transfer: Transfer, now: float) -> bool:
        """Take over a share once and acknowledge each copy; True if it was new."""
        if transfer.heir != self._holdings.own_id:
            return False
        key = (sender, transfer.number)
        new = key not in self._received
        if new:
            self._received[key] = None
            while len(self._received) > MAX_REMEMBERED:
                self._received.popitem(last=False)
            self._accept(transfer, now)
        self._transport.send(transfer.reply_to, TransferAck(transfer.number))
        return new

    def acknowledge(self, sender: InstanceId, ack: TransferAck) -> None:
        """Stop sending a transfer that its heir has confirmed."""
        outgoing = self.outgoing_by_number.get(ack.number)
        if outgoing is not None and outgoing.transfer.heir == sender:
            del self.outgoing_by_number[ack.number]

    def announce(self, addresses: Iterable[Address]) -> None:
        """Tell these instances which shares of others are held here."""
        origins = tuple(self._holdings.inherited())
        if origins:
            notice = ShareNotice(self._own_address, origins)
            for address in addresses:
                self._transport.send(address, notice)

    def _accept(self, transfer: Transfer, now: float) -> None:
        self._counters.events_by_name["transfers_received"] += 1
        right = Right(now + transfer.lent_s)
        # Under other states than the sender's, another instance may already have
        # earned what these tokens stand for.
        fresh = self._holdings.is_fresh(now)
        if fresh and transfer.sequence == self._holdings.log.newest:
            right.version = self._holdings.log.version
            right.tokens_by_workspace = dict(transfer.tokens_by_workspace)
        self._holdings.rights_by_origin[transfer.origin] = right
        self._peers.learn_holder([transfer.origin], self._own_address)

    def _lent_s(self, origin: InstanceId, now: float) -> float:
        accounts = [
            budget.accounts_by_origin.get(origin) for budget in self._holdings.budgets()
        ]
        ends = [account.lent_until() for account in accounts if account is not None]
        right = self._holdings.rights_by_origin[origin]
        return max(0.0, right.start - now, max(ends, default=now) - now)

    def _tokens(self, origin: InstanceId, now: float) -> dict[str, float]:
        tokens_by_workspace: dict[str, float] = {}
        for budget in self._holdings.budgets():
            account = budget.accounts_by_origin.get(origin)
            if account is None:
                continue
            budget.catch_up(self._holdings.log, self._holdings.shares, now)
            account.settle(now)
            tokens_by_workspace[budget.workspace] = account.bucket.tokens
            if len(tokens_by_workspace) >= MAX_TRANSFERRED_WORKSPACES:
                break
        return tokens_by_workspace
