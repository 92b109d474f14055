package org.mountlug.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import org.mountlug.Constants;
import org.mountlug.core.admit.QueueDemand;
import org.mountlug.core.allocate.Allocator;
import org.mountlug.core.allocate.ReplicaStartTimes;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.EventSummary;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.lead.Election;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Objectives;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.preempt.Preemptor;
import org.mountlug.core.scale.Scaler;
import org.mountlug.core.zone.DisplacementOrder;
import org.mountlug.core.zone.ZoneMonitor;
import org.mountlug.core.zone.ZoneStatus;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;
import org.mountlug.store.JobRecordCodec;
import org.mountlug.store.StateKeys;
import org.mountlug.store.TokenBucket;
import org.mountlug.wire.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leadership: takes in the live work, answers workers and runs the rounds. What is decided is made durable by
 * {@link RecordWriter}, sent by {@link DirectCommandSender} or in answers to reports, and asked of the cloud by {@link MachineProvisioner}.
 * A new term gets a new object, so nothing of an older one survives. Runs on the I/O thread.
 */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    private final LeaderTerm term;
    private final Cluster cluster;
    private final Settings settings;
    private final Objectives aims;
    private final Scaler scaler;
    private final Preemptor preemptor;
    private final TokenBucket writes;
    private final Metrics metrics;
    private final JobRecordWatch records;
    private final AnnouncedVersions versions;
    private final RecordSplitter layout;
    private final ZoneMonitor zones;
    private final ZoneStateStore zoneStore;
    private final ImageIndexStore images;
    private final IntSupplier reportsElsewhere;
    private final ReservationWriter reservations;
    private final RecordWriter writer;
    private final DirectCommandSender commands;
    private final MachineProvisioner fleet;
    private final AdmissionPublisher admission;
    private final double beganS;
    private boolean loaded;
    private double nextRoundS;
    private double lastRoundS;
    /** Whether somebody waits for the next round by the second. */
    private boolean roundWanted;

    Leader(
            Environment environment,
            Election election,
            Objectives aims,
            Collection<MachineType> types,
            FinalStateCache finals,
            Metrics metrics,
            IntSupplier peerReportCount,
            AdmissionControl admission) {
        this.reportsElsewhere = peerReportCount;
        this.aims = aims;
        this.metrics = metrics;
        settings = environment.settings();
        OperatorSettings operators = environment.operators();
        term = new LeaderTerm(environment, election);
        cluster = term.cluster;
        cluster.setMachineTypes(types);
        cluster.setValueLimitKib(settings.currentValueLimitKb());
        zones = new ZoneMonitor(cluster, operators.zones(), settings.workerLeaseS(), settings.reportIntervalS());
        scaler = new Scaler(
                cluster,
                zones,
                aims,
                settings.workerLeaseS(),
                settings.reportIntervalS(),
                operators.idleKeepS(),
                operators.spotRisk());
        preemptor = new Preemptor(cluster);
        double writesPerS = settings.stateWriteRps() * Constants.LEADER_WRITE_SHARE;
        writes = new TokenBucket(writesPerS, writesPerS);
        beganS = term.nowS();
        cluster.restartListening(beganS); // who was silent before was not silent to us
        records = new JobRecordWatch(environment.state(), environment.clockS(), environment.timer(), new Records());
        versions = new AnnouncedVersions(term);
        layout = new RecordSplitter(term, versions);
        images = new ImageIndexStore(term, writes);
        zoneStore = new ZoneStateStore(term, writes, zones, versions);
        reservations = new ReservationWriter(term);
        writer = new RecordWriter(term, writes, layout, reservations, records, (job, done) -> {
            finals.put(job.spec.id(), done, job.spec.tasks());
            metrics.countFinishedJob(done);
        });
        commands = new DirectCommandSender(term);
        fleet = new MachineProvisioner(term, scaler, writes, metrics);
        this.admission = new AdmissionPublisher(term, writes, admission);
        records.start();
    }

    /** Takes in what another controller was asked to take in; {@code boot} names its process. */
    void recordDemand(String controller, long boot, List<QueueDemand> demand) {
        admission.recordDemand(controller, boot, demand);
    }

    /** Seconds since this term began. */
    double termDurationS() {
        return term.nowS() - beganS;
    }

    /** Machines that have been heard of and are not known to be gone. */
    int upMachineCount() {
        int up = 0;
        for (Machine machine : cluster.machines.values()) {
            up += machine.hasReported && !machine.unlisted ? 1 : 0;
        }
        return up;
    }

    /** How the zones stand. */
    List<ZoneStatus> zoneStatuses() {
        return zones.status();
    }

    Cluster cluster() {
        return cluster;
    }

    JobRecordWatch records() {
        return records;
    }

    boolean isLoaded() {
        return loaded;
    }

    void end() {
        term.end();
    }

    /** Takes in what the state service shows of live records. */
    private final class Records implements JobRecordWatch.Listener {
        @Override
        public boolean isKnownJob(String id) {
            return cluster.jobs.containsKey(id);
        }

        @Override
        public void addJob(Job job, double now) {
            // Counted from its submission, or every change of leader would start its wait anew.
            double ageS = (term.environment.epochMs().getAsLong() - job.spec.submittedMs()) / 1000.0;
            job.waitingSinceS = now - Math.max(0, ageS);
            cluster.loadJob(job, now);
            roundWanted |= job.spec.isGang()
                    || job.spec.isService()
                    || job.spec.request().gpus() > 0;
            if (job.cancelled && cluster.jobs.get(job.spec.id()) == job) {
                job.cancelled = false;
                cluster.applyCancellation(job, now);
            }
        }

        @Override
        public void updateJob(String id, Map<String, Object> record, long stamp, double now) {
            Job job = cluster.jobs.get(id);
            if (stamp <= job.revision) {
                return;
            }
            String writeId = Fields.getString(record, "w", "");
            writer.confirmWatchedWrite(job, writeId, stamp);
            if (!writeId.equals(job.writeId)) {
                // Only a newer leader writes records, so this term is over; it went on watching while it was not
                // served.
                term.depose("record of " + id + " was written by another leader");
                term.end();
                return;
            }
            job.revision = stamp;
            if (JobRecordCodec.isCancelled(record)) {
                cancelJob(id);
            }
        }

        @Override
        public void addOrphanedKey(String key) {
            writer.addOrphanedKey(key);
        }

        @Override
        public void restoreReservations(Map<String, List<Reservation>> byJob, Map<String, Long> stamps) {
            reservations.restore(byJob, stamps);
        }

        @Override
        public void restoreImageIndex(Map<String, Object> byMachine) {
            images.restore(StateKeys.IMAGE_INDEX, byMachine);
        }

        @Override
        public void onLoaded() {
            loaded = true;
            LOG.info(
                    "leading with token {}: {} live jobs, {} machines with tasks",
                    cluster.token(),
                    cluster.jobs.size(),
                    cluster.machines.size());
        }

        @Override
        public void cancelJob(String id) {
            Job job = cluster.jobs.get(id);
            if (!job.cancelled) {
                cluster.applyCancellation(job, term.nowS());
            }
        }

        @Override
        public boolean hasEnded() {
            return term.hasEnded();
        }
    }

    // ---- workers ----------------------------------------------------------------------------------------------

    /**
     * Whether workers' leases may be renewed: not after a cancelled task might be kept alive by that. A term that has not
     * read the records knows of no cancellation, however old, and so may renew nothing.
     */
    boolean mayRenewWorkerLeases(double nowS) {
        double goneAfterS = settings.workerLeaseS() * (1 + Constants.MAX_CLOCK_DRIFT) + Constants.CANCEL_MARGIN_S;
        return nowS < records.cancellationsKnownUntilS() + settings.cancelWithinS() - goneAfterS;
    }

    /** Whether this worker must go without an answer, so that its lease runs out. */
    boolean mustWithholdResponse(String machine) {
        return cluster.mustWithholdResponse(machine, term.nowS());
    }

    /** Orders for a worker, or null if we are deposed. */
    List<Command> handleReport(Report report) {
        double now = term.nowS();
        return cluster.handleReport(report, term.isLeaseHeld(now), now);
    }

    // ---- the clock --------------------------------------------------------------------------------------------

    /** One turn of the node's clock. */
    void tick() {
        if (term.hasEnded() || !loaded) {
            return;
        }
        double now = term.nowS();
        versions.tick(now);
        layout.tick();
        fleet.tick(now);
        roundIfTime(now);
        commands.send(now);
        images.tick(now);
        zoneStore.tick(now);
        admission.tick(now);
        writer.tick(now);
    }

    private void roundIfTime(double now) {
        roundWanted |= cluster.takeCapacityFreed();
        boolean early = roundWanted && now >= lastRoundS + Constants.MIN_EARLY_ROUND_DELAY_MS / 1000.0;
        if (now < nextRoundS && !early) {
            return;
        }
        roundWanted = false;
        lastRoundS = now;
        if (early) {
            nextRoundS = now + Constants.ROUND_INTERVAL_MS / 1000.0;
        } else {
            nextRoundS = Math.max(
                    nextRoundS + Constants.ROUND_INTERVAL_MS / 1000.0, now + Constants.ROUND_INTERVAL_MS / 2000.0);
        }
        round(now);
        if (early) {
            writer.requestImmediateFlush();
        }
    }

    private void round(double now) {
        // Judging by silence needs a lease: otherwise another leader may be keeping the machines alive.
        if (!term.isLeaseHeld(now) || !zoneStore.isReady()) {
            return;
        }
        cluster.expireLeases(now);
        zones.observe(reportsElsewhere.getAsInt(), now);
        cluster.updateStandbys(now);
        zones.planFailback(now);
        scaler.drain(now);
        double epochS = term.environment.epochMs().getAsLong() / 1000.0;
        ReplicaStartTimes times = new ReplicaStartTimes(job -> aims.dueWithinS(job.spec, 0), now);
        Allocator allocator = new Allocator(
                cluster,
                zones,
                job -> aims.orderKey(job.spec, job.pendingTaskCount(), cluster.expectedRunS(job), epochS),
                times,
                now);
        metrics.countPlacedTasks(allocator.allocate());
        preemptor.preemptFor(unplaced(epochS), allocator.machineViews(), allocator.usage(), times, now);
        fleet.rentAndReturn(now, epochS);
        log(cluster.takeEvents());
        zones.takeTransitions().forEach(line -> LOG.info("{}", line));
        metrics.setZoneStatuses(zones.status());
        metrics.setReservationCount(cluster.reservations.size());
        metrics.setFleetStatus(cluster.status(now));
    }

    /** Jobs that wait for room, the most urgent first. */
    private List<Job> unplaced(double nowEpochS) {
        List<Job> unplaced = new ArrayList<>();
        for (Job job : cluster.jobs.values()) {
            if (!job.cancelled && job.pendingTaskCount() > 0) {
                unplaced.add(job);
            }
        }
        DisplacementOrder displacement = zones.displacementOrder(
                job -> aims.orderKey(job.spec, job.pendingTaskCount(), cluster.expectedRunS(job), nowEpochS));
        Comparator<Job> ordinary = Comparator.comparing((Job job) -> job.spec.priority())
                .reversed()
                .thenComparingDouble(job -> aims.dueEpochS(job.spec, job.spec.expectedRunS()));
        unplaced.sort(displacement != null ? displacement : ordinary);
        return unplaced;
    }

    private static void log(EventSummary events) {
        for (String line : events.lines()) {
            LOG.info("{}", line);
        }
        if (LOG.isDebugEnabled()) {
            for (String line : events.detailLines()) {
                LOG.debug("{}", line);
            }
        }
    }
}
