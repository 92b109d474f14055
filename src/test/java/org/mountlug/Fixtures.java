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

/** Small worlds for the tests. */
public final class Fixtures {
    public static final long TOKEN = 7;
    public static final MachineType SMALL_TYPE =
            new MachineType("small", new Resources(4, 0, 32), 50, 1, 0.2, 0.08, 30, List.of("a", "b"));
    public static final MachineType GPU_TYPE =
            new MachineType("gpu", new Resources(24, 2, 96), 50, 1, 4, 2, 60, List.of("a", "b"));

    private Fixtures() {}

    /** A cluster of a leader with token 7 that knows the sample machine types and these teams. */
    public static Cluster cluster(Team... teams) {
        Cluster c = new Cluster(
                TOKEN, 10, teams.length == 0 ? List.of(new Team("t", 0, 0, 0, 0, 1)) : Arrays.asList(teams));
        c.setMachineTypes(List.of(SMALL_TYPE, GPU_TYPE));
        return c;
    }

    /** Zones that are not tracked. */
    public static ZoneMonitor untrackedZones(Cluster c) {
        return new ZoneMonitor(c, ZoneSettings.disabled(), 10, 2);
    }

    /** A job of tasks that all need the same, run as a gang or as an array. */
    public static JobSpec spec(String id, boolean gang, int tasks, Resources need, Priority u) {
        return spec(id, gang ? JobType.GANG : JobType.ARRAY, tasks, need, u);
    }

    /** A job of tasks that all need the same, in the given shape. */
    public static JobSpec spec(String id, JobType shape, int tasks, Resources need, Priority u) {
        return new JobSpecBuilder(id)
                .jobType(shape)
                .tasks(tasks)
                .request(need)
                .priority(u)
                .build();
    }

    /** An array of small tasks. */
    public static JobSpec array(String id, int tasks) {
        return spec(id, false, tasks, new Resources(2, 0, 8), Priority.STANDARD);
    }

    /** The same job with other rules about the zones of its tasks. */
    public static JobSpec withZoneRules(JobSpec s, boolean oneZone, boolean apart) {
        return JobSpecBuilder.of(s).zoneRules(oneZone, apart).build();
    }

    /** The same job bound to a zone. */
    public static JobSpec withZone(JobSpec s, String zone) {
        return JobSpecBuilder.of(s).zone(zone).build();
    }

    /** The same job with another run time to expect and other checkpoints, 0 for none. */
    public static JobSpec withRunTimes(JobSpec s, double expectedS, double checkpointS) {
        return JobSpecBuilder.of(s).runTimes(expectedS, checkpointS).build();
    }

    /** The placement's machine reports it running. */
    public static void reportRunning(Cluster c, Placement p, double nowS) {
        p.job.markPersisted();
        Machine m = c.machines.get(p.machine);
        Report.AttemptStatus[] items = m.placements.values().stream()
                .filter(q -> q == p || q.reported)
                .map(q -> attemptStatus(q.job.spec.id(), q.task, q.attempt, AttemptState.RUNNING, ExitCause.NONE))
                .toArray(Report.AttemptStatus[]::new);
        c.handleReport(report(m.name, m.type.name(), m.zone, m.session, m.sequence + 1, TOKEN, items), true, nowS);
    }

    /** The same job of another class and team, submitted at another time. */
    public static JobSpec withClassAndTeam(JobSpec s, String lane, String team, long submittedMs) {
        return JobSpecBuilder.of(s)
                .jobClass(lane)
                .team(team)
                .submittedMs(submittedMs)
                .build();
    }

    /** Takes the job in as one that the state service holds. */
    public static Job addJob(Cluster c, JobSpec s) {
        Job j = new Job(s);
        j.revision = 1;
        c.loadJob(j, 0);
        return j;
    }

    /** A report of a sample machine that shows these tasks. */
    public static Report report(
            String machine,
            String type,
            String zone,
            long session,
            long seq,
            long token,
            Report.AttemptStatus... items) {
        return new Report(machine, "10.0.0.9:1", type, zone, false, session, seq, token, Double.NaN, List.of(items));
    }

    /** One attempt as a report shows it. */
    public static Report.AttemptStatus attemptStatus(String job, int task, long attempt, AttemptState s, ExitCause c) {
        return new Report.AttemptStatus(job, task, attempt, s, c, false);
    }

    /** A machine that is up and has seen our token. */
    public static Machine addMachine(Cluster c, String name, String type, String zone) {
        c.handleReport(report(name, type, zone, 1, 1, TOKEN), true, 0);
        Machine m = c.machines.get(name);
        m.lastResponseS = 0;
        return m;
    }

    /** Marks everything decided as durable. */
    public static void markPersisted(Job... jobs) {
        for (Job j : jobs) {
            j.markPersisted();
        }
    }

    /** The orders in a short form that tests can compare. */
    public static List<String> describe(List<Command> orders) {
        List<String> l = new ArrayList<>();
        for (Command o : orders) {
            l.add(o.verb() + " " + o.taskName() + "#" + o.attempt());
        }
        return l;
    }
}
