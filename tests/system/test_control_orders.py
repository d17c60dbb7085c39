"""The operator's orders: what is valid, what is taken, and what happens to an order that comes again."""

from __future__ import annotations

import hashlib
import json
import time
import typing
import unittest
import unittest.mock
import zlib
from collections.abc import Callable

from hypothesis import given, settings, strategies

from flintfield.control import documents, orders
from flintfield.control.configuration import Configuration, from_document
from flintfield.control.messages import Kind
from flintfield.control.operator import MAX_BODY_BYTES
from flintfield.control.orders import Verdict
from flintfield.control.stored import (
    FORMAT,
    MOST_DOCUMENT_BYTES,
    StoredConfiguration,
    UnknownFormat,
    decode_configuration,
    decode_stored,
)
from flintfield.transport import records

Document = dict[str, typing.Any]

NOTE_BYTES = 1_000_000


def route(name: str, /, **changes: typing.Any) -> Document:
    """A valid route with its own prefix."""
    return {
        "name": name,
        "host": "jobs.example",
        "pathPrefix": f"/{name}/",
        "routeType": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": "mill",
        "maxAttempts": 2,
        "extension": 1.5,
        **changes,
    }


def service(name: str, /, **changes: typing.Any) -> Document:
    """A valid service."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "guards": False,
        **changes,
    }


def whole(version: int, **changes: typing.Any) -> Document:
    """A valid configuration."""
    return {
        "version": version,
        "routes": [route("a"), route("b")],
        "services": [service("mill")],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        **changes,
    }


def body_of(document: Document) -> bytes:
    """Its JSON form."""
    return json.dumps(document).encode()


def replace(base: int, document: Document) -> orders.Order:
    """An order to replace the whole."""
    return orders.read_order(Kind.REPLACE, base, body_of(document))


def update(base: int, change: Document) -> orders.Order:
    """An order to change named items."""
    return orders.read_order(Kind.UPDATE, base, body_of(change))


def take(order: orders.Order, value: bytes | None) -> bytes:
    """The register's value after the order, which must be possible."""
    judgement = orders.judge(order, value)
    assert judgement.successor is not None, judgement
    return judgement.successor


def read_back(value: bytes) -> Document:
    """The document in the register."""
    document: Document = json.loads(decode_stored(value).document)
    return document


def process_seconds(work: Callable[[], object]) -> float:
    """The processor time that this takes."""
    start_s = time.process_time()
    work()
    return time.process_time() - start_s


class LongDocuments(unittest.TestCase):
    """Documents that grow by changes, each of which is short."""

    # Guards against a document that is committed and that no process can read any more.
    def test_a_change_that_makes_the_document_too_long_is_refused(self) -> None:
        value = take(replace(0, whole(1)), None)
        for version in range(2, 2 + MOST_DOCUMENT_BYTES // NOTE_BYTES + 1):
            change = {"version": version, "upsert": {"routes": [route(f"x{version}", note="n" * NOTE_BYTES)]}}
            judgement = orders.judge(update(version - 1, change), value)
            if judgement.successor is None:
                break
            value = judgement.successor
            self.assertEqual(decode_stored(value).version, version)
        self.assertIs(judgement.verdict, Verdict.INVALID)
        self.assertIn(str(MOST_DOCUMENT_BYTES), judgement.reason)
        self.assertGreater(len(decode_stored(value).document), MOST_DOCUMENT_BYTES - 2 * NOTE_BYTES)


class InvalidOrders(unittest.TestCase):
    """Orders that are invalid on top of anything; the message names the item."""

    def assert_invalid(self, document: Document, named: str, kind: Kind = Kind.REPLACE) -> None:
        with self.assertRaises(documents.InvalidConfiguration) as caught:
            orders.read_order(kind, 0, body_of(document))
        self.assertIn(named, str(caught.exception))

    def test_cut_short_at_every_byte(self) -> None:
        body = body_of(whole(1))
        for end in range(len(body)):
            with self.assertRaises(documents.InvalidConfiguration):
                orders.read_order(Kind.REPLACE, 0, body[:end])

    def test_bytes_that_are_no_json_object(self) -> None:
        for body in (
            b"",
            b"[]",
            b"1",
            b"null",
            b'{"a":NaN}',
            b'{"a":1,"a":2}',
            b"\xff\xfe",
            b"[" * 100_000,
            b"9" * 10_000,
        ):
            with self.subTest(body[:20]), self.assertRaises(documents.InvalidConfiguration):
                orders.read_order(Kind.REPLACE, 0, body)

    # A number that overflows was taken and read back as a word that is no JSON; later updates were refused.
    def test_a_number_above_the_largest_is_refused(self) -> None:
        for number in (b"1e400", b"-1e400", b"9" * 400 + b".0"):
            body = body_of(whole(1, extra="NUMBER")).replace(b'"NUMBER"', number)
            with self.subTest(number[:10]), self.assertRaises(documents.InvalidConfiguration):
                orders.read_order(Kind.REPLACE, 0, body)

    def test_unknown_service(self) -> None:
        self.assert_invalid(whole(1, routes=[route("a", service="nobody")]), "'nobody'")

    def test_two_routes_with_the_same_host_and_prefix(self) -> None:
        twins = [route("a", pathPrefix="/x/"), route("b", pathPrefix="/x/", host="JOBS.example")]
        self.assert_invalid(whole(1, routes=twins), "/x/")

    def test_names_twice(self) -> None:
        self.assert_invalid(whole(1, routes=[route("a"), route("a", pathPrefix="/other/")]), "'a'")
        self.assert_invalid(whole(1, services=[service("mill"), service("mill")]), "'mill'")

    def test_values_of_routes(self) -> None:
        bad: list[tuple[str, typing.Any]] = [
            ("timeoutMs", 0),
            ("timeoutMs", -1),
            ("timeoutMs", "3000"),
            ("timeoutMs", 1.5),
            ("timeoutMs", True),
            ("timeoutMs", None),
            ("timeoutMs", 10**30),
            ("name", ""),
            ("name", 7),
            ("host", ""),
            ("host", None),
            ("pathPrefix", "a/"),
            ("pathPrefix", 3),
            ("service", []),
            ("priority", -1),
            ("priority", "0"),
            ("maxAttempts", 0),
            ("extension", 0),
            ("extension", "1"),
            ("extension", 10**400),
            ("targetLatencyMs", -1),
            ("routeType", 4),
        ]
        for key, value in bad:
            with self.subTest(key=key, value=str(value)[:20]):
                self.assert_invalid(whole(1, routes=[route("a", **{key: value})]), key)

    # A queue's name of half a character was taken: no job of that queue could be stored.
    def test_a_text_that_cannot_be_encoded(self) -> None:
        for key in ("name", "host", "pathPrefix", "service"):
            for half in ("/\ud800", "/\udfff"):
                with self.subTest(key):
                    self.assert_invalid(whole(1, routes=[route("a", **{key: half})]), key)

    def test_values_of_services_and_limits(self) -> None:
        for key, value in (("guards", "no"), ("tls", 0), ("maxConnections", -1), ("name", "")):
            with self.subTest(key):
                self.assert_invalid(whole(1, services=[service("mill", **{key: value})]), key)
        for key in ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"):
            for bound in (0, -1, "1", None):
                with self.subTest(key=key, value=bound):
                    self.assert_invalid(whole(1, limits={key: bound}), key)

    def test_missing_and_mistyped_parts(self) -> None:
        for key in ("version", "routes", "services"):
            document = whole(1)
            del document[key]
            self.assert_invalid(document, key)
        for key in ("name", "host", "pathPrefix", "timeoutMs", "service"):
            broken = route("a")
            del broken[key]
            self.assert_invalid(whole(1, routes=[broken]), key)
        self.assert_invalid(whole(1, routes={}), "routes")
        self.assert_invalid(whole(1, routes=[None]), "routes.0")
        self.assert_invalid(whole("2"), "version")  # type: ignore[arg-type]
        self.assert_invalid(whole(0), "version")

    def test_changes(self) -> None:
        cases: list[tuple[Document, str]] = [
            ({"version": 2, "upsert": {"routes": [route("a", timeoutMs=0)]}}, "timeoutMs"),
            ({"version": 2, "remove": {"routes": [1]}}, "remove.routes"),
            ({"version": 2, "upsert": []}, "upsert"),
            ({"upsert": {}}, "version"),
            ({"version": 2, "upsert": {"routes": [route("a"), route("a")]}}, "'a'"),
            ({"version": 2, "upsert": {"routes": [route("a")]}, "remove": {"routes": ["a"]}}, "'a'"),
        ]
        for change, named in cases:
            with self.subTest(named):
                self.assert_invalid(change, named, Kind.UPDATE)

    @settings(max_examples=300, deadline=None)
    @given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.text(max_size=5)
            | strategies.floats(allow_nan=False, allow_infinity=False),
            lambda inner: strategies.lists(inner, max_size=4)
            | strategies.dictionaries(
                strategies.sampled_from(["version", "routes", "services", "limits", "upsert", "remove"]),
                inner,
            ),
            max_leaves=12,
        )
    )
    def test_any_json_is_an_order_or_invalid(self, content: typing.Any) -> None:
        for kind in Kind:
            try:
                order = orders.read_order(kind, 0, json.dumps(content).encode())
            except documents.InvalidConfiguration:
                continue
            orders.judge(order, None)
            orders.judge(order, take(replace(0, whole(1)), None))


class OrdersInTurn(unittest.TestCase):
    """Orders on the register's value."""

    def test_first_configuration_is_read_back_as_sent(self) -> None:
        document = whole(3, note={"kept": [1, 2.0, "ü\ud800"]})
        document["routes"][0]["unknown"] = 4
        self.assertEqual(read_back(take(replace(0, document), None)), document)

    def test_repeated_order_was_taken_even_after_others(self) -> None:
        first = replace(0, whole(3))
        value = take(first, None)
        self.assertIs(orders.judge(first, value).verdict, Verdict.TAKEN)
        for version in range(4, 4 + orders.REMEMBERED_ORDERS - 1):
            value = take(replace(version - 1, whole(version)), value)
        self.assertIs(orders.judge(first, value).verdict, Verdict.TAKEN)
        self.assertEqual(len(decode_stored(value).taken), orders.REMEMBERED_ORDERS)

    def test_an_order_that_was_taken_is_never_refused_however_long_ago(self) -> None:
        history = 2 * orders.REMEMBERED_ORDERS + 50
        value: bytes | None = None
        taken = []
        for version in range(1, history + 1):
            taken.append(replace(version - 1, whole(version)))
            value = take(taken[-1], value)
        verdicts = [orders.judge(order, value).verdict for order in taken]
        forgotten = history - orders.REMEMBERED_ORDERS
        self.assertEqual([Verdict.FORGOTTEN] * forgotten, verdicts[:forgotten])
        self.assertEqual([Verdict.TAKEN] * orders.REMEMBERED_ORDERS, verdicts[forgotten:])

    def test_without_the_lowest_remembered_version_a_taken_order_would_be_refused(self) -> None:
        """The line of defence is needed."""
        first = replace(0, whole(1))
        value = take(first, None)
        for version in range(2, orders.REMEMBERED_ORDERS + 2):
            value = take(replace(version - 1, whole(version)), value)
        self.assertIs(orders.judge(first, value).verdict, Verdict.FORGOTTEN)
        with unittest.mock.patch.object(StoredConfiguration, "remembered_from", 0):
            self.assertIs(orders.judge(first, value).verdict, Verdict.STALE)

    def test_what_surely_was_never_taken_is_refused_after_a_long_history(self) -> None:
        value: bytes | None = None
        for version in range(2, 4 * orders.REMEMBERED_ORDERS + 1, 2):
            value = take(replace(version - 2, whole(version)), value)
        start = decode_stored(value or b"").remembered_from
        within = replace(start + 2, whole(start + 4, note="another"))
        across = replace(start - 2, whole(start + 1))
        ahead = replace(10**6, whole(10**6 + 1))
        for order in (within, across, ahead):
            self.assertIs(orders.judge(order, value).verdict, Verdict.STALE)

    def test_the_record_does_not_grow_with_the_history(self) -> None:
        value: bytes | None = None
        sizes = []
        for version in range(1, 4 * orders.REMEMBERED_ORDERS):
            value = take(replace(version - 1, whole(version)), value)
            sizes.append(len(value))
        self.assertLessEqual(sizes[-1], sizes[orders.REMEMBERED_ORDERS] + 16)

    @settings(max_examples=60, deadline=None)
    @given(strategies.data())
    def test_no_answer_to_a_repeated_order_contradicts_what_became_of_it(
        self, data: strategies.DataObject
    ) -> None:
        """Orders of several operators in any order, each sent again at any later time."""
        value: bytes | None = None
        version = 0
        taken: list[orders.Order] = []
        refused: list[orders.Order] = []
        with unittest.mock.patch.object(orders, "REMEMBERED_ORDERS", 4):
            for number in range(data.draw(strategies.integers(1, 14))):
                base = data.draw(strategies.integers(max(0, version - 6), version))
                order = replace(base, whole(base + data.draw(strategies.integers(1, 3)), note=number % 3))
                judgement = orders.judge(order, value)
                if judgement.successor is not None:
                    value, version = judgement.successor, order.version
                    taken.append(order)
                elif judgement.verdict in (Verdict.STALE, Verdict.INVALID):
                    refused.append(order)
                for earlier in taken:
                    self.assertIn(orders.judge(earlier, value).verdict, (Verdict.TAKEN, Verdict.FORGOTTEN))
                for earlier in refused:
                    self.assertNotIn(orders.judge(earlier, value).verdict, (Verdict.TAKEN, Verdict.POSSIBLE))

    def test_two_operators_with_the_same_order_are_both_acknowledged(self) -> None:
        first, second = (replace(0, whole(3)) for _ in range(2))
        self.assertIs(orders.judge(second, take(first, None)).verdict, Verdict.TAKEN)

    def test_a_record_of_a_release_without_base_versions(self) -> None:
        """Its digests are known again; what it may have forgotten is not refused."""
        full = [hashlib.sha256(bytes([number])).digest() for number in range(3)]
        former = records.encode(StoredConfiguration(2, 9, body_of(whole(9)), tuple(full)))
        self.assertIs(orders.judge(replace(3, whole(5)), former).verdict, Verdict.FORGOTTEN)
        after = take(replace(9, whole(12)), former)
        self.assertIs(orders.judge(replace(3, whole(5)), after).verdict, Verdict.FORGOTTEN)
        self.assertIs(orders.judge(replace(9, whole(11)), after).verdict, Verdict.STALE)
        known = orders.Order(Kind.REPLACE, 3, whole(5), full[1][: orders.DIGEST_BYTES])
        self.assertIs(orders.judge(known, after).verdict, Verdict.TAKEN)

    def test_same_version_with_other_content_is_stale(self) -> None:
        value = take(replace(0, whole(3)), None)
        self.assertIs(orders.judge(replace(0, whole(3, routes=[])), value).verdict, Verdict.STALE)

    def test_same_content_on_another_base_is_another_order(self) -> None:
        value = take(replace(0, whole(3)), None)
        self.assertIs(orders.judge(replace(3, whole(3)), value).verdict, Verdict.INVALID)

    def test_one_of_two_on_the_same_base_wins(self) -> None:
        value = take(replace(0, whole(3)), None)
        left, right = replace(3, whole(5, routes=[])), update(3, {"version": 6, "remove": {"routes": ["a"]}})
        after = take(left, value)
        self.assertIs(orders.judge(right, after).verdict, Verdict.STALE)
        self.assertIs(orders.judge(left, after).verdict, Verdict.TAKEN)

    def test_version_not_above_the_current_one(self) -> None:
        value = take(replace(0, whole(3)), None)
        for version in (1, 2, 3):
            judgement = orders.judge(update(3, {"version": version}), value)
            self.assertIs(judgement.verdict, Verdict.INVALID)
            self.assertIn("version", judgement.reason)

    def test_base_ahead_of_the_current_one(self) -> None:
        self.assertIs(orders.judge(replace(9, whole(10)), None).verdict, Verdict.STALE)

    def test_update_before_the_first_configuration(self) -> None:
        self.assertIs(orders.judge(update(0, {"version": 1}), None).verdict, Verdict.INVALID)

    def test_update_merges_by_name_and_keeps_the_rest(self) -> None:
        value = take(replace(0, whole(3, extra="kept")), None)
        change = {
            "version": 8,
            "upsert": {
                "routes": [route("b", timeoutMs=500, more=1), route("c", service="loom")],
                "services": [service("loom")],
            },
            "remove": {"routes": ["a", "never-there"]},
            "limits": {"maxBodyBytes": 10},
        }
        merged = read_back(take(update(3, change), value))
        self.assertEqual(merged["version"], 8)
        self.assertEqual(merged["extra"], "kept")
        self.assertEqual(merged["routes"], [route("b", timeoutMs=500, more=1), route("c", service="loom")])
        self.assertEqual([item["name"] for item in merged["services"]], ["mill", "loom"])
        self.assertEqual(merged["limits"], {**whole(1)["limits"], "maxBodyBytes": 10})

    def test_update_that_leaves_an_invalid_whole(self) -> None:
        value = take(replace(0, whole(3)), None)
        for change in (
            {"version": 4, "remove": {"services": ["mill"]}},
            {"version": 4, "upsert": {"routes": [route("c", pathPrefix="/a/")]}},
            {"version": 4, "upsert": {"routes": [route("c", service="nobody")]}},
        ):
            self.assertIs(orders.judge(update(3, change), value).verdict, Verdict.INVALID)

    def test_a_change_of_a_large_configuration_fits_narrow_links(self) -> None:
        many = [route(f"route-{number}") for number in range(44)]
        value = take(replace(0, whole(1, routes=many)), None)
        self.assertEqual(read_back(value), whole(1, routes=many))
        self.assertLess(8 * len(value), 2_000_000 / 8 / 20)  # to eight replicas at 2 Mbit/s: below 50 ms

    # A document grew beyond what is read from the register: from then on it was neither read nor changed.
    def test_a_document_too_long_to_be_read_again_is_refused(self) -> None:
        three_times_as_long_escaped = whole(1, note="\u00e9" * 1_900_000)
        body = json.dumps(three_times_as_long_escaped, ensure_ascii=False).encode()
        self.assertLess(len(body), MAX_BODY_BYTES)
        order = orders.read_order(Kind.REPLACE, 0, body)
        self.assertIs(orders.judge(order, None).verdict, Verdict.INVALID)
        half = "x" * (MOST_DOCUMENT_BYTES // 2 - 10_000)
        value = take(replace(0, whole(1, services=[service("mill"), service("a", note=half)])), None)
        second = {"version": 2, "upsert": {"services": [service("b", note=half)]}}
        value = take(update(1, second), value)
        third = {"version": 3, "upsert": {"services": [service("c", note=half)]}}
        self.assertIs(orders.judge(update(2, third), value).verdict, Verdict.INVALID)
        self.assertEqual(read_back(value)["version"], 2)

    # A change of one route held the leader's event loop for as long as a check of all routes takes.
    def test_a_change_of_one_route_takes_less_time_than_a_check_of_all(self) -> None:
        document = whole(1, routes=[route(f"route-{number}") for number in range(3_200)])
        value = take(replace(0, document), None)
        order = update(1, {"version": 2, "upsert": {"routes": [route("route-7", timeoutMs=500)]}})
        check_s = min(process_seconds(lambda: documents.check_whole(document)) for _ in range(3))
        judge_s = min(process_seconds(lambda: orders.judge(order, value)) for _ in range(3))
        self.assertLess(judge_s, check_s)

    def test_record_of_the_former_release_is_read_and_succeeded(self) -> None:
        former = records.encode(StoredConfiguration(1, 1, body_of(whole(1)), ()))
        self.assertEqual(read_back(former), whole(1))
        self.assertEqual(read_back(take(replace(1, whole(2)), former)), whole(2))

    def test_spoiled_packed_document_is_not_read(self) -> None:
        packed = zlib.compress(body_of(whole(1)))
        too_long = zlib.compress(b" " * (MOST_DOCUMENT_BYTES + 1))
        for document in (packed[:-1], packed[:10], b"x" * 40, too_long):
            with self.subTest(document[:4]), self.assertRaises(UnknownFormat):
                decode_stored(records.encode(StoredConfiguration(FORMAT, 1, document, ())))

    def test_record_of_a_later_release_is_not_read(self) -> None:
        for value in (records.encode(StoredConfiguration(FORMAT + 1, 1, b"{}", ())), b"", b"xx"):
            with self.assertRaises(UnknownFormat):
                orders.judge(replace(0, whole(3)), value)

    @settings(max_examples=100, deadline=None)
    @given(
        strategies.lists(strategies.tuples(strategies.integers(0, 4), strategies.integers(1, 6)), max_size=12)
    )
    def test_versions_rise_and_each_base_has_one_successor(self, attempts: list[tuple[int, int]]) -> None:
        value: bytes | None = None
        bases: list[int] = []
        versions = [0]
        for base, version in attempts:
            judgement = orders.judge(replace(base, whole(version)), value)
            if judgement.successor is not None:
                value = judgement.successor
                bases.append(base)
                versions.append(version)
        self.assertEqual(len(set(bases)), len(bases))
        self.assertEqual(versions, sorted(set(versions)))


class Routes(unittest.TestCase):
    """The typed form and its index."""

    def configuration(self, *routes: Document) -> Configuration:
        return from_document(whole(4, routes=list(routes)))

    def test_longest_prefix_wins(self) -> None:
        found = self.configuration(
            route("a", pathPrefix="/x/"), route("b", pathPrefix="/x/y/"), route("c", pathPrefix="/")
        )
        for path, name in (("/x/1", "a"), ("/x/y/1", "b"), ("/x/y", "a"), ("/z", "c"), ("/x", "c")):
            best = found.find_route("jobs.example", path)
            assert best is not None
            self.assertEqual(best.name, name)

    def test_host_is_told_with_port_and_in_any_case(self) -> None:
        found = self.configuration(route("a"))
        for host in ("jobs.example", "JOBS.example:80", " jobs.example"):
            self.assertIsNotNone(found.find_route(host, "/a/1"))
        for host in ("", "other.example"):
            self.assertIsNone(found.find_route(host, "/a/1"))
        self.assertIsNone(found.find_route("jobs.example", "/b/"))

    def test_decoded_from_the_register(self) -> None:
        configuration = decode_configuration(take(replace(0, whole(3)), None))
        self.assertEqual(configuration.version, 3)
        self.assertEqual(configuration.limits.max_body_bytes, 262144)
        self.assertFalse(configuration.services["mill"].guards)
        best = configuration.find_route("jobs.example", "/b/0")
        assert best is not None
        self.assertEqual((best.timeout_ms, best.priority, best.max_attempts), (3000, 1, 2))
        self.assertEqual(best.extension, 1.5)


if __name__ == "__main__":
    unittest.main()
