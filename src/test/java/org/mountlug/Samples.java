package org.mountlug;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Cause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Order;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Shape;
import org.mountlug.core.model.TaskState;
import org.mountlug.core.model.Team;
import org.mountlug.core.model.Urgency;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.core.zone.ZoneWatch;

/** Small worlds for the tests. */
public final class Samples {
    public static final long TOKEN = 7;
    public static final MachineType SMALL =
            new MachineType("small", new Resources(4, 0, 32), 50, 1, 0.2, 0.08, 30, List.of("a", "b"));
    public static final MachineType GPU =
            new MachineType("gpu", new Resources(24, 2, 96), 50, 1, 4, 2, 60, List.of("a", "b"));

    private Samples() {}

    /** A cluster of a leader with token 7 that knows the sample machine types and these teams. */
    public static Cluster cluster(Team... teams) {
        Cluster c = new Cluster(
                TOKEN, 10, teams.length == 0 ? List.of(new Team("t", 0, 0, 0, 0, 1)) : Arrays.asList(teams));
        c.catalogue(List.of(SMALL, GPU));
        return c;
    }

    /** Zones that are not tracked. */
    public static ZoneWatch zones(Cluster c) {
        return new ZoneWatch(c, ZoneSettings.disabled(), 10, 2);
    }

    /** A job of tasks that all need the same, run as a gang or as an array. */
    public static JobSpec spec(String id, boolean gang, int tasks, Resources need, Urgency u) {
        return spec(id, gang ? Shape.GANG : Shape.ARRAY, tasks, need, u);
    }

    /** A job of tasks that all need the same, in the given shape. */
    public static JobSpec spec(String id, Shape shape, int tasks, Resources need, Urgency u) {
        return new SpecBuilder(id)
                .shape(shape)
                .tasks(tasks)
                .need(need)
                .urgency(u)
                .build();
    }

    /** An array of small tasks. */
    public static JobSpec array(String id, int tasks) {
        return spec(id, false, tasks, new Resources(2, 0, 8), Urgency.STANDARD);
    }

    /** The same job with other rules about the zones of its tasks. */
    public static JobSpec zones(JobSpec s, boolean oneZone, boolean apart) {
        return SpecBuilder.of(s).rules(oneZone, apart).build();
    }

    /** The same job bound to a zone. */
    public static JobSpec in(JobSpec s, String zone) {
        return SpecBuilder.of(s).zone(zone).build();
    }

    /** The same job with another run time to expect and other checkpoints, 0 for none. */
    public static JobSpec timed(JobSpec s, double expectedS, double checkpointS) {
        return SpecBuilder.of(s).times(expectedS, checkpointS).build();
    }

    /** The placement's machine reports it running. */
    public static void begins(Cluster c, Placement p, double nowS) {
        p.job.persisted();
        Machine m = c.machines.get(p.machine);
        Report.Item[] items = m.placed.values().stream()
                .filter(q -> q == p || q.seen)
                .map(q -> item(q.job.spec.id(), q.task, q.attempt, TaskState.RUNNING, Cause.NONE))
                .toArray(Report.Item[]::new);
        c.report(report(m.name, m.type.name(), m.zone, m.session, m.sequence + 1, TOKEN, items), true, nowS);
    }

    /** The same job of another class and team, submitted at another time. */
    public static JobSpec named(JobSpec s, String lane, String team, long submittedMs) {
        return SpecBuilder.of(s).lane(lane).team(team).submittedMs(submittedMs).build();
    }

    /** Takes the job in as one that the state service holds. */
    public static Job live(Cluster c, JobSpec s) {
        Job j = new Job(s);
        j.stamp = 1;
        c.load(j, 0);
        return j;
    }

    /** A report of a sample machine that shows these tasks. */
    public static Report report(
            String machine, String type, String zone, long session, long seq, long token, Report.Item... items) {
        return new Report(machine, "10.0.0.9:1", type, zone, false, session, seq, token, Double.NaN, List.of(items));
    }

    /** One attempt as a report shows it. */
    public static Report.Item item(String job, int task, long attempt, TaskState s, Cause c) {
        return new Report.Item(job, task, attempt, s, c, false);
    }

    /** A machine that is up and has seen our token. */
    public static Machine up(Cluster c, String name, String type, String zone) {
        c.report(report(name, type, zone, 1, 1, TOKEN), true, 0);
        Machine m = c.machines.get(name);
        m.answeredS = 0;
        return m;
    }

    /** Marks everything decided as durable. */
    public static void persist(Job... jobs) {
        for (Job j : jobs) {
            j.persisted();
        }
    }

    /** The orders in a short form that tests can compare. */
    public static List<String> verbs(List<Order> orders) {
        List<String> l = new ArrayList<>();
        for (Order o : orders) {
            l.add(o.verb() + " " + o.task() + "#" + o.attempt());
        }
        return l;
    }
}
