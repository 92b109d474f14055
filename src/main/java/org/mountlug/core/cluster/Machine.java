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
    public record ExitedAttempt(Job job, int task, long version) {
        boolean durable() {
            return job.isDurable(task, version);
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
    public boolean tokenConfirmed;
    /** Steady seconds of our last answer that may have renewed the worker's lease, NaN if none. */
    public double lastResponseS = Double.NaN;
    /**
     * Whether it may hear nothing of what we answer: its lease ran out, its session rose or starts had no effect. It
     * gets no work until two reports in a row come to us, as a worker without an answer goes on to another node.
     */
    public boolean unreachable;
    /** Steady seconds since when it has not been both synced and hearing, NaN while it is. */
    public double outOfContactSinceS = Double.NaN;
    /** Steady seconds when last heard of, and when it was rented (or first seen). */
    public double lastReportS;

    public double rentedS;
    public boolean hasReported;
    /** Whether this leader ordered it and has not looked at how long it took to boot. */
    private boolean awaitingBoot;

    private double firstHeardS = Double.NaN;
    /** Whether the cloud's list shows it running: then it has come up, whether we have heard of it or not. */
    public boolean listedAsRunning;
    /** Steady seconds when the cloud's list first showed it, NaN if it has not. */
    public double firstListedS = Double.NaN;
    /** Whether the list has stopped showing it: the cloud has taken it, or it was returned by somebody. */
    public boolean unlisted;
    /** Steady seconds when the cloud takes it, NaN while there is no notice. */
    public double reclaimAtS = Double.NaN;
    /** Whether it is being returned; nothing is placed on it any more. */
    public boolean beingReturned;
    /** Whether its failures have condemned it. */
    public boolean quarantined;
    /** Whether its zone is lost, or gets work only by and by: no work elsewhere may count on its room. */
    public boolean zoneRestricted;
    /** Whether its work is moved away because it is not needed any more; nothing new is placed on it. */
    public boolean draining;

    public double idleSinceS;
    /** The gang for which it is kept from being filled again, or null. */
    public String heldForGang;
    /** Steady seconds until which no overflowing work is added, so that accelerator work can have it. */
    public double noOverflowUntilS = Double.NEGATIVE_INFINITY;

    public final Map<String, Placement> placements = new LinkedHashMap<>();
    /** Attempts it reports that no record places here; they occupy room until they exit. */
    public final Map<String, Report.AttemptStatus> orphans = new HashMap<>();

    public final Map<String, ExitedAttempt> exitedAttempts = new HashMap<>();
    /** Attempts whose start was sent directly here and never answered for; not to be forgotten in this session. */
    public final Set<String> unconfirmedStarts = new HashSet<>();

    public final Set<String> cachedImages = new LinkedHashSet<>();
    /** Jobs whose tasks failed here since the last success, with how many did; those suspected themselves left out. */
    final Map<Job, Integer> failuresByJob = new HashMap<>();
    /** Whether it was condemned for tasks that failed, which may turn out to have been the jobs' fault. */
    boolean quarantinedForFailures;
    /** How much slower than others it ran its last tasks, and when that was last judged, see {@link RunTimeStatistics}. */
    double slowness;

    double slownessJudgedS = Double.NEGATIVE_INFINITY;
    /** Steady seconds of the end of its last longer silence: what ran then is not known to have ended when reported. */
    double silenceEndedS = Double.NEGATIVE_INFINITY;

    /** A machine of which nothing but its name is known. */
    public Machine(String name, double nowS) {
        this.name = name;
        this.lastReportS = nowS;
        this.rentedS = nowS;
        this.idleSinceS = nowS;
    }

    /** Names one attempt of a task. */
    public static String attemptKey(String job, int task, long attempt) {
        return job + "/" + task + "#" + attempt;
    }

    /** How many tasks have failed here since the last success, as far as that may be the machine's fault. */
    public int failureCount() {
        int failures = 0;
        for (int count : failuresByJob.values()) {
            failures += count;
        }
        return failures;
    }

    /** What it has not heard until now was the network's doing, and does not count against it. */
    public void resetOutOfContact(double nowS) {
        if (!Double.isNaN(outOfContactSinceS)) {
            outOfContactSinceS = nowS;
        }
    }

    /** Notes its order by this leader, who so knows when it was sent. */
    void markRented() {
        awaitingBoot = true;
    }

    /** Whether this leader ordered it and has not seen it come up. */
    public boolean awaitingBoot() {
        return awaitingBoot;
    }

    /** Notes its first report. */
    void recordFirstReport(double nowS) {
        hasReported = true;
        idleSinceS = nowS;
        firstHeardS = nowS;
    }

    /** Whether its boot has been watched to its end; true once. */
    public boolean takeBootCompleted() {
        boolean watched = awaitingBoot && hasReported;
        if (watched) {
            awaitingBoot = false;
        }
        return watched;
    }

    /** Seconds from its order to its first report. */
    public double bootDurationS() {
        return firstHeardS - rentedS;
    }

    /** Whether it has come up, by its own word or the cloud's. */
    public boolean hasBooted() {
        return hasReported || listedAsRunning;
    }

    /** Whether new work may be placed here. */
    public boolean isSchedulable() {
        return type != null
                && hasReported
                && tokenConfirmed
                && !unreachable
                && !beingReturned
                && !quarantined
                && !draining
                && Double.isNaN(reclaimAtS);
    }

    /** What its placements take, those on standby left out. */
    public Resources allocated() {
        Resources r = Resources.ZERO;
        for (Placement p : placements.values()) {
            if (!p.standby) {
                r = r.plus(p.job.spec.request());
            }
        }
        return r;
    }

    /** The part of {@link #allocated} whose tasks were told to stop. */
    public Resources releasingCapacity() {
        Resources r = Resources.ZERO;
        for (Placement p : placements.values()) {
            if (p.stopping && !p.standby) {
                r = r.plus(p.job.spec.request());
            }
        }
        return r;
    }

    /** Steady seconds at which it should be up, by its type's nominal boot time. */
    public double expectedReadyS(double nowS) {
        if (hasReported) {
            return nowS;
        }
        return Math.max(nowS + 1, rentedS + (type == null ? 60 : type.bootS()));
    }

    /** What replicas of services take here; nothing may count on that to come free. */
    public Resources allocatedToServices() {
        Resources r = Resources.ZERO;
        for (Placement p : placements.values()) {
            if (p.job.spec.isService()) {
                r = r.plus(p.job.spec.request());
            }
        }
        return r;
    }

    /** Whether nothing is placed or running here. */
    public boolean isEmpty() {
        return placements.isEmpty() && orphans.isEmpty();
    }
}
