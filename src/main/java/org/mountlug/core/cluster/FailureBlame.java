package org.mountlug.core.cluster;

import java.util.function.BiConsumer;
import java.util.function.Function;
import org.mountlug.Constants;
import org.mountlug.core.model.FailureHistory;
import org.mountlug.core.model.Job;

/**
 * Tells faulty machines from jobs with a mistake by where tasks failed, as neither says so of itself. A machine is
 * condemned when different jobs fail on it in a row, or one that works elsewhere. A job that has failed on several
 * machines and works on none is suspected instead, and from then on its failures count against no machine; what they
 * have counted before is taken back.
 */
final class FailureBlame {
    private final Function<String, Machine> machines;
    private final BiConsumer<String, String> events;

    /** @param machines finds a machine by name, or null */
    FailureBlame(Function<String, Machine> machines, BiConsumer<String, String> events) {
        this.machines = machines;
        this.events = events;
    }

    /** A task of the job has failed on the machine. */
    void failed(Machine machine, Job job, long attempt) {
        FailureHistory history = job.failureHistory;
        history.failed(machine.name, attempt);
        if (history.suspected()) {
            return;
        }
        machine.failedJobs.merge(job, 1, Integer::sum);
        if (failsEverywhere(job)) {
            suspect(job);
        }
        judge(machine);
    }

    /** A task of the job has completed on the machine, or a replica of it has run for long. */
    void succeeded(Machine machine, Job job) {
        machine.failedJobs.clear();
        FailureHistory history = job.failureHistory;
        if (history.machines().isEmpty()) {
            return;
        }
        if (history.suspected()) {
            events.accept("no longer suspected, as a task has completed", job.spec.id());
        }
        // The blame for its failures is settled: they were the machines'.
        String[] failedOn = history.machines().toArray(new String[0]);
        history.completed();
        for (String name : failedOn) {
            Machine other = machines.apply(name);
            if (other != null) {
                judge(other);
            }
        }
    }

    /** A job that earlier leaders saw fail again and again and never complete anything begins under suspicion. */
    void loaded(Job job) {
        int failures = 0;
        for (int n : job.failures.values()) {
            failures += n;
        }
        if (failures >= Constants.SUSPECT_MACHINES && job.done.isEmpty() && !job.spec.service()) {
            suspect(job);
        }
    }

    /** The job is over: one that was cancelled without ever having worked blames no machine. */
    void over(Job job) {
        if (job.done.isEmpty()) {
            takeBack(job);
        }
    }

    private static boolean failsEverywhere(Job job) {
        int failedOn = job.failureHistory.machines().size();
        if (failedOn < Constants.SUSPECT_MACHINES || !job.done.isEmpty()) {
            return false;
        }
        // What runs on other machines may fail there as well, or be the proof that it works.
        long runsElsewhere = job.placed.values().stream()
                .filter(p -> !Double.isNaN(p.runningS)
                        && !job.failureHistory.machines().contains(p.machine))
                .map(p -> p.machine)
                .distinct()
                .count();
        return runsElsewhere < failedOn;
    }

    private void suspect(Job job) {
        events.accept("suspected, as it fails on every machine; tried one attempt at a time", job.spec.id());
        takeBack(job);
        job.failureHistory.suspect();
    }

    private void takeBack(Job job) {
        for (String name : job.failureHistory.machines()) {
            Machine machine = machines.apply(name);
            if (machine == null || machine.failedJobs.remove(job) == null) {
                continue;
            }
            if (machine.condemnedForFailures && !machine.releasing && !guilty(machine)) {
                machine.condemnedForFailures = false;
                machine.sick = false;
                events.accept("quarantine lifted, failures were the fault of " + job.spec.id(), machine.name);
            }
        }
    }

    private void judge(Machine machine) {
        if (machine.sick || !guilty(machine)) {
            return;
        }
        machine.sick = true;
        machine.condemnedForFailures = true;
        events.accept("quarantined after failures", machine.name);
    }

    private static boolean guilty(Machine machine) {
        return machine.failures() >= Constants.SICK_FAILURES
                && (machine.failedJobs.size() >= 2
                        || machine.failedJobs.keySet().stream().anyMatch(job -> worksElsewhere(job, machine)));
    }

    private static boolean worksElsewhere(Job job, Machine machine) {
        return !job.done.isEmpty()
                || job.spec.service()
                        && job.placed.values().stream()
                                .anyMatch(p -> !p.machine.equals(machine.name) && !Double.isNaN(p.runningS));
    }
}
