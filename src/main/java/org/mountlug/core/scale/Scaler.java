package org.mountlug.core.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Aims;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/**
 * Decides which machines to rent and which to return. Queued work is laid, as a fluid, over the machines there are and
 * those that boot; what does not fit within a part of its slack is worth a new machine of the kind that serves it most
 * cheaply.
 */
public final class Scaler {
    private final Cluster cluster;
    private final Aims aims;
    private final double leaseS;
    private final double reportS;
    private final double idleKeepS;
    private final double spotRisk;
    /** Kinds of machine that were refused, with the steady seconds until which they are not asked for. */
    private final Map<MachineKind, Double> exhausted = new HashMap<>();

    /** Kinds that were refused and of which nothing was asked in vain since. */
    private final Set<MachineKind> knownExhausted = new HashSet<>();

    private final BootHistory boots;

    private long counter;

    /** Decides for the machines of this cluster; {@code spotRisk} is a factor on spot prices. */
    public Scaler(Cluster cluster, Aims aims, double leaseS, double reportS, double idleKeepS, double spotRisk) {
        this.cluster = cluster;
        this.boots = new BootHistory(cluster);
        this.aims = aims;
        this.leaseS = leaseS;
        this.reportS = reportS;
        this.idleKeepS = idleKeepS;
        this.spotRisk = spotRisk;
    }

    /** The cloud has no more machines of this kind for now; tells whether that is news. */
    public boolean refused(Rental r, double nowS) {
        exhausted.put(r.kind(), nowS + Constants.NO_CAPACITY_S);
        return knownExhausted.add(r.kind());
    }

    /** The cloud has rented all that was asked of this kind; tells whether that is news. */
    public boolean served(Rental r) {
        return knownExhausted.remove(r.kind());
    }

    /** Room of a machine, in parts of the machine times seconds. */
    private static final class PlannedMachine {
        final MachineType type;
        final String zone;
        final boolean spot;
        final double bootS;
        /** What work that ends may use of it; replicas take theirs off. */
        Resources size;

        double load;

        PlannedMachine(MachineType type, String zone, boolean spot, double bootS) {
            this(type, zone, spot, bootS, type.size());
        }

        PlannedMachine(MachineType type, String zone, boolean spot, double bootS, Resources size) {
            this.size = size;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.bootS = bootS;
        }

        /** How many tasks it takes within the horizon; one wave at least if it is still empty. */
        int takes(JobSpec s, double estS, double horizonS, int want) {
            int slots = s.need().countIn(size);
            if (slots == 0) {
                return 0;
            }
            if (s.service()) {
                int k = Math.min(want, slots);
                size = size.minus(new Resources(
                        s.need().cpus() * k, s.need().gpus() * k, s.need().ramGb() * k));
                return k;
            }
            double t = Math.max(horizonS - bootS, bootS > 0 ? Math.min(estS, horizonS) : 0);
            if (t <= 0) {
                return 0;
            }
            double each = Math.min(estS, t) / slots;
            int k = (int) Math.min(want, Math.floor((t - load) / each + 1e-6));
            if (s.gang()) {
                k = Math.min(k, slots); // all of a gang runs at the same time, never in waves
            }
            if (k <= 0) {
                return 0;
            }
            load += k * each;
            return k;
        }
    }

    /** Seconds left until the job's tasks must start for it to be done when due. */
    private double slackS(Job j, double nowEpochS) {
        double est = j.spec.service() ? 0 : cluster.expectedS(j);
        return aims.dueEpochS(j.spec, est) - nowEpochS - est;
    }

    /** Seconds that a job's tasks may wait for machines that exist already. */
    private double horizonS(Job j, double nowEpochS) {
        double slack = slackS(j, nowEpochS);
        return Math.min(Constants.HORIZON_MAX_S, Math.max(Constants.HORIZON_MIN_S, slack * Constants.HORIZON_SHARE));
    }

    private record KindOrder(MachineKind kind, int count) {}

    /** What to rent now. */
    public List<Rental> rentals(double nowS, double nowEpochS) {
        boots.observe(nowS);
        Set<String> silentZones = silentZones(nowS);
        List<PlannedMachine> planned = new ArrayList<>();
        for (Machine m : cluster.machines.values()) {
            if (m.type == null || m.releasing || m.sick || !Double.isNaN(m.takenS)) {
                continue;
            }
            boolean silent = m.cameUp() && cluster.silentS(m, nowS) > leaseS;
            // A silent machine that the cloud still lists is likely cut off, and back before a new one is up.
            if (silent && (m.unlisted || Double.isNaN(m.listedS) || silentZones.contains(m.zone))) {
                continue;
            }
            // What is overdue may come yet, and is used or returned then; the work that waits for it is not left to it.
            if (!m.cameUp() && m.placed.isEmpty() && boots.overdue(m, nowS)) {
                continue;
            }
            // After an outage or a cut a whole zone has lost its leases and is deaf until its next two reports: rented
            // for at once, it would be there twice.
            boolean back = m.up && !silent && m.deaf;
            if (back && cluster.unheardS(m, nowS) > leaseS) {
                continue;
            }
            PlannedMachine v = new PlannedMachine(
                    m.type,
                    m.zone,
                    m.spot,
                    silent
                            ? m.type.bootS()
                            : back
                                    ? Constants.HEARS_AGAIN_S
                                    : m.up ? 0 : Math.max(1, m.rentedS + boots.bootS(m, nowS) - nowS),
                    m.type.size().minus(m.services()));
            for (Placement p : m.placed.values()) {
                if (p.job.spec.service()) {
                    continue;
                }
                double ran = Double.isNaN(p.runningS) ? 0 : nowS - p.runningS;
                double left = Math.max(2, cluster.expectedS(p.job) - ran);
                v.load += left * p.job.spec.need().shareOf(v.size);
            }
            planned.add(v);
        }
        planned.sort(Comparator.comparingDouble(v -> v.bootS));
        List<Job> jobs = new ArrayList<>();
        for (Job j : cluster.jobs.values()) {
            if (!j.cancelled && wanting(j) > 0 && !cluster.reservations.containsKey(j.spec.id())) {
                jobs.add(j);
            }
        }
        jobs.sort(Comparator.comparing((Job j) -> j.spec.urgency())
                .reversed()
                .thenComparingDouble(j -> aims.dueEpochS(j.spec, cluster.expectedS(j))));
        Map<String, Resources> usage = cluster.usage();
        cluster.overflowing.clear();
        RefusedDemand refused = new RefusedDemand();
        Map<MachineKind, Integer> wanted = new HashMap<>();
        Map<MachineKind, KindOrder> out = new LinkedHashMap<>();
        boolean headroomKept = false;
        for (Job j : jobs) {
            JobSpec s = j.spec;
            if (!s.service() && !headroomKept) {
                // Ahead of what ends: room that the next services will need.
                keepHeadroom(planned, wanted, out, silentZones, nowS, nowEpochS);
                headroomKept = true;
            }
            int n = wanting(j);
            if (j.failureHistory.suspected()) {
                n = wantedForRetry(j, nowS);
                if (n == 0) {
                    continue;
                }
            }
            Team team = cluster.team(s.team());
            if (team != null) {
                Resources used = usage.getOrDefault(s.team(), Resources.ZERO);
                double c = team.cpusMax() > 0 ? team.cpusMax() - used.cpus() : 1e12;
                double g = team.gpusMax() > 0 ? team.gpusMax() - used.gpus() : 1e12;
                n = Math.min(n, s.need().countIn(new Resources(c, g, 1e12)));
                if (n <= 0) {
                    continue;
                }
                usage.merge(
                        s.team(), new Resources(s.need().cpus() * n, s.need().gpus() * n, 0), Resources::plus);
            }
            double est = cluster.expectedS(j);
            double horizon = horizonS(j, nowEpochS);
            boolean plain = s.need().gpus() == 0;
            if (s.service()) {
                services(s, n, j, planned, wanted, out, silentZones, nowS);
                continue;
            }
            n -= assign(planned, refused, s, est, horizon, n, plain);
            n -= rent(s, est, horizon, n, plain, planned, wanted, out, silentZones, nowS);
            if (n > 0 && plain) {
                // Every cheap kind is exhausted: what can wait waits, the rest is worth an accelerator machine.
                double patience = Math.max(horizon, slackS(j, nowEpochS) * Constants.OVERFLOW_SHARE);
                n -= assign(planned, refused, s, est, patience, n, true);
                if (n > 0) {
                    cluster.overflowing.add(s.id());
                    n -= assign(planned, refused, s, est, patience, n, false);
                    rent(s, est, patience, n, false, planned, wanted, out, silentZones, nowS);
                }
            }
        }
        if (!headroomKept) {
            keepHeadroom(planned, wanted, out, silentZones, nowS, nowEpochS);
        }
        return requests(out.values());
    }

    /** Tasks that need a machine: those without one, and replicas whose machine is about to go. */
    private static int wanting(Job j) {
        int n = j.open();
        if (j.spec.service()) {
            n += moving(j);
        }
        return n;
    }

    /**
     * Tasks of a job suspected of failing everywhere that need a machine: none while it waits for its next try, or while
     * machines are there that could hold that try, busy or not, as nothing is worth renting for it.
     */
    private int wantedForRetry(Job j, double nowS) {
        int needed = j.spec.gang() || j.spec.service() ? wanting(j) : 1;
        if (nowS < j.pausedUntilS || !j.spec.service() && !j.placed.isEmpty()) {
            return 0;
        }
        int slots = 0;
        for (Machine m : cluster.machines.values()) {
            if (m.type != null && !m.releasing && !m.sick && j.spec.allows(m.type.name(), m.zone, m.spot)) {
                slots += j.spec.need().countIn(m.type.size());
            }
        }
        return slots >= needed ? 0 : needed;
    }

    private static int moving(Job j) {
        int n = 0;
        for (Placement p : j.placed.values()) {
            if (p.leaving) {
                n++;
            }
        }
        return n;
    }

    /** Rents for so many replicas what there is no room for, zone by zone where they must be apart. */
    private void services(
            JobSpec s,
            int n,
            Job j,
            List<PlannedMachine> planned,
            Map<MachineKind, Integer> wanted,
            Map<MachineKind, KindOrder> out,
            Set<String> silentZones,
            double nowS) {
        boolean plain = s.need().gpus() == 0;
        Map<String, Integer> zoneLeft = new HashMap<>();
        if (s.apart()) {
            int most = j != null ? s.zoneMost() : (n + 1) / 2;
            for (MachineType t : cluster.types()) {
                for (String z : t.zones()) {
                    zoneLeft.put(z, most - (j == null ? 0 : j.placedIn(z)));
                }
            }
        }
        for (PlannedMachine v : planned) {
            if (n <= 0) {
                return;
            }
            if (!s.allows(v.type.name(), v.zone, v.spot)
                    || plain && v.type.size().gpus() > 0) {
                continue;
            }
            int may = Math.min(n, zoneLeft.getOrDefault(v.zone, n));
            if (may <= 0) {
                continue;
            }
            int k = v.takes(s, 0, 0, may);
            n -= k;
            zoneLeft.computeIfPresent(v.zone, (z, x) -> x - k);
        }
        zoneLeft.keySet().removeAll(silentZones);
        while (n > 0) {
            int asked = s.apart()
                    ? Math.min(
                            n, zoneLeft.values().stream().mapToInt(x -> x).max().orElse(0))
                    : n;
            if (asked <= 0) {
                return;
            }
            Set<String> full = new HashSet<>(silentZones);
            zoneLeft.forEach((z, x) -> {
                if (x < asked) {
                    full.add(z);
                }
            });
            int got = rent(s, 0, 0, asked, plain, planned, wanted, out, full, nowS);
            if (got <= 0 && plain) {
                got = rent(s, 0, 0, asked, false, planned, wanted, out, full, nowS);
            }
            if (got <= 0) {
                if (!s.apart()) {
                    return;
                }
                zoneLeft.keySet().removeIf(z -> !full.contains(z)); // nothing to be had there
                continue;
            }
            n -= got;
            String zone = planned.get(planned.size() - 1).zone;
            int k = got;
            zoneLeft.computeIfPresent(zone, (z, x) -> x - k);
        }
    }

    /** By class of services lately asked for: its latest one, and how many replicas the time of a boot will ask for. */
    private Map<JobSpec, Integer> expectedReplicas(double nowEpochS) {
        Map<String, JobSpec> latest = new LinkedHashMap<>();
        Map<String, Integer> asked = new HashMap<>();
        for (Job j : cluster.jobs.values()) {
            if (!j.spec.service() || nowEpochS - j.spec.submittedMs() / 1000.0 > Constants.SERVICE_RATE_S) {
                continue;
            }
            latest.merge(j.spec.lane(), j.spec, (a, b) -> a.submittedMs() > b.submittedMs() ? a : b);
            asked.merge(j.spec.lane(), j.spec.tasks(), Integer::sum);
        }
        Map<JobSpec, Integer> out = new LinkedHashMap<>();
        for (JobSpec s : latest.values()) {
            double boot = Double.MAX_VALUE;
            for (MachineType t : cluster.types()) {
                if (s.allows(t)) {
                    boot = Math.min(boot, t.bootS());
                }
            }
            double n = asked.get(s.lane()) / Constants.SERVICE_RATE_S * (boot + Constants.SERVICE_ROOM_S);
            out.put(s, Math.max(s.tasks(), (int) Math.ceil(n)));
        }
        return out;
    }

    /**
     * Room for services that are yet to come, which cannot wait for a boot: as much as was lately asked for in the time
     * that one takes. Work that ends may use it meanwhile; a service takes its place.
     */
    private void keepHeadroom(
            List<PlannedMachine> planned,
            Map<MachineKind, Integer> wanted,
            Map<MachineKind, KindOrder> out,
            Set<String> silentZones,
            double nowS,
            double nowEpochS) {
        expectedReplicas(nowEpochS).forEach((s, n) -> services(s, n, null, planned, wanted, out, silentZones, nowS));
    }

    /** Lays up to {@code n} tasks over the planned; returns how many they take. */
    private static int assign(
            List<PlannedMachine> planned,
            RefusedDemand refused,
            JobSpec s,
            double est,
            double horizon,
            int n,
            boolean plainOnly) {
        boolean upAreFull = refused.covers(s, est, horizon, plainOnly);
        int taken = 0;
        int takenByUp = 0;
        for (PlannedMachine v : planned) {
            if (taken >= n) {
                return taken;
            }
            if (upAreFull && v.bootS == 0
                    || !s.allows(v.type.name(), v.zone, v.spot)
                    || plainOnly && v.type.size().gpus() > 0) {
                continue;
            }
            int k = v.takes(s, est, horizon, n - taken);
            taken += k;
            takenByUp += v.bootS == 0 ? k : 0;
        }
        if (takenByUp == 0 && !upAreFull) {
            refused.add(s, est, horizon, plainOnly);
        }
        return taken;
    }

    /** Adds rentals for {@code n} tasks; returns how many they serve. */
    private int rent(
            JobSpec s,
            double est,
            double horizon,
            int n,
            boolean plainOnly,
            List<PlannedMachine> planned,
            Map<MachineKind, Integer> wanted,
            Map<MachineKind, KindOrder> out,
            Set<String> silentZones,
            double nowS) {
        int left = n;
        while (left > 0) {
            PlannedMachine best = null;
            int machines = 0;
            double least = Double.MAX_VALUE;
            for (MachineType t : cluster.types()) {
                if (!s.allows(t) || plainOnly && t.size().gpus() > 0) {
                    continue;
                }
                for (String zone : t.zones()) {
                    for (int k = 0; k < 2; k++) {
                        boolean spot = k == 1;
                        if (silentZones.contains(zone)) {
                            continue;
                        }
                        if (!s.allows(t.name(), zone, spot)) {
                            continue;
                        }
                        if (exhausted.getOrDefault(new MachineKind(t.name(), zone, spot), 0.0) > nowS) {
                            continue;
                        }
                        MachineKind candidate = new MachineKind(t.name(), zone, spot);
                        if (boots.avoided(candidate, nowS)) {
                            continue;
                        }
                        double bootS = t.bootS() * boots.slowness(candidate, nowS);
                        int per = new PlannedMachine(t, zone, spot, bootS).takes(s, est, horizon, left);
                        if (per == 0) {
                            continue;
                        }
                        int count = (left + per - 1) / per;
                        double busy = s.service()
                                ? Constants.SERVICE_PAID_S
                                : Math.max(
                                        30,
                                        est
                                                * Math.ceil((double) left
                                                        / count
                                                        / Math.max(1, s.need().countIn(t.size()))));
                        double c = count
                                * t.price(spot)
                                * (spot ? spotRisk : 1)
                                * (bootS + busy)
                                / (1 - boots.lossRate(candidate, nowS));
                        if (c < least) {
                            least = c;
                            best = new PlannedMachine(t, zone, spot, bootS);
                            machines = count;
                        }
                    }
                }
            }
            if (best == null) {
                break;
            }
            MachineKind kind = new MachineKind(best.type.name(), best.zone, best.spot);
            int have = wanted.getOrDefault(kind, 0);
            int take = Math.min(machines, Constants.RENT_MAX * Constants.RENT_CALLS_A_KIND - have);
            if (take <= 0) {
                break;
            }
            wanted.put(kind, have + take);
            for (int i = 0; i < take && left > 0; i++) {
                PlannedMachine v = new PlannedMachine(best.type, best.zone, best.spot, best.bootS);
                left -= Math.max(1, v.takes(s, est, horizon, left));
                planned.add(v);
            }
            out.put(kind, new KindOrder(kind, have + take));
        }
        return n - Math.max(0, left);
    }

    /** The orders as requests, each within what one may name; the first of every kind before any second. */
    private List<Rental> requests(Iterable<KindOrder> orders) {
        List<Rental> l = new ArrayList<>();
        for (int k = 0; k < Constants.RENT_CALLS_A_KIND; k++) {
            for (KindOrder w : orders) {
                int count = Math.min(Constants.RENT_MAX, w.count - k * Constants.RENT_MAX);
                if (count > 0) {
                    MachineKind kind = w.kind;
                    l.add(new Rental(
                            "h-" + cluster.token() + "-" + ++counter, kind.type(), kind.zone(), kind.spot(), count));
                }
            }
        }
        return l;
    }

    /** Zones most of whose machines are silent: more likely cut off than dead, and no place for new ones. */
    private Set<String> silentZones(double nowS) {
        Map<String, int[]> zones = new HashMap<>();
        for (Machine m : cluster.machines.values()) {
            if (!m.cameUp() || m.unlisted || m.zone == null) {
                continue;
            }
            int[] n = zones.computeIfAbsent(m.zone, z -> new int[2]);
            n[0]++;
            if (cluster.silentS(m, nowS) > leaseS) {
                n[1]++;
            }
        }
        Set<String> out = new HashSet<>();
        zones.forEach((z, n) -> {
            if (n[0] > 2 && n[1] * 2 > n[0]) {
                out.add(z);
            }
        });
        return out;
    }

    /** Its reports come, but answers have had no effect for so long that all it ran has lost its lease. */
    private boolean hearsNothing(Machine m, double nowS) {
        return m.up && cluster.unheardS(m, nowS) > Constants.UNHEARD_LEASES * leaseS;
    }

    /** Machines to return now: idle, condemned, never up, or silent beyond their lease. Marks them. */
    public List<String> returns(double nowS, double nowEpochS) {
        Map<JobSpec, Integer> expected = expectedReplicas(nowEpochS);
        expected.replaceAll((s, n) -> freeSlots(s) - n);
        Set<String> quietZones = expected.isEmpty() && !hasServices() ? Set.of() : quietZones(nowS);
        List<String> out = new ArrayList<>();
        Set<String> reserved = new HashSet<>();
        cluster.reservations.values().forEach(l -> l.forEach(r -> reserved.add(r.machine())));
        int up = 0;
        int silent = 0;
        double quiet = leaseS + Constants.SILENT_RELEASE_S;
        for (Machine m : cluster.machines.values()) {
            if (!m.cameUp() && m.placed.isEmpty() || m.unlisted) {
                continue;
            }
            up++;
            if (cluster.silentS(m, nowS) > quiet || hearsNothing(m, nowS)) {
                silent++;
            }
        }
        // When most are silent it is more likely us who cannot hear.
        boolean trustSilence = silent * 2 <= up || up <= 2;
        Set<String> silentZones = silentZones(nowS);
        // Of each type only the machine idle for the shortest time is kept for a boot time: one spare answers the next
        // job, and a second seldom earns its price.
        Map<String, Machine> spare = new HashMap<>();
        for (Machine m : cluster.machines.values()) {
            if (!m.usable() || !m.empty() || m.type == null) {
                continue;
            }
            spare.merge(
                    m.type.name(),
                    m,
                    (x, y) ->
                            x.idleSinceS > y.idleSinceS || x.idleSinceS == y.idleSinceS && x.name.compareTo(y.name) < 0
                                    ? x
                                    : y);
        }
        for (Machine m : cluster.machines.values()) {
            if (m.releasing) {
                out.add(m.name); // asked for before without an answer: asking again is harmless
                continue;
            }
            String why = null;
            boolean known = m.type != null;
            double boot = known ? m.type.bootS() : 60;
            if (!m.cameUp() && m.placed.isEmpty()) {
                double since = Math.max(nowS - m.rentedS, 0);
                double giveUpS =
                        known ? boots.giveUpS(m, nowS) : boot * Constants.BOOT_GIVE_UP + Constants.BOOT_GIVE_UP_S;
                if (since > giveUpS && cluster.hearingFor(nowS) > leaseS) {
                    why = "never came up";
                    if (known && m.zone != null) {
                        boots.lost(m, nowS);
                    }
                }
            } else if (m.unlisted && cluster.silentS(m, nowS) > leaseS / 2) {
                why = "taken";
            } else if (cluster.silentS(m, nowS) > quiet) {
                // One that the cloud still lists is worth waiting for as long as a new one would take to come up.
                double more = silentZones.contains(m.zone)
                        ? Constants.SILENT_ZONE_S
                        : Double.isNaN(m.listedS) ? 0 : boot - Constants.SILENT_RELEASE_S;
                if (trustSilence && cluster.silentS(m, nowS) > quiet + more) {
                    why = "silent";
                }
            } else if (hearsNothing(m, nowS)) {
                if (trustSilence) {
                    why = "hears nothing";
                }
            } else if (replicasSilent(m, quietZones, nowS)) {
                why = "silent, with replicas";
            } else if (m.sick && m.placed.isEmpty()) {
                why = "sick";
            } else if (m.synced
                    && !m.deaf
                    && m.empty()
                    && !reserved.contains(m.name)
                    && nowS - m.idleSinceS > idleKeepS + (known && spare.get(m.type.name()) == m ? boot / 2 : 0)
                    && !keptForServices(m, expected)) {
                why = "idle";
            }
            if (why == null) {
                continue;
            }
            m.releasing = true;
            cluster.event("returning, " + why, m.name);
            out.add(m.name);
        }
        return out.size() > Constants.RELEASE_MAX ? out.subList(0, Constants.RELEASE_MAX) : out;
    }

    private boolean hasServices() {
        for (Job j : cluster.jobs.values()) {
            if (j.spec.service()) {
                return true;
            }
        }
        return false;
    }

    /** How many replicas machines could hold that are there or coming, if all that ends made room for them. */
    private int freeSlots(JobSpec s) {
        int n = 0;
        for (Machine m : cluster.machines.values()) {
            n += slots(m, s);
        }
        return n;
    }

    private static int slots(Machine m, JobSpec s) {
        if (m.type == null || m.releasing || m.sick || !Double.isNaN(m.takenS) || m.up && m.deaf) {
            return 0;
        }
        if (s.need().gpus() == 0 && m.type.size().gpus() > 0 || !s.allows(m.type.name(), m.zone, m.spot)) {
            return 0;
        }
        return s.need().countIn(m.type.size().minus(m.services()));
    }

    /** Whether returning this idle machine would leave too little room for the services to come; takes its room off. */
    private boolean keptForServices(Machine m, Map<JobSpec, Integer> beyond) {
        for (Map.Entry<JobSpec, Integer> e : beyond.entrySet()) {
            int k = slots(m, e.getKey());
            if (k > 0 && e.getValue() < k) {
                return true;
            }
        }
        beyond.replaceAll((s, n) -> n - slots(m, s));
        return false;
    }

    /** Zones in which more machines are quiet than fail by themselves: there it is the network, or we. */
    private Set<String> quietZones(double nowS) {
        Map<String, int[]> zones = new HashMap<>();
        for (Machine m : cluster.machines.values()) {
            if (!m.up || m.unlisted || m.zone == null) {
                continue;
            }
            int[] n = zones.computeIfAbsent(m.zone, z -> new int[2]);
            n[0]++;
            // Half the time already tells: what falls silent together does so within a report interval.
            if (cluster.silentS(m, nowS) > reportS * Constants.REPLICAS_SILENT_REPORTS / 2) {
                n[1]++;
            }
        }
        Set<String> out = new HashSet<>();
        zones.forEach((z, n) -> {
            if (n[1] > Math.max(2, n[0] * Constants.REPLICAS_SILENT_SHARE)) {
                out.add(z);
            }
        });
        return out;
    }

    /**
     * Whether a machine that has just fallen silent is returned for its replicas' sake: the cloud's answer proves them
     * gone long before the lease does, and each second until then is one without them. The rest of its work is lost
     * with it, and weighed against that.
     */
    private boolean replicasSilent(Machine m, Set<String> quietZones, double nowS) {
        double silent = cluster.silentS(m, nowS);
        if (!m.up || silent <= reportS * Constants.REPLICAS_SILENT_REPORTS || quietZones.contains(m.zone)) {
            return false;
        }
        if (cluster.hearingFor(nowS) < Constants.REPLICAS_HEARING_S) {
            return false;
        }
        double gain = 0;
        double loss = 0;
        for (Placement p : m.placed.values()) {
            double ran = Double.isNaN(p.runningS) ? 0 : nowS - p.runningS;
            if (p.job.spec.service()) {
                gain += Math.max(0, leaseS - silent);
            } else {
                loss += p.job.spec.need().shareOf(m.type.size())
                        * (p.job.spec.checkpointS() > 0 ? Math.min(ran, p.job.spec.checkpointS()) : ran);
            }
        }
        return gain > loss;
    }

    /** Marks replicas whose machine is about to go, and stops them once there is room for them elsewhere. */
    private void move(Machine m, Placement p, double nowS) {
        p.leaving = true;
        double left = Double.isNaN(m.takenS) ? Double.POSITIVE_INFINITY : m.takenS - nowS;
        int away = 0;
        for (Placement q : p.job.placed.values()) {
            if (q.stopping) {
                away++;
            }
        }
        away += p.job.open();
        boolean some = away * 2 < p.job.spec.tasks(); // never all of a service at a time, if it can be helped
        if (left < Constants.REPLICAS_LAST_S || some && cluster.roomElsewhere(p)) {
            p.stop(0);
        }
    }

    /** Tasks on machines that the cloud is about to take: they save and move on, the rest may finish in time. */
    public void drain(double nowS) {
        for (Machine m : cluster.machines.values()) {
            if (Double.isNaN(m.takenS) && !m.sick) {
                continue;
            }
            for (Placement p : m.placed.values()) {
                JobSpec s = p.job.spec;
                if (s.service()) {
                    if (!p.stopping) {
                        move(m, p, nowS);
                    }
                    continue;
                }
                if (p.stopping || Double.isNaN(m.takenS) && s.checkpointS() == 0) {
                    continue;
                }
                double left = Double.isNaN(m.takenS) ? 60 : m.takenS - nowS;
                double ran = Double.isNaN(p.runningS) ? 0 : nowS - p.runningS;
                if (s.checkpointS() > 0 && left <= s.saveS() + 4
                        || s.gang() && left <= s.saveS() + 5
                        || s.checkpointS() > 0 && cluster.expectedS(p.job) - ran > left) {
                    p.stop(Math.max(s.saveS(), Math.min(left, s.saveS() + Constants.SAVE_GRACE_S)));
                }
            }
        }
    }
}
