package org.hyssophitch.bench;

import java.util.List;

/**
 * Measurements from which the capacity page is extrapolated. Immutable.
 *
 * @param control control-plane cost by number of entry hosts
 * @param state state and message sizes by number of backend servers
 * @param engine time that the call engine takes per call
 */
public record Slopes(List<ControlRow> control, List<StateBench.StateRow> state, EngineBench.EngineRow engine) {

    /** Runs all measurements; takes about a minute. */
    public static Slopes measure() {
        return new Slopes(
                ControlBench.FLEET_SIZES.stream()
                        .map(n -> ControlBench.run(n, 1))
                        .toList(),
                StateBench.SERVER_COUNTS.stream().map(StateBench::run).toList(),
                EngineBench.run());
    }
}
