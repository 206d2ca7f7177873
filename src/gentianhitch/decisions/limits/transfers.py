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
from gentianhitch.decisions.limits.constants import TRANSFER_RETRY_INTERVAL_S
from gentianhitch.decisions.limits.counters import LimitCounters
from gentianhitch.decisions.limits.holdings import HeldShare
from gentianhitch.decisions.limits.holdings import HeldShares
from gentianhitch.decisions.limits.messages import ShareNotice
from gentianhitch.decisions.limits.messages import Transfer
from gentianhitch.decisions.limits.messages import TransferAck
from gentianhitch.decisions.limits.peers import Peer
from gentianhitch.decisions.limits.peers import PeerDirectory
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport

MAX_RECEIVED_TRANSFERS = 16_384
"""Transfers received whose numbers are remembered against copies."""


@attrs.define
class OutgoingTransfer:
    """A transfer that its successor has not acknowledged yet."""

    transfer: Transfer
    address: Address
    next_send: float = -math.inf


class Transfers:
    """Send and receive the right to spend an owner's share.

    A right is at one instance or in one transfer. Whoever sends it stops using
    it first and never takes it back, so a transfer to an successor that has stopped
    loses the right until the agreed list changes.
    """

    def __init__(
        self,
        held_shares: HeldShares,
        peers: PeerDirectory,
        transport: Transport,
        own_address: Address,
        counters: LimitCounters,
    ) -> None:
        self.outgoing_by_number: dict[int, OutgoingTransfer] = {}
        self._held_shares = held_shares
        self._peers = peers
        self._transport = transport
        self._own_address = own_address
        self._counters = counters
        self._numbers = count(1)
        self._received: OrderedDict[tuple[InstanceId, int], None] = OrderedDict()

    def hand_over(self, owner: InstanceId, successor: Peer, now: float) -> None:
        """Stop using the share of ``owner`` and send it to ``successor``."""
        number = next(self._numbers)
        transfer = Transfer(
            number,
            successor.id,
            self._own_address,
            owner,
            self._remaining_lease_s(owner, now),
            self._held_shares.log.newest,
            self._tokens(owner, now) if self._held_shares.is_fresh(now) else {},
        )
        self._held_shares.release(owner)
        self.outgoing_by_number[number] = OutgoingTransfer(transfer, successor.address)
        self._peers.record_holder([owner], successor.address)
        self._counters.events_by_name["transfers_sent"] += 1
        logger.info("transfers the share of {} to {}", owner.name, successor.id.name)
        self.send_due(now)

    def send_due(self, now: float) -> None:
        """Send again what is not acknowledged, always to the same successor."""
        for outgoing in list(self.outgoing_by_number.values()):
            if now >= outgoing.next_send:
                outgoing.next_send = now + TRANSFER_RETRY_INTERVAL_S
                self._transport.send(outgoing.address, outgoing.transfer)

    def receive(self, sender: InstanceId, transfer: Transfer, now: float) -> bool:
        """Take over a share once and acknowledge each copy; True if it was new."""
        if transfer.heir != self._held_shares.own_id:
            return False
        key = (sender, transfer.number)
        new = key not in self._received
        if new:
            self._received[key] = None
            while len(self._received) > MAX_RECEIVED_TRANSFERS:
                self._received.popitem(last=False)
            self._accept(transfer, now)
        self._transport.send(transfer.reply_to, TransferAck(transfer.number))
        return new

    def acknowledge(self, sender: InstanceId, ack: TransferAck) -> None:
        """Stop sending a transfer that its successor has confirmed."""
        outgoing = self.outgoing_by_number.get(ack.number)
        if outgoing is not None and outgoing.transfer.heir == sender:
            del self.outgoing_by_number[ack.number]

    def send_notices(self, addresses: Iterable[Address]) -> None:
        """Tell these instances which shares of others are held here."""
        owners = tuple(self._held_shares.owners_taken_over())
        if owners:
            notice = ShareNotice(self._own_address, owners)
            for address in addresses:
                self._transport.send(address, notice)

    def _accept(self, transfer: Transfer, now: float) -> None:
        self._counters.events_by_name["transfers_received"] += 1
        right = HeldShare(now + transfer.lent_s)
        # Under other states than the sender's, another instance may already have
        # earned what these tokens stand for.
        fresh = self._held_shares.is_fresh(now)
        if fresh and transfer.sequence == self._held_shares.log.newest:
            right.version = self._held_shares.log.version
            right.tokens_by_workspace = dict(transfer.tokens_by_workspace)
        self._held_shares.shares_by_owner[transfer.origin] = right
        self._peers.record_holder([transfer.origin], self._own_address)

    def _remaining_lease_s(self, owner: InstanceId, now: float) -> float:
        accounts = [
            budget.accounts_by_owner.get(owner)
            for budget in self._held_shares.budgets()
        ]
        ends = [account.lent_until() for account in accounts if account is not None]
        right = self._held_shares.shares_by_owner[owner]
        return max(0.0, right.start - now, max(ends, default=now) - now)

    def _tokens(self, owner: InstanceId, now: float) -> dict[str, float]:
        tokens_by_workspace: dict[str, float] = {}
        for budget in self._held_shares.budgets():
            account = budget.accounts_by_owner.get(owner)
            if account is None:
                continue
            budget.apply_states(
                self._held_shares.log, self._held_shares.share_table, now
            )
            account.settle(now)
            tokens_by_workspace[budget.workspace] = account.bucket.tokens
            if len(tokens_by_workspace) >= MAX_TRANSFERRED_WORKSPACES:
                break
        return tokens_by_workspace
