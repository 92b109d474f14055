package org.mountlug.core.cluster;

import java.util.function.BiConsumer;
import java.util.function.Function;
import org.mountlug.Constants;
import org.mountlug.core.model.FailureHistory;
import org.mountlug.core.model.Job;

/**
 * Distinguishes faulty machines from faulty jobs by where tasks fail, as neither reports a fault of its own. A machine is
 * quarantined when different jobs fail on it in a row, or a job that works on other machines. A job that has failed on
 * several machines and works on none is suspected instead: its failures no longer count against machines, and those
 * counted before are discounted.
 */
final class FailureAttribution {
    private final Function<String, Machine> machineByName;
    private final BiConsumer<String, String> eventSink;

    /** @param machineByName finds a machine by name, or null */
    FailureAttribution(Function<String, Machine> machineByName, BiConsumer<String, String> eventSink) {
        this.machineByName = machineByName;
        this.eventSink = eventSink;
    }

    /** Records that a task of the job has failed on the machine. */
    void recordFailure(Machine machine, Job job, long attempt) {
        FailureHistory history = job.failureHistory;
        history.recordFailure(machine.name, attempt);
        if (history.isSuspected()) {
            return;
        }
        machine.failuresByJob.merge(job, 1, Integer::sum);
        if (failsEverywhere(job)) {
            markSuspected(job);
        }
        quarantineIfAtFault(machine);
    }

    /** Records that a task of the job has completed on the machine, or that a replica has run stably on it. */
    void recordSuccess(Machine machine, Job job) {
        machine.failuresByJob.clear();
        FailureHistory history = job.failureHistory;
        if (history.failedMachines().isEmpty()) {
            return;
        }
        if (history.isSuspected()) {
            eventSink.accept("no longer suspected, as a task has completed", job.spec.id());
        }
        // The job works, so its earlier failures are attributed to the machines.
        String[] failedMachines = history.failedMachines().toArray(new String[0]);
        history.recordCompletion();
        for (String name : failedMachines) {
            Machine failedMachine = machineByName.apply(name);
            if (failedMachine != null) {
                quarantineIfAtFault(failedMachine);
            }
        }
    }

    /** Marks a loaded job as suspected if it failed repeatedly under earlier leaders and completed no task. */
    void recordLoadedJob(Job job) {
        int failures = 0;
        for (int taskFailures : job.failuresByTask.values()) {
            failures += taskFailures;
        }
        if (failures >= Constants.SUSPECT_JOB_MACHINES && job.doneTasks.isEmpty() && !job.spec.isService()) {
            markSuspected(job);
        }
    }

    /** Discounts the failures of a job that was cancelled before it completed any task, as it never proved to work. */
    void recordFinishedJob(Job job) {
        if (job.doneTasks.isEmpty()) {
            discountFailures(job);
        }
    }

    private static boolean failsEverywhere(Job job) {
        int failedMachineCount = job.failureHistory.failedMachines().size();
        if (failedMachineCount < Constants.SUSPECT_JOB_MACHINES || !job.doneTasks.isEmpty()) {
            return false;
        }
        // Tasks that run on other machines may fail there as well, or prove that the job works.
        long otherMachineCount = job.placements.values().stream()
                .filter(placement -> !Double.isNaN(placement.runningSinceS)
                        && !job.failureHistory.failedMachines().contains(placement.machine))
                .map(placement -> placement.machine)
                .distinct()
                .count();
        return otherMachineCount < failedMachineCount;
    }

    private void markSuspected(Job job) {
        eventSink.accept("suspected, as it fails on every machine; retried one attempt at a time", job.spec.id());
        discountFailures(job);
        job.failureHistory.markSuspected();
    }

    private void discountFailures(Job job) {
        for (String name : job.failureHistory.failedMachines()) {
            Machine machine = machineByName.apply(name);
            if (machine == null || machine.failuresByJob.remove(job) == null) {
                continue;
            }
            if (machine.quarantinedForFailures && !machine.beingReturned && !isProbablyAtFault(machine)) {
                machine.quarantinedForFailures = false;
                machine.quarantined = false;
                eventSink.accept("quarantine lifted, failures are attributed to job " + job.spec.id(), machine.name);
            }
        }
    }

    private void quarantineIfAtFault(Machine machine) {
        if (machine.quarantined || !isProbablyAtFault(machine)) {
            return;
        }
        machine.quarantined = true;
        machine.quarantinedForFailures = true;
        eventSink.accept("quarantined after failures", machine.name);
    }

    private static boolean isProbablyAtFault(Machine machine) {
        return machine.failureCount() >= Constants.QUARANTINE_FAILURES
                && (machine.failuresByJob.size() >= 2
                        || machine.failuresByJob.keySet().stream().anyMatch(job -> worksElsewhere(job, machine)));
    }

    private static boolean worksElsewhere(Job job, Machine machine) {
        return !job.doneTasks.isEmpty()
                || job.spec.isService()
                        && job.placements.values().stream()
                                .anyMatch(placement -> !placement.machine.equals(machine.name)
                                        && !Double.isNaN(placement.runningSinceS));
    }
}
