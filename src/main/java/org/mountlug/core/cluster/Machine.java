package org.mountlug.core.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Resources;

/** What the leader knows of a machine: what it may hold, what it last said, and what is planned for it. */
public final class Machine {
    /** An attempt that ended, kept until its outcome is durable and the worker has been told to forget it. */
    public record Ended(Job job, int task, long version) {
        boolean durable() {
            return job.durable(task, version);
        }
    }

    public final String name;
    public MachineType type;
    public String zone;
    public boolean spot;
    public String address;

    /** Session and sequence of the newest report. */
    public long session;

    public long sequence = -1;
    /** Sequence of the newest message that was a report, not the answer to orders sent directly here. */
    long reportSequence = -1;
    /** Whether a report carried our own token: from then on no older leader's word can take effect. */
    public boolean synced;
    /** Steady seconds of our last answer that may have renewed the worker's lease, NaN if none. */
    public double answeredS = Double.NaN;
    /**
     * Whether it may hear nothing of what we answer: its lease ran out, its session rose or starts had no effect. It
     * gets no work until two reports in a row come to us, as a worker without an answer goes on to another node.
     */
    public boolean deaf;
    /** Steady seconds since when it has not been both synced and hearing, NaN while it is. */
    public double unheardSinceS = Double.NaN;
    /** Steady seconds when last heard of, and when it was rented (or first seen). */
    public double heardS;

    public double rentedS;
    public boolean up;
    /** Whether this leader ordered it and has not looked at how long it took to boot. */
    private boolean bootWatched;

    private double firstHeardS = Double.NaN;
    /** Whether the cloud's list shows it running: then it has come up, whether we have heard of it or not. */
    public boolean running;
    /** Steady seconds when the cloud's list first showed it, NaN if it has not. */
    public double listedS = Double.NaN;
    /** Whether the list has stopped showing it: the cloud has taken it, or it was returned by somebody. */
    public boolean unlisted;
    /** Steady seconds when the cloud takes it, NaN while there is no notice. */
    public double takenS = Double.NaN;
    /** Whether it is being returned; nothing is placed on it any more. */
    public boolean releasing;
    /** Whether its failures have condemned it. */
    public boolean sick;
    /** Whether its zone is lost, or gets work only by and by: no work elsewhere may count on its room. */
    public boolean zoneHeldBack;
    /** Whether its work is moved away because it is not needed any more; nothing new is placed on it. */
    public boolean vacating;

    public double idleSinceS;
    /** The gang for which it is kept from being filled again, or null. */
    public String heldFor;
    /** Steady seconds until which no overflowing work is added, so that accelerator work can have it. */
    public double noOverflowUntilS = Double.NEGATIVE_INFINITY;

    public final Map<String, Placement> placed = new LinkedHashMap<>();
    /** Attempts it reports that no record places here; they occupy room until they exit. */
    public final Map<String, Report.Item> strays = new HashMap<>();

    public final Map<String, Ended> ended = new HashMap<>();
    /** Attempts whose start was sent directly here and never answered for; not to be forgotten in this session. */
    public final Set<String> atLarge = new HashSet<>();

    public final Set<String> images = new LinkedHashSet<>();
    /** Jobs whose tasks failed here since the last success, with how many did; those suspected themselves left out. */
    final Map<Job, Integer> failedJobs = new HashMap<>();
    /** Whether it was condemned for tasks that failed, which may turn out to have been the jobs' fault. */
    boolean condemnedForFailures;
    /** How much slower than others it ran its last tasks, and when that was last judged, see {@link Outcomes}. */
    double lag;

    double lagJudgedS = Double.NEGATIVE_INFINITY;
    /** Steady seconds of the end of its last longer silence: what ran then is not known to have ended when reported. */
    double gapS = Double.NEGATIVE_INFINITY;

    /** A machine of which nothing but its name is known. */
    public Machine(String name, double nowS) {
        this.name = name;
        this.heardS = nowS;
        this.rentedS = nowS;
        this.idleSinceS = nowS;
    }

    /** Names one attempt of a task. */
    public static String key(String job, int task, long attempt) {
        return job + "/" + task + "#" + attempt;
    }

    /** How many tasks have failed here since the last success, as far as that may be the machine's fault. */
    public int failures() {
        int failures = 0;
        for (int count : failedJobs.values()) {
            failures += count;
        }
        return failures;
    }

    /** What it has not heard until now was the network's doing, and does not count against it. */
    public void forgiveUnheard(double nowS) {
        if (!Double.isNaN(unheardSinceS)) {
            unheardSinceS = nowS;
        }
    }

    /** Notes its order by this leader, who so knows when it was sent. */
    void ordered() {
        bootWatched = true;
    }

    /** Whether this leader ordered it and has not seen it come up. */
    public boolean bootWatched() {
        return bootWatched;
    }

    /** Notes its first report. */
    void firstHeard(double nowS) {
        up = true;
        idleSinceS = nowS;
        firstHeardS = nowS;
    }

    /** Whether its boot has been watched to its end; true once. */
    public boolean takeBoot() {
        boolean watched = bootWatched && up;
        if (watched) {
            bootWatched = false;
        }
        return watched;
    }

    /** Seconds from its order to its first report. */
    public double bootedInS() {
        return firstHeardS - rentedS;
    }

    /** Whether it has come up, by its own word or the cloud's. */
    public boolean cameUp() {
        return up || running;
    }

    /** Whether new work may be placed here. */
    public boolean usable() {
        return type != null && up && synced && !deaf && !releasing && !sick && !vacating && Double.isNaN(takenS);
    }

    /** What its placements take, those on standby left out. */
    public Resources used() {
        Resources r = Resources.ZERO;
        for (Placement p : placed.values()) {
            if (!p.standby) {
                r = r.plus(p.job.spec.need());
            }
        }
        return r;
    }

    /** The part of {@link #used} whose tasks were told to stop. */
    public Resources stopping() {
        Resources r = Resources.ZERO;
        for (Placement p : placed.values()) {
            if (p.stopping && !p.standby) {
                r = r.plus(p.job.spec.need());
            }
        }
        return r;
    }

    /** Steady seconds at which it should be up, by its type's nominal boot time. */
    public double expectedUpS(double nowS) {
        if (up) {
            return nowS;
        }
        return Math.max(nowS + 1, rentedS + (type == null ? 60 : type.bootS()));
    }

    /** What replicas of services take here; nothing may count on that to come free. */
    public Resources services() {
        Resources r = Resources.ZERO;
        for (Placement p : placed.values()) {
            if (p.job.spec.service()) {
                r = r.plus(p.job.spec.need());
            }
        }
        return r;
    }

    /** Whether nothing is placed or running here. */
    public boolean empty() {
        return placed.isEmpty() && strays.isEmpty();
    }
}
