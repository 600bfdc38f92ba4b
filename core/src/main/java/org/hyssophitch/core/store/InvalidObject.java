package org.hyssophitch.core.store;

/**
 * An object of the store that can't be used, without any of its content, which may hold keys. Immutable.
 *
 * @param kind name of its kind
 * @param name its name, shortened; empty when it is unreadable
 * @param revision revision of its last change; 0 when it is unreadable
 * @param problem what is wrong with it
 */
public record InvalidObject(String kind, String name, long revision, String problem) {

    private static final int MAX_NAME_LENGTH = 80;

    /** Shortens a long name. */
    public InvalidObject {
        name = name.length() > MAX_NAME_LENGTH ? name.substring(0, MAX_NAME_LENGTH) + "..." : name;
    }
}
