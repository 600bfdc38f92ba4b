package org.hyssophitch.core.configuration;

import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Longest-prefix match among the routes of a host. */
public class RouteTableTest {

    private final RouteTable table = new RouteTable(List.of(
            route("root", "a.example", "/"),
            route("shop", "a.example", "/shop/"),
            route("cart", "a.example", "/shop/cart/"),
            route("other", "b.example", "/shop/")));

    @DataProvider
    Object[][] requests() {
        return new Object[][] {
            {"a.example", "/", "root"},
            {"a.example", "/shop", "root"},
            {"a.example", "/shop/", "shop"},
            {"a.example", "/shop/x/y", "shop"},
            {"a.example", "/shop/cart/1", "cart"},
            {"a.example", "/shop/carts/1", "shop"},
            {"A.Example", "/shop/1", "shop"},
            {"b.example", "/shop/1", "other"},
            {"b.example", "/", ""},
            {"c.example", "/shop/", ""},
        };
    }

    @Test(dataProvider = "requests")
    public void matchesLongestPrefix(String host, String path, String expected) {
        assertEquals(table.find(host, path).map(Route::name).orElse(""), expected);
    }

    @Test
    public void findsRouteAmongMany() {
        RouteTable large = new RouteTable(IntStream.range(0, 5_000)
                .mapToObj(i -> route("r" + i, "a.example", "/p" + i + "/"))
                .toList());
        assertEquals(large.find("a.example", "/p4321/x").orElseThrow().name(), "r4321");
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(name, host, prefix, true, 1_000, 300, 2, 1, List.of(new Route.Destination("s", 1)));
    }
}
