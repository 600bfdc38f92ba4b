package org.hyssophitch.entry.soak;

import java.util.Optional;

/**
 * A broken rule.
 *
 * @param story the request concerned; empty if the rule isn't about a single request
 */
record Violation(Rule rule, String host, String detail, Optional<Story> story) {}
