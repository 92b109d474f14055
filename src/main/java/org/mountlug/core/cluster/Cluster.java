package org.mountlug.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.scale.ListedMachine;

/**
 * The leader's picture: live jobs, machines and what each may hold. A placement leaves it only with a proof that the
 * attempt is gone; see {@link #recordLostAttempt}. No I/O: reports, records and times come in, orders go out.
 */
public final class Cluster {
    private final long token;
    private final double leaseS;
    private final Map<String, Team> teams = new LinkedHashMap<>();
    public final Object2ObjectLinkedOpenHashMap<String, Job> jobs = new Object2ObjectLinkedOpenHashMap<>();
    public final Object2ObjectOpenHashMap<String, Machine> machines = new Object2ObjectOpenHashMap<>();
    public final Map<String, List<Reservation>> reservations = new LinkedHashMap<>();
    private final Map<String, MachineType> types = new LinkedHashMap<>();
    /** Machines that are proven gone; the lagging list still shows them for a while. */
    private final Map<String, Double> departed = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> e) {
            // The list may show any of them for a while, and all machines may go at once.
            return size() > Math.max(Constants.MIN_REMEMBERED_DEPARTED_MACHINES, 2 * machines.size());
        }
    };
    /** Revisions at which jobs were moved to the finished ones, so that a late watch does not bring them back. */
    private final Map<String, Long> finished = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> e) {
            return size() > Math.max(Constants.MIN_REMEMBERED_FINISHED_JOBS, 2 * jobs.size());
        }
    };

    private final ReportHandler reports;
    private final CommandHandler commands;
    private final RunTimeStatistics outcomes = new RunTimeStatistics();
    private final FailureAttribution blame = new FailureAttribution(name -> machines.get(name), this::addEvent);
    /** Machines that were condemned and are still there, as of the last round. */
    private int condemned;

    private final AcceleratorHostDemand acceleratorNeeds = new AcceleratorHostDemand();
    private final RecordCapacity recordRoom = new RecordCapacity();
    private final Map<String, List<String>> expected = new HashMap<>();
    private EventSummary events = new EventSummary();
    private final StartCounts startCounts = new StartCounts();
    private long lostTasks;
    private long failedTasks;
    /** Jobs without accelerators that the cheap machines cannot serve in time, and may use whole accelerator machines. */
    public final Set<String> overflowJobs = new HashSet<>();

    /** Whether room came free, since it was last asked, while some gang waits for room that it has reserved. */
    private boolean takeCapacityFreed;
    /** Whether a service waited for room in the last round. */
    public boolean serviceWaiting;

    /** Whether room came free for somebody who waits for it, since the last call. */
    public boolean takeCapacityFreed() {
        boolean f = takeCapacityFreed;
        takeCapacityFreed = false;
        return f;
    }

    /** An empty picture for the term with this fencing token. */
    public Cluster(long token, double leaseS, Collection<Team> teams) {
        this.token = token;
        this.leaseS = leaseS;
        this.reports = new ReportHandler(this, leaseS);
        this.commands = new CommandHandler(this, reports);
        for (Team t : teams) {
            this.teams.put(t.name(), t);
        }
    }

    /** Steady seconds since which we hear at all: a silence before is ours, not the machines'. */
    private double listeningSinceS = Double.NEGATIVE_INFINITY;

    /** This process stood still until now. */
    public void restartListening(double nowS) {
        listeningSinceS = nowS;
    }

    /** Whether the machine was heard of since we could hear. */
    public boolean hasReportedSinceListening(Machine m) {
        return m.lastReportS >= listeningSinceS;
    }

    /** How starts went in each zone since this term began. */
    public StartCounts startCounts() {
        return startCounts;
    }

    /** Seconds since the machine was last heard of, or since we could have heard it. */
    public double silentS(Machine m, double nowS) {
        return nowS - Math.max(m.lastReportS, listeningSinceS);
    }

    /** Seconds since which it has not been both synced and hearing, as far as we could tell; NaN while it is. */
    public double outOfContactS(Machine m, double nowS) {
        return nowS - Math.max(m.outOfContactSinceS, listeningSinceS);
    }

    /** Seconds since we could have heard of a machine's coming up. */
    public double listeningForS(double nowS) {
        return nowS - listeningSinceS;
    }

    /** Tells how many KiB a record may have while no parts may be written. */
    public void setValueLimitKib(double kib) {
        recordRoom.setValueLimitKib(kib);
    }

    /** From now on what does not fit into a record goes into parts, so that records hold nobody back. */
    public void allowRecordParts() {
        recordRoom.allowParts();
    }

    /** Characters of the longest name of a machine. */
    public int maxMachineNameLength() {
        int longest = Constants.ASSUMED_MACHINE_NAME_CHARS;
        for (Machine m : machines.values()) {
            longest = Math.max(longest, m.name.length());
        }
        return longest;
    }

    /** How many more tasks of a job may be placed so that its record surely stays within the value limit. */
    public int remainingRecordTasks(Job j) {
        return recordRoom.remainingTasks(j);
    }

    /** The fencing token of this term. */
    public long token() {
        return token;
    }

    /** The teams that the settings name. */
    public Collection<Team> teams() {
        return teams.values();
    }

    /** The team of this name, or null. */
    public Team team(String name) {
        return teams.get(name);
    }

    /** The machine types that are known. */
    public Collection<MachineType> types() {
        return types.values();
    }

    /** What is worth a line in the log since the last call. */
    public EventSummary takeEvents() {
        EventSummary taken = events;
        events = new EventSummary();
        return taken;
    }

    /** Leaves an event for the log, with its subject: a task, a machine or a job. */
    public void addEvent(String kind, String subject) {
        events.add(kind, subject);
    }

    /** How jobs and machines stand. */
    public FleetStatus status(double nowS) {
        int suspected = 0;
        for (Job j : jobs.values()) {
            suspected += j.failureHistory.isSuspected() ? 1 : 0;
        }
        int booting = 0;
        int silent = 0;
        int quarantined = 0;
        for (Machine m : machines.values()) {
            booting += m.hasBooted() || !m.placements.isEmpty() ? 0 : 1;
            silent += m.hasReported && silentS(m, nowS) > leaseS ? 1 : 0;
            quarantined += m.quarantined ? 1 : 0;
        }
        return new FleetStatus(
                jobs.size(), suspected, machines.size(), booting, silent, quarantined, lostTasks, failedTasks);
    }

    /** Takes in the machine types with their current prices. */
    public void setMachineTypes(Collection<MachineType> machineTypes) {
        for (MachineType t : machineTypes) {
            types.put(t.name(), t);
            for (Machine m : machines.values()) {
                if (m.type != null && m.type.name().equals(t.name())) {
                    m.type = t;
                }
            }
        }
    }

    /** The machine type of this name, or null. */
    public MachineType type(String name) {
        return types.get(name);
    }

    /** Everything of a team that is not proven gone, strays included. */
    public Map<String, Resources> usageByTeam() {
        Map<String, Resources> u = new HashMap<>();
        for (Job j : jobs.values()) {
            if (!j.placements.isEmpty()) {
                Resources n = j.spec.request();
                int k = j.placements.size();
                u.merge(j.spec.team(), new Resources(n.cpus() * k, n.gpus() * k, n.ramGb() * k), Resources::plus);
            }
        }
        for (Machine m : machines.values()) {
            for (Report.AttemptStatus i : m.orphans.values()) {
                Job j = jobs.get(i.job());
                if (j != null) {
                    u.merge(j.spec.team(), j.spec.request(), Resources::plus);
                }
            }
        }
        return u;
    }

    /** Run time to expect of a task, the owner's estimate corrected by what the class has shown. */
    public double expectedRunS(Job j) {
        return j.spec.isService() ? Double.POSITIVE_INFINITY : outcomes.expectedRunS(j);
    }

    /** What accelerator work of any priority needs of this type beside the accelerators when it fills it. */
    public Resources acceleratorHostDemand(MachineType t) {
        return acceleratorNeeds.ofAllPriorities(t);
    }

    /** What accelerator work that may take the place of other work needs of this type when it fills it. */
    public Resources preemptingAcceleratorHostDemand(MachineType t) {
        return acceleratorNeeds.ofPreemptingPriorities(t);
    }

    // ---- records ----------------------------------------------------------------------------------------------

    /** Takes in a job as the state service has it, at the start of a term or when a user submitted it. */
    public void loadJob(Job j, double nowS) {
        Long over = finished.get(j.spec.id());
        if (over != null && j.revision <= over) {
            return;
        }
        jobs.put(j.spec.id(), j);
        blame.recordLoadedJob(j);
        acceleratorNeeds.add(j.spec);
        for (Placement p : j.placements.values()) {
            Machine m = machines.get(p.machine);
            if (m == null) {
                m = new Machine(p.machine, nowS);
                m.zone = p.zone;
                machines.put(p.machine, m);
            }
            m.placements.put(p.taskName(), p);
        }
    }

    /** A user's abort became durable: nothing that has not been sent may start, the rest must stop. */
    public void applyCancellation(Job j, double nowS) {
        if (!j.cancelled) {
            addEvent("cancelled", j.spec.id());
        }
        j.cancelled = true;
        reservations.remove(j.spec.id());
        for (Placement p : new ArrayList<>(j.placements.values())) {
            if (p.version > 0 && p.startReportSequence < 0 && !p.startUnconfirmed && !p.reported) {
                removePlacement(p); // ours, no start ever left
            } else {
                p.requestStop(0);
            }
        }
        if (j.isFinished()) {
            j.markChanged(nowS, true);
        }
    }

    /** What was decided of a job cannot be made durable: tasks that never had a start give back the room they hold. */
    public void dropUnpersistedPlacements(Job j, double untilS) {
        for (Placement p : new ArrayList<>(j.placements.values())) {
            if (p.startReportSequence >= 0 || p.startUnconfirmed || p.reported || j.isDurable(p.task, p.version)) {
                continue;
            }
            removePlacement(p);
        }
        j.pausedUntilS = untilS; // or others of its tasks would take the room at once
    }

    /** Whether another machine has room for this replica now. */
    public boolean hasCapacityElsewhere(Placement p) {
        JobSpec s = p.job.spec;
        for (Machine m : machines.values()) {
            if (!m.isSchedulable()
                    || m.zoneRestricted
                    || m.heldForGang != null
                    || m.name.equals(p.machine)
                    || !m.orphans.isEmpty()) {
                continue;
            }
            if (!s.allows(m.type.name(), m.zone, m.spot)
                    || !s.request().fitsIn(m.type.capacity().minus(m.allocated()))) {
                continue;
            }
            // Its own place in its zone comes free with it.
            if (m.zone.equals(p.zone) || !s.oneZone() && p.job.zoneRulesAllow(m.zone, 1)) {
                return true;
            }
        }
        return false;
    }

    /** The job's record moved to the finished ones at this revision. */
    public void removeFinishedJob(Job j, long revision) {
        finished.put(j.spec.id(), revision);
        outcomes.removeJob(j.spec.id());
        blame.recordFinishedJob(j);
        jobs.remove(j.spec.id());
        reservations.remove(j.spec.id());
    }

    /** Places a task; the start leaves only once the record that holds it is durable. */
    public Placement place(Job j, int task, long attempt, Machine m, double nowS) {
        j.markChanged(task, nowS, true);
        Placement p = new Placement(j, task, attempt, m.name, m.zone, m.session, j.version, nowS);
        j.placements.put(task, p);
        j.everPlaced = true;
        m.placements.put(p.taskName(), p);
        return p;
    }

    /** Takes an attempt out of the picture of which it is certain that it runs nowhere. */
    void removePlacement(Placement p) {
        p.job.placements.remove(p.task);
        Machine m = machines.get(p.machine);
        if (m != null) {
            m.placements.remove(p.taskName());
        }
    }

    /** The attempt is proven gone, without a result. */
    void recordLostAttempt(Placement p, double nowS, double retryS, String reason) {
        removePlacement(p);
        Job j = p.job;
        if (Double.isNaN(p.runningSinceS) && !p.stopping) {
            startCounts.addLost(p.zone);
        }
        // A replica that is gone is missed by the second, and so is the room for one.
        markCapacityFreed(j.spec.isService() && !j.cancelled);
        if (retryS > 0) {
            j.retryNotBeforeS.put(p.task, nowS + retryS);
        }
        j.markChanged(p.task, nowS, j.cancelled);
        lostTasks++;
        addEvent("lost of " + j.spec.id() + ", " + reason, p.taskName() + " try " + p.attempt + " on " + p.machine);
        // What remains of a gang can neither go on nor be completed: a new attempt needs it out of the way.
        if (j.spec.isGang()) {
            for (Placement q : j.placements.values()) {
                q.requestStop(0);
            }
        }
    }

    // ---- workers ------------------------------------------------------------------------------------------------

    /** Takes in a worker's report and says what to answer; null means the reporter knows a newer leader than us. */
    public List<Command> handleReport(Report r, boolean mayStart, double nowS) {
        return reports.handleReport(r, mayStart, nowS);
    }

    /**
     * Orders that are worth a message of their own instead of waiting for the machine's next report: stops, which free
     * room that somebody waits for, and starts of work that is waited for by the second, or with {@code every} any start.
     * Marks them as sent.
     */
    public List<Command> takeDirectCommands(Machine m, boolean mayStart, boolean allStarts, double nowS) {
        return commands.takeDirectCommands(m, mayStart, allStarts, nowS);
    }

    /** Nothing of these orders was carried out, nor ever will be. */
    public void recordRefusedCommands(Machine m, long session, List<Command> orders) {
        commands.recordRefusedCommands(m, session, orders);
    }

    /** A worker's report as it comes back from orders sent directly to it; it renews no lease. */
    public void recordCommandResponse(Machine m, Report r, List<Command> orders, double nowS) {
        commands.recordCommandResponse(m, r, orders, nowS);
    }

    /** Whether the machine must not be answered, so that its lease runs out. */
    public boolean mustWithholdResponse(String machine, double nowS) {
        return commands.mustWithholdResponse(machine, nowS);
    }

    /** Standbys whose room has come free become ordinary placements; those that waited too long are given up. */
    public void updateStandbys(double nowS) {
        reports.updateStandbys(nowS);
    }

    /** Whether this machine was proven gone. */
    boolean isMachineGone(String name) {
        return departed.containsKey(name);
    }

    /** Room has come free, which somebody may wait for by the second. */
    void markCapacityFreed(boolean awaited) {
        takeCapacityFreed |= awaited || !reservations.isEmpty() || serviceWaiting;
    }

    /** A task that was placed in this zone runs. */
    void recordStart(Placement p) {
        startCounts.addSucceeded(p.zone);
    }

    /** A task has failed by itself, on a machine that may be at fault. */
    void recordFailure(Machine m, Job j, long attempt) {
        failedTasks++;
        blame.recordFailure(m, j, attempt);
    }

    /** A task has completed, or a replica has run for long: neither its job nor its machine is at fault. */
    void recordSuccess(Machine m, Job j) {
        blame.recordSuccess(m, j);
    }

    /** A task has completed in this time; what that says of its machine and its class. */
    void recordCompletion(Machine m, Placement p, double nowS) {
        if (outcomes.recordCompletion(m, p, machines.size(), condemned, nowS)) {
            addEvent("quarantined, runs tasks slowly", m.name);
        }
    }

    // ---- proofs without the worker -----------------------------------------------------------------------------

    /** The cloud has confirmed that the machine and everything on it are gone. */
    public void recordMachineGone(String name, double nowS, String reason) {
        Machine m = machines.remove(name);
        departed.put(name, nowS);
        if (m == null) {
            return;
        }
        for (Placement p : new ArrayList<>(m.placements.values())) {
            recordLostAttempt(p, nowS, 0, reason);
        }
        addEvent("gone, " + reason, name);
    }

    /**
     * Leases that have provably run out. Only a worker that has seen our token counts: before that an older leader
     * may be keeping it alive, and nothing but our own answers renews it after.
     */
    public void expireLeases(double nowS) {
        condemned = 0;
        for (Machine m : machines.values()) {
            if (m.quarantined) {
                condemned++;
            }
        }
        double after = leaseS * (1 + Constants.MAX_CLOCK_DRIFT) + Constants.TIMING_MARGIN_S;
        for (Machine m : machines.values()) {
            if (!m.tokenConfirmed || Double.isNaN(m.lastResponseS) || nowS - m.lastResponseS <= after) {
                continue;
            }
            m.tokenConfirmed = false;
            m.unreachable = true;
            if (Double.isNaN(m.outOfContactSinceS)) {
                m.outOfContactSinceS = nowS;
            }
            m.orphans.clear();
            for (Placement p : new ArrayList<>(m.placements.values())) {
                recordLostAttempt(p, nowS, 0, "lease ran out");
            }
        }
    }

    /** The cloud's list: adopts what nobody expected; what failed by itself is gone. Returns failed ones to delete. */
    public List<String> applyMachineList(List<ListedMachine> machineList, double listLagS, double nowS) {
        List<String> failed = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (ListedMachine x : machineList) {
            names.add(x.name());
        }
        for (Machine m : machines.values()) {
            boolean shown = names.contains(m.name);
            if (shown && Double.isNaN(m.firstListedS)) {
                m.firstListedS = nowS;
            }
            // Once listed it stays so until it is gone, and no list is older than twice the lag.
            m.unlisted = !shown && nowS - m.firstListedS > 2 * listLagS + Constants.TIMING_MARGIN_S;
        }
        for (ListedMachine x : machineList) {
            if (departed.containsKey(x.name())) {
                continue;
            }
            Machine m = machines.get(x.name());
            if (x.status() == ListedMachine.Status.FAILED) {
                recordMachineGone(x.name(), nowS, "failed");
                failed.add(x.name());
                continue;
            }
            if (m == null) {
                m = new Machine(x.name(), nowS);
                m.rentedS = nowS - x.ageS();
                addMachine(m);
            }
            m.listedAsRunning |= x.status() == ListedMachine.Status.RUNNING;
            if (m.type == null) {
                m.type = types.get(x.type());
            }
            if (m.zone == null) {
                m.zone = x.zone();
            }
            if (!m.hasReported) {
                m.spot = x.spot();
            }
            if (m.address == null) {
                m.address = x.address();
            }
        }
        return failed;
    }

    /** Images that an earlier leader saw on a machine; used once the machine is heard of. */
    public void setExpectedImages(String machine, List<String> images) {
        Machine m = machines.get(machine);
        if (m != null) {
            m.cachedImages.addAll(images);
        } else {
            expected.put(machine, images);
        }
    }

    /** Takes in a machine that was not known. */
    Machine addMachine(Machine m) {
        machines.put(m.name, m);
        List<String> l = expected.remove(m.name);
        if (l != null) {
            m.cachedImages.addAll(l);
        }
        return m;
    }

    /** Takes in a machine that was just rented and has yet to boot. */
    public void addRentedMachine(String name, String type, String zone, boolean spot, double nowS) {
        if (departed.containsKey(name) || machines.containsKey(name)) {
            return;
        }
        Machine m = new Machine(name, nowS);
        m.type = types.get(type);
        m.zone = zone;
        m.spot = spot;
        m.markRented();
        addMachine(m);
    }
}
