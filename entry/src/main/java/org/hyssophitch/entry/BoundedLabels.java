package org.hyssophitch.entry;

import java.util.HashSet;
import java.util.Set;

/** Values of a metric's label: the first ones keep their name, all others share one. Thread-safe. */
final class BoundedLabels {

    static final String OTHER = "other";

    private final Set<String> known = new HashSet<>();
    private final int max;

    BoundedLabels(int max) {
        this.max = max;
    }

    /** Returns the label of a value. */
    synchronized String label(String value) {
        if (known.size() < max) {
            known.add(value);
        }
        return known.contains(value) ? value : OTHER;
    }
}
