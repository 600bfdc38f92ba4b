package org.hyssophitch.entry.soak;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/** What a soak is started with by hand. */
sealed interface SoakArguments {

    String FAULTS = "faults";
    long DEFAULT_SECONDS = 60;
    long DEFAULT_FAULT_SECONDS = 10;

    /** A run for each seed. */
    record SeedRuns(long first, long last, long seconds) implements SoakArguments {}

    /** A run for each fault of servers, without stops. */
    record FaultRuns(long seconds) implements SoakArguments {}

    /** Arguments with which nothing can be played. */
    record Invalid(String problem) implements SoakArguments {}

    /** Reads the first seed, the last seed and the seconds of each run; or "faults" and the seconds. */
    static SoakArguments parse(String... arguments) {
        List<String> words = List.of(arguments);
        boolean isFaults = !words.isEmpty() && words.get(0).equals(FAULTS);
        List<String> numbers = isFaults ? words.subList(1, words.size()) : words;
        Optional<String> odd = numbers.stream().filter(w -> number(w).isEmpty()).findFirst();
        if (odd.isPresent()) {
            return new Invalid("not a whole number: " + odd.get());
        }
        List<Long> values = numbers.stream().map(w -> number(w).orElseThrow()).toList();
        return isFaults ? faultRuns(values) : seedRuns(values);
    }

    private static SoakArguments faultRuns(List<Long> values) {
        if (values.size() > 1) {
            return new Invalid("too many arguments");
        }
        long seconds = values.isEmpty() ? DEFAULT_FAULT_SECONDS : values.get(0);
        return seconds > 0 ? new FaultRuns(seconds) : new Invalid("a run takes a second or more, not " + seconds);
    }

    private static SoakArguments seedRuns(List<Long> values) {
        if (values.isEmpty() || values.size() > 3) {
            return new Invalid("one to three numbers are needed");
        }
        long first = values.get(0);
        long last = values.size() > 1 ? values.get(1) : first;
        long seconds = values.size() > 2 ? values.get(2) : DEFAULT_SECONDS;
        return Stream.of(
                        Optional.of("the last seed, " + last + ", is below the first, " + first)
                                .filter(p -> last < first),
                        Optional.of("a run takes a second or more, not " + seconds)
                                .filter(p -> seconds <= 0))
                .flatMap(Optional::stream)
                .findFirst()
                .<SoakArguments>map(Invalid::new)
                .orElseGet(() -> new SeedRuns(first, last, seconds));
    }

    private static OptionalLong number(String word) {
        try {
            return OptionalLong.of(Long.parseLong(word));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
