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
import org.mountlug.core.allocate.ReplicaTimes;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.EventSummary;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.lead.Election;
import org.mountlug.core.model.Aims;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Order;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.preempt.Preemptor;
import org.mountlug.core.scale.Scaler;
import org.mountlug.core.zone.DisplacementOrder;
import org.mountlug.core.zone.ZoneStatus;
import org.mountlug.core.zone.ZoneWatch;
import org.mountlug.settings.Operators;
import org.mountlug.settings.Settings;
import org.mountlug.store.Budget;
import org.mountlug.store.RecordCodec;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leadership: takes in the live work, answers workers and runs the rounds. What is decided is made durable by
 * {@link RecordWriter}, sent by {@link DirectCommands} or in answers to reports, and asked of the cloud by {@link CloudFleet}.
 * A new term gets a new object, so nothing of an older one survives. Runs on the I/O thread.
 */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    private final LeaderTerm term;
    private final Cluster cluster;
    private final Settings settings;
    private final Aims aims;
    private final Scaler scaler;
    private final Preemptor preemptor;
    private final Budget writes;
    private final Metrics metrics;
    private final LiveRecords records;
    private final AnnouncedVersions versions;
    private final RecordLayout layout;
    private final ZoneWatch zones;
    private final ZoneStore zoneStore;
    private final ImageNotes images;
    private final IntSupplier reportsElsewhere;
    private final ReservationWriter reservations;
    private final RecordWriter writer;
    private final DirectCommands commands;
    private final CloudFleet fleet;
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
            Aims aims,
            Collection<MachineType> types,
            FinalStates finals,
            Metrics metrics,
            IntSupplier reportsElsewhere,
            AdmissionControl admission) {
        this.reportsElsewhere = reportsElsewhere;
        this.aims = aims;
        this.metrics = metrics;
        settings = environment.settings();
        Operators operators = environment.operators();
        term = new LeaderTerm(environment, election);
        cluster = term.cluster;
        cluster.catalogue(types);
        cluster.valueLimit(settings.valueKb());
        zones = new ZoneWatch(cluster, operators.zones(), settings.leaseS(), settings.reportS());
        scaler = new Scaler(
                cluster,
                zones,
                aims,
                settings.leaseS(),
                settings.reportS(),
                operators.idleKeepS(),
                operators.spotRisk());
        preemptor = new Preemptor(cluster);
        double writesPerS = settings.stateWriteRps() * Constants.LEADER_WRITE_SHARE;
        writes = new Budget(writesPerS, writesPerS);
        beganS = term.nowS();
        cluster.woke(beganS); // who was silent before was not silent to us
        records = new LiveRecords(environment.state(), environment.clockS(), environment.timer(), new Records());
        versions = new AnnouncedVersions(term);
        layout = new RecordLayout(term, versions);
        images = new ImageNotes(term, writes);
        zoneStore = new ZoneStore(term, writes, zones, versions);
        reservations = new ReservationWriter(term);
        writer = new RecordWriter(term, writes, layout, reservations, records, (job, done) -> {
            finals.put(job.spec.id(), done, job.spec.tasks());
            metrics.finished(done);
        });
        commands = new DirectCommands(term);
        fleet = new CloudFleet(term, scaler, writes, metrics);
        this.admission = new AdmissionPublisher(term, writes, admission);
        records.start();
    }

    /** Takes in what another controller was asked to take in; {@code boot} names its process. */
    void demand(String controller, long boot, List<QueueDemand> demand) {
        admission.observe(controller, boot, demand);
    }

    /** Seconds since this term began. */
    double termS() {
        return term.nowS() - beganS;
    }

    /** Machines that have been heard of and are not known to be gone. */
    int machinesUp() {
        int up = 0;
        for (Machine machine : cluster.machines.values()) {
            up += machine.up && !machine.unlisted ? 1 : 0;
        }
        return up;
    }

    /** How the zones stand. */
    List<ZoneStatus> zones() {
        return zones.status();
    }

    Cluster cluster() {
        return cluster;
    }

    LiveRecords records() {
        return records;
    }

    boolean loaded() {
        return loaded;
    }

    void end() {
        term.end();
    }

    /** Takes in what the state service shows of live records. */
    private final class Records implements LiveRecords.Term {
        @Override
        public boolean knows(String id) {
            return cluster.jobs.containsKey(id);
        }

        @Override
        public void adopt(Job job, double now) {
            // Counted from its submission, or every change of leader would start its wait anew.
            double ageS = (term.environment.epochMs().getAsLong() - job.spec.submittedMs()) / 1000.0;
            job.seenS = now - Math.max(0, ageS);
            cluster.load(job, now);
            roundWanted |=
                    job.spec.gang() || job.spec.service() || job.spec.need().gpus() > 0;
            if (job.cancelled && cluster.jobs.get(job.spec.id()) == job) {
                job.cancelled = false;
                cluster.cancelled(job, now);
            }
        }

        @Override
        public void changed(String id, Map<String, Object> record, long stamp, double now) {
            Job job = cluster.jobs.get(id);
            if (stamp <= job.stamp) {
                return;
            }
            String writeId = Fields.str(record, "w", "");
            writer.shown(job, writeId, stamp);
            if (!writeId.equals(job.writeId)) {
                // Only a newer leader writes records, so this term is over; it went on watching while it was not
                // served.
                term.depose("record of " + id + " was written by another leader");
                term.end();
                return;
            }
            job.stamp = stamp;
            if (RecordCodec.cancelled(record)) {
                cancelled(id);
            }
        }

        @Override
        public void orphan(String key) {
            writer.orphan(key);
        }

        @Override
        public void reservations(Map<String, List<Reservation>> byJob, Map<String, Long> stamps) {
            reservations.loaded(byJob, stamps);
        }

        @Override
        public void images(Map<String, Object> byMachine) {
            images.loaded(StateKeys.IMAGES, byMachine);
        }

        @Override
        public void loaded() {
            loaded = true;
            LOG.info(
                    "leading with token {}: {} live jobs, {} machines with tasks",
                    cluster.token(),
                    cluster.jobs.size(),
                    cluster.machines.size());
        }

        @Override
        public void cancelled(String id) {
            Job job = cluster.jobs.get(id);
            if (!job.cancelled) {
                cluster.cancelled(job, term.nowS());
            }
        }

        @Override
        public boolean ended() {
            return term.ended();
        }
    }

    // ---- workers ----------------------------------------------------------------------------------------------

    /**
     * Whether workers' leases may be renewed: not after a cancelled task might be kept alive by that. A term that has not
     * read the records knows of no cancellation, however old, and so may renew nothing.
     */
    boolean mayRenew(double nowS) {
        double goneAfterS = settings.leaseS() * (1 + Constants.DRIFT) + Constants.CANCEL_MARGIN_S;
        return nowS < records.knownUntilS() + settings.cancelS() - goneAfterS;
    }

    /** Whether this worker must go without an answer, so that its lease runs out. */
    boolean unanswerable(String machine) {
        return cluster.unanswerable(machine, term.nowS());
    }

    /** Orders for a worker, or null if we are deposed. */
    List<Order> report(Report report) {
        double now = term.nowS();
        return cluster.report(report, term.proven(now), now);
    }

    // ---- the clock --------------------------------------------------------------------------------------------

    /** One turn of the node's clock. */
    void tick() {
        if (term.ended() || !loaded) {
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
        roundWanted |= cluster.roomCameFree();
        boolean early = roundWanted && now >= lastRoundS + Constants.EARLY_ROUND_MS / 1000.0;
        if (now < nextRoundS && !early) {
            return;
        }
        roundWanted = false;
        lastRoundS = now;
        if (early) {
            nextRoundS = now + Constants.ROUND_MS / 1000.0;
        } else {
            nextRoundS = Math.max(nextRoundS + Constants.ROUND_MS / 1000.0, now + Constants.ROUND_MS / 2000.0);
        }
        round(now);
        if (early) {
            writer.hasten();
        }
    }

    private void round(double now) {
        // Judging by silence needs a lease: otherwise another leader may be keeping the machines alive.
        if (!term.proven(now) || !zoneStore.ready()) {
            return;
        }
        cluster.expireLeases(now);
        zones.observe(reportsElsewhere.getAsInt(), now);
        cluster.reviewStandbys(now);
        zones.moveBack(now);
        scaler.drain(now);
        double epochS = term.environment.epochMs().getAsLong() / 1000.0;
        ReplicaTimes times = new ReplicaTimes(job -> aims.withinS(job.spec, 0), now);
        Allocator allocator = new Allocator(
                cluster, zones, job -> aims.orderKey(job.spec, job.open(), cluster.expectedS(job), epochS), times, now);
        metrics.placed(allocator.round());
        preemptor.round(unplaced(epochS), allocator.nodes(), allocator.usage(), times, now);
        fleet.round(now, epochS);
        log(cluster.takeEvents());
        zones.takeTransitions().forEach(line -> LOG.info("{}", line));
        metrics.zones(zones.status());
        metrics.reserved(cluster.reservations.size());
        metrics.fleet(cluster.status(now));
    }

    /** Jobs that wait for room, the most urgent first. */
    private List<Job> unplaced(double nowEpochS) {
        List<Job> unplaced = new ArrayList<>();
        for (Job job : cluster.jobs.values()) {
            if (!job.cancelled && job.open() > 0) {
                unplaced.add(job);
            }
        }
        DisplacementOrder displacement =
                zones.order(job -> aims.orderKey(job.spec, job.open(), cluster.expectedS(job), nowEpochS));
        Comparator<Job> ordinary = Comparator.comparing((Job job) -> job.spec.urgency())
                .reversed()
                .thenComparingDouble(job -> aims.dueEpochS(job.spec, job.spec.expectedS()));
        unplaced.sort(displacement != null ? displacement : ordinary);
        return unplaced;
    }

    private static void log(EventSummary events) {
        for (String line : events.lines()) {
            LOG.info("{}", line);
        }
        if (LOG.isDebugEnabled()) {
            for (String line : events.details()) {
                LOG.debug("{}", line);
            }
        }
    }
}
