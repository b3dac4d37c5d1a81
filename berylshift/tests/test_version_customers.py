"""Customers and their API keys."""

import unittest

import msgspec

from berylshift.ids import CustomerName
from berylshift.platform.configuration import parse_configuration
from berylshift.store.interfaces import MalformedEntryError
from berylshift.tests.test_platform_adapter import CONFIGURATION
from berylshift.version.customers import ApiKey, Customer, CustomerKeys

LARGE = Customer(CustomerName("large"), 1)
SMALL = Customer(CustomerName("small"))


def key(text: str) -> ApiKey:
    """Return an API key."""
    return ApiKey(text.encode())


class CustomerKeysTest(unittest.TestCase):
    """Which customer a key belongs to."""

    def setUp(self):
        self.keys = CustomerKeys()
        self.keys.add(LARGE, [key("a"), key("b")])

    def test_each_key_maps_to_its_customer(self):
        self.keys.add(SMALL, [key("c")])
        found = [self.keys.customer_for(key(text)) for text in "abcd"]
        self.assertEqual(found, [LARGE, LARGE, SMALL, None])

    def test_key_claimed_by_two_customers_belongs_to_neither(self):
        """Guards against charging one customer's requests to another customer."""
        with self.assertLogs("berylshift.version.customers", "ERROR"):
            self.keys.add(SMALL, [key("b")])
            self.keys.add(SMALL, [key("b")])
        self.assertIsNone(self.keys.customer_for(key("b")))

    def test_customer_listed_twice_has_the_keys_of_both_entries(self):
        self.keys.add(LARGE, [key("a"), key("z")])
        self.assertEqual(self.keys.customer_for(key("a")), LARGE)
        self.assertEqual(self.keys.customer_for(key("z")), LARGE)

    def test_empty_key_is_ignored(self):
        """Guards against accepting a caller without a key as a customer."""
        with self.assertLogs("berylshift.version.customers", "ERROR"):
            self.keys.add(SMALL, [key("")])
        self.assertIsNone(self.keys.customer_for(key("")))

    def test_log_records_do_not_contain_keys(self):
        """Guards against secrets in logs: only customers are named."""
        with self.assertLogs("berylshift.version.customers", "ERROR") as logs:
            self.keys.add(SMALL, [key("b"), key("")])
        logged = "".join(str(record.__dict__) for record in logs.records)
        self.assertNotIn("b'b'", logged + repr(key("b")))


class ConfigurationTest(unittest.TestCase):
    """Customers in the operators' configuration."""

    def with_customers(self, text: bytes):
        return parse_configuration(CONFIGURATION[:-1] + b',"tenants":' + text + b"}")

    def test_customers_and_public_routes(self):
        data = CONFIGURATION.replace(b'"prefix":"/y/"', b'"prefix":"/y/","public":true')
        data = data[:-1] + b',"tenants":[{"name":"c","api_keys":["k"],"priority":0}]}'
        table = parse_configuration(data)
        self.assertEqual(
            table.customers.customer_for(key("k")), Customer(CustomerName("c"), 0)
        )
        self.assertTrue(table.match("a.example", "/y/").public)
        self.assertFalse(table.match("a.example", "/x/").public)

    def test_empty_and_absent_customer_lists_differ(self):
        """Guards against open access if the list of customers is empty."""
        self.assertIsNone(parse_configuration(CONFIGURATION).customers)
        self.assertIsNone(self.with_customers(b"null").customers)
        self.assertEqual(len(self.with_customers(b"[]").customers), 0)

    def test_malformed_customer_rejects_the_configuration(self):
        for text in (b'[{"api_keys":["k"]}]', b'[{"name":""}]', b'{"name":"c"}'):
            with self.subTest(text=text), self.assertRaises(MalformedEntryError):
                self.with_customers(text)

    def test_look_up_cost_does_not_depend_on_the_number_of_keys(self):
        """Guards against a linear search, since each request looks up its key."""
        keys = CustomerKeys()
        for number in range(10_000):
            name = CustomerName(f"c{number}")
            keys.add(Customer(name), [key(f"key-{number}")])
        self.assertEqual(len(keys), 10_000)
        self.assertEqual(keys.customer_for(key("key-9999")).name, "c9999")
        self.assertEqual(len(msgspec.structs.fields(ApiKey)), 1)


if __name__ == "__main__":
    unittest.main()
