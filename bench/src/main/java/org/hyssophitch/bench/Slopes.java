package org.hyssophitch.bench;

import java.util.List;

/**
 * Measured inputs of the capacity page. Immutable.
 *
 * @param control cost of control over the size of the fleet
 * @param state growth of state and messages with the number of backend servers
 * @param engine processor time of the call engine per call
 */
public record Slopes(List<ControlRow> control, List<StateBench.StateRow> state, EngineBench.EngineRow engine) {

    /** Measures everything; takes about a minute. */
    public static Slopes measure() {
        return new Slopes(
                ControlBench.FLEET_SIZES.stream()
                        .map(n -> ControlBench.run(n, 1))
                        .toList(),
                StateBench.SERVER_COUNTS.stream().map(StateBench::run).toList(),
                EngineBench.run());
    }
}
