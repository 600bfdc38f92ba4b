package org.hyssophitch.wire.json;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hyssophitch.core.store.InvalidObjectException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** A text is split as the parser splits it, and where the parser gives up on one value the others remain. */
public class JsonSliceTest {

    private static final int TEXTS_PER_SEED = 300;
    private static final int MUTATIONS = 4;
    private static final int MAX_DEPTH = 4;
    private static final int MAX_SIZE = 5;
    private static final String UNUSUAL = "\"\\{}[],:\u0000 \n\u00e9\u20ac";

    @DataProvider
    Object[][] seeds() {
        return IntStream.rangeClosed(1, 5).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void splitsValidTextAsTheParserDoes(int seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < TEXTS_PER_SEED; i++) {
            ObjectNode node = object(random, MAX_DEPTH);
            byte[] text =
                    (random.nextBoolean() ? node.toPrettyString() : node.toString()).getBytes(StandardCharsets.UTF_8);
            assertSame(JsonSlice.of(text), node);
        }
    }

    /** Whatever another writer leaves, reading it ends with a value or with the typed exception. */
    @Test(dataProvider = "seeds")
    public void damagedTextEndsInTheTypedException(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < TEXTS_PER_SEED; i++) {
            byte[] text = object(random, MAX_DEPTH).toString().getBytes(StandardCharsets.UTF_8);
            for (int m = 0; m < MUTATIONS; m++) {
                text[random.nextInt(text.length)] =
                        (byte) (random.nextBoolean() ? random.nextInt(256) : "\"\\{}[],:".charAt(random.nextInt(8)));
            }
            readAll(JsonSlice.of(text), MAX_DEPTH + 1);
        }
    }

    @DataProvider
    Object[][] unreadableValues() {
        return new Object[][] {
            {"@ nope"},
            {"NaN"},
            {"'a'"},
            {"\"\\u12\""},
            {"[".repeat(100_000) + "]".repeat(100_000)},
            {"9".repeat(100_000)},
            {"1e999999999"},
            {""},
        };
    }

    @Test(dataProvider = "unreadableValues")
    public void valueThatCannotBeReadLeavesItsNeighbours(String value) throws Exception {
        List<JsonSlice> elements =
                JsonSlice.of(bytes("[1," + value + ",\"z\"]")).elements();
        assertEquals(elements.size(), 3);
        assertEquals(elements.get(0).decode(JsonNode::intValue), (Integer) 1);
        assertEquals(elements.get(2).decode(JsonNode::textValue), "z");
        JsonSlice object = JsonSlice.of(bytes("{\"a\":1,\"b\":" + value + ",\"c\":\"z\"}"));
        assertEquals(object.required("c").decode(JsonNode::textValue), "z");
    }

    @DataProvider
    Object[][] unbalanced() {
        return new Object[][] {
            {"[1,2"},
            {"{]}["},
            {"[1,\"2]"},
            {"[1,{]"},
            {"[1]]"},
            {"{\"a\":1}}"},
            {"{\"a\":[}"},
            {"{\"a\"}"},
            {"{a:1}"},
            {"{"},
            {"\\"}
        };
    }

    /** The end of the list can't be told then, so it must not pass for a shorter one. */
    @Test(dataProvider = "unbalanced")
    public void unbalancedTextIsNotSplit(String text) {
        assertThrows(InvalidObjectException.class, () -> JsonSlice.of(bytes("{\"items\":" + text + ",\"n\":1}"))
                .required("items")
                .elements());
    }

    @Test
    public void lastOfSeveralMembersCounts() throws Exception {
        JsonSlice object = JsonSlice.of(bytes("{\"a\":1, \"\\u0061\" : 2 }"));
        assertEquals(object.required("a").decode(JsonNode::intValue), (Integer) 2);
    }

    private static void assertSame(JsonSlice slice, JsonNode node) throws InvalidObjectException {
        if (node instanceof ObjectNode o) {
            for (String name : (Iterable<String>) o::fieldNames) {
                assertSame(slice.required(name), o.get(name));
            }
            assertTrue(slice.member("no such member").isEmpty());
        } else if (node instanceof ArrayNode a) {
            List<JsonSlice> elements = slice.elements();
            assertEquals(elements.size(), a.size());
            for (int i = 0; i < a.size(); i++) {
                assertSame(elements.get(i), a.get(i));
            }
        } else {
            assertEquals(slice.decode(n -> n), node);
        }
    }

    private static void readAll(JsonSlice slice, int depth) {
        try {
            slice.decode(JsonNode::size);
        } catch (InvalidObjectException e) {
            assertTrue(e.getMessage().length() < 200, e.getMessage());
        }
        if (depth == 0) {
            return;
        }
        try {
            slice.elements().forEach(e -> readAll(e, depth - 1));
        } catch (InvalidObjectException e) {
            assertTrue(e.getMessage().length() < 200, e.getMessage());
        }
        for (int i = 0; i < MAX_SIZE; i++) {
            try {
                slice.member("m" + i).ifPresent(v -> readAll(v, depth - 1));
            } catch (InvalidObjectException e) {
                assertTrue(e.getMessage().length() < 200, e.getMessage());
            }
        }
    }

    private static ObjectNode object(SplittableRandom random, int depth) {
        ObjectNode object = Json.MAPPER.createObjectNode();
        int size = random.nextInt(MAX_SIZE + 1);
        for (int i = 0; i < size; i++) {
            object.set("m" + i, value(random, depth - 1));
        }
        object.set(text(random), value(random, 0));
        return object;
    }

    private static JsonNode value(SplittableRandom random, int depth) {
        return switch (random.nextInt(depth > 0 ? 6 : 4)) {
            case 0 -> Json.MAPPER.getNodeFactory().textNode(text(random));
            case 1 -> Json.MAPPER.getNodeFactory().numberNode(random.nextInt());
            case 2 -> Json.MAPPER.getNodeFactory().booleanNode(random.nextBoolean());
            case 3 -> Json.MAPPER.nullNode();
            case 4 -> object(random, depth);
            default -> {
                ArrayNode array = Json.MAPPER.createArrayNode();
                IntStream.range(0, random.nextInt(MAX_SIZE)).forEach(i -> array.add(value(random, depth - 1)));
                yield array;
            }
        };
    }

    private static String text(SplittableRandom random) {
        return random.ints(random.nextInt(8), 0, UNUSUAL.length())
                .mapToObj(i -> UNUSUAL.substring(i, i + 1))
                .reduce("", String::concat);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
