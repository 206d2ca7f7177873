from __future__ import annotations

from gentianhitch.operators.differences import compare
from gentianhitch.operators.document import Service
from gentianhitch.operators.document import Workspace
from tests.builders_platform import make_document


class TestCompare:
    def test_equal_documents_have_no_differences(self) -> None:
        assert compare(make_document(), make_document()) == ()

    def test_records_added_removed_and_changed(self) -> None:
        tried = make_document(
            workspaces=(Workspace("nord", 12, 20, ("a" * 64,)), Workspace("ost", 1, 1)),
            services=(Service("stock", 2, 1000),),
        )
        assert [str(difference) for difference in compare(make_document(), tried)] == [
            "workspace 'nord' changes rate from 10 to 12",
            "workspace 'ost' is added",
            "service 'stock' changes floor_slots from 3 to 2",
            "workspace 'syd' is removed",
        ]

    def test_first_document_adds_everything(self) -> None:
        differences = compare(None, make_document())
        assert len(differences) == 5
        assert {difference.message for difference in differences} == {"is added"}
