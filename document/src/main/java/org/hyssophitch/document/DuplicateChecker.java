package org.hyssophitch.document;

import java.util.HashMap;
import java.util.Map;

import org.hyssophitch.wire.yaml.Fault;
import org.hyssophitch.wire.yaml.YamlMapping;

/** Detects values that must be unique but occur twice in a document. Not thread-safe; one instance per document. */
final class DuplicateChecker {

    private final Map<String, String> paths = new HashMap<>();

    /** Reports a value if it was already used for the same kind of item; empty values are ignored. */
    void check(YamlMapping m, String key, String kind, String value) {
        String first = paths.putIfAbsent(kind + ' ' + value, m.path(key));
        if (first != null && !value.isEmpty()) {
            m.report(Fault.Kind.DUPLICATE, key, value, "a " + kind + " that is not already used at " + first);
        }
    }
}
