package org.mountlug.core.model;

import java.util.HashMap;
import java.util.Map;

/** What is expected of each class, turned into one time by which a job should be done. */
public final class Objectives {
    /** Seconds from submission allowed to a job of a class without aims. */
    private static final double UNSTATED_S = 300;

    /** Seconds from submission within which a service should run whose class has no aim. */
    private static final double SERVICE_S = 8;
    /** Multiple of the time allowed up to which a late job is still worth more than a hopeless one. */
    private static final double LATE_FACTOR = 1.5;
    /** More seconds than any two due times differ by. */
    private static final double TIER = 1e7;

    private final Map<String, Double> wait = new HashMap<>();
    private final Map<String, Double> finished = new HashMap<>();

    /** Tells within how many seconds tasks of a class should start. */
    public void addStartObjective(String jobClass, double withinS) {
        wait.merge(jobClass, withinS, Math::min);
    }

    /** Tells within how many seconds jobs of a class should be done. */
    public void addCompletionObjective(String jobClass, double withinS) {
        finished.merge(jobClass, withinS, Math::min);
    }

    /** Seconds after submission by which the job should be done, given how long a task should take. */
    public double dueWithinS(JobSpec s, double expectedS) {
        if (s.isService()) {
            return wait.getOrDefault(s.jobClass(), SERVICE_S);
        }
        double due = Double.MAX_VALUE;
        if (!Double.isNaN(s.deadlineS())) {
            due = s.deadlineS();
        }
        Double f = finished.get(s.jobClass());
        if (f != null) {
            due = Math.min(due, f);
        }
        Double w = wait.get(s.jobClass());
        if (w != null) {
            due = Math.min(due, w + expectedS);
        }
        return due == Double.MAX_VALUE ? UNSTATED_S : due;
    }

    /** Epoch seconds by which the job should be done. */
    public double dueEpochS(JobSpec s, double expectedS) {
        return s.submittedMs() / 1000.0 + dueWithinS(s, expectedS);
    }

    /**
     * The order in which jobs of one queue are served: by when they are due, but those that can no longer be in time
     * after those that can, and the hopeless last. By due time alone, one overload makes every later job late too.
     */
    public double orderKey(JobSpec s, int pendingTasks, double expectedS, double nowEpochS) {
        double within = dueWithinS(s, expectedS);
        double at = s.submittedMs() / 1000.0;
        if (s.isService()) {
            return at + within; // a late one is missed no less
        }
        double end = nowEpochS + expectedS;
        // What is half done keeps its turn for longer: dropping it would waste the half.
        boolean invested = pendingTasks * 2 <= s.tasks() && end <= at + within * LATE_FACTOR;
        if (end <= at + within || invested) {
            return at + within;
        }
        return at + within + (end <= at + within * LATE_FACTOR ? TIER : 2 * TIER);
    }

    /** Seconds within which a class's tasks should start, or NaN. */
    public double startWithinS(String jobClass) {
        return wait.getOrDefault(jobClass, Double.NaN);
    }
}
