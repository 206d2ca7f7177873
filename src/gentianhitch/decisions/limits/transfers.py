"""Transfer shares between instances, with acknowledgements and retries."""

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
"""Received transfers whose numbers are kept to detect duplicates."""


@attrs.define
class OutgoingTransfer:
    """A transfer that its successor has not acknowledged."""

    transfer: Transfer
    address: Address
    next_send_at: float = -math.inf


class Transfers:
    """Send and receive the right to spend an owner's share.

    A share is held by one instance or is in one transfer. The sender releases it
    first and never reclaims it, so a transfer to an instance that has stopped loses
    the share until the agreed list changes.
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
        """Release the share of ``owner`` and send it to ``successor``."""
        number = next(self._numbers)
        transfer = Transfer(
            number,
            successor.id,
            self._own_address,
            owner,
            self._remaining_lease_s(owner, now),
            self._held_shares.log.newest_sequence,
            self._tokens_to_transfer(owner, now)
            if self._held_shares.is_fresh(now)
            else {},
        )
        self._held_shares.release(owner)
        self.outgoing_by_number[number] = OutgoingTransfer(transfer, successor.address)
        self._peers.record_holder([owner], successor.address)
        self._counters.events_by_name["transfers_sent"] += 1
        logger.info("handing the share of {} over to {}", owner.name, successor.id.name)
        self.send_due(now)

    def send_due(self, now: float) -> None:
        """Send unacknowledged transfers again, always to the same successor."""
        for outgoing in list(self.outgoing_by_number.values()):
            if now >= outgoing.next_send_at:
                outgoing.next_send_at = now + TRANSFER_RETRY_INTERVAL_S
                self._transport.send(outgoing.address, outgoing.transfer)

    def receive(self, sender: InstanceId, transfer: Transfer, now: float) -> bool:
        """Accept a transfer once, acknowledge duplicates; return whether it is new."""
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
        """Stop sending a transfer after its successor's acknowledgement."""
        outgoing = self.outgoing_by_number.get(ack.number)
        if outgoing is not None and outgoing.transfer.heir == sender:
            del self.outgoing_by_number[ack.number]

    def send_notices(self, addresses: Iterable[Address]) -> None:
        """Notify these instances of the shares of others that are held here."""
        owners = tuple(self._held_shares.owners_taken_over())
        if owners:
            notice = ShareNotice(self._own_address, owners)
            for address in addresses:
                self._transport.send(address, notice)

    def _accept(self, transfer: Transfer, now: float) -> None:
        self._counters.events_by_name["transfers_received"] += 1
        held = HeldShare(now + transfer.lent_s)
        # Under other states than the sender's, another instance may already have
        # earned the equivalent of these tokens.
        fresh = self._held_shares.is_fresh(now)
        if fresh and transfer.sequence == self._held_shares.log.newest_sequence:
            held.version = self._held_shares.log.version
            held.tokens_by_workspace = dict(transfer.tokens_by_workspace)
        self._held_shares.shares_by_owner[transfer.origin] = held
        self._peers.record_holder([transfer.origin], self._own_address)

    def _remaining_lease_s(self, owner: InstanceId, now: float) -> float:
        accounts = [
            budget.accounts_by_owner.get(owner)
            for budget in self._held_shares.budgets()
        ]
        ends = [account.lent_until() for account in accounts if account is not None]
        held = self._held_shares.shares_by_owner[owner]
        return max(0.0, held.usable_from - now, max(ends, default=now) - now)

    def _tokens_to_transfer(self, owner: InstanceId, now: float) -> dict[str, float]:
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
