import pytest

from magnoliatrail.errors import ErrorKind
from magnoliatrail.generated.platform import Catalogue, CatalogueEntry
from magnoliatrail.ids import AdapterVersion
from magnoliatrail.placement.catalogue import AdapterCatalogue


@pytest.fixture
def catalogue():
    entries = [CatalogueEntry(adapter="layla", version="3", base_model="base")]
    catalogue = AdapterCatalogue()
    catalogue.replace(Catalogue(adapters=entries))
    return catalogue


def test_an_adapter_is_found_at_the_version_it_is_named_with(catalogue):
    assert catalogue.find("layla@3").ok == AdapterVersion("layla", "3")


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("layla@2", ErrorKind.UNKNOWN_ADAPTER),
        ("nadia@3", ErrorKind.UNKNOWN_ADAPTER),
        ("layla", ErrorKind.VERSION_MISSING),
        ("layla@", ErrorKind.VERSION_MISSING),
        ("@3", ErrorKind.VERSION_MISSING),
        ("", ErrorKind.VERSION_MISSING),
    ],
)
def test_nothing_else_is_found(catalogue, name, kind):
    assert catalogue.find(name).error.kind is kind


def test_a_newer_catalogue_replaces_the_older_one(catalogue):
    catalogue.replace(Catalogue(adapters=[]))
    assert catalogue.find("layla@3").is_error()
