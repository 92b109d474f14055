package org.mountlug.core.preempt;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.allocate.Node;
import org.mountlug.core.allocate.ReplicaTimes;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/**
 * Stops tasks where the protocol allows it: for a job of higher priority, or for a team that is below its guarantee
 * and at the cost of one above its own. The room becomes releasing room, which the next round reserves for the gang.
 */
public final class Preemptor {
    /** Tasks of an array for which room is made in one round. */
    private static final int ARRAY_TASKS = 4;

    private final Cluster cluster;
    private final Map<String, Double> lastFor = new HashMap<>();
    private final GuestPreemption guests;
    private ReplicaTimes times;

    /** Decides for the jobs and machines of this cluster. */
    public Preemptor(Cluster cluster) {
        this.cluster = cluster;
        this.guests = new GuestPreemption(cluster);
    }

    /** Stops tasks to make room for jobs that the round before could not place, the most urgent first. */
    public void round(
            Collection<Job> unplaced,
            Map<String, Node> nodes,
            Map<String, Resources> usage,
            ReplicaTimes times,
            double nowS) {
        this.times = times;
        lastFor.keySet().removeIf(id -> !cluster.jobs.containsKey(id));
        Map<String, Resources> left = null;
        for (Job j : unplaced) {
            // Work without accelerators is queued, not forced in, as it has plenty of cheap machines to wait for; but
            // not services, which are missed from the first second on.
            if (j.cancelled
                    || j.failureHistory.suspected()
                    || j.spec.need().gpus() == 0 && !j.spec.service()
                    || cluster.reservations.containsKey(j.spec.id())) {
                continue;
            }
            if (nowS - lastFor.getOrDefault(j.spec.id(), -1e9) < Constants.PREEMPT_PAUSE_S) {
                continue;
            }
            if (j.spec.gang() && !j.placed.isEmpty()) {
                continue;
            }
            JobSpec s = j.spec;
            int want = s.gang() ? s.tasks() : s.service() ? j.open() : Math.min(j.open(), ARRAY_TASKS);
            int least = s.gang() ? want : 1;
            Resources then = usage.getOrDefault(s.team(), Resources.ZERO)
                    .plus(new Resources(
                            s.need().cpus() * least,
                            s.need().gpus() * least,
                            s.need().ramGb() * least));
            Team team = cluster.team(s.team());
            if (team != null && !team.allows(then)) {
                continue;
            }
            boolean due = team != null && team.guarantees(then);
            if (left == null) {
                left = remaining(usage);
            }
            Set<String> zones = new LinkedHashSet<>();
            if (s.gang() && s.oneZone()) {
                for (Node n : nodes.values()) {
                    zones.add(n.machine.zone);
                }
            } else {
                zones.add(null);
            }
            for (String zone : zones) {
                Plan p = plan(j, zone, want, least, due, nodes, left, nowS);
                if (p == null) {
                    continue;
                }
                for (Placement v : p.victims) {
                    v.stop(v.job.spec.checkpointS() > 0 ? v.job.spec.saveS() + Constants.SAVE_GRACE_S : 0);
                    if (v.job.spec.gang()) {
                        for (Placement q : v.job.placed.values()) {
                            q.stop(v.leewayS);
                        }
                    }
                    cluster.event("preempted for " + s.id(), v.name() + " on " + v.machine);
                }
                lastFor.put(s.id(), nowS);
                left = p.left;
                break;
            }
        }
        guests.round(unplaced, nodes, usage, nowS);
    }

    /** What to stop for one job, and the room that it takes in the round's view. */
    private static final class Plan {
        final Set<Placement> victims = new LinkedHashSet<>();
        final List<Node> claimed = new ArrayList<>();
        final Map<String, Resources> left;

        Plan(Map<String, Resources> left) {
            this.left = new HashMap<>(left);
        }
    }

    /** What each team would use if all that was told to stop were gone: its guarantee is judged by that. */
    private Map<String, Resources> remaining(Map<String, Resources> usage) {
        Map<String, Resources> left = new HashMap<>(usage);
        for (Job j : cluster.jobs.values()) {
            for (Placement p : j.placed.values()) {
                if (p.stopping) {
                    left.merge(j.spec.team(), j.spec.need(), Resources::minus);
                }
            }
        }
        return left;
    }

    /** What goes with a task that is stopped: a gang stops as a whole. */
    private static Resources goesWith(Placement p) {
        Resources n = p.job.spec.need();
        int k = p.job.spec.gang() ? p.job.placed.size() : 1;
        return new Resources(n.cpus() * k, n.gpus() * k, n.ramGb() * k);
    }

    /**
     * All or nothing: a gang for which not every task can be provided stops nobody, or what it stopped would be started
     * again next round and stopped once more, for as long as it waits. Room that is free or held for it counts first.
     */
    private Plan plan(
            Job j,
            String zone,
            int want,
            int least,
            boolean due,
            Map<String, Node> nodes,
            Map<String, Resources> left,
            double nowS) {
        Plan p = new Plan(left);
        Resources need = j.spec.need();
        int got = 0;
        Map<String, Integer> perZone = new HashMap<>();
        if (j.spec.gang()) {
            for (Node n : nodes.values()) {
                while (got < want && may(j, n, zone) && need.fitsIn(n.future())) {
                    n.pipelined = n.pipelined.plus(need);
                    p.claimed.add(n);
                    got++;
                }
            }
        }
        while (got < want) {
            List<Placement> victims = cheapest(j, zone, due, p, perZone, nodes, nowS);
            if (victims == null) {
                break;
            }
            Node n = nodes.get(victims.get(0).machine);
            for (Placement v : victims) {
                n.releasing = n.releasing.plus(v.job.spec.need());
                p.left.merge(v.job.spec.team(), goesWith(v), Resources::minus);
            }
            p.victims.addAll(victims);
            perZone.merge(n.machine.zone, 1, Integer::sum);
            n.pipelined = n.pipelined.plus(need);
            p.claimed.add(n);
            got++;
        }
        if (got >= least && !p.victims.isEmpty()) {
            return p;
        }
        for (Node n : p.claimed) {
            n.pipelined = n.pipelined.minus(need);
        }
        for (Placement v : p.victims) {
            Node n = nodes.get(v.machine);
            n.releasing = n.releasing.minus(v.job.spec.need());
        }
        return null;
    }

    private static boolean may(Job j, Node n, String zone) {
        return j.spec.allows(n.machine.type.name(), n.machine.zone, n.machine.spot)
                && (zone == null || zone.equals(n.machine.zone))
                && (n.machine.heldFor == null || n.machine.heldFor.equals(j.spec.id()));
    }

    private List<Placement> cheapest(
            Job j,
            String zone,
            boolean due,
            Plan plan,
            Map<String, Integer> perZone,
            Map<String, Node> nodes,
            double nowS) {
        JobSpec s = j.spec;
        List<Placement> best = null;
        double least = Double.MAX_VALUE;
        for (Node n : nodes.values()) {
            if (!may(j, n, zone) || !s.need().fitsIn(n.machine.type.size())) {
                continue;
            }
            if (s.service() && s.need().gpus() == 0 && n.machine.type.size().gpus() > 0) {
                continue;
            }
            if (s.service() && times.mayWait(j) && times.lateS(j, n.machine) > 0) {
                continue;
            }
            if (s.apart() && !j.zoneAllows(n.machine.zone, 1 + perZone.getOrDefault(n.machine.zone, 0))) {
                continue;
            }
            List<Placement> may = new ArrayList<>();
            for (Placement p : n.machine.placed.values()) {
                if (!p.stopping && !p.standby && !plan.victims.contains(p) && mayStop(s, due, p, plan.left, Map.of())) {
                    may.add(p);
                }
            }
            if (may.isEmpty()) {
                continue;
            }
            may.sort(Comparator.comparingDouble(p -> loss(p, nowS)));
            Resources room = n.future();
            List<Placement> taken = new ArrayList<>();
            Map<String, Resources> gone = new HashMap<>();
            // A start waits for its image too: a machine that has it is worth the loss of as much work.
            double cost = n.machine.images.contains(s.image())
                    ? 0
                    : s.imageGb() / Math.max(0.01, n.machine.type.fetchGbPerS());
            for (Placement p : may) {
                if (s.need().fitsIn(room)) {
                    break;
                }
                if (!mayStop(s, due, p, plan.left, gone)) {
                    continue;
                }
                gone.merge(p.job.spec.team(), goesWith(p), Resources::plus);
                room = room.plus(p.job.spec.need());
                taken.add(p);
                cost += loss(p, nowS);
            }
            if (!taken.isEmpty() && s.need().fitsIn(room) && cost < least) {
                least = cost;
                best = taken;
            }
        }
        return best;
    }

    /**
     * Whether a task may be stopped, given what its team would be left with and what of that goes too. Only what runs
     * beyond the other team's guarantee, of the kind that it is guaranteed, may be taken back, and a gang only if that
     * holds for all of it; or the two teams stop each other's gangs in turn, for as long as both have some waiting.
     */
    private boolean mayStop(
            JobSpec s, boolean due, Placement p, Map<String, Resources> left, Map<String, Resources> gone) {
        JobSpec v = p.job.spec;
        // Accelerator work is worth more than the little room that a service takes beside it.
        if (s.service() && s.need().gpus() == 0 && (v.need().gpus() > 0 || v.gang())) {
            return false;
        }
        if (v.urgency().compareTo(s.urgency()) < 0) {
            return true;
        }
        if (!due || v.team().equals(s.team())) {
            return false;
        }
        Team other = cluster.team(v.team());
        if (other == null || other.gpus() <= 0 && other.cpus() <= 0) {
            return false;
        }
        Resources then = left.getOrDefault(v.team(), Resources.ZERO)
                .minus(gone.getOrDefault(v.team(), Resources.ZERO))
                .minus(goesWith(p));
        return v.need().gpus() > 0 && other.gpus() > 0 ? then.gpus() > other.gpus() - 1e-6 : !other.guarantees(then);
    }

    /** Seconds of work that a stop would waste: all of it without checkpoints, the saving otherwise. */
    private double loss(Placement p, double nowS) {
        JobSpec s = p.job.spec;
        double ran = Double.isNaN(p.runningS) ? 0 : nowS - p.runningS;
        double share = s.need().gpus() > 0 ? s.need().gpus() : s.need().cpus() / 16;
        if (s.service()) {
            return Constants.REPLICA_LOSS_S;
        }
        double left = Math.max(0, cluster.expectedS(p.job) - ran);
        double waste = s.checkpointS() > 0 ? s.saveS() + 5 : ran + 5;
        return share * waste + (left < 5 ? 20 : 0);
    }
}
