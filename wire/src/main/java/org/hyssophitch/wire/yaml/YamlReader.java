package org.hyssophitch.wire.yaml;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;

/** Reads YAML into typed values and collects every fault. Stateless. */
public final class YamlReader {

    private YamlReader() {}

    /**
     * Reads a YAML document whose root is a mapping.
     *
     * @param text YAML document
     * @param mapper maps the root to a value; may return null after recording faults
     * @param <T> type of the value
     */
    public static <T> YamlResult<T> read(String text, Function<YamlMapping, T> mapper) {
        List<Fault> faults = new ArrayList<>();
        T value = null;
        try {
            value = mapRoot(text, mapper, faults);
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
            faults.add(new Fault(Fault.Kind.MALFORMED, "", line, e.getProblem(), "well-formed YAML"));
        } catch (YAMLException e) {
            faults.add(new Fault(Fault.Kind.MALFORMED, "", 1, e.getMessage(), "well-formed YAML"));
        }
        if (faults.isEmpty()) {
            return new YamlResult.Valid<>(value);
        }
        return new YamlResult.Invalid<>(
                faults.stream().sorted(Comparator.comparingInt(Fault::line)).toList());
    }

    private static <T> T mapRoot(String text, Function<YamlMapping, T> mapper, List<Fault> faults) {
        Node root = new Yaml(new SafeConstructor(new LoaderOptions())).compose(new StringReader(text));
        if (root instanceof MappingNode m) {
            YamlMapping mapping = new YamlMapping(m, "", faults);
            T value = mapper.apply(mapping);
            mapping.reportUnknownKeys();
            return value;
        }
        String found = root == null ? "nothing" : root.getNodeId().name();
        faults.add(new Fault(Fault.Kind.WRONG_TYPE, "", 1, found, "a mapping"));
        return null;
    }
}
