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
final class FailureAttribution {
    private final Function<String, Machine> machines;
    private final BiConsumer<String, String> events;

    /** @param machines finds a machine by name, or null */
    FailureAttribution(Function<String, Machine> machines, BiConsumer<String, String> events) {
        this.machines = machines;
        this.events = events;
    }

    /** A task of the job has failed on the machine. */
    void recordFailure(Machine machine, Job job, long attempt) {
        FailureHistory history = job.failureHistory;
        history.recordFailure(machine.name, attempt);
        if (history.isSuspected()) {
            return;
        }
        machine.failuresByJob.merge(job, 1, Integer::sum);
        if (failsEverywhere(job)) {
            suspect(job);
        }
        judge(machine);
    }

    /** A task of the job has completed on the machine, or a replica of it has run for long. */
    void recordSuccess(Machine machine, Job job) {
        machine.failuresByJob.clear();
        FailureHistory history = job.failureHistory;
        if (history.failedMachines().isEmpty()) {
            return;
        }
        if (history.isSuspected()) {
            events.accept("no longer suspected, as a task has completed", job.spec.id());
        }
        // The blame for its failures is settled: they were the machines'.
        String[] failedOn = history.failedMachines().toArray(new String[0]);
        history.recordCompletion();
        for (String name : failedOn) {
            Machine other = machines.apply(name);
            if (other != null) {
                judge(other);
            }
        }
    }

    /** A job that earlier leaders saw fail again and again and never complete anything begins under suspicion. */
    void recordLoadedJob(Job job) {
        int failures = 0;
        for (int n : job.failuresByTask.values()) {
            failures += n;
        }
        if (failures >= Constants.SUSPECT_JOB_MACHINES && job.doneTasks.isEmpty() && !job.spec.isService()) {
            suspect(job);
        }
    }

    /** The job is over: one that was cancelled without ever having worked blames no machine. */
    void recordFinishedJob(Job job) {
        if (job.doneTasks.isEmpty()) {
            takeBack(job);
        }
    }

    private static boolean failsEverywhere(Job job) {
        int failedOn = job.failureHistory.failedMachines().size();
        if (failedOn < Constants.SUSPECT_JOB_MACHINES || !job.doneTasks.isEmpty()) {
            return false;
        }
        // What runs on other machines may fail there as well, or be the proof that it works.
        long runsElsewhere = job.placements.values().stream()
                .filter(p -> !Double.isNaN(p.runningSinceS)
                        && !job.failureHistory.failedMachines().contains(p.machine))
                .map(p -> p.machine)
                .distinct()
                .count();
        return runsElsewhere < failedOn;
    }

    private void suspect(Job job) {
        events.accept("suspected, as it fails on every machine; tried one attempt at a time", job.spec.id());
        takeBack(job);
        job.failureHistory.markSuspected();
    }

    private void takeBack(Job job) {
        for (String name : job.failureHistory.failedMachines()) {
            Machine machine = machines.apply(name);
            if (machine == null || machine.failuresByJob.remove(job) == null) {
                continue;
            }
            if (machine.quarantinedForFailures && !machine.beingReturned && !guilty(machine)) {
                machine.quarantinedForFailures = false;
                machine.quarantined = false;
                events.accept("quarantine lifted, failures were the fault of " + job.spec.id(), machine.name);
            }
        }
    }

    private void judge(Machine machine) {
        if (machine.quarantined || !guilty(machine)) {
            return;
        }
        machine.quarantined = true;
        machine.quarantinedForFailures = true;
        events.accept("quarantined after failures", machine.name);
    }

    private static boolean guilty(Machine machine) {
        return machine.failureCount() >= Constants.QUARANTINE_FAILURES
                && (machine.failuresByJob.size() >= 2
                        || machine.failuresByJob.keySet().stream().anyMatch(job -> worksElsewhere(job, machine)));
    }

    private static boolean worksElsewhere(Job job, Machine machine) {
        return !job.doneTasks.isEmpty()
                || job.spec.isService()
                        && job.placements.values().stream()
                                .anyMatch(p -> !p.machine.equals(machine.name) && !Double.isNaN(p.runningSinceS));
    }
}
