import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Case {

    /** Returns whether the rule was broken. */
    interface Body {
        boolean isBroken(boolean isTrouble, Recorder record) throws Exception;
    }

    private Case() {}

    static void run(String[] arguments, Body body) {
        int code = 2;
        try {
            Path record = Files.createTempFile("review-2-", ".txt");
            record.toFile().deleteOnExit();
            try (Recorder r = new Recorder(record)) {
                boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
                r.log("the run is %s the disruption", isTrouble ? "with" : "without");
                code = body.isBroken(isTrouble, r) ? 1 : 0;
                r.log(code == 1 ? "the rule was broken" : "the rule held");
            } finally {
                Files.copy(record, Path.of(arguments[0], "record.txt"), StandardCopyOption.REPLACE_EXISTING);
            }
        } catch (Throwable e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
