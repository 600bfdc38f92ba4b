package org.hyssophitch.bench.day;

import java.util.List;

import org.hyssophitch.wire.yaml.Fault;
import org.hyssophitch.wire.yaml.YamlReader;
import org.hyssophitch.wire.yaml.YamlResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests reading valid and invalid YAML files of days. */
public class DayReaderTest {

    private static final String DAY =
            """
            name: small
            seconds: 5
            zones:
              - {name: north, hosts: 2}
              - {name: south, hosts: 1, callers: 2, clump: 3}
            services:
              - name: lookup
                servers: [{zone: north, count: 2}]
                slots: 4
                silent-when-full: true
            kinds:
              - name: find
                service: lookup
                idempotent: true
                per-second: 10
                target-ms: 200
                timeout-ms: 500
                deadline-ms: 900
                work: {mean-ms: 50, spread: 0.3}
            events:
              - {kind: slow-servers, at-ms: 100, for-ms: 200, part: 0.5, strength: 3, service: lookup}
            """;

    @Test
    public void readsAValidDay() {
        DayPlan plan = valid(DAY);

        assertEquals(plan.name(), "small");
        assertEquals(plan.zones().get(1), new DayPlan.Zone("south", 1, 2, 3));
        assertEquals(plan.services().getFirst().behaviour().slots(), 4);
        assertTrue(plan.services().getFirst().behaviour().isSilentWhenFull());
        assertEquals(plan.kinds().getFirst().route().targetLatencyMillis(), 200);
        assertEquals(plan.kinds().getFirst().deadlineMillis(), 900);
        assertEquals(plan.events(), List.of(new DayEvent(DayEvent.Kind.SLOW_SERVERS, 100, 200, 0.5, 3, "lookup")));
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"slots: 4", "slots: 0", Fault.Kind.OUT_OF_RANGE, "services[0].slots"},
            {"slots: 4", "slot: 4", Fault.Kind.UNKNOWN_KEY, "services[0].slot"},
            {"service: lookup\n    idem", "service: other\n    idem", Fault.Kind.CONTRADICTION, "kinds[0].service"},
            {"zone: north, count", "zone: west, count", Fault.Kind.CONTRADICTION, "services[0].servers[0].zone"},
            {"timeout-ms: 500", "timeout-ms: 100", Fault.Kind.OUT_OF_RANGE, "kinds[0].timeout-ms"},
            {"deadline-ms: 900", "deadline-ms: soon", Fault.Kind.WRONG_TYPE, "kinds[0].deadline-ms"},
            {"work: {mean-ms: 50, spread: 0.3}", "repeats: 1", Fault.Kind.MISSING_KEY, "kinds[0].work"},
            {"name: south", "name: north", Fault.Kind.DUPLICATE, "zones[1].name"},
            {"kind: slow-servers", "kind: fast-servers", Fault.Kind.NOT_ALLOWED, "events[0].kind"},
            {"strength: 3", "strength: 0", Fault.Kind.OUT_OF_RANGE, "events[0].strength"},
            {"kind: slow-servers, ", "", Fault.Kind.MISSING_KEY, "events[0].kind"},
            {"name: small", "title: small", Fault.Kind.MISSING_KEY, "name"},
        };
    }

    /** Every error is reported with its kind and its path. */
    @Test(dataProvider = "faults")
    public void reportsKindAndPathOfAnError(String original, String replacement, Fault.Kind kind, String path) {
        String text = DAY.replace(original, replacement);
        assertTrue(!text.equals(DAY), "the text to replace was not found");

        List<Fault> faults =
                switch (YamlReader.read(text, m -> new DayReader().read(m))) {
                    case YamlResult.Valid<DayPlan> v -> List.of();
                    case YamlResult.Invalid<DayPlan> i -> i.faults();
                };

        assertTrue(
                faults.stream().anyMatch(f -> f.kind() == kind && f.path().equals(path)), "reported faults: " + faults);
    }

    static DayPlan valid(String text) {
        return switch (YamlReader.read(text, m -> new DayReader().read(m))) {
            case YamlResult.Valid<DayPlan> v -> v.value();
            case YamlResult.Invalid<DayPlan> i -> throw new AssertionError(i.faults());
        };
    }
}
