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
 * Tracks the states of the zones during a leader's term, and derives from them limits on placing work and on renting,
 * returning and draining machines. With tracking disabled, the only effects are that no machines are rented in a zone most of
 * whose machines are silent at the moment, and that its silent machines are kept for longer.
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
    private Map<String, ZoneCounts> countsByZone = Map.of();
    private final Map<String, StartsInProgress> startsByZone = new HashMap<>();

    /** Starts in progress in a zone, and the image downloads of its machines for these starts. */
    private record StartsInProgress(int starts, int downloads) {}

    /**
     * Creates a monitor for the zones of this cluster's machines.
     *
     * @param leaseS seconds of a worker's lease
     * @param reportS seconds between two reports of a worker
     */
    public ZoneMonitor(Cluster cluster, ZoneSettings settings, double leaseS, double reportS) {
        this.cluster = cluster;
        this.settings = settings;
        this.leaseS = leaseS;
        counter = new ZoneMachineCounter(cluster, leaseS, reportS);
        substitutes = new SubstituteMachines(cluster);
        failback = new FailbackPlanner(cluster);
    }

    /** Whether zones are tracked. */
    public boolean isEnabled() {
        return settings.enabled();
    }

    /** Restores the zone states that an earlier leader stored; does nothing if zones are not tracked. */
    public void restore(Collection<ZoneSnapshot> stored, double nowS) {
        if (!settings.enabled()) {
            return;
        }
        for (ZoneSnapshot snapshot : stored) {
            trackers.put(snapshot.zone(), new ZoneTracker(snapshot, settings.thresholds(), settings.ramp(), nowS));
        }
    }

    /** Returns the zone states to store for a later leader; present zones without recent losses are left out. */
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
     * Updates the states of all zones; called once a round.
     *
     * @param peerReportCount recent reports of workers to other controllers, which show that these workers are not cut off
     */
    public void observe(int peerReportCount, double nowS) {
        if (!settings.enabled()) {
            return;
        }
        countsByZone = counter.count(nowS);
        for (String zone : countsByZone.keySet()) {
            trackers.computeIfAbsent(zone, name -> new ZoneTracker(name, settings.thresholds(), settings.ramp(), nowS));
        }
        startsByZone.clear();
        boolean silenceAttributable = isSilenceAttributable(peerReportCount);
        for (Map.Entry<String, ZoneTracker> entry : trackers.entrySet()) {
            observe(entry.getKey(), entry.getValue(), silenceAttributable, nowS);
        }
        markMachines(nowS);
    }

    private void markMachines(double nowS) {
        Set<String> limitedZones = startBudgets().keySet();
        for (Machine machine : cluster.machines.values()) {
            if (machine.zone == null) {
                continue;
            }
            machine.zoneRestricted = limitedZones.contains(machine.zone) || !acceptsWork(machine.zone);
            boolean notPresent = state(machine.zone) != ZoneState.PRESENT;
            if (notPresent && cluster.silentS(machine, nowS) > leaseS) {
                machine.resetOutOfContact(nowS);
            }
        }
    }

    private void observe(String zone, ZoneTracker tracker, boolean silenceAttributable, double nowS) {
        ZoneCounts counts = countsOf(zone);
        boolean allMachinesKnown = cluster.listeningForS(nowS) > leaseS;
        boolean tooEarly = !allMachinesKnown && counts.machines() < tracker.minMachinesToJudge();
        ZoneEvidence evidence =
                tooEarly ? ZoneEvidence.UNDECIDED : ZoneEvidence.of(counts, silenceAttributable, settings.thresholds());
        ZoneStarts starts = new ZoneStarts(
                cluster.startCounts().succeeded(zone),
                cluster.startCounts().lost(zone),
                tracker.ramp() == null ? 0 : startsInProgress(zone).starts());
        ZoneState previous = tracker.state();
        if (!tracker.observe(evidence, counts, starts, allMachinesKnown, nowS)) {
            return;
        }
        transitions.add("zone " + zone + ": " + previous + " -> " + tracker.state() + ", " + counts.silent() + " of "
                + counts.machines() + " machines silent, " + counts.reporting() + " reporting, "
                + tracker.recentLosses()
                + " recent losses");
        if (tracker.state() == ZoneState.LOST) {
            failback.cancel(zone);
        }
    }

    /**
     * Whether silence can be a fault of the zones. If most machines of all zones are silent, or many workers report to other
     * controllers compared with the number of silent machines, this controller is more likely cut off itself.
     */
    private boolean isSilenceAttributable(int peerReportCount) {
        int judgedZones = 0;
        int mostlySilentZones = 0;
        int silentMachines = 0;
        for (ZoneCounts counts : countsByZone.values()) {
            judgedZones += counts.machines() >= settings.thresholds().minMachines() ? 1 : 0;
            mostlySilentZones += counts.isMostlySilent(settings.thresholds()) ? 1 : 0;
            silentMachines += counts.silent();
        }
        boolean allZonesSilent = judgedZones > 1 && mostlySilentZones == judgedZones;
        boolean reportingToPeers = peerReportCount > silentMachines * Constants.Zones.PEER_REPORT_SHARE;
        return !allZonesSilent && !reportingToPeers;
    }

    private ZoneCounts countsOf(String zone) {
        return countsByZone.getOrDefault(zone, ZoneCounts.NONE);
    }

    private StartsInProgress startsInProgress(String zone) {
        return startsByZone.computeIfAbsent(zone, this::countStartsInProgress);
    }

    private StartsInProgress countStartsInProgress(String zone) {
        int starts = 0;
        int downloads = 0;
        for (Machine machine : cluster.machines.values()) {
            if (!zone.equals(machine.zone)) {
                continue;
            }
            Set<String> imagesToFetch = new HashSet<>();
            for (Placement placement : machine.placements.values()) {
                if (!Double.isNaN(placement.runningSinceS) || placement.standby || placement.stopping) {
                    continue;
                }
                starts++;
                if (!machine.cachedImages.contains(placement.job.spec.image())) {
                    imagesToFetch.add(placement.job.spec.image());
                }
            }
            downloads += imagesToFetch.size();
        }
        return new StartsInProgress(starts, downloads);
    }

    /** Returns the state transitions since the last call, each described by a line, and clears them. */
    public List<String> takeTransitions() {
        List<String> taken = List.copyOf(transitions);
        transitions.clear();
        return taken;
    }

    /** Returns the state of a zone; {@code PRESENT} if the zone is not tracked. */
    public ZoneState state(String zone) {
        ZoneTracker tracker = trackers.get(zone);
        return tracker == null ? ZoneState.PRESENT : tracker.state();
    }

    /** Returns the status of all tracked zones, for operators. */
    public List<ZoneStatus> status() {
        List<ZoneStatus> status = new ArrayList<>();
        trackers.forEach((zone, tracker) -> {
            double window = tracker.ramp() == null ? 0 : tracker.ramp().window();
            status.add(new ZoneStatus(zone, tracker.state(), countsOf(zone), tracker.recentLosses(), window));
        });
        return status;
    }

    /** Returns the zones whose silent machines are kept for longer, because they probably report again. */
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

    /**
     * Returns the zones in which no machines are rented: those that are not present, but zones without an alternative only
     * while most of their machines are silent.
     */
    public Set<String> closedZones(double nowS) {
        Set<String> closed = disturbedZones(nowS);
        if (settings.enabled()) {
            closed.removeIf(zone -> !hasAlternative(zone) && !countsOf(zone).isMostlySilent(settings.thresholds()));
        }
        return closed;
    }

    /** Returns the zones in which more machines are late than would be by independent failures. */
    public Set<String> lateZones(double nowS) {
        return counter.lateZones(nowS);
    }

    /** Returns the order of all waiting jobs while some zone is not present, else null; then the teams' queues decide. */
    public DisplacementOrder displacementOrder(ToDoubleFunction<Job> orderKey) {
        for (ZoneTracker tracker : trackers.values()) {
            if (tracker.state() != ZoneState.PRESENT) {
                return new DisplacementOrder(settings.displacementClasses(), orderKey);
            }
        }
        return null;
    }

    /** Whether a job is so urgent that machines are rented for it at once, without waiting for a lost zone to return. */
    public boolean isUrgent(Job job) {
        return DisplacementOrder.isUrgent(job, settings.displacementClasses());
    }

    /** Whether new work may be placed in this zone; a lost zone gets none while another zone is not lost. */
    public boolean acceptsWork(String zone) {
        return state(zone) != ZoneState.LOST || !hasAlternative(zone);
    }

    /** Returns how many starts this round may place in each returning zone; zones without a limit are left out. */
    public Map<String, StartBudget> startBudgets() {
        Map<String, StartBudget> budgets = new HashMap<>();
        trackers.forEach((zone, tracker) -> {
            ReturnRamp ramp = tracker.ramp();
            if (ramp == null || ramp.isFull() || !hasAlternative(zone)) {
                return;
            }
            StartsInProgress inProgress = startsInProgress(zone);
            int starts = (int) ramp.window() - inProgress.starts();
            int downloads = ramp.maxDownloads() - inProgress.downloads();
            budgets.put(zone, new StartBudget(Math.min(starts, downloads)));
        });
        return budgets;
    }

    /** Whether a machine type is offered in another zone that is not lost. */
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

    /** Whether a machine was rented as a substitute for one in a zone that is still absent or returning. */
    public boolean isSubstitute(Machine machine) {
        for (Map.Entry<String, ZoneTracker> entry : trackers.entrySet()) {
            if (SubstituteMachines.isSubstitute(machine, entry.getKey(), entry.getValue())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns how many machines may be rented now for work that is not urgent; {@link Integer#MAX_VALUE} if no zone is
     * suspect or lost, or if those zones have been absent for long.
     */
    public int maxDeferrableRentals(double nowS) {
        int limit = Integer.MAX_VALUE;
        for (Map.Entry<String, ZoneTracker> entry : trackers.entrySet()) {
            ZoneState state = entry.getValue().state();
            if (state == ZoneState.SUSPECT || state == ZoneState.LOST) {
                limit = Math.min(limit, substitutes.maxRentals(entry.getKey(), entry.getValue(), nowS));
            }
        }
        return limit;
    }

    /** Returns how many idle substitutes may be returned in this round. */
    public int maxSubstituteReturns() {
        return SubstituteMachines.maxReturns(trackers.values());
    }

    /** Starts to drain substitutes whose work moves back to returning zones. */
    public void planFailback(double nowS) {
        trackers.forEach((zone, tracker) -> {
            if (tracker.ramp() != null) {
                failback.planMoves(zone, tracker, nowS);
            }
        });
    }
}
