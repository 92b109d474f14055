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
import org.mountlug.core.cluster.MachineListing;
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
 * One term of leadership: loads the live jobs, answers workers' reports and runs the scheduling rounds. {@link RecordWriter}
 * makes its decisions durable, {@link DirectCommandSender} and the responses to reports carry commands to workers, and
 * {@link MachineProvisioner} calls the cloud. Each term has a new object, so no state of an earlier term survives. Runs on the
 * I/O thread.
 */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    private final LeaderTerm term;
    private final Cluster cluster;
    private final Settings settings;
    private final Objectives objectives;
    private final Scaler scaler;
    private final Preemptor preemptor;
    private final TokenBucket writeRateLimit;
    private final Metrics metrics;
    private final JobRecordWatch recordWatch;
    private final AnnouncedVersions versions;
    private final RecordSplitter recordSplitter;
    private final ZoneMonitor zoneMonitor;
    private final ZoneStateStore zoneStateStore;
    private final ImageIndexStore imageIndex;
    private final IntSupplier peerReportCount;
    private final ReservationWriter reservationWriter;
    private final RecordWriter recordWriter;
    private final DirectCommandSender commandSender;
    private final MachineProvisioner machineProvisioner;
    private final AdmissionPublisher admissionPublisher;
    private final double termStartedS;
    private boolean loaded;
    private double nextRoundS;
    private double lastRoundS;
    /** Whether the next round runs before its regular time, for a new urgent job or for capacity that has become free. */
    private boolean earlyRoundRequested;

    Leader(
            Environment environment,
            Election election,
            Objectives objectives,
            Collection<MachineType> types,
            FinalStateCache finalStates,
            Metrics metrics,
            IntSupplier peerReportCount,
            AdmissionControl admissionControl) {
        this.peerReportCount = peerReportCount;
        this.objectives = objectives;
        this.metrics = metrics;
        settings = environment.settings();
        OperatorSettings operators = environment.operators();
        term = new LeaderTerm(environment, election);
        cluster = term.cluster;
        cluster.setMachineTypes(types);
        cluster.setValueLimitKib(settings.currentValueLimitKb());
        zoneMonitor = new ZoneMonitor(cluster, operators.zones(), settings.workerLeaseS(), settings.reportIntervalS());
        scaler = new Scaler(
                cluster,
                zoneMonitor,
                objectives,
                settings.workerLeaseS(),
                settings.reportIntervalS(),
                operators.idleKeepS(),
                operators.spotRisk());
        preemptor = new Preemptor(cluster);
        double writesPerS = settings.stateWriteRps() * Constants.LEADER_WRITE_SHARE;
        writeRateLimit = new TokenBucket(writesPerS, writesPerS);
        termStartedS = term.nowS();
        cluster.restartListening(termStartedS); // reports before this term went to another leader
        recordWatch = new JobRecordWatch(
                environment.state(), environment.clockS(), environment.timer(), new RecordListener());
        versions = new AnnouncedVersions(term);
        recordSplitter = new RecordSplitter(term, versions);
        imageIndex = new ImageIndexStore(term, writeRateLimit);
        zoneStateStore = new ZoneStateStore(term, writeRateLimit, zoneMonitor, versions);
        reservationWriter = new ReservationWriter(term);
        recordWriter =
                new RecordWriter(term, writeRateLimit, recordSplitter, reservationWriter, recordWatch, (job, done) -> {
                    finalStates.put(job.spec.id(), done, job.spec.tasks());
                    metrics.countFinishedJob(done);
                });
        commandSender = new DirectCommandSender(term, metrics);
        machineProvisioner = new MachineProvisioner(term, scaler, writeRateLimit, metrics);
        this.admissionPublisher = new AdmissionPublisher(term, writeRateLimit, admissionControl);
        recordWatch.start();
    }

    /** Records the demand at another controller; {@code incarnation} names the life of its process. */
    void recordDemand(String controller, long incarnation, List<QueueDemand> demand) {
        admissionPublisher.recordDemand(controller, incarnation, demand);
    }

    /** Returns the seconds since this term began. */
    double termDurationS() {
        return term.nowS() - termStartedS;
    }

    /** Returns the number of machines that have reported and are not gone by the machine list. */
    int reportedMachineCount() {
        int count = 0;
        for (Machine machine : cluster.machines.values()) {
            count += machine.hasReported && machine.listing != MachineListing.GONE ? 1 : 0;
        }
        return count;
    }

    /** Returns the names of the machines that the machine list proves gone and whose return is not acknowledged yet. */
    List<String> machinesGoneByList() {
        List<String> names = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.listing == MachineListing.GONE) {
                names.add(machine.name);
            }
        }
        return names;
    }

    /** Returns the current state of each zone. */
    List<ZoneStatus> zoneStatuses() {
        return zoneMonitor.status();
    }

    Cluster cluster() {
        return cluster;
    }

    JobRecordWatch recordWatch() {
        return recordWatch;
    }

    boolean isLoaded() {
        return loaded;
    }

    void end() {
        term.end();
    }

    /** Applies the records that {@link JobRecordWatch} reads to the cluster. */
    private final class RecordListener implements JobRecordWatch.Listener {
        @Override
        public boolean isKnownJob(String id) {
            return cluster.jobs.containsKey(id);
        }

        @Override
        public void addJob(Job job, double nowS) {
            // The waiting time counts from the submission; otherwise it would start again with each change of leader.
            double ageS = (term.environment.epochMs().getAsLong() - job.spec.submittedMs()) / 1000.0;
            job.waitingSinceS = nowS - Math.max(0, ageS);
            cluster.loadJob(job, nowS);
            earlyRoundRequested |= job.spec.isGang()
                    || job.spec.isService()
                    || job.spec.request().gpus() > 0;
            if (job.cancelled && cluster.jobs.get(job.spec.id()) == job) {
                job.cancelled = false;
                cluster.applyCancellation(job, nowS);
            }
        }

        @Override
        public void updateJob(String id, Map<String, Object> record, long revision, double nowS) {
            Job job = cluster.jobs.get(id);
            if (revision <= job.revision) {
                return;
            }
            String writeId = Fields.getString(record, "w", "");
            recordWriter.confirmWatchedWrite(job, writeId, revision);
            if (!writeId.equals(job.writeId)) {
                // Only a newer leader can have written this record, so this term is over. The watch went on while the
                // state service did not answer this controller's other requests.
                term.depose("record of " + id + " was written by another leader");
                term.end();
                return;
            }
            job.revision = revision;
            if (JobRecordCodec.isCancelled(record)) {
                cancelJob(id);
            }
        }

        @Override
        public void addOrphanedKey(String key) {
            recordWriter.addOrphanedKey(key);
        }

        @Override
        public void restoreReservations(Map<String, List<Reservation>> byJob, Map<String, Long> revisions) {
            reservationWriter.restore(byJob, revisions);
        }

        @Override
        public void restoreImageIndex(Map<String, Object> byMachine) {
            imageIndex.restore(StateKeys.IMAGE_INDEX, byMachine);
        }

        @Override
        public void onLoaded() {
            loaded = true;
            LOG.info(
                    "leading with token {}: {} live jobs, {} machines with tasks",
                    cluster.termToken(),
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
     * Whether workers' leases may be renewed. They may not if a renewal could keep a task running beyond the time limit of a
     * cancellation that is not known to this term. A term that has not read the records knows of no cancellation, however
     * old, and so may not renew any lease.
     */
    boolean mayRenewWorkerLeases(double nowS) {
        double goneAfterS = settings.workerLeaseS() * (1 + Constants.MAX_CLOCK_DRIFT) + Constants.CANCEL_MARGIN_S;
        return nowS < recordWatch.cancellationsKnownUntilS() + settings.cancelWithinS() - goneAfterS;
    }

    /** Whether this worker's report must not be answered, so that its lease runs out. */
    boolean mustWithholdResponse(String machine) {
        return cluster.mustWithholdResponse(machine, term.nowS());
    }

    /** Applies a worker's report and returns the commands for it, or null if the worker knows a newer leader. */
    List<Command> handleReport(Report report) {
        double nowS = term.nowS();
        long tokenBefore = cluster.commandToken(report.machine());
        List<Command> commands = cluster.handleReport(report, term.isLeaseHeld(nowS), nowS);
        if (LOG.isDebugEnabled() && commands != null && !commands.isEmpty()) {
            LOG.debug(
                    "to {} in the response to report {} of session {}, token {}, before {}: {}",
                    report.machine(),
                    report.sequence(),
                    report.session(),
                    cluster.commandToken(report.machine()),
                    tokenBefore,
                    Command.describe(commands));
        }
        return commands;
    }

    // ---- periodic work ----------------------------------------------------------------------------------------

    /** Runs everything periodic that is due; does nothing until the records have been loaded. */
    void tick() {
        if (term.hasEnded() || !loaded) {
            return;
        }
        double nowS = term.nowS();
        versions.tick(nowS);
        recordSplitter.tick();
        machineProvisioner.tick(nowS);
        runRoundIfDue(nowS);
        commandSender.send(nowS);
        imageIndex.tick(nowS);
        zoneStateStore.tick(nowS);
        admissionPublisher.tick(nowS);
        recordWriter.tick(nowS);
    }

    private void runRoundIfDue(double nowS) {
        earlyRoundRequested |= cluster.takeCapacityFreed();
        boolean early = earlyRoundRequested && nowS >= lastRoundS + Constants.MIN_EARLY_ROUND_DELAY_MS / 1000.0;
        if (nowS < nextRoundS && !early) {
            return;
        }
        earlyRoundRequested = false;
        lastRoundS = nowS;
        if (early) {
            nextRoundS = nowS + Constants.ROUND_INTERVAL_MS / 1000.0;
        } else {
            nextRoundS = Math.max(
                    nextRoundS + Constants.ROUND_INTERVAL_MS / 1000.0, nowS + Constants.ROUND_INTERVAL_MS / 2000.0);
        }
        runRound(nowS);
        if (early) {
            recordWriter.requestImmediateFlush();
        }
    }

    private void runRound(double nowS) {
        // Silence of a machine means something only while this controller holds the leader lease: otherwise the machine
        // may be reporting to another leader.
        if (!term.isLeaseHeld(nowS) || !zoneStateStore.isReady()) {
            return;
        }
        cluster.expireLeases(nowS);
        zoneMonitor.observe(peerReportCount.getAsInt(), nowS);
        cluster.updateStandbys(nowS);
        zoneMonitor.planFailback(nowS);
        scaler.drain(nowS);
        double epochS = term.environment.epochMs().getAsLong() / 1000.0;
        ReplicaStartTimes replicaStartTimes = new ReplicaStartTimes(job -> objectives.dueWithinS(job.spec, 0), nowS);
        Allocator allocator = new Allocator(
                cluster,
                zoneMonitor,
                job -> objectives.orderKey(job.spec, job.pendingTaskCount(), cluster.expectedRunS(job), epochS),
                replicaStartTimes,
                nowS);
        metrics.countPlacedTasks(allocator.allocate());
        preemptor.preemptFor(
                unplacedJobs(epochS), allocator.machineViews(), allocator.usageByTeam(), replicaStartTimes, nowS);
        machineProvisioner.rentAndReturn(nowS, epochS);
        logEvents(cluster.takeEvents());
        zoneMonitor.takeTransitions().forEach(line -> LOG.info("{}", line));
        metrics.setZoneStatuses(zoneMonitor.status());
        metrics.setReservationCount(cluster.reservations.size());
        metrics.setFleetStatus(cluster.status(nowS));
        metrics.setCommandStatus(cluster.commandStatus());
    }

    /** Returns the jobs with pending tasks, in displacement order if there is one, otherwise by priority and due time. */
    private List<Job> unplacedJobs(double nowEpochS) {
        List<Job> jobs = new ArrayList<>();
        for (Job job : cluster.jobs.values()) {
            if (!job.cancelled && job.pendingTaskCount() > 0) {
                jobs.add(job);
            }
        }
        DisplacementOrder displacement = zoneMonitor.displacementOrder(
                job -> objectives.orderKey(job.spec, job.pendingTaskCount(), cluster.expectedRunS(job), nowEpochS));
        Comparator<Job> byPriority = Comparator.comparing((Job job) -> job.spec.priority())
                .reversed()
                .thenComparingDouble(job -> objectives.dueEpochS(job.spec, job.spec.expectedRunS()));
        jobs.sort(displacement != null ? displacement : byPriority);
        return jobs;
    }

    private static void logEvents(EventSummary events) {
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
