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

/** The leader's view of a machine: its placements, its last report, and what is planned for it. */
public final class Machine {
    /**
     * An attempt that has exited, kept until its outcome is durable and the worker can be commanded to forget it.
     *
     * @param version version of the job that contains the outcome
     */
    public record ExitedAttempt(Job job, int task, long version) {
        boolean isDurable() {
            return job.isDurable(task, version);
        }
    }

    public final String name;
    /** Machine type, null while it is not known. */
    public MachineType type;
    /** Name of the zone, null while it is not known. */
    public String zone;
    /** Whether the machine is a spot machine. */
    public boolean spot;
    /** Address at which the worker accepts direct commands, null while it is not known. */
    public String address;

    /** Session of the newest report. */
    public long session;

    /** Sequence number of the newest report, also if it came in the response to a direct command; -1 before the first. */
    public long sequence = -1;
    /** Sequence number of the newest report that was not the response to a direct command, -1 before the first. */
    long reportSequence = -1;
    /** Whether the newest report carried a token of this term, so that no older leader's command can take effect. */
    public boolean tokenConfirmed;
    /**
     * Monotonic time in seconds of this leader's last response that may have renewed the worker lease, {@code NaN} if there
     * was none.
     */
    public double lastResponseS = Double.NaN;
    /**
     * Whether responses may not reach the machine, as its worker lease expired, a new session began or starts had no effect.
     * It gets no work until two consecutive reports come to this controller, as a worker that gets no response sends its
     * next report to another controller.
     */
    public boolean unreachable;
    /**
     * Monotonic time in seconds since which the machine has been unreachable or has not confirmed the fencing token,
     * {@code NaN} while it is reachable and has confirmed it.
     */
    public double outOfContactSinceS = Double.NaN;
    /** Monotonic time in seconds of the last report; before the first, the time at which the machine became known. */
    public double lastReportS;

    /**
     * Monotonic time in seconds by which the machine had been rented: when the rental was answered, or by the age that the
     * machine list shows; when the machine became known if neither is known.
     */
    public double rentedS;
    /** Whether the machine has reported to this leader. */
    public boolean hasReported;
    /** Whether this leader rented the machine and its boot time has not been taken. */
    private boolean awaitingBoot;

    /** Monotonic time in seconds of the first report, {@code NaN} before it. */
    private double firstReportS = Double.NaN;
    /** Whether the machine list has shown the machine as running, so that it has booted even if it has not reported. */
    public boolean listedAsRunning;
    /** What the newest machine list shows of the machine. */
    public MachineListing listing = MachineListing.PENDING;
    /** Monotonic time in seconds at which the cloud reclaims the machine, {@code NaN} while no reclaim is announced. */
    public double reclaimAtS = Double.NaN;
    /** Whether the machine is being returned; no new work is placed on it. */
    public boolean beingReturned;
    /** Whether the machine gets no new work after failures or because it runs tasks slowly. */
    public boolean quarantined;
    /** Whether the machine's zone is lost or gets work only gradually; work of other zones must not rely on its capacity. */
    public boolean zoneRestricted;
    /** Whether the machine's work is moved away because it is no longer needed; no new work is placed on it. */
    public boolean draining;

    /** Monotonic time in seconds since which the machine has had no work. */
    public double idleSinceS;
    /** The id of the gang for which the machine is kept free of other work, or null. */
    public String heldForGang;
    /** Monotonic time in seconds until which no overflow is placed here, so that accelerator work can use the machine. */
    public double noOverflowUntilS = Double.NEGATIVE_INFINITY;

    /** Placements on the machine by task name. */
    public final Map<String, Placement> placements = new LinkedHashMap<>();
    /** By attempt key: reported attempts that no record places here; they occupy capacity until they exit. */
    public final Map<String, Report.AttemptStatus> orphans = new HashMap<>();

    /** By attempt key: attempts that have exited in this session and that the worker has not been commanded to forget. */
    public final Map<String, ExitedAttempt> exitedAttempts = new HashMap<>();
    /** Token that messages to the worker carry, if it is higher than the term token. */
    long commandToken;
    /** Keys of attempts that were started directly in this session and under the current token of messages. */
    final Set<String> directStartsUnderToken = new HashSet<>();
    /** Whether direct commands were sent to the worker and neither a response nor a timeout has followed. */
    boolean directCommandsInFlight;
    /** Number of exited attempts in the newest report that the worker was not told to forget because of their token. */
    int withheldForgets;

    /** Images in the machine's cache, the most recently used last. */
    public final Set<String> cachedImages = new LinkedHashSet<>();
    /** By job: number of tasks that have failed here since the last success, without those of suspected jobs. */
    final Map<Job, Integer> failuresByJob = new HashMap<>();
    /** Whether the machine was quarantined for failed tasks, which may later be attributed to their jobs. */
    boolean quarantinedForFailures;
    /** How much slower than other machines this one ran its last tasks; see {@link RunTimeStatistics}. */
    double slowness;

    /** Monotonic time in seconds at which the slowness was last updated. */
    double slownessUpdatedS = Double.NEGATIVE_INFINITY;
    /**
     * Monotonic time in seconds at which the last silence of more than half a worker lease ended. Tasks that ran during it
     * may have ended long before their exit was reported.
     */
    double silenceEndedS = Double.NEGATIVE_INFINITY;

    /** Creates a machine of which only the name is known. */
    public Machine(String name, double nowS) {
        this.name = name;
        this.lastReportS = nowS;
        this.rentedS = nowS;
        this.idleSinceS = nowS;
    }

    /** Returns the key that identifies an attempt of a task. */
    public static String attemptKey(String jobId, int task, long attempt) {
        return jobId + "/" + task + "#" + attempt;
    }

    /** Returns how many tasks have failed here since the last success, without those of suspected jobs. */
    public int failureCount() {
        int failures = 0;
        for (int count : failuresByJob.values()) {
            failures += count;
        }
        return failures;
    }

    /** Counts the time out of contact from now on, as the network and not the machine was at fault before. */
    public void resetOutOfContact(double nowS) {
        if (!Double.isNaN(outOfContactSinceS)) {
            outOfContactSinceS = nowS;
        }
    }

    /** Records that this leader rented the machine, so that the time of the request is known. */
    void markRented() {
        awaitingBoot = true;
    }

    /** Whether this leader rented the machine and has not recorded its boot time. */
    public boolean isAwaitingBoot() {
        return awaitingBoot;
    }

    /** Records the first report. */
    void recordFirstReport(double nowS) {
        hasReported = true;
        idleSinceS = nowS;
        firstReportS = nowS;
    }

    /** Whether a boot that this leader requested has completed; true only on the first call after that. */
    public boolean takeBootCompleted() {
        boolean completed = awaitingBoot && hasReported;
        if (completed) {
            awaitingBoot = false;
        }
        return completed;
    }

    /** Returns the seconds from the rental to the first report, {@code NaN} before that. */
    public double bootDurationS() {
        return firstReportS - rentedS;
    }

    /** Whether the machine has booted, according to a report or the cloud's machine list. */
    public boolean hasBooted() {
        return hasReported || listedAsRunning;
    }

    /** Whether nothing shows that the machine has booted: no report, no machine list and no placement. */
    public boolean isBooting() {
        return !hasBooted() && placements.isEmpty();
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

    /** Returns the resources that the placements hold, without those on standby. */
    public Resources allocated() {
        Resources total = Resources.ZERO;
        for (Placement placement : placements.values()) {
            if (!placement.standby) {
                total = total.plus(placement.job.spec.request());
            }
        }
        return total;
    }

    /** Returns the part of {@link #allocated} that belongs to tasks that must stop. */
    public Resources releasingCapacity() {
        Resources total = Resources.ZERO;
        for (Placement placement : placements.values()) {
            if (placement.stopping && !placement.standby) {
                total = total.plus(placement.job.spec.request());
            }
        }
        return total;
    }

    /** Returns the monotonic time in seconds at which the machine should be ready, by its type's nominal boot time. */
    public double expectedReadyS(double nowS) {
        if (hasReported) {
            return nowS;
        }
        return Math.max(nowS + 1, rentedS + (type == null ? 60 : type.bootS()));
    }

    /** Returns the resources that replicas of services hold here; they must not be expected to become free. */
    public Resources allocatedToServices() {
        Resources total = Resources.ZERO;
        for (Placement placement : placements.values()) {
            if (placement.job.spec.isService()) {
                total = total.plus(placement.job.spec.request());
            }
        }
        return total;
    }

    /** Whether nothing is placed or running here. */
    public boolean isEmpty() {
        return placements.isEmpty() && orphans.isEmpty();
    }
}
