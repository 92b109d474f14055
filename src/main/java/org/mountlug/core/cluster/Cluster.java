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
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Order;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.scale.Listed;

/**
 * The leader's picture: live jobs, machines and what each may hold. A placement leaves it only with a proof that the
 * attempt is gone; see {@link #gone}. No I/O: reports, records and times come in, orders go out.
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
            return size() > Math.max(Constants.DEPARTED_LEAST, 2 * machines.size());
        }
    };
    /** Revisions at which jobs were moved to the finished ones, so that a late watch does not bring them back. */
    private final Map<String, Long> finished = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> e) {
            return size() > Math.max(Constants.FINISHED_LEAST, 2 * jobs.size());
        }
    };

    private final ReportHandler reports;
    private final CommandHandler commands;
    private final Outcomes outcomes = new Outcomes();
    private final FailureBlame blame = new FailureBlame(name -> machines.get(name), this::event);
    /** Machines that were condemned and are still there, as of the last round. */
    private int condemned;

    private final AcceleratorNeeds acceleratorNeeds = new AcceleratorNeeds();
    private final RecordRoom recordRoom = new RecordRoom();
    private final Map<String, List<String>> expected = new HashMap<>();
    private EventSummary events = new EventSummary();
    private final StartCounts starts = new StartCounts();
    private long lostTasks;
    private long failedTasks;
    /** Jobs without accelerators that the cheap machines cannot serve in time, and may use whole accelerator machines. */
    public final Set<String> overflowing = new HashSet<>();

    /** Whether room came free, since it was last asked, while some gang waits for room that it has reserved. */
    private boolean roomCameFree;
    /** Whether a service waited for room in the last round. */
    public boolean serviceWaits;

    /** Whether room came free for somebody who waits for it, since the last call. */
    public boolean roomCameFree() {
        boolean f = roomCameFree;
        roomCameFree = false;
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
    private double hearingS = Double.NEGATIVE_INFINITY;

    /** This process stood still until now. */
    public void woke(double nowS) {
        hearingS = nowS;
    }

    /** Whether the machine was heard of since we could hear. */
    public boolean heardInTerm(Machine m) {
        return m.heardS >= hearingS;
    }

    /** How starts went in each zone since this term began. */
    public StartCounts starts() {
        return starts;
    }

    /** Seconds since the machine was last heard of, or since we could have heard it. */
    public double silentS(Machine m, double nowS) {
        return nowS - Math.max(m.heardS, hearingS);
    }

    /** Seconds since which it has not been both synced and hearing, as far as we could tell; NaN while it is. */
    public double unheardS(Machine m, double nowS) {
        return nowS - Math.max(m.unheardSinceS, hearingS);
    }

    /** Seconds since we could have heard of a machine's coming up. */
    public double hearingFor(double nowS) {
        return nowS - hearingS;
    }

    /** Tells how many KiB a record may have while no parts may be written. */
    public void valueLimit(double kib) {
        recordRoom.valueLimit(kib);
    }

    /** From now on what does not fit into a record goes into parts, so that records hold nobody back. */
    public void partsAllowed() {
        recordRoom.partsAllowed();
    }

    /** Characters of the longest name of a machine. */
    public int longestName() {
        int longest = Constants.RECORD_MACHINE_NAME;
        for (Machine m : machines.values()) {
            longest = Math.max(longest, m.name.length());
        }
        return longest;
    }

    /** How many more tasks of a job may be placed so that its record surely stays within the value limit. */
    public int recordRoom(Job j) {
        return recordRoom.of(j);
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
    public void event(String kind, String subject) {
        events.add(kind, subject);
    }

    /** How jobs and machines stand. */
    public FleetStatus status(double nowS) {
        int suspected = 0;
        for (Job j : jobs.values()) {
            suspected += j.failureHistory.suspected() ? 1 : 0;
        }
        int booting = 0;
        int silent = 0;
        int quarantined = 0;
        for (Machine m : machines.values()) {
            booting += m.cameUp() || !m.placed.isEmpty() ? 0 : 1;
            silent += m.up && silentS(m, nowS) > leaseS ? 1 : 0;
            quarantined += m.sick ? 1 : 0;
        }
        return new FleetStatus(
                jobs.size(), suspected, machines.size(), booting, silent, quarantined, lostTasks, failedTasks);
    }

    /** Takes in the machine types with their current prices. */
    public void catalogue(Collection<MachineType> l) {
        for (MachineType t : l) {
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
    public Map<String, Resources> usage() {
        Map<String, Resources> u = new HashMap<>();
        for (Job j : jobs.values()) {
            if (!j.placed.isEmpty()) {
                Resources n = j.spec.need();
                int k = j.placed.size();
                u.merge(j.spec.team(), new Resources(n.cpus() * k, n.gpus() * k, n.ramGb() * k), Resources::plus);
            }
        }
        for (Machine m : machines.values()) {
            for (Report.Item i : m.strays.values()) {
                Job j = jobs.get(i.job());
                if (j != null) {
                    u.merge(j.spec.team(), j.spec.need(), Resources::plus);
                }
            }
        }
        return u;
    }

    /** Run time to expect of a task, the owner's estimate corrected by what the class has shown. */
    public double expectedS(Job j) {
        return j.spec.service() ? Double.POSITIVE_INFINITY : outcomes.expectedS(j);
    }

    /** What accelerator work of any priority needs of this type beside the accelerators when it fills it. */
    public Resources acceleratorShareOfAll(MachineType t) {
        return acceleratorNeeds.shareOfAll(t);
    }

    /** What accelerator work that may take the place of other work needs of this type when it fills it. */
    public Resources acceleratorShare(MachineType t) {
        return acceleratorNeeds.share(t);
    }

    // ---- records ----------------------------------------------------------------------------------------------

    /** Takes in a job as the state service has it, at the start of a term or when a user submitted it. */
    public void load(Job j, double nowS) {
        Long over = finished.get(j.spec.id());
        if (over != null && j.stamp <= over) {
            return;
        }
        jobs.put(j.spec.id(), j);
        blame.loaded(j);
        acceleratorNeeds.add(j.spec);
        for (Placement p : j.placed.values()) {
            Machine m = machines.get(p.machine);
            if (m == null) {
                m = new Machine(p.machine, nowS);
                m.zone = p.zone;
                machines.put(p.machine, m);
            }
            m.placed.put(p.name(), p);
        }
    }

    /** A user's abort became durable: nothing that has not been sent may start, the rest must stop. */
    public void cancelled(Job j, double nowS) {
        if (!j.cancelled) {
            event("cancelled", j.spec.id());
        }
        j.cancelled = true;
        reservations.remove(j.spec.id());
        for (Placement p : new ArrayList<>(j.placed.values())) {
            if (p.version > 0 && p.startSentIn < 0 && !p.startAtLarge && !p.seen) {
                drop(p); // ours, no start ever left
            } else {
                p.stop(0);
            }
        }
        if (j.over()) {
            j.touch(nowS, true);
        }
    }

    /** What was decided of a job cannot be made durable: tasks that never had a start give back the room they hold. */
    public void withdraw(Job j, double untilS) {
        for (Placement p : new ArrayList<>(j.placed.values())) {
            if (p.startSentIn >= 0 || p.startAtLarge || p.seen || j.durable(p.task, p.version)) {
                continue;
            }
            drop(p);
        }
        j.pausedUntilS = untilS; // or others of its tasks would take the room at once
    }

    /** Whether another machine has room for this replica now. */
    public boolean roomElsewhere(Placement p) {
        JobSpec s = p.job.spec;
        for (Machine m : machines.values()) {
            if (!m.usable() || m.zoneHeldBack || m.heldFor != null || m.name.equals(p.machine) || !m.strays.isEmpty()) {
                continue;
            }
            if (!s.allows(m.type.name(), m.zone, m.spot)
                    || !s.need().fitsIn(m.type.size().minus(m.used()))) {
                continue;
            }
            // Its own place in its zone comes free with it.
            if (m.zone.equals(p.zone) || !s.oneZone() && p.job.zoneAllows(m.zone, 1)) {
                return true;
            }
        }
        return false;
    }

    /** The job's record moved to the finished ones at this revision. */
    public void finished(Job j, long epoch) {
        finished.put(j.spec.id(), epoch);
        outcomes.forget(j.spec.id());
        blame.over(j);
        jobs.remove(j.spec.id());
        reservations.remove(j.spec.id());
    }

    /** Places a task; the start leaves only once the record that holds it is durable. */
    public Placement place(Job j, int task, long attempt, Machine m, double nowS) {
        j.touch(task, nowS, true);
        Placement p = new Placement(j, task, attempt, m.name, m.zone, m.session, j.version, nowS);
        j.placed.put(task, p);
        j.begun = true;
        m.placed.put(p.name(), p);
        return p;
    }

    /** Takes an attempt out of the picture of which it is certain that it runs nowhere. */
    void drop(Placement p) {
        p.job.placed.remove(p.task);
        Machine m = machines.get(p.machine);
        if (m != null) {
            m.placed.remove(p.name());
        }
    }

    /** The attempt is proven gone, without a result. */
    void gone(Placement p, double nowS, double retryS, String why) {
        drop(p);
        Job j = p.job;
        if (Double.isNaN(p.runningS) && !p.stopping) {
            starts.addLost(p.zone);
        }
        // A replica that is gone is missed by the second, and so is the room for one.
        roomFreed(j.spec.service() && !j.cancelled);
        if (retryS > 0) {
            j.notBefore.put(p.task, nowS + retryS);
        }
        j.touch(p.task, nowS, j.cancelled);
        lostTasks++;
        event("lost of " + j.spec.id() + ", " + why, p.name() + " try " + p.attempt + " on " + p.machine);
        // What remains of a gang can neither go on nor be completed: a new attempt needs it out of the way.
        if (j.spec.gang()) {
            for (Placement q : j.placed.values()) {
                q.stop(0);
            }
        }
    }

    // ---- workers ------------------------------------------------------------------------------------------------

    /** Takes in a worker's report and says what to answer; null means the reporter knows a newer leader than us. */
    public List<Order> report(Report r, boolean mayStart, double nowS) {
        return reports.report(r, mayStart, nowS);
    }

    /**
     * Orders that are worth a message of their own instead of waiting for the machine's next report: stops, which free
     * room that somebody waits for, and starts of work that is waited for by the second, or with {@code every} any start.
     * Marks them as sent.
     */
    public List<Order> urgent(Machine m, boolean mayStart, boolean every, double nowS) {
        return commands.urgent(m, mayStart, every, nowS);
    }

    /** Nothing of these orders was carried out, nor ever will be. */
    public void refused(Machine m, long session, List<Order> orders) {
        commands.refused(m, session, orders);
    }

    /** A worker's report as it comes back from orders sent directly to it; it renews no lease. */
    public void carriedOut(Machine m, Report r, List<Order> orders, double nowS) {
        commands.carriedOut(m, r, orders, nowS);
    }

    /** Whether the machine must not be answered, so that its lease runs out. */
    public boolean unanswerable(String machine, double nowS) {
        return commands.unanswerable(machine, nowS);
    }

    /** Standbys whose room has come free become ordinary placements; those that waited too long are given up. */
    public void reviewStandbys(double nowS) {
        reports.reviewStandbys(nowS);
    }

    /** Whether this machine was proven gone. */
    boolean departed(String name) {
        return departed.containsKey(name);
    }

    /** Room has come free, which somebody may wait for by the second. */
    void roomFreed(boolean waitedFor) {
        roomCameFree |= waitedFor || !reservations.isEmpty() || serviceWaits;
    }

    /** A task that was placed in this zone runs. */
    void started(Placement p) {
        starts.addSucceeded(p.zone);
    }

    /** A task has failed by itself, on a machine that may be at fault. */
    void failed(Machine m, Job j, long attempt) {
        failedTasks++;
        blame.failed(m, j, attempt);
    }

    /** A task has completed, or a replica has run for long: neither its job nor its machine is at fault. */
    void succeeded(Machine m, Job j) {
        blame.succeeded(m, j);
    }

    /** A task has completed in this time; what that says of its machine and its class. */
    void completed(Machine m, Placement p, double nowS) {
        if (outcomes.done(m, p, machines.size(), condemned, nowS)) {
            event("quarantined, runs tasks slowly", m.name);
        }
    }

    // ---- proofs without the worker -----------------------------------------------------------------------------

    /** The cloud has confirmed that the machine and everything on it are gone. */
    public void machineGone(String name, double nowS, String why) {
        Machine m = machines.remove(name);
        departed.put(name, nowS);
        if (m == null) {
            return;
        }
        for (Placement p : new ArrayList<>(m.placed.values())) {
            gone(p, nowS, 0, why);
        }
        event("gone, " + why, name);
    }

    /**
     * Leases that have provably run out. Only a worker that has seen our token counts: before that an older leader
     * may be keeping it alive, and nothing but our own answers renews it after.
     */
    public void expireLeases(double nowS) {
        condemned = 0;
        for (Machine m : machines.values()) {
            if (m.sick) {
                condemned++;
            }
        }
        double after = leaseS * (1 + Constants.DRIFT) + Constants.PROOF_MARGIN_S;
        for (Machine m : machines.values()) {
            if (!m.synced || Double.isNaN(m.answeredS) || nowS - m.answeredS <= after) {
                continue;
            }
            m.synced = false;
            m.deaf = true;
            if (Double.isNaN(m.unheardSinceS)) {
                m.unheardSinceS = nowS;
            }
            m.strays.clear();
            for (Placement p : new ArrayList<>(m.placed.values())) {
                gone(p, nowS, 0, "lease ran out");
            }
        }
    }

    /** The cloud's list: adopts what nobody expected; what failed by itself is gone. Returns failed ones to delete. */
    public List<String> listed(List<Listed> l, double lagS, double nowS) {
        List<String> failed = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Listed x : l) {
            names.add(x.name());
        }
        for (Machine m : machines.values()) {
            boolean shown = names.contains(m.name);
            if (shown && Double.isNaN(m.listedS)) {
                m.listedS = nowS;
            }
            // Once listed it stays so until it is gone, and no list is older than twice the lag.
            m.unlisted = !shown && nowS - m.listedS > 2 * lagS + Constants.PROOF_MARGIN_S;
        }
        for (Listed x : l) {
            if (departed.containsKey(x.name())) {
                continue;
            }
            Machine m = machines.get(x.name());
            if (x.status() == Listed.Status.FAILED) {
                machineGone(x.name(), nowS, "failed");
                failed.add(x.name());
                continue;
            }
            if (m == null) {
                m = new Machine(x.name(), nowS);
                m.rentedS = nowS - x.ageS();
                added(m);
            }
            m.running |= x.status() == Listed.Status.RUNNING;
            if (m.type == null) {
                m.type = types.get(x.type());
            }
            if (m.zone == null) {
                m.zone = x.zone();
            }
            if (!m.up) {
                m.spot = x.spot();
            }
            if (m.address == null) {
                m.address = x.address();
            }
        }
        return failed;
    }

    /** Images that an earlier leader saw on a machine; used once the machine is heard of. */
    public void expectImages(String machine, List<String> images) {
        Machine m = machines.get(machine);
        if (m != null) {
            m.images.addAll(images);
        } else {
            expected.put(machine, images);
        }
    }

    /** Takes in a machine that was not known. */
    Machine added(Machine m) {
        machines.put(m.name, m);
        List<String> l = expected.remove(m.name);
        if (l != null) {
            m.images.addAll(l);
        }
        return m;
    }

    /** Takes in a machine that was just rented and has yet to boot. */
    public void rented(String name, String type, String zone, boolean spot, double nowS) {
        if (departed.containsKey(name) || machines.containsKey(name)) {
            return;
        }
        Machine m = new Machine(name, nowS);
        m.type = types.get(type);
        m.zone = zone;
        m.spot = spot;
        m.ordered();
        added(m);
    }
}
