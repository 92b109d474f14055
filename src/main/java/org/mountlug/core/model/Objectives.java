package org.mountlug.core.model;

import java.util.HashMap;
import java.util.Map;

/** The objectives of each job class, from which the due time of a job and its order key follow. */
public final class Objectives {
    /** Seconds from its submission in which a job should be done if it has neither an objective nor a deadline. */
    private static final double DEFAULT_COMPLETION_S = 300;

    /** Seconds from its submission in which a service should run if its class has no start objective. */
    private static final double DEFAULT_SERVICE_START_S = 8;
    /** Multiple of its allowed time up to which a late job goes ahead of jobs that are even later. */
    private static final double MAX_LATENESS_FACTOR = 1.5;
    /** Seconds added to the order key of late jobs; more than any two due times differ by. */
    private static final double TIER_OFFSET_S = 1e7;

    private final Map<String, Double> startWithinSByClass = new HashMap<>();
    private final Map<String, Double> completeWithinSByClass = new HashMap<>();

    /** Adds an objective for the seconds in which tasks of a class should start; the strictest one counts. */
    public void addStartObjective(String jobClass, double withinS) {
        startWithinSByClass.merge(jobClass, withinS, Math::min);
    }

    /** Adds an objective for the seconds in which jobs of a class should be done; the strictest one counts. */
    public void addCompletionObjective(String jobClass, double withinS) {
        completeWithinSByClass.merge(jobClass, withinS, Math::min);
    }

    /**
     * Returns the seconds after its submission by which the job should be done, or by which a service should run.
     *
     * @param expectedRunS expected run time of a task in seconds
     */
    public double dueWithinS(JobSpec spec, double expectedRunS) {
        if (spec.isService()) {
            return startWithinSByClass.getOrDefault(spec.jobClass(), DEFAULT_SERVICE_START_S);
        }
        double dueS = Double.MAX_VALUE;
        if (!Double.isNaN(spec.deadlineS())) {
            dueS = spec.deadlineS();
        }
        Double completeWithinS = completeWithinSByClass.get(spec.jobClass());
        if (completeWithinS != null) {
            dueS = Math.min(dueS, completeWithinS);
        }
        Double startWithinS = startWithinSByClass.get(spec.jobClass());
        if (startWithinS != null) {
            dueS = Math.min(dueS, startWithinS + expectedRunS);
        }
        return dueS == Double.MAX_VALUE ? DEFAULT_COMPLETION_S : dueS;
    }

    /** Returns the epoch time in seconds by which the job should be done, or by which a service should run. */
    public double dueEpochS(JobSpec spec, double expectedRunS) {
        return spec.submittedMs() / 1000.0 + dueWithinS(spec, expectedRunS);
    }

    /**
     * Returns the key by which the jobs of a queue are sorted, smallest first. Jobs that can still be in time come first,
     * then those that would exceed their allowed time by at most half, then all others; each group is sorted by due time.
     * Sorted by due time alone, one overload would make every later job late too.
     */
    public double orderKey(JobSpec spec, int pendingTasks, double expectedRunS, double nowEpochS) {
        double dueWithinS = dueWithinS(spec, expectedRunS);
        double submittedEpochS = spec.submittedMs() / 1000.0;
        if (spec.isService()) {
            return submittedEpochS + dueWithinS; // a late service keeps its position, as its users need it no less
        }
        double expectedEndEpochS = nowEpochS + expectedRunS;
        // A job with at least half of its tasks placed or done keeps its position for longer, or that work is wasted.
        boolean isHalfStarted = pendingTasks * 2 <= spec.tasks()
                && expectedEndEpochS <= submittedEpochS + dueWithinS * MAX_LATENESS_FACTOR;
        if (expectedEndEpochS <= submittedEpochS + dueWithinS || isHalfStarted) {
            return submittedEpochS + dueWithinS;
        }
        return submittedEpochS
                + dueWithinS
                + (expectedEndEpochS <= submittedEpochS + dueWithinS * MAX_LATENESS_FACTOR
                        ? TIER_OFFSET_S
                        : 2 * TIER_OFFSET_S);
    }

    /** Returns the seconds in which tasks of the class should start, {@code NaN} if it has no such objective. */
    public double startWithinS(String jobClass) {
        return startWithinSByClass.getOrDefault(jobClass, Double.NaN);
    }
}
