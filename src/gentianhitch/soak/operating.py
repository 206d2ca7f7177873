"""What operators and the platform's list do to a fleet in a run."""

from __future__ import annotations

import attrs

from gentianhitch.instances.identity import Member
from gentianhitch.operators import pieces
from gentianhitch.operators.document import Document
from gentianhitch.operators.head import DocumentReference
from gentianhitch.operators.head import Head
from gentianhitch.operators.head import change_head
from gentianhitch.platform.interface import ListedInstance
from gentianhitch.platform.interface import ListedState
from gentianhitch.platform.interface import Platform

ENVIRONMENT = "trial"


def decode_named_document(data: bytes) -> Document:
    """Make a document that has only a name, which is all of ``data``."""
    return Document(data.decode(), (), (), (), ())


def listed(member: Member) -> ListedInstance:
    """Return a live instance as the platform lists it."""
    return ListedInstance(
        member.id.name,
        member.failure_domain,
        member.callers,
        member.peers,
        ListedState.LIVE,
    )


async def promote(platform: Platform, revision: int, data: bytes) -> int:
    """Change the document as an operator does; return the sequence that has it."""
    digest = await pieces.store(platform, ENVIRONMENT, data)
    change_id = f"promotion-{revision}"
    reference = DocumentReference(revision, digest, "operator", change_id)

    def edit(head: Head) -> Head:
        return attrs.evolve(head, document=reference)

    changed = await change_head(platform, ENVIRONMENT, change_id, edit)
    return changed.head.sequence
