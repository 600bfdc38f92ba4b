package org.hyssophitch.wire.yaml;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * Typed access to one mapping of a YAML file. An accessor records a fault for an invalid value and returns a default
 * instead, so that reading a file once finds every fault. Not thread-safe; used while reading one file.
 */
public final class YamlMapping {

    private static final Set<Tag> STRING_TAGS = Set.of(Tag.STR);
    private static final Set<Tag> NUMBER_TAGS = Set.of(Tag.INT, Tag.FLOAT);
    private static final Set<Tag> BOOLEAN_TAGS = Set.of(Tag.BOOL);

    private final MappingNode node;
    private final String path;
    private final List<Fault> faults;
    private final Map<String, Node> values = new LinkedHashMap<>();
    private final Set<String> known = new TreeSet<>();

    YamlMapping(MappingNode node, String path, List<Fault> faults) {
        this.node = node;
        this.path = path;
        this.faults = faults;
        node.getValue().forEach(this::addValue);
    }

    /** Returns the line number of this mapping, starting at 1. */
    public int line() {
        return line(node);
    }

    /** Returns the line number of a value, or of this mapping when the value is missing. */
    public int line(String key) {
        return values.containsKey(key) ? line(values.get(key)) : line();
    }

    /** Returns the path of a value from the root. */
    public String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Records a fault of a value. */
    public void report(Fault.Kind kind, String key, String found, String allowed) {
        faults.add(new Fault(kind, path(key), line(key), found, allowed));
    }

    /** Returns whether a key is present, even with an empty value. */
    public boolean has(String key) {
        return values.containsKey(key);
    }

    /** Returns a required string. */
    public String text(String key) {
        if (!values.containsKey(key)) {
            return missing(key, "a string", "");
        }
        return scalar(key, "a string", STRING_TAGS).orElse("");
    }

    /** Returns an optional string. */
    public String text(String key, String defaultValue) {
        return scalar(key, "a string", STRING_TAGS).orElse(defaultValue);
    }

    /** Returns a required string that matches a regular expression. */
    public String text(String key, String pattern, String allowed) {
        String value = text(key);
        if (!value.isEmpty() && !value.matches(pattern)) {
            report(Fault.Kind.NOT_ALLOWED, key, value, allowed);
        }
        return value;
    }

    /** Returns an optional string that matches a regular expression. */
    public String text(String key, String pattern, String allowed, String defaultValue) {
        return values.containsKey(key) ? text(key, pattern, allowed) : text(key, defaultValue);
    }

    /** Returns a required name, such as that of a host or an availability zone. */
    public String name(String key) {
        return text(key, "[a-z0-9][a-z0-9-]{0,62}", "a name of lower-case letters, digits and hyphens");
    }

    /** Returns a required address of the form {@code ip:port}. */
    public String address(String key) {
        return text(key, "[0-9a-fA-F.:]+:\\d{1,5}", "an address of the form ip:port");
    }

    /** Returns an optional integer within inclusive bounds. */
    public int integer(String key, int min, int max, int defaultValue) {
        Optional<Double> value = number(key, min, max);
        value.filter(v -> v != Math.rint(v))
                .ifPresent(v -> report(Fault.Kind.WRONG_TYPE, key, v.toString(), "an integer"));
        return value.map(Double::intValue).orElse(defaultValue);
    }

    /** Returns an optional number within inclusive bounds. */
    public double decimal(String key, double min, double max, double defaultValue) {
        return number(key, min, max).orElse(defaultValue);
    }

    /** Returns an optional boolean. */
    public boolean flag(String key, boolean defaultValue) {
        return scalar(key, "true or false", BOOLEAN_TAGS)
                .map(Boolean::parseBoolean)
                .orElse(defaultValue);
    }

    /** Returns an optional enum constant, which files name in kebab case. */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
        Optional<String> value = scalar(key, "a name", STRING_TAGS);
        List<String> names =
                Arrays.stream(type.getEnumConstants()).map(YamlMapping::nameOf).toList();
        if (value.isPresent() && !names.contains(value.get())) {
            report(Fault.Kind.NOT_ALLOWED, key, value.get(), "one of " + String.join(", ", names));
            return defaultValue;
        }
        return value.map(v -> type.getEnumConstants()[names.indexOf(v)]).orElse(defaultValue);
    }

    /** Returns an optional nested mapping. */
    public <T> Optional<T> mapping(String key, Function<YamlMapping, T> mapper) {
        Node value = value(key);
        if (value == null) {
            return Optional.empty();
        }
        return Optional.ofNullable(map(value, path(key), mapper));
    }

    /** Returns the elements of an optional list of mappings. */
    public <T> List<T> list(String key, Function<YamlMapping, T> mapper) {
        List<T> elements = new ArrayList<>();
        List<Node> nodes = sequence(key, "a list of mappings");
        for (int i = 0; i < nodes.size(); i++) {
            T element = map(nodes.get(i), path(key) + "[" + i + "]", mapper);
            if (element != null) {
                elements.add(element);
            }
        }
        return elements;
    }

    /** Returns the elements of an optional list of strings; elements that aren't scalars are ignored. */
    public List<String> texts(String key) {
        return sequence(key, "a list of strings").stream()
                .filter(ScalarNode.class::isInstance)
                .map(n -> ((ScalarNode) n).getValue())
                .toList();
    }

    /** Returns the name of an enum constant in kebab case, as used in files. */
    public static String nameOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    void reportUnknownKeys() {
        values.forEach((key, value) -> {
            if (!known.contains(key)) {
                report(Fault.Kind.UNKNOWN_KEY, key, key, "one of " + String.join(", ", known));
            }
        });
    }

    private void addValue(NodeTuple tuple) {
        String key = tuple.getKeyNode() instanceof ScalarNode s ? s.getValue() : "?";
        if (values.put(key, tuple.getValueNode()) != null) {
            faults.add(new Fault(Fault.Kind.DUPLICATE, path(key), line(tuple.getKeyNode()), key, "each key once"));
        }
    }

    private Node value(String key) {
        known.add(key);
        return values.get(key);
    }

    /** Returns a scalar with one of the given tags; any other value is recorded as a fault and treated as missing. */
    private Optional<String> scalar(String key, String allowed, Set<Tag> tags) {
        Node value = value(key);
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof ScalarNode s && tags.contains(s.getTag())) {
            return Optional.of(s.getValue());
        }
        String found = value instanceof ScalarNode s ? s.getValue() : "a " + value.getNodeId();
        report(Fault.Kind.WRONG_TYPE, key, found, allowed);
        return Optional.empty();
    }

    private Optional<Double> number(String key, double min, double max) {
        Optional<String> text = scalar(key, range(min, max), NUMBER_TAGS);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            double value = Double.parseDouble(text.get());
            if (value >= min && value <= max) {
                return Optional.of(value);
            }
            report(Fault.Kind.OUT_OF_RANGE, key, text.get(), range(min, max));
        } catch (NumberFormatException e) {
            report(Fault.Kind.WRONG_TYPE, key, text.get(), range(min, max));
        }
        return Optional.empty();
    }

    private List<Node> sequence(String key, String allowed) {
        Node value = value(key);
        if (value == null) {
            return List.of();
        }
        if (value instanceof SequenceNode s) {
            return s.getValue();
        }
        report(Fault.Kind.WRONG_TYPE, key, "a " + value.getNodeId(), allowed);
        return List.of();
    }

    private <T> T map(Node value, String valuePath, Function<YamlMapping, T> mapper) {
        if (value instanceof MappingNode m) {
            YamlMapping mapping = new YamlMapping(m, valuePath, faults);
            T mapped = mapper.apply(mapping);
            mapping.reportUnknownKeys();
            return mapped;
        }
        faults.add(new Fault(Fault.Kind.WRONG_TYPE, valuePath, line(value), "a " + value.getNodeId(), "a mapping"));
        return null;
    }

    private <T> T missing(String key, String allowed, T defaultValue) {
        report(Fault.Kind.MISSING_KEY, key, "nothing", allowed);
        return defaultValue;
    }

    private static String range(double min, double max) {
        return String.format(Locale.ROOT, "a number from %s to %s", trim(min), trim(max));
    }

    private static String trim(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    private static int line(Node node) {
        return node.getStartMark().getLine() + 1;
    }
}
