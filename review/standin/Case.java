import java.nio.file.Path;
import java.util.Map;

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Case {

    /** One case. */
    interface Body {

        /** Returns whether the rule was broken. */
        boolean run(Record record, Fleet fleet, boolean isTrouble) throws Exception;
    }

    private static final int COULD_NOT_RUN = 2;

    private Case() {}

    static void main(String[] arguments, Map<String, Object> bounds, Body body) {
        int code = COULD_NOT_RUN;
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Fleet fleet = new Fleet(record, bounds)) {
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
            record.line(isTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            code = body.run(record, fleet, isTrouble) ? 1 : 0;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** Prints the result and puts it into the record. */
    static boolean result(Record record, String text, String rule, boolean isBroken) {
        String line = text + ": " + rule + " " + (isBroken ? "broken" : "held");
        record.line(line);
        System.out.println(line);
        return isBroken;
    }
}
