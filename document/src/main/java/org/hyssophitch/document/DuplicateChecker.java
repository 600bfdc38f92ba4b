package org.hyssophitch.document;

import java.util.HashMap;
import java.util.Map;

import org.hyssophitch.wire.yaml.Fault;
import org.hyssophitch.wire.yaml.YamlMapping;

/** Where each name of a document is used first. Not thread-safe; used within one reading. */
final class DuplicateChecker {

    private final Map<String, String> paths = new HashMap<>();

    /** Reports a value that was used before for the same kind of thing. */
    void check(YamlMapping m, String key, String kind, String value) {
        String first = paths.putIfAbsent(kind + ' ' + value, m.path(key));
        if (first != null && !value.isEmpty()) {
            m.report(Fault.Kind.DUPLICATE, key, value, "a " + kind + " that is not used at " + first);
        }
    }
}
