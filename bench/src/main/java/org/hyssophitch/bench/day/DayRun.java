package org.hyssophitch.bench.day;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;

import org.hyssophitch.bench.model.ModelServer;
import org.hyssophitch.core.UnknownCaseException;
import org.hyssophitch.core.call.FleetLimits;
import org.hyssophitch.core.configuration.RoutingKind;
import org.hyssophitch.standin.HistoryChecker;

/** Plays a day with one policy. Used once; not thread-safe. */
public final class DayRun {

    /** Policies that a day is played with: the one of the platform, and what it is measured against. */
    public static final List<RoutingKind> POLICIES = List.of(
            RoutingKind.UNIFORM,
            RoutingKind.LEAST_IN_FLIGHT,
            RoutingKind.POWER_OF_TWO,
            RoutingKind.ESTIMATED_DELAY,
            RoutingKind.ASKED_LOAD);

    private static final long MICROS_PER_MILLI = 1_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final DayPlan plan;
    private final RoutingKind policy;
    private final DayFleet fleet;
    private final DayCallers callers;
    private final SplittableRandom eventRandom;

    private DayRun(DayPlan plan, RoutingKind policy, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        this.plan = plan;
        this.policy = policy;
        this.fleet = new DayFleet(plan, policy, random.split());
        this.callers = new DayCallers(plan, fleet, random.split());
        this.eventRandom = random.split();
    }

    /**
     * Plays a day; the same seed gives the same figures to the digit.
     *
     * @param plan the day
     * @param policy how the entry hosts choose servers
     * @param seed seed of all randomness
     */
    public static DayResult play(DayPlan plan, RoutingKind policy, long seed) {
        return play(plan, policy, seed, plan.limits());
    }

    /**
     * Plays a day and judges its repeats by other limits than the hosts keep.
     *
     * @param judged limits that count
     */
    static DayResult play(DayPlan plan, RoutingKind policy, long seed, FleetLimits judged) {
        return new DayRun(plan, policy, seed).play(judged);
    }

    private DayResult play(FleetLimits judged) {
        plan.events().forEach(this::schedule);
        callers.start();
        fleet.time().runUntil(endMicros());
        List<DayOutcome> outcomes = callers.outcomes();
        long sendings = fleet.latestRequest();
        long sent = Math.max(1, sendings);
        return new DayResult(
                policy,
                outcomes.size(),
                sendings,
                DayWorth.of(outcomes),
                DayWorth.bySecond(outcomes),
                fleet.repeats().repeats() / (double) sent,
                fleet.repeats().excess(judged),
                fleet.questions() / (double) sent,
                HistoryChecker.check(callers.records(), fleet.runs().runs()));
    }

    /** The last request's deadline passes before the run ends. */
    private long endMicros() {
        int longest = plan.kinds().stream()
                .mapToInt(DayPlan.RequestKind::deadlineMillis)
                .max()
                .orElse(0);
        return (long) (plan.seconds() * MICROS_PER_SECOND) + 2 * longest * MICROS_PER_MILLI;
    }

    private void schedule(DayEvent e) {
        fleet.time().after(e.atMillis() * MICROS_PER_MILLI, () -> begin(e));
    }

    private void begin(DayEvent e) {
        long micros = e.forMillis() * MICROS_PER_MILLI;
        switch (e.kind()) {
            case BURST -> whileItLasts(micros, callers::multiply, e.strength(), 1 / e.strength());
            case SLOW_SERVERS -> onServers(e, s -> s::setSlowFactor, 1);
            case GREY_SERVERS -> onServers(e, s -> s::setFailureRate, 0);
            case LOST_ANSWERS -> onServers(e, s -> s::setAnswerLossRate, 0);
            case CRASHED_SERVERS -> struckServers(e).forEach(s -> s.crash(micros));
            case LEAVING_SERVERS -> struckServers(e).forEach(fleet::leave);
            case NEW_SERVERS -> struckServers(e).forEach(fleet::startLike);
            case KILLED_HOSTS -> struck(live(), e).forEach(h -> fleet.kill(h, micros));
            case EARLY_LEAVING -> whileItLasts(micros, p -> callers.setLeaving(p, e.strength()), e.part(), 0);
            case IMPATIENT_CALLERS -> whileItLasts(micros, p -> callers.setImpatient(p, e.strength()), e.part(), 0);
            default -> throw new UnknownCaseException(e.kind());
        }
    }

    private List<DayHost> live() {
        return fleet.hosts().stream().filter(h -> !h.isDead()).toList();
    }

    private void onServers(DayEvent e, Function<ModelServer, Consumer<Double>> setter, double calm) {
        struckServers(e)
                .forEach(s -> whileItLasts(e.forMillis() * MICROS_PER_MILLI, setter.apply(s), e.strength(), calm));
    }

    private void whileItLasts(long micros, Consumer<Double> setter, double during, double after) {
        setter.accept(during);
        fleet.time().after(micros, () -> setter.accept(after));
    }

    private List<ModelServer> struckServers(DayEvent e) {
        return struck(fleet.serversOf(e.service()), e);
    }

    /** Draws those that an event strikes. */
    private <T> List<T> struck(List<T> all, DayEvent e) {
        List<T> shuffled = new ArrayList<>(all);
        Collections.shuffle(shuffled, Random.from(eventRandom));
        return shuffled.subList(0, (int) Math.ceil(all.size() * e.part()));
    }
}
