package org.mountlug;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.zone.ZoneMonitor;
import org.mountlug.core.zone.ZoneSettings;

/** Small clusters, machines, jobs and reports for the tests. */
public final class Fixtures {
    public static final long TOKEN = 7;
    public static final MachineType SMALL_TYPE =
            new MachineType("small", new Resources(4, 0, 32), 50, 1, 0.2, 0.08, 30, List.of("a", "b"));
    public static final MachineType GPU_TYPE =
            new MachineType("gpu", new Resources(24, 2, 96), 50, 1, 4, 2, 60, List.of("a", "b"));

    private Fixtures() {}

    /** Creates a leader's cluster with {@link #TOKEN}, the sample machine types and these teams, or else the team "t". */
    public static Cluster cluster(Team... teams) {
        Cluster cluster = new Cluster(
                TOKEN, 10, teams.length == 0 ? List.of(new Team("t", 0, 0, 0, 0, 1)) : Arrays.asList(teams));
        cluster.setMachineTypes(List.of(SMALL_TYPE, GPU_TYPE));
        return cluster;
    }

    /** Creates a zone monitor that does not track zones. */
    public static ZoneMonitor untrackedZones(Cluster cluster) {
        return new ZoneMonitor(cluster, ZoneSettings.disabled(), 10, 2);
    }

    /** Creates the specification of a gang or an array. */
    public static JobSpec spec(String id, boolean gang, int tasks, Resources request, Priority priority) {
        return spec(id, gang ? JobType.GANG : JobType.ARRAY, tasks, request, priority);
    }

    /** Creates the specification of a job of this type. */
    public static JobSpec spec(String id, JobType jobType, int tasks, Resources request, Priority priority) {
        return new JobSpecBuilder(id)
                .jobType(jobType)
                .tasks(tasks)
                .request(request)
                .priority(priority)
                .build();
    }

    /** Creates the specification of an array whose tasks request 2 CPUs and 8 GB of memory each. */
    public static JobSpec array(String id, int tasks) {
        return spec(id, false, tasks, new Resources(2, 0, 8), Priority.STANDARD);
    }

    /** Returns a copy of the specification with other zone rules. */
    public static JobSpec withZoneRules(JobSpec spec, boolean oneZone, boolean spreadAcrossZones) {
        return JobSpecBuilder.of(spec).zoneRules(oneZone, spreadAcrossZones).build();
    }

    /** Returns a copy of the specification whose tasks may run only in this zone. */
    public static JobSpec withZone(JobSpec spec, String zone) {
        return JobSpecBuilder.of(spec).zone(zone).build();
    }

    /** Returns a copy of the specification with another expected run time and checkpoint interval, 0 for no checkpoints. */
    public static JobSpec withRunTimes(JobSpec spec, double expectedRunS, double checkpointIntervalS) {
        return JobSpecBuilder.of(spec)
                .runTimes(expectedRunS, checkpointIntervalS)
                .build();
    }

    /** Sends a report in which the placement and all placements reported earlier on its machine are running. */
    public static void reportRunning(Cluster cluster, Placement placement, double nowS) {
        placement.job.markPersisted();
        Machine machine = cluster.machines.get(placement.machine);
        Report.AttemptStatus[] attempts = machine.placements.values().stream()
                .filter(other -> other == placement || other.reported)
                .map(other -> attemptStatus(
                        other.job.spec.id(), other.task, other.attempt, AttemptState.RUNNING, ExitCause.NONE))
                .toArray(Report.AttemptStatus[]::new);
        cluster.handleReport(
                report(
                        machine.name,
                        machine.type.name(),
                        machine.zone,
                        machine.session,
                        machine.sequence + 1,
                        TOKEN,
                        attempts),
                true,
                nowS);
    }

    /** Returns a copy of the specification with another job class, team and submission time. */
    public static JobSpec withClassAndTeam(JobSpec spec, String jobClass, String team, long submittedMs) {
        return JobSpecBuilder.of(spec)
                .jobClass(jobClass)
                .team(team)
                .submittedMs(submittedMs)
                .build();
    }

    /** Loads a job as one that the state service holds at revision 1. */
    public static Job addJob(Cluster cluster, JobSpec spec) {
        Job job = new Job(spec);
        job.revision = 1;
        cluster.loadJob(job, 0);
        return job;
    }

    /** Creates a report of an on-demand machine with these attempts. */
    public static Report report(
            String machineName,
            String machineType,
            String zone,
            long session,
            long sequence,
            long token,
            Report.AttemptStatus... attempts) {
        return new Report(
                machineName,
                "10.0.0.9:1",
                machineType,
                zone,
                false,
                session,
                sequence,
                token,
                Double.NaN,
                List.of(attempts));
    }

    /** Creates the status of an attempt that has saved nothing. */
    public static Report.AttemptStatus attemptStatus(
            String jobId, int task, long attempt, AttemptState state, ExitCause cause) {
        return new Report.AttemptStatus(jobId, task, attempt, state, cause, false);
    }

    /** Adds a machine that has reported with {@link #TOKEN} and whose last response was sent at time 0. */
    public static Machine addMachine(Cluster cluster, String name, String machineType, String zone) {
        cluster.handleReport(report(name, machineType, zone, 1, 1, TOKEN), true, 0);
        Machine machine = cluster.machines.get(name);
        machine.lastResponseS = 0;
        return machine;
    }

    /** Marks all changes of the jobs as durable. */
    public static void markPersisted(Job... jobs) {
        for (Job job : jobs) {
            job.markPersisted();
        }
    }

    /** Returns the commands in a short form for comparisons, such as {@code START wk-000001/0#1}. */
    public static List<String> describe(List<Command> commands) {
        List<String> descriptions = new ArrayList<>();
        for (Command command : commands) {
            descriptions.add(command.verb() + " " + command.taskName() + "#" + command.attempt());
        }
        return descriptions;
    }
}
