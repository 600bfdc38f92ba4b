package org.hyssophitch.bench.model;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.hyssophitch.core.load.LoadReport;
import org.hyssophitch.standin.RunHistory;

/**
 * Model of one backend server: slots, a bounded queue, and faults. Not thread-safe; one run owns it.
 */
public final class ModelServer {

    /** How a request ended at the server. */
    public enum Reply {
        ANSWERED,
        ERROR,
        SHED,
        DRAINING,
        /** The connection was lost, as in a crash. */
        LOST
    }

    /** How long requests take. */
    @FunctionalInterface
    public interface ServiceTimeSampler {

        /**
         * Draws the time in microseconds that a request takes in a slot at the usual speed.
         *
         * @param requestId the request
         * @param random the server's randomness
         */
        double sampleMicros(String requestId, SplittableRandom random);
    }

    /** One request at the server. */
    public static final class Job {
        private final String requestId;
        private final boolean isCrashing;
        private final Consumer<Reply> onEnd;
        private boolean isCancelled;
        private double remainingMicros;
        private long updatedMicros;
        private double slowdown;
        private int scheduleNumber;

        Job(String requestId, boolean isCrashing, Consumer<Reply> onEnd) {
            this.requestId = requestId;
            this.isCrashing = isCrashing;
            this.onEnd = onEnd;
        }
    }

    private static final long RESTART_DURATION_MICROS = 1_000_000;

    private final String name;
    private final String zone;
    private final ServerBehaviour behaviour;
    private final ServiceTimeSampler serviceTime;
    private final VirtualTime time;
    private final RunHistory history;
    private final SplittableRandom random;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final Set<Job> running = new LinkedHashSet<>();
    private final Deque<LoadReport> reports = new ArrayDeque<>();
    private double slowFactor = 1;
    private double speedFactor = 1;
    private boolean hasSpeedChanges;
    private boolean wasContended;
    private long warmUpEndMicros;
    private double failureRate;
    private double answerLossRate;
    private boolean isDraining;
    private boolean isShedding;
    private int falseLoad = -1;
    private long reportLagMicros;
    private boolean isReportAgeHidden;
    private long downUntilMicros;
    private int epoch;

    /**
     * Creates a server that is warm.
     *
     * @param name name of the server
     * @param zone its availability zone
     * @param behaviour how it works
     * @param serviceTime how long requests take
     */
    public ModelServer(
            String name,
            String zone,
            ServerBehaviour behaviour,
            ServiceTimeSampler serviceTime,
            VirtualTime time,
            RunHistory history,
            SplittableRandom random) {
        this.name = name;
        this.zone = zone;
        this.behaviour = behaviour;
        this.serviceTime = serviceTime;
        this.time = time;
        this.history = history;
        this.random = random;
    }

    public String name() {
        return name;
    }

    public String zone() {
        return zone;
    }

    public void setSlowFactor(double value) {
        slowFactor = value;
    }

    /**
     * Lets the server's speed change several times a second, as the systems served do: a part of the time it is slow;
     * it slows down, too, when nearly all its slots are in use, and after a start. It tells its speed with its load.
     */
    public void startSpeedChanges() {
        hasSpeedChanges = true;
        changeSpeed();
    }

    /** Sets the part of the requests that the server answers with an error at once. */
    public void setFailureRate(double value) {
        failureRate = value;
    }

    /** Sets the part of the requests that the server runs and whose answers are lost. */
    public void setAnswerLossRate(double value) {
        answerLossRate = value;
    }

    public void setDraining(boolean value) {
        isDraining = value;
    }

    public void setShedding(boolean value) {
        isShedding = value;
    }

    /** Sets the load figure that is reported in place of the true one; -1 for the true one. */
    public void setFalseLoad(int value) {
        falseLoad = value;
    }

    /**
     * Lets reported figures lag.
     *
     * @param micros age of the reported figure in microseconds
     * @param isAgeHidden whether the report pretends to be fresh
     */
    public void setReportLag(long micros, boolean isAgeHidden) {
        reportLagMicros = micros;
        isReportAgeHidden = isAgeHidden;
    }

    /** Returns whether connections are refused at this time. */
    boolean isDown() {
        return time.nowMicros() < downUntilMicros;
    }

    /** Returns a number that changes with each crash: connections opened before are gone. */
    int epoch() {
        return epoch;
    }

    /** Takes a request. */
    void receive(Job job) {
        if (isDown()) {
            job.onEnd.accept(Reply.LOST);
        } else if (isDraining) {
            job.onEnd.accept(Reply.DRAINING);
        } else if (isShedding) {
            job.onEnd.accept(Reply.SHED);
        } else if (queue.size() >= behaviour.maxQueued()) {
            refuse(job);
        } else if (occurs(failureRate)) {
            job.onEnd.accept(Reply.ERROR);
        } else {
            queue.addLast(job);
            startQueued();
        }
    }

    private void refuse(Job job) {
        if (!behaviour.isSilentWhenFull()) {
            job.onEnd.accept(Reply.SHED);
        }
    }

    /** Draws only where the part leaves something open, so that a run without faults repeats. */
    private boolean occurs(double probability) {
        return probability >= 1 || probability > 0 && random.nextDouble() < probability;
    }

    /** Gives up a request whose connection was closed. */
    void cancel(Job job) {
        job.isCancelled = true;
        queue.remove(job);
        if (running.remove(job)) {
            updateContention();
            startQueued();
        }
    }

    /** Loses every request, and refuses connections until the restart. */
    public void crash() {
        crash(RESTART_DURATION_MICROS);
    }

    /** Loses every request, and refuses connections for a time in microseconds. */
    public void crash(long downMicros) {
        epoch++;
        downUntilMicros = time.nowMicros() + downMicros;
        warmUpEndMicros = downUntilMicros + behaviour.warmUpMicros();
        Set<Job> lost = new LinkedHashSet<>(running);
        lost.addAll(queue);
        running.clear();
        queue.clear();
        wasContended = false;
        lost.stream().sorted(Comparator.comparing(j -> j.requestId)).forEach(j -> j.onEnd.accept(Reply.LOST));
    }

    /** Makes the server as slow as one that has just started. */
    public void startWarmUp() {
        warmUpEndMicros = time.nowMicros() + behaviour.warmUpMicros();
    }

    /** Returns for how many microseconds the server stays cold. */
    public long remainingWarmUpMicros() {
        return Math.max(0, warmUpEndMicros - time.nowMicros());
    }

    /** Returns the load report that goes with an answer. */
    LoadReport report() {
        long now = time.nowMicros();
        reports.addLast(new LoadReport(name, running.size() + queue.size(), now, isDraining));
        while (reports.size() > 1 && reports.getFirst().takenMicros() < now - reportLagMicros) {
            reports.removeFirst();
        }
        LoadReport r = reports.getFirst();
        int load = falseLoad >= 0 ? falseLoad : r.inFlight();
        return new LoadReport(name, load, isReportAgeHidden ? now : r.takenMicros(), isDraining, reportedSlowdown());
    }

    private void startQueued() {
        while (running.size() < behaviour.slots() && !queue.isEmpty()) {
            start(queue.pollFirst());
        }
    }

    private void start(Job job) {
        history.onStart(job.requestId, name, time.nowMicros());
        running.add(job);
        if (job.isCrashing) {
            crash();
            return;
        }
        job.remainingMicros = serviceTime.sampleMicros(job.requestId, random);
        job.updatedMicros = time.nowMicros();
        job.slowdown = totalSlowdown();
        schedule(job);
        updateContention();
    }

    private void schedule(Job job) {
        int number = ++job.scheduleNumber;
        time.after((long) (job.remainingMicros * job.slowdown), () -> finish(job, number));
    }

    private void finish(Job job, int number) {
        if (job.scheduleNumber == number && running.remove(job) && !job.isCancelled) {
            updateContention();
            job.onEnd.accept(occurs(answerLossRate) ? Reply.LOST : Reply.ANSWERED);
            startQueued();
        }
    }

    private void changeSpeed() {
        speedFactor = random.nextDouble() < behaviour.slowFraction() ? behaviour.slowFactor() : 1;
        rescheduleRunning();
        long mean = behaviour.speedChangeIntervalMicros();
        time.after(mean / 2 + random.nextLong(mean), this::changeSpeed);
    }

    /** Slows down every running request when the last slots fill, and speeds them up again when they empty. */
    private void updateContention() {
        if (isContended() != wasContended) {
            rescheduleRunning();
        }
    }

    private void rescheduleRunning() {
        wasContended = isContended();
        long now = time.nowMicros();
        running.forEach(j -> {
            j.remainingMicros = Math.max(0, j.remainingMicros - (now - j.updatedMicros) / j.slowdown);
            j.updatedMicros = now;
            j.slowdown = totalSlowdown();
            schedule(j);
        });
    }

    private boolean isContended() {
        return hasSpeedChanges && running.size() > behaviour.knee() * behaviour.slots();
    }

    private double totalSlowdown() {
        return slowFactor * reportedSlowdown() * (isContended() ? behaviour.contentionFactor() : 1);
    }

    /** Returns how many times longer work takes than usual, as the server tells it. */
    private double reportedSlowdown() {
        boolean isWarmingUp = hasSpeedChanges && time.nowMicros() < warmUpEndMicros;
        return speedFactor * (isWarmingUp ? behaviour.warmUpFactor() : 1);
    }
}
