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
public final class ZoneMonitor {
    private final Cluster cluster;
    private final ZoneSettings settings;
    private final double leaseS;
    private final ZoneMachineCounter counter;
    private final SubstituteMachines substitutes;
    private final FailbackPlanner failback;
    private final Map<String, ZoneTracker> trackers = new TreeMap<>();
    private final List<String> transitions = new ArrayList<>();
    private Map<String, ZoneCounts> counts = Map.of();
    private final Map<String, UnderWay> underWay = new HashMap<>();

    /** Starts under way in a zone, and images that machines there fetch for them. */
    private record UnderWay(int starts, int downloads) {}

    /** Watches the zones of this cluster's machines. */
    public ZoneMonitor(Cluster cluster, ZoneSettings settings, double leaseS, double reportS) {
        this.cluster = cluster;
        this.settings = settings;
        this.leaseS = leaseS;
        counter = new ZoneMachineCounter(cluster, leaseS, reportS);
        substitutes = new SubstituteMachines(cluster);
        failback = new FailbackPlanner(cluster);
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
            if (tracker.needsSnapshot()) {
                snapshots.add(tracker.snapshot(nowS));
            }
        }
        return snapshots;
    }

    /**
     * Looks at all zones, once a round.
     *
     * @param peerReportCount workers' reports that have lately come to other controllers: those workers are not cut off
     */
    public void observe(int peerReportCount, double nowS) {
        if (!settings.enabled()) {
            return;
        }
        counts = counter.count(nowS);
        for (String zone : counts.keySet()) {
            trackers.computeIfAbsent(zone, name -> new ZoneTracker(name, settings.thresholds(), settings.ramp(), nowS));
        }
        underWay.clear();
        boolean attributable = attributable(peerReportCount);
        for (Map.Entry<String, ZoneTracker> entry : trackers.entrySet()) {
            observe(entry.getKey(), entry.getValue(), attributable, nowS);
        }
        markMachines(nowS);
    }

    private void markMachines(double nowS) {
        Set<String> held = startBudgets().keySet();
        for (Machine machine : cluster.machines.values()) {
            if (machine.zone == null) {
                continue;
            }
            machine.zoneRestricted = held.contains(machine.zone) || !acceptsWork(machine.zone);
            boolean away = state(machine.zone) != ZoneState.PRESENT;
            if (away && cluster.silentS(machine, nowS) > leaseS) {
                machine.resetOutOfContact(nowS);
            }
        }
    }

    private void observe(String zone, ZoneTracker tracker, boolean attributable, double nowS) {
        ZoneCounts count = counts(zone);
        boolean allMachinesKnown = cluster.listeningForS(nowS) > leaseS;
        boolean unknown = !allMachinesKnown && count.machines() < tracker.minMachinesToJudge();
        ZoneEvidence evidence =
                unknown ? ZoneEvidence.UNDECIDED : ZoneEvidence.of(count, attributable, settings.thresholds());
        ZoneStarts starts = new ZoneStarts(
                cluster.startCounts().succeeded(zone),
                cluster.startCounts().lost(zone),
                tracker.ramp() == null ? 0 : underWay(zone).starts());
        ZoneState before = tracker.state();
        if (!tracker.observe(evidence, count, starts, allMachinesKnown, nowS)) {
            return;
        }
        transitions.add("zone " + zone + ": " + before + " -> " + tracker.state() + ", " + count.silent() + " of "
                + count.machines() + " machines silent, " + count.reporting() + " heard, " + tracker.recentLosses()
                + " recent losses");
        if (tracker.state() == ZoneState.LOST) {
            failback.cancel(zone);
        }
    }

    /**
     * Whether silence can be a zone's own. Where all zones are silent, or other controllers hear as many workers as are
     * silent here, it is more likely this controller that does not hear.
     */
    private boolean attributable(int peerReportCount) {
        int judged = 0;
        int mostlySilent = 0;
        int silentMachines = 0;
        for (ZoneCounts count : counts.values()) {
            judged += count.machines() >= settings.thresholds().minMachines() ? 1 : 0;
            mostlySilent += count.isMostlySilent(settings.thresholds()) ? 1 : 0;
            silentMachines += count.silent();
        }
        boolean allSilent = judged > 1 && mostlySilent == judged;
        boolean heardByPeers = peerReportCount > silentMachines * Constants.Zones.PEER_REPORT_SHARE;
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
            for (Placement placement : machine.placements.values()) {
                if (!Double.isNaN(placement.runningSinceS) || placement.standby || placement.stopping) {
                    continue;
                }
                starts++;
                if (!machine.cachedImages.contains(placement.job.spec.image())) {
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
            status.add(new ZoneStatus(zone, tracker.state(), counts(zone), tracker.recentLosses(), window));
        });
        return status;
    }

    /** Zones whose silent machines are worth waiting for. */
    public Set<String> disturbedZones(double nowS) {
        if (!settings.enabled()) {
            return counter.mostlySilentZones(settings.thresholds(), nowS);
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
    public Set<String> closedZones(double nowS) {
        Set<String> barred = disturbedZones(nowS);
        if (settings.enabled()) {
            barred.removeIf(zone -> !hasAlternative(zone) && !counts(zone).isMostlySilent(settings.thresholds()));
        }
        return barred;
    }

    /** Zones in which more machines are quiet than fail by themselves. */
    public Set<String> lateZones(double nowS) {
        return counter.lateZones(nowS);
    }

    /** The order of all waiting work while some zone is not present, else null: then teams' queues decide. */
    public DisplacementOrder displacementOrder(ToDoubleFunction<Job> dueOrder) {
        for (ZoneTracker tracker : trackers.values()) {
            if (tracker.state() != ZoneState.PRESENT) {
                return new DisplacementOrder(settings.displacementClasses(), dueOrder);
            }
        }
        return null;
    }

    /** Whether machines are rented for a job at once, however long a lost zone may stay away. */
    public boolean isUrgent(Job job) {
        return DisplacementOrder.isUrgent(job, settings.displacementClasses());
    }

    /** Whether new work may go to this zone; a lost one gets none as long as there is any other. */
    public boolean acceptsWork(String zone) {
        return state(zone) != ZoneState.LOST || !hasAlternative(zone);
    }

    /** How many starts this round may place in each zone that returns; zones without a limit are left out. */
    public Map<String, StartBudget> startBudgets() {
        Map<String, StartBudget> budgets = new HashMap<>();
        trackers.forEach((zone, tracker) -> {
            ReturnRamp ramp = tracker.ramp();
            if (ramp == null || ramp.isFull() || !hasAlternative(zone)) {
                return;
            }
            UnderWay now = underWay(zone);
            int starts = (int) ramp.window() - now.starts();
            int downloads = ramp.maxDownloads() - now.downloads();
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
    public boolean isSubstitute(Machine machine) {
        for (Map.Entry<String, ZoneTracker> entry : trackers.entrySet()) {
            if (SubstituteMachines.isSubstitute(machine, entry.getKey(), entry.getValue())) {
                return true;
            }
        }
        return false;
    }

    /** How many machines may be rented now for work that is not urgent; without limit if no zone is newly away. */
    public int maxDeferrableRentals(double nowS) {
        int most = Integer.MAX_VALUE;
        for (Map.Entry<String, ZoneTracker> entry : trackers.entrySet()) {
            ZoneState state = entry.getValue().state();
            if (state == ZoneState.SUSPECT || state == ZoneState.LOST) {
                most = Math.min(most, substitutes.maxRentals(entry.getKey(), entry.getValue(), nowS));
            }
        }
        return most;
    }

    /** How many idle substitutes may be returned in this round. */
    public int maxSubstituteReturns() {
        return SubstituteMachines.maxReturns(trackers.values());
    }

    /** Chooses substitutes whose work moves back to zones that return. */
    public void planFailback(double nowS) {
        trackers.forEach((zone, tracker) -> {
            if (tracker.ramp() != null) {
                failback.planMoves(zone, tracker, nowS);
            }
        });
    }
}
