package org.mountlug.core.zone;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Placement;

/**
 * The zones of one leader's term: their states, and what follows from these for placing, renting, returning and moving. With
 * tracking disabled a zone is judged by its silence of the moment, and nothing follows but that nothing is rented there.
 */
public final class ZoneWatch {
    private final Cluster cluster;
    private final ZoneSettings settings;
    private final double leaseS;
    private final ZoneCensus census;
    private final SubstituteMachines substitutes;
    private final HomewardMoves moves;
    private final Map<String, ZoneTracker> trackers = new TreeMap<>();
    private final List<String> transitions = new ArrayList<>();
    private Map<String, ZoneCounts> counts = Map.of();
    private final Map<String, UnderWay> underWay = new HashMap<>();

    /** Starts under way in a zone, and images that machines there fetch for them. */
    private record UnderWay(int starts, int downloads) {}

    /** Watches the zones of this cluster's machines. */
    public ZoneWatch(Cluster cluster, ZoneSettings settings, double leaseS, double reportS) {
        this.cluster = cluster;
        this.settings = settings;
        this.leaseS = leaseS;
        census = new ZoneCensus(cluster, leaseS, reportS);
        substitutes = new SubstituteMachines(cluster);
        moves = new HomewardMoves(cluster);
    }

    /** Whether zones are tracked. */
    public boolean enabled() {
        return settings.enabled();
    }

    /** Goes on where an earlier leader stopped. */
    public void restore(Collection<ZoneSnapshot> stored, double nowS) {
        if (!settings.enabled()) {
            return;
        }
        for (ZoneSnapshot snapshot : stored) {
            trackers.put(snapshot.zone(), new ZoneTracker(snapshot, settings.thresholds(), settings.ramp(), nowS));
        }
    }

    /** What a later leader needs to know; zones of which there is nothing to say are left out. */
    public List<ZoneSnapshot> snapshots(double nowS) {
        List<ZoneSnapshot> snapshots = new ArrayList<>();
        for (ZoneTracker tracker : trackers.values()) {
            if (tracker.worthKeeping()) {
                snapshots.add(tracker.snapshot(nowS));
            }
        }
        return snapshots;
    }

    /**
     * Looks at all zones, once a round.
     *
     * @param reportsElsewhere workers' reports that have lately come to other controllers: those workers are not cut off
     */
    public void observe(int reportsElsewhere, double nowS) {
        if (!settings.enabled()) {
            return;
        }
        counts = census.count(nowS);
        for (String zone : counts.keySet()) {
            trackers.computeIfAbsent(zone, name -> new ZoneTracker(name, settings.thresholds(), settings.ramp(), nowS));
        }
        underWay.clear();
        boolean attributable = attributable(reportsElsewhere);
        for (Map.Entry<String, ZoneTracker> entry : trackers.entrySet()) {
            observe(entry.getKey(), entry.getValue(), attributable, nowS);
        }
        markMachines(nowS);
    }

    private void markMachines(double nowS) {
        Set<String> held = budgets().keySet();
        for (Machine machine : cluster.machines.values()) {
            if (machine.zone == null) {
                continue;
            }
            machine.zoneHeldBack = held.contains(machine.zone) || !admits(machine.zone);
            boolean away = state(machine.zone) != ZoneState.PRESENT;
            if (away && cluster.silentS(machine, nowS) > leaseS) {
                machine.forgiveUnheard(nowS);
            }
        }
    }

    private void observe(String zone, ZoneTracker tracker, boolean attributable, double nowS) {
        ZoneCounts count = counts(zone);
        boolean settled = cluster.hearingFor(nowS) > leaseS;
        boolean unknown = !settled && count.machines() < tracker.machinesToExpect();
        ZoneEvidence evidence =
                unknown ? ZoneEvidence.UNDECIDED : ZoneEvidence.of(count, attributable, settings.thresholds());
        ZoneStarts starts = new ZoneStarts(
                cluster.starts().succeeded(zone),
                cluster.starts().lost(zone),
                tracker.ramp() == null ? 0 : underWay(zone).starts());
        ZoneState before = tracker.state();
        if (!tracker.observe(evidence, count, starts, settled, nowS)) {
            return;
        }
        transitions.add("zone " + zone + ": " + before + " -> " + tracker.state() + ", " + count.silent() + " of "
                + count.machines() + " machines silent, " + count.heard() + " heard, " + tracker.losses()
                + " recent losses");
        if (tracker.state() == ZoneState.LOST) {
            moves.cancel(zone);
        }
    }

    /**
     * Whether silence can be a zone's own. Where all zones are silent, or other controllers hear as many workers as are
     * silent here, it is more likely this controller that does not hear.
     */
    private boolean attributable(int reportsElsewhere) {
        int judged = 0;
        int mostlySilent = 0;
        int silentMachines = 0;
        for (ZoneCounts count : counts.values()) {
            judged += count.machines() >= settings.thresholds().leastMachines() ? 1 : 0;
            mostlySilent += count.mostSilent(settings.thresholds()) ? 1 : 0;
            silentMachines += count.silent();
        }
        boolean allSilent = judged > 1 && mostlySilent == judged;
        boolean heardByPeers = reportsElsewhere > silentMachines * Constants.Zones.PEERS_HEAR_SHARE;
        return !allSilent && !heardByPeers;
    }

    private ZoneCounts counts(String zone) {
        return counts.getOrDefault(zone, ZoneCounts.NONE);
    }

    private UnderWay underWay(String zone) {
        return underWay.computeIfAbsent(zone, this::countUnderWay);
    }

    private UnderWay countUnderWay(String zone) {
        int starts = 0;
        int downloads = 0;
        for (Machine machine : cluster.machines.values()) {
            if (!zone.equals(machine.zone)) {
                continue;
            }
            Set<String> fetching = new HashSet<>();
            for (Placement placement : machine.placed.values()) {
                if (!Double.isNaN(placement.runningS) || placement.standby || placement.stopping) {
                    continue;
                }
                starts++;
                if (!machine.images.contains(placement.job.spec.image())) {
                    fetching.add(placement.job.spec.image());
                }
            }
            downloads += fetching.size();
        }
        return new UnderWay(starts, downloads);
    }

    /** Changes of state since the last call, a line each. */
    public List<String> takeTransitions() {
        List<String> taken = List.copyOf(transitions);
        transitions.clear();
        return taken;
    }

    /** The state of a zone. */
    public ZoneState state(String zone) {
        ZoneTracker tracker = trackers.get(zone);
        return tracker == null ? ZoneState.PRESENT : tracker.state();
    }

    /** All zones that have had machines, for operators. */
    public List<ZoneStatus> status() {
        List<ZoneStatus> status = new ArrayList<>();
        trackers.forEach((zone, tracker) -> {
            double window = tracker.ramp() == null ? 0 : tracker.ramp().window();
            status.add(new ZoneStatus(zone, tracker.state(), counts(zone), tracker.losses(), window));
        });
        return status;
    }

    /** Zones whose silent machines are worth waiting for. */
    public Set<String> disturbed(double nowS) {
        if (!settings.enabled()) {
            return census.mostlySilent(settings.thresholds(), nowS);
        }
        Set<String> disturbed = new HashSet<>();
        trackers.forEach((zone, tracker) -> {
            if (tracker.state() != ZoneState.PRESENT) {
                disturbed.add(zone);
            }
        });
        return disturbed;
    }

    /** Zones in which nothing is rented: those that are not present, or where there is no other, mostly silent. */
    public Set<String> barred(double nowS) {
        Set<String> barred = disturbed(nowS);
        if (settings.enabled()) {
            barred.removeIf(zone -> !hasAlternative(zone) && !counts(zone).mostSilent(settings.thresholds()));
        }
        return barred;
    }

    /** Zones in which more machines are quiet than fail by themselves. */
    public Set<String> quiet(double nowS) {
        return census.quiet(nowS);
    }

    /** The order of all waiting work while some zone is not present, else null: then teams' queues decide. */
    public DisplacementOrder order(ToDoubleFunction<Job> dueOrder) {
        for (ZoneTracker tracker : trackers.values()) {
            if (tracker.state() != ZoneState.PRESENT) {
                return new DisplacementOrder(settings.displacement(), dueOrder);
            }
        }
        return null;
    }

    /** Whether machines are rented for a job at once, however long a lost zone may stay away. */
    public boolean urgent(Job job) {
        return DisplacementOrder.urgent(job, settings.displacement());
    }

    /** Whether new work may go to this zone; a lost one gets none as long as there is any other. */
    public boolean admits(String zone) {
        return state(zone) != ZoneState.LOST || !hasAlternative(zone);
    }

    /** How many starts this round may place in each zone that returns; zones without a limit are left out. */
    public Map<String, StartBudget> budgets() {
        Map<String, StartBudget> budgets = new HashMap<>();
        trackers.forEach((zone, tracker) -> {
            ReturnRamp ramp = tracker.ramp();
            if (ramp == null || ramp.full() || !hasAlternative(zone)) {
                return;
            }
            UnderWay now = underWay(zone);
            int starts = (int) ramp.window() - now.starts();
            int downloads = ramp.downloads() - now.downloads();
            budgets.put(zone, new StartBudget(Math.min(starts, downloads)));
        });
        return budgets;
    }

    /** Whether machines are to be had in another zone that is not lost. */
    private boolean hasAlternative(String zone) {
        for (MachineType type : cluster.types()) {
            for (String other : type.zones()) {
                if (!other.equals(zone) && state(other) != ZoneState.LOST) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether a machine was rented in place of one in a zone that is still away or returning. */
    public boolean substitute(Machine machine) {
        for (Map.Entry<String, ZoneTracker> entry : trackers.entrySet()) {
            if (SubstituteMachines.replaces(machine, entry.getKey(), entry.getValue())) {
                return true;
            }
        }
        return false;
    }

    /** How many machines may be rented now for work that is not urgent; without limit if no zone is newly away. */
    public int rentable(double nowS) {
        int most = Integer.MAX_VALUE;
        for (Map.Entry<String, ZoneTracker> entry : trackers.entrySet()) {
            ZoneState state = entry.getValue().state();
            if (state == ZoneState.SUSPECT || state == ZoneState.LOST) {
                most = Math.min(most, substitutes.rentable(entry.getKey(), entry.getValue(), nowS));
            }
        }
        return most;
    }

    /** How many idle substitutes may be returned in this round. */
    public int returnable() {
        return SubstituteMachines.returnable(trackers.values());
    }

    /** Chooses substitutes whose work moves back to zones that return. */
    public void moveBack(double nowS) {
        trackers.forEach((zone, tracker) -> {
            if (tracker.ramp() != null) {
                moves.choose(zone, tracker, nowS);
            }
        });
    }
}
