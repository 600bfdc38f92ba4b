import java.util.ArrayList;
import java.util.List;

/**
 * The configuration has grown by many routes, and comes in storms. After each storm every host is asked for the route
 * that its last version added. The rule: a request that is sent later than {@code config_apply_ms} after the store has
 * acknowledged a version isn't handled as only an older one allows.
 */
final class CaseStorm {

    /** Grown three times by the largest number that the site file names. */
    private static final int GROWN_ROUTES = 3 * 1_400;
    private static final int FEW_ROUTES = 8;
    private static final long STORM_MILLIS = 4_000;
    private static final long GAP_MILLIS = 1_000;
    private static final long APPLY_MILLIS = 2_500;
    private static final long MARGIN_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final long END_MILLIS = 62_000;
    private static final int NOT_FOUND = 404;

    private CaseStorm() {}

    public static void main(String[] arguments) {
        Case.main(arguments, Deployment.bounds(2500, 2500, 5000), CaseStorm::run);
    }

    private static boolean run(Record record, Fleet fleet, boolean isTrouble) throws Exception {
        Store store = new Store(fleet.address(1));
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            backends.add(new Backend(fleet.address(10 + i), "i-archive" + i, "sitearchive", "zone-a", 3, 20, record));
        }
        Backend.registerAll(store, backends);
        int idleRoutes = isTrouble ? GROWN_ROUTES : FEW_ROUTES;
        long version = 7;
        write(store, idleRoutes, version);
        fleet.start(store, "zone-a", "zone-b", "zone-c");
        Thread.sleep(1_000);
        int versions = 0;
        int storms = 0;
        int stale = 0;
        int sent = 0;
        while (record.millis() < END_MILLIS) {
            long stormEnd = record.millis() + STORM_MILLIS;
            while (record.millis() < stormEnd) {
                version += 3;
                versions++;
                write(store, idleRoutes, version);
                Thread.sleep(GAP_MILLIS);
            }
            storms++;
            record.line("storm " + storms + " is over; the store has acknowledged r" + version);
            Thread.sleep(APPLY_MILLIS + MARGIN_MILLIS);
            for (Fleet.Host h : fleet.hosts()) {
                try (Caller c = new Caller("client at " + h.name(), Deployment.HOST_NAME, h.front(), record)) {
                    Caller.Result r =
                            c.call("GET", path(version) + "a", Caller.newId(), new byte[0], DEADLINE_MILLIS);
                    sent++;
                    stale += r instanceof Caller.Result.Answered a && a.status() == NOT_FOUND ? 1 : 0;
                }
            }
        }
        return Case.result(
                record,
                "storms " + storms + ", versions " + versions + " of " + idleRoutes + " routes, requests " + sent
                        + ", refused with 404 though the route is there " + stale,
                "CONFIG",
                stale > 0);
    }

    private static String path(long version) {
        return "/version" + version + "/";
    }

    /** Writes a version with many routes that nobody uses, and one that only this version has. */
    private static void write(Store store, int idleRoutes, long version) {
        Deployment d = new Deployment()
                .service("sitearchive", 220)
                .route("licence-record", "safe", path(version), "sitearchive", 1200, 4000, 2);
        for (int i = 0; i < idleRoutes; i++) {
            d.route("r-idle" + i, "safe", "/idle" + i + "/part" + i + "/", "sitearchive", 1200, 4000, 2);
        }
        d.write(store, version);
    }
}
