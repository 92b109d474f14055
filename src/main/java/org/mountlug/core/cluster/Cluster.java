package org.mountlug.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
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
import org.mountlug.core.model.Cause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Order;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.TaskState;
import org.mountlug.core.model.Team;
import org.mountlug.core.model.Urgency;
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
            return size() > 2000;
        }
    };
    /** Revisions at which jobs were moved to the finished ones, so that a late watch does not bring them back. */
    private final Map<String, Long> finished = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> e) {
            return size() > 4000;
        }
    };

    private final Outcomes outcomes = new Outcomes();
    private final FailureBlame blame = new FailureBlame(name -> machines.get(name), this::event);
    /** Machines that were condemned and are still there, as of the last round. */
    private int condemned;
    /** By class: the neediest accelerator job seen in this term. */
    private final Map<String, JobSpec> acceleratorNeeds = new HashMap<>();

    private boolean parts;
    private double recordChars = 8 * 1024 * Constants.VALUE_FILL - Constants.RECORD_FIXED_CHARS;
    private final Map<String, List<String>> expected = new HashMap<>();
    private EventSummary events = new EventSummary();
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
        recordChars = kib * 1024 * Constants.VALUE_FILL - Constants.RECORD_FIXED_CHARS;
    }

    /** From now on what does not fit into a record goes into parts, so that records hold nobody back. */
    public void partsAllowed() {
        parts = true;
    }

    /** Characters of the longest name of a machine. */
    public int longestName() {
        int n = Constants.RECORD_MACHINE_NAME;
        for (Machine m : machines.values()) {
            n = Math.max(n, m.name.length());
        }
        return n;
    }

    /**
     * How many more tasks of a job may be placed so that its record surely stays within the value limit, however the
     * tasks that are placed now end: of a run of tasks every second one may stay, each then written by itself, and each
     * new task may need a machine of its own.
     */
    public int recordRoom(Job j) {
        if (parts) {
            return Integer.MAX_VALUE;
        }
        int digits = Integer.toString(j.spec.tasks()).length();
        int task = digits + Long.toString(j.attempts + 1).length() + 2;
        double used =
                j.spec.lane().length() + j.spec.team().length() + j.spec.image().length();
        if (j.spec.types() != null) {
            for (String t : j.spec.types()) {
                used += t.length() + 3;
            }
        }
        Object2ObjectOpenHashMap<String, Placement> last = new Object2ObjectOpenHashMap<>();
        Object2IntOpenHashMap<String> run = new Object2IntOpenHashMap<>();
        for (Placement p : j.placed.values()) {
            Placement before = last.put(p.machine, p);
            if (before == null) {
                used += p.machine.length() + Constants.RECORD_MACHINE_CHARS;
            }
            boolean goesOn = before != null && before.task == p.task - 1 && before.attempt == p.attempt;
            int n = goesOn ? run.getInt(p.machine) + 1 : 1;
            run.put(p.machine, n);
            // A run of two takes as much as two single ones; of more, at the worst every second one is left.
            if (n <= 2 || n % 2 == 1) {
                used += task;
            }
        }
        // Done ranges lie between open or placed tasks; a bit a task is the other way to write them.
        double bits = j.spec.tasks() / 6.0 + 8;
        int range = 2 * digits + 2;
        double done = Math.min(bits, range * (j.placed.size() + 1.0));
        double each = task + Constants.RECORD_MACHINE_NAME + Constants.RECORD_MACHINE_CHARS;
        if (bits > range * (j.placed.size() + 1.0)) {
            each += range;
        }
        return (int) Math.max(0, Math.floor((recordChars - used - done) / each));
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

    /** The same without preference: what the neediest accelerator work of any priority needs when it fills the type. */
    public Resources acceleratorShareOfAll(MachineType t) {
        Resources r = Resources.ZERO;
        if (t.size().gpus() <= 0) {
            return r;
        }
        for (JobSpec s : acceleratorNeeds.values()) {
            Resources n = s.need();
            if (!n.fitsIn(t.size())) {
                continue;
            }
            double k = n.countIn(t.size());
            r = new Resources(Math.max(r.cpus(), n.cpus() * k), 0, Math.max(r.ramGb(), n.ramGb() * k));
        }
        return r;
    }

    /**
     * What accelerator work needs of this type beside the accelerators when it fills it, of the neediest class that may
     * take the place of another. Where none may, what runs beside is in nobody's way.
     */
    public Resources acceleratorShare(MachineType t) {
        Resources r = Resources.ZERO;
        if (t.size().gpus() <= 0) {
            return r;
        }
        Urgency least = Urgency.PROD;
        for (JobSpec s : acceleratorNeeds.values()) {
            if (s.urgency().compareTo(least) < 0) {
                least = s.urgency();
            }
        }
        for (JobSpec s : acceleratorNeeds.values()) {
            Resources n = s.need();
            if (!n.fitsIn(t.size()) || s.urgency().compareTo(least) <= 0) {
                continue;
            }
            double k = n.countIn(t.size());
            r = new Resources(Math.max(r.cpus(), n.cpus() * k), 0, Math.max(r.ramGb(), n.ramGb() * k));
        }
        return r;
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
        if (j.spec.need().gpus() > 0) {
            acceleratorNeeds.merge(
                    j.spec.lane(), j.spec, (a, b) -> a.need().cpus() >= b.need().cpus() ? a : b);
        }
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
            if (!m.usable() || m.heldFor != null || m.name.equals(p.machine) || !m.strays.isEmpty()) {
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

    private void drop(Placement p) {
        p.job.placed.remove(p.task);
        Machine m = machines.get(p.machine);
        if (m != null) {
            m.placed.remove(p.name());
        }
    }

    /** The attempt is proven gone, without a result. */
    private void gone(Placement p, double nowS, double retryS, String why) {
        drop(p);
        Job j = p.job;
        // A replica that is gone is missed by the second, and so is the room for one.
        roomCameFree |= !reservations.isEmpty() || serviceWaits || j.spec.service() && !j.cancelled;
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

    // ---- reports ----------------------------------------------------------------------------------------------

    /** Takes in a worker's report and says what to answer; null means the reporter knows a newer leader than us. */
    public List<Order> report(Report r, boolean mayStart, double nowS) {
        if (r.token() > token) {
            return null;
        }
        if (departed.containsKey(r.machine())) {
            return List.of(); // a late word of a machine that was returned
        }
        Machine m = machines.get(r.machine());
        if (m == null) {
            m = new Machine(r.machine(), nowS);
            added(m);
            event("found " + r.type() + " in " + r.zone() + (r.spot() ? " spot" : ""), m.name);
        }
        if (!r.newerThan(m.session, m.sequence)) {
            // Overtaken by the answer to orders sent directly to the worker, it may still be the one report that it
            // waits
            // for, and then what we answer renews its lease. A copy of a report that we had is no such thing, nor is
            // one
            // that a later report has followed.
            if (r.session() == m.session && r.sequence() > m.reportSequence) {
                m.reportSequence = r.sequence();
                m.answeredS = nowS;
            }
            return List.of(); // held back on its way: as old as its sequence
        }
        if (!m.up) {
            m.firstHeard(nowS);
        }
        boolean served = m.synced && !m.deaf;
        if (r.session() > m.session && m.sequence >= 0) {
            m.deaf = true;
        } else if (r.token() == token && r.sequence() == m.sequence + 1 && nowS - m.heardS < Constants.STAYED_S) {
            m.deaf = false;
        }
        m.type = types.get(r.type());
        m.zone = r.zone();
        m.spot = r.spot();
        m.address = r.address();
        if (nowS - m.heardS > leaseS / 2) {
            m.gapS = nowS;
        }
        m.heardS = nowS;
        if (r.session() != m.session) {
            m.ended.clear();
            m.atLarge.clear(); // a command names its session
        }
        m.session = r.session();
        m.sequence = r.sequence();
        m.reportSequence = r.sequence();
        if (!Double.isNaN(r.recallS())) {
            if (Double.isNaN(m.takenS)) {
                event("notice, taken in " + Math.round(r.recallS()) + " s", m.name);
            }
            m.takenS = nowS + r.recallS();
        }
        // A report under an older token may be followed by an older leader's word; it proves nothing.
        m.synced = r.token() == token;
        // Nothing could be given to it until now, so it has not been idle; else what comes back from a cut is returned.
        if (!served && m.synced && !m.deaf) {
            m.idleSinceS = nowS;
        }
        if (m.synced && !m.deaf) {
            m.unheardSinceS = Double.NaN;
        } else if (Double.isNaN(m.unheardSinceS)) {
            m.unheardSinceS = nowS;
        }
        m.answeredS = nowS;
        if (!m.synced) {
            return stops(m, r);
        }
        return settle(m, r, mayStart, nowS);
    }

    /**
     * What can be said to a worker that has not seen our token: cancelled tasks stop with the first answer, as the same
     * answer renews their lease and leaders may change again before the next. A stop names an attempt and proves nothing.
     */
    private List<Order> stops(Machine m, Report r) {
        List<Order> orders = new ArrayList<>();
        for (Report.Item i : r.tasks()) {
            Placement p = m.placed.get(i.job() + "/" + i.task());
            if (p == null || p.attempt != i.attempt() || !p.job.cancelled || i.state() == TaskState.EXITED) {
                continue;
            }
            orders.add(new Order(Order.Verb.STOP, p.name(), p.attempt, p.leewayS));
        }
        return orders;
    }

    // ---- directly to workers ----------------------------------------------------------------------------------

    /**
     * Orders that are worth a message of their own instead of waiting for the machine's next report: stops, which free
     * room that somebody waits for, and starts of work that is waited for by the second, or with {@code every} any start, as a
     * slot that waits for a report is idle. Marks them as sent.
     */
    public List<Order> urgent(Machine m, boolean mayStart, boolean every, double nowS) {
        if (!m.synced || m.deaf || m.address == null) {
            return List.of();
        }
        List<Order> l = new ArrayList<>();
        for (Placement p : m.placed.values()) {
            if (p.session != m.session || jobs.get(p.job.spec.id()) != p.job) {
                continue;
            }
            if (p.stopping && p.seen && !p.stopSent && p.state != TaskState.EXITED && (mayStart || p.job.cancelled)) {
                p.stopSent = true;
                l.add(new Order(Order.Verb.STOP, p.name(), p.attempt, p.leewayS));
            } else if (mayStart
                    && startable(m, p)
                    && (every
                            || p.job.spec.gang()
                            || p.job.spec.service()
                            || p.job.spec.need().gpus() > 0)) {
                p.startAtLarge = true;
                p.sentS = nowS;
                m.atLarge.add(Machine.key(p.job.spec.id(), p.task, p.attempt));
                l.add(new Order(Order.Verb.START, p.name(), p.attempt, 0));
            }
        }
        return l;
    }

    private boolean startable(Machine m, Placement p) {
        return p.startSentIn < 0
                && !p.startAtLarge
                && !p.seen
                && !p.stopping
                && !p.standby
                && !p.job.cancelled
                && Double.isNaN(p.sentS)
                && p.session == m.session
                && p.job.durable(p.task, p.version);
    }

    /** Nothing of these orders was carried out, nor ever will be. */
    public void refused(Machine m, long session, List<Order> orders) {
        if (m.session != session) {
            return;
        }
        for (Order o : orders) {
            Placement p = m.placed.get(o.task());
            // Not sent directly again, or a worker that refuses connections is called ten times a second; answers carry
            // it.
            if (p == null || p.attempt != o.attempt() || o.verb() == Order.Verb.STOP) {
                continue;
            }
            p.startAtLarge = false;
            m.atLarge.remove(Machine.key(p.job.spec.id(), p.task, p.attempt));
        }
    }

    /**
     * A worker's report as it comes back from orders sent directly to it. It renews no lease, and what it lacks may
     * still come by an answer on its way, so it only shows what is there.
     */
    public void carriedOut(Machine m, Report r, List<Order> orders, double nowS) {
        if (r.token() > token || machines.get(m.name) != m || r.session() != m.session) {
            return;
        }
        for (Order o : orders) {
            if (o.verb() != Order.Verb.START) {
                continue;
            }
            Placement p = m.placed.get(o.task());
            if (p == null || p.attempt != o.attempt()) {
                continue;
            }
            p.startAtLarge = false;
            p.seen = true;
            m.atLarge.remove(Machine.key(p.job.spec.id(), p.task, p.attempt));
        }
        if (!r.newerThan(m.session, m.sequence) || r.token() != token) {
            return;
        }
        m.sequence = r.sequence();
        m.heardS = nowS;
        for (Report.Item i : r.tasks()) {
            Placement p = m.placed.get(i.job() + "/" + i.task());
            if (p == null || p.attempt != i.attempt()) {
                continue;
            }
            shown(m, p, i, Machine.key(i.job(), i.task(), i.attempt()), nowS);
        }
    }

    /**
     * Whether the machine must not be answered, so that its lease runs out: a start sent to it has neither been
     * answered nor taken effect, and only the end of its session proves that it never will.
     */
    public boolean unanswerable(String machine, double nowS) {
        Machine m = machines.get(machine);
        if (m == null || m.atLarge.isEmpty()) {
            return false;
        }
        for (Placement p : m.placed.values()) {
            if (p.startAtLarge && !p.seen && nowS - p.sentS > Constants.AT_LARGE_S) {
                return true;
            }
        }
        return false;
    }

    /** Takes in what a report shows of an attempt that is placed there. */
    private void shown(Machine m, Placement p, Report.Item i, String key, double nowS) {
        p.seen = true;
        p.state = i.state();
        if (i.state() == TaskState.EXITED) {
            ended(m, p, i, key, nowS);
        } else if (i.state() == TaskState.RUNNING && Double.isNaN(p.runningS)) {
            p.runningS = nowS;
            if (p.job.spec.service()) {
                p.job.touch(p.task, nowS, false); // its user is told how many run
            }
            m.images.remove(p.job.spec.image());
            m.images.add(p.job.spec.image());
        }
    }

    private List<Order> settle(Machine m, Report r, boolean mayStart, double nowS) {
        List<Order> orders = new ArrayList<>();
        Map<String, Report.Item> shown = new HashMap<>();
        for (Report.Item i : r.tasks()) {
            shown.put(Machine.key(i.job(), i.task(), i.attempt()), i);
        }
        m.strays.clear();
        for (Placement p : new ArrayList<>(m.placed.values())) {
            if (p.session < m.session) {
                gone(p, nowS, 0, "new session");
                continue;
            }
            String key = Machine.key(p.job.spec.id(), p.task, p.attempt);
            Report.Item i = shown.remove(key);
            if (i == null) {
                absent(m, p, r, nowS);
                continue;
            }
            shown(m, p, i, key, nowS);
            if (i.state() != TaskState.EXITED && p.stopping) {
                orders.add(new Order(Order.Verb.STOP, p.name(), p.attempt, p.leewayS));
            }
        }
        for (Report.Item i : r.tasks()) {
            String key = Machine.key(i.job(), i.task(), i.attempt());
            String name = i.job() + "/" + i.task();
            if (i.state() == TaskState.EXITED) {
                Machine.Ended e = m.ended.get(key);
                // Forgetting early would let a repeated start run it again, or lose the result.
                // A start still at large would run it once more if it were forgotten.
                if (m.atLarge.contains(key)) {
                    continue;
                }
                if (e == null || e.durable() || jobs.get(i.job()) != e.job()) {
                    m.ended.remove(key);
                    orders.add(new Order(Order.Verb.FORGET, name, i.attempt(), 0));
                }
            } else if (shown.containsKey(key)) {
                m.strays.put(key, i);
                orders.add(new Order(Order.Verb.STOP, name, i.attempt(), 0));
            }
        }
        if (mayStart) {
            for (Placement p : m.placed.values()) {
                if (p.startSentIn >= 0 || p.seen || p.stopping || p.job.cancelled || p.session != m.session) {
                    continue;
                }
                if (!p.job.durable(p.task, p.version) || jobs.get(p.job.spec.id()) != p.job) {
                    continue;
                }
                if (p.standby && !mayBegin(m, p)) {
                    continue;
                }
                p.standby = false;
                p.startSentIn = r.sequence();
                orders.add(new Order(Order.Verb.START, p.name(), p.attempt, 0));
            }
        }
        if (!m.empty()) {
            m.idleSinceS = nowS;
        }
        return orders;
    }

    /** Whether what a standby waited for has ended. */
    private static boolean mayBegin(Machine m, Placement p) {
        return m.type != null
                && m.strays.isEmpty()
                && p.job.spec.need().fitsIn(m.type.size().minus(m.used()));
    }

    /** Standbys whose room has come free become ordinary placements; those that waited too long are given up. */
    public void reviewStandbys(double nowS) {
        for (Machine m : machines.values()) {
            for (Placement p : new ArrayList<>(m.placed.values())) {
                if (!p.standby) {
                    continue;
                }
                if (mayBegin(m, p)) {
                    p.standby = false;
                } else if (nowS - p.sinceS > Constants.STANDBY_MAX_S) {
                    drop(p); // its start never left
                    p.job.touch(p.task, nowS, false);
                }
            }
        }
    }

    /** A newer report lacks an attempt: its start, if any, was dropped for good, since workers drop late answers. */
    private void absent(Machine m, Placement p, Report r, double nowS) {
        if (p.seen) {
            // At large, it could even begin once more; but a worker forgets an attempt only when told to.
            gone(p, nowS, 0, "not reported any more");
        } else if (p.startAtLarge) {
            // No proof of anything, but an answer may bring the same start sooner; see unanswerable.
            if (r.sequence() > p.startSentIn) {
                p.startSentIn = -1;
            }
        } else if (p.stopping) {
            if (p.job.durable(p.task, p.version)) {
                gone(p, nowS, 0, "stopped before it began");
            }
        } else if (p.startSentIn >= 0 && r.sequence() > p.startSentIn) {
            // Once, an answer was lost; twice, the machine does not hear us, and what waits for it must not wait
            // longer.
            if (++p.ignored < Constants.IGNORED_STARTS) {
                p.startSentIn = -1; // goes out again with this answer
            } else {
                m.deaf = true;
                gone(p, nowS, 0, "its start has no effect");
            }
        }
    }

    private void ended(Machine m, Placement p, Report.Item i, String key, double nowS) {
        Job j = p.job;
        if (j.spec.service()) {
            gone(p, nowS, replicaEnded(m, p, i.cause(), nowS), "replica exited " + i.cause());
        } else if (i.cause() == Cause.DONE) {
            drop(p);
            roomCameFree |= !reservations.isEmpty() || serviceWaits;
            if (outcomes.done(m, p, machines.size(), condemned, nowS)) {
                event("quarantined, runs tasks slowly", m.name);
            }
            if (j.spec.gang()) { // a gang completes together
                j.done.set(0, j.spec.tasks());
                for (int t = 0; t < j.spec.tasks(); t = j.from(j.partOf(t) + 1)) {
                    j.touch(t, nowS, true);
                }
            } else {
                j.done.set(p.task);
            }
            j.failures.remove(p.task);
            blame.succeeded(m, j);
            j.touch(p.task, nowS, j.complete());
        } else {
            double retry = 0;
            if (i.cause() == Cause.ERROR) {
                int n = j.failures.addTo(p.task, 1) + 1;
                retry = Math.min(Constants.RETRY_MAX_S, Constants.RETRY_BASE_S * Math.pow(2, n - 1));
                failedTasks++;
                blame.failed(m, j, p.attempt);
                if (j.failureHistory.suspected()) {
                    j.pausedUntilS = Math.max(j.pausedUntilS, nowS + j.failureHistory.retryS());
                }
            } else if (i.cause() == Cause.FULL || i.cause() == Cause.BUSY || i.cause() == Cause.UNKNOWN) {
                retry = Constants.REFUSED_RETRY_S;
            }
            gone(p, nowS, retry, "exited " + i.cause() + (i.saved() ? ", saved" : ""));
        }
        m.ended.put(key, new Machine.Ended(j, p.task, j.version));
    }

    /**
     * A replica has ended by itself, with whatever cause: it has to run again, and elsewhere. Returns the seconds until
     * then: none for one that had settled or failed once, as the fault is most likely the machine's; one that ends at
     * once again and again must not take the turn of the others.
     */
    private double replicaEnded(Machine m, Placement p, Cause cause, double nowS) {
        Job j = p.job;
        if (cause == Cause.STOPPED) {
            return 0;
        }
        j.avoid.put(p.task, m.name);
        if (cause == Cause.FULL || cause == Cause.BUSY || cause == Cause.UNKNOWN) {
            return Constants.REFUSED_RETRY_S;
        }
        if (!Double.isNaN(p.runningS) && nowS - p.runningS > Constants.SETTLED_S) {
            j.failures.remove(p.task);
            blame.succeeded(m, j);
        }
        int n = j.failures.addTo(p.task, 1) + 1;
        if (cause == Cause.ERROR) {
            failedTasks++;
            blame.failed(m, j, p.attempt);
        }
        return n < 2 ? 0 : Math.min(Constants.RETRY_MAX_S, Constants.RETRY_BASE_S * Math.pow(2, n - 2));
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

    private Machine added(Machine m) {
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
