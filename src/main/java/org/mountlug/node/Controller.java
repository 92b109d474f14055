package org.mountlug.node;

import io.undertow.util.Methods;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import org.mountlug.Constants;
import org.mountlug.cloud.CloudCodec;
import org.mountlug.core.lead.Election;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Objectives;
import org.mountlug.core.model.Report;
import org.mountlug.core.zone.ZoneStatus;
import org.mountlug.peer.PeerCodec;
import org.mountlug.peer.PeerConnections;
import org.mountlug.peer.PeerView;
import org.mountlug.settings.Settings;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.store.Transaction;
import org.mountlug.wire.Fields;
import org.mountlug.wire.HttpTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller node without its sockets: leadership, the watches a follower keeps, and what users, workers and peers
 * are answered. Everything runs on one thread, which on a quarter of a core costs nothing and leaves no state to be
 * shared; {@link ControllerServer} puts the sockets and the clock round it.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    private final Environment environment;
    private final Settings settings;
    private final Election election;
    private final FinalStateCache finals = new FinalStateCache();
    private final Metrics metrics = new Metrics();
    private final Objectives aims = new Objectives();
    private final SplittableRandom random;
    private final StateClient state;
    private final HttpTransport cloud;
    private final DoubleSupplier clockS;
    private Leader leader;
    private volatile Map<String, MachineType> types = Map.of();
    private boolean fetchingTypes;
    private double nextTypesS;
    private long leaderWatchFrom = -1;
    private boolean watchingLeader;
    private final PeerView peerView;
    private final long boot;
    private final double startedS;
    private final ReservationWatch reservations;
    private final VersionAnnouncer versions;
    private final ReportCounter reports;
    private final StoredReportCounts storedCounts;
    private final OverloadLog overload = new OverloadLog();
    private final AdmissionControl admission;
    /** The revision of the leader key that was last seen, and since when, in steady seconds. */
    private long leaderStamp = -1;

    private double leaderKnownS;
    /** Steady seconds of the last turn, by which a standstill of the whole process shows. */
    private double lastTurnS;
    /** Steady seconds of the last waking from a standstill. */
    private double wokeS = Double.NEGATIVE_INFINITY;
    /** Seconds for which it had stood still then. */
    private double stoodStillS;
    /** Whether nothing since the last waking has shown that we still lead. */
    private boolean doubtful;

    /** A controller that has just started; {@code random} seeds its identity and its delays. */
    public Controller(Environment environment, SplittableRandom random) {
        this.environment = environment;
        this.settings = environment.settings();
        this.state = environment.state();
        this.cloud = environment.cloud();
        this.clockS = environment.clockS();
        this.random = random;
        this.boot = random.nextLong();
        this.startedS = clockS.getAsDouble();
        this.lastTurnS = startedS;
        this.reservations = new ReservationWatch(state, metrics);
        this.admission = environment.operators().admission().enabled()
                ? new FairShareAdmission(environment)
                : new RateLimitAdmission(state);
        this.versions = new VersionAnnouncer(state, settings.label());
        this.storedCounts = new StoredReportCounts(state, settings.label());
        this.reports = new ReportCounter(Constants.REPORT_COUNT_WINDOW_INTERVALS * settings.reportIntervalS());
        this.election = new Election(settings.label(), Long.toHexString(boot));
        this.peerView = new PeerView(
                settings.peers().stream().map(Settings.Peer::label).toList(), Constants.CANCELLATION_RETENTION_S);
        for (Settings.Objective o : settings.objectives()) {
            if (Double.isNaN(o.withinS())) {
                continue;
            }
            if (o.kind().equals("wait")) {
                aims.addStartObjective(o.jobClass(), o.withinS());
            } else if (o.kind().equals("finished")) {
                aims.addCompletionObjective(o.jobClass(), o.withinS());
            }
        }
    }

    private void after(Runnable r, int ms) {
        environment.timer().accept(r, ms);
    }

    /** Machines that are heard, as far as this controller leads. */
    int upMachineCount() {
        return leader == null ? 0 : leader.upMachineCount();
    }

    /** How the zones stand, as far as this controller leads. */
    List<ZoneStatus> zoneStatuses() {
        return leader == null ? List.of() : leader.zoneStatuses();
    }

    /** To be called about ten times a second. */
    public void tick() {
        noticeStandstill();
        lastTurnS = clockS.getAsDouble();
        String l = election.leaderLabel();
        if (l != null && !election.isLeading() && peerView.hasProcessEnded(l, clockS.getAsDouble())) {
            LOG.info("{} has ended, by its refusals and the others' answers", l);
            election.onLeaderProcessEnded(l);
        }
        noteLeader(clockS.getAsDouble());
        overload.observe(metrics.rateLimitedRequestCount(), clockS.getAsDouble());
        shareReportCounts();
        if (missed()) {
            LOG.info("gives up leading: workers report to the other nodes and not to us");
            election.resign(clockS.getAsDouble());
        }
        lead();
        watchLeader();
        versions.announce(clockS.getAsDouble());
        admission.tick(clockS.getAsDouble());
        if (!election.isLeading() && election.leaderLabel() != null) {
            reservations.watch(clockS.getAsDouble());
        }
        types();
        if (leader != null) {
            leader.tick();
        }
    }

    /**
     * A process may stand still for seconds while its clocks run on. What it believed before may be over by then, and
     * the silence was its own. A request that waited in a socket may be read before the first turn, so both look.
     */
    private void noticeStandstill() {
        double now = clockS.getAsDouble();
        double gap = now - lastTurnS;
        if (gap <= Constants.MIN_PROCESS_PAUSE_S) {
            return;
        }
        metrics.countProcessPause();
        LOG.info("stood still for {} s", Math.round(gap * 10) / 10.0);
        lastTurnS = now; // noticed once, by whichever looks first
        wokeS = now;
        stoodStillS = gap;
        doubtful = true;
        if (leader != null) {
            leader.cluster().restartListening(now);
        }
    }

    /**
     * Whether users' requests are refused for now: this process stood still for longer than any user waits, and what it
     * reads just after waking is mostly from users that have long given up and asked elsewhere.
     */
    public boolean isSheddingRequests() {
        noticeStandstill();
        return stoodStillS > Constants.USER_REQUEST_TIMEOUT_S
                && clockS.getAsDouble() - wokeS < Constants.SHED_AFTER_PAUSE_S;
    }

    /** Whether we may answer workers: after waking only once a renewal, or every peer, shows that nobody else leads. */
    private boolean trusted(double now) {
        if (doubtful && (election.isLeaseHeld(now) || peerView.haveAllRespondedSince(wokeS))) {
            doubtful = false;
        }
        return !doubtful;
    }

    /**
     * Whether the workers cannot reach us, though they reach the others, who send them to us. Our lease would go on and
     * on, and with it all that runs would lose its lease: another one must lead.
     */
    private boolean missed() {
        double now = clockS.getAsDouble();
        if (!mayBeMissed(now)) {
            return false;
        }
        int elsewhere = Math.max(peerView.recentPeerReportCount(now), storedCounts.peerReportCount(now));
        if (elsewhere < Constants.ISOLATION_MIN_REPORTS
                || reports.recentCount(now) > elsewhere * Constants.ISOLATION_OWN_REPORT_SHARE) {
            return false;
        }
        return elsewhere >= leader.upMachineCount() * Constants.ISOLATION_PEER_REPORT_SHARE;
    }

    /**
     * Whether the leader says itself that hardly any worker reaches it, long after it began to lead, while workers come
     * here: sent back, they would wait for an answer in vain until their lease has run out.
     */
    private boolean missedByWorkers(String label) {
        double now = clockS.getAsDouble();
        return label != null
                && now - leaderKnownS >= Constants.ISOLATION_MIN_TERM_S
                && peerView.haveReportsCeased(label, now);
    }

    /** Notes when another leader began to lead, as far as this controller knows. */
    private void noteLeader(double now) {
        long stamp = election.leaderKeyRevision();
        if (stamp != leaderStamp) {
            leaderStamp = stamp;
            leaderKnownS = now;
        }
    }

    private boolean mayBeMissed(double now) {
        return leader != null
                && leader.isLoaded()
                && election.isLeaseHeld(now)
                && leader.termDurationS() >= Constants.ISOLATION_MIN_TERM_S;
    }

    /**
     * Where connections between controllers are refused or lost, what tells a leader that it is missed goes through the
     * state service: from a follower that hears workers and not the leader, to a leader that hears hardly any worker.
     */
    private void shareReportCounts() {
        double now = clockS.getAsDouble();
        int heard = reports.recentCount(now);
        String label = election.leaderLabel();
        if (leader == null && label != null && !election.isLeading()) {
            if (heard >= Constants.ISOLATION_MIN_REPORTS && !peerView.hasRespondedRecently(label, now)) {
                storedCounts.write(heard, election.leaderKeyRevision(), now);
            }
        } else if (mayBeMissed(now)
                && heard <= leader.upMachineCount() * Constants.ISOLATION_OWN_REPORT_SHARE
                && leader.upMachineCount() >= Constants.ISOLATION_MIN_REPORTS
                && !peerView.haveAllRespondedRecently(now)) {
            storedCounts.read(election.token(), now);
        }
    }

    // ---- leadership -------------------------------------------------------------------------------------------

    /** When to campaign, as a part of the spread. */
    private double turn() {
        boolean fresh = clockS.getAsDouble() - startedS < Constants.EARLY_CAMPAIGN_UPTIME_S;
        double r = random.nextDouble();
        return fresh
                ? r * Constants.EARLY_CAMPAIGN_SHARE
                : Constants.EARLY_CAMPAIGN_SHARE + r * (1 - Constants.EARLY_CAMPAIGN_SHARE);
    }

    private void lead() {
        double now = clockS.getAsDouble();
        switch (election.nextStep(now)) {
            case READ_LEADER_KEY ->
                state.get(StateKeys.LEADER, Constants.STATE_TIMEOUT_MS, a -> {
                    if (a.status() == 200) {
                        Map<String, Object> v = Fields.asMap(a.body().get("v"));
                        long stamp = Fields.getLong(a.body(), "stamp", 0);
                        election.onLeaderKeyRead(
                                clockS.getAsDouble(),
                                Fields.getString(v, "node"),
                                Fields.getString(v, "nonce"),
                                Fields.getLong(v, "hold", 0),
                                stamp,
                                turn());
                        if (leaderWatchFrom < stamp) {
                            leaderWatchFrom = stamp;
                        }
                    } else if (a.status() == 404) {
                        leaderWatchFrom = Math.max(leaderWatchFrom, Fields.getLong(a.body(), "epoch", 0));
                        election.onLeaderKeyRead(clockS.getAsDouble(), null, null, 0, 0, turn());
                    } else {
                        election.onStepFailed(clockS.getAsDouble());
                    }
                });
            case REVOKE_OLD_LEASE ->
                state.revokeLease(election.oldLeaseId(), a -> election.onOldLeaseRevoked(clockS.getAsDouble()));
            case CREATE_LEASE ->
                state.openLease(Constants.LEADER_LEASE_MS, a -> {
                    if (a.status() == 200) {
                        election.onLeaseCreated(now, Fields.getLong(a.body(), "hold", 0));
                        lead();
                    } else {
                        election.onStepFailed(clockS.getAsDouble());
                    }
                });
            case CAMPAIGN -> {
                Map<String, Object> v = new LinkedHashMap<>();
                v.put("node", settings.label());
                v.put("nonce", election.nonce());
                v.put("hold", election.leaseId());
                state.commit(
                        new Transaction()
                                .requireRevision(StateKeys.LEADER, 0)
                                .put(StateKeys.LEADER, v, election.leaseId()),
                        a -> {
                            if (a.status() == 200) {
                                election.onCampaignResponse(
                                        clockS.getAsDouble(), true, Fields.getLong(a.body(), "epoch", 0));
                                lead();
                            } else if (a.status() == 409) {
                                election.onCampaignResponse(clockS.getAsDouble(), false, 0);
                            } else {
                                election.onStepFailed(clockS.getAsDouble());
                            }
                        });
            }
            case RENEW_LEASE ->
                state.renewLease(election.leaseId(), a -> {
                    if (a.status() == 200) {
                        election.onRenewalResponse(now, true);
                    } else if (a.status() == 404) {
                        LOG.info("deposed: the lease ended");
                        election.onRenewalResponse(now, false);
                    } else {
                        election.onStepFailed(clockS.getAsDouble());
                    }
                });
            case NONE -> {}
        }
        if (leader != null && (!election.isLeading() || leader.cluster().token() != election.token())) {
            leader.end();
            leader = null;
            metrics.setLeading(false);
            LOG.info("no longer leading");
        }
        if (leader == null && election.isLeading()) {
            LOG.info("elected with token {}", election.token());
            leader = new Leader(
                    environment,
                    election,
                    aims,
                    types.values(),
                    finals,
                    metrics,
                    () -> peerView.recentPeerReportCount(clockS.getAsDouble()),
                    admission);
            metrics.setLeading(true);
        }
    }

    /** Followers learn of a vacancy from a watch, at once and for one request in ten seconds. */
    private void watchLeader() {
        if (watchingLeader || election.isLeading() || leaderWatchFrom < 0) {
            return;
        }
        watchingLeader = true;
        state.watch(StateKeys.LEADER, leaderWatchFrom, Constants.WATCH_BLOCK_MS, a -> {
            after(() -> watchingLeader = false, a.status() == 200 ? 50 : 500);
            if (a.status() == 410) {
                leaderWatchFrom = -1;
            }
            if (a.status() != 200) {
                return;
            }
            leaderWatchFrom = Math.max(leaderWatchFrom, Fields.getLong(a.body(), "epoch", 0));
            List<Object> news = Fields.getList(a.body(), "news");
            if (!news.isEmpty() && Fields.getString(Fields.asMap(news.get(news.size() - 1)), "delete") != null) {
                election.onLeaderKeyDeleted(clockS.getAsDouble(), turn());
            }
        });
    }

    // ---- peers ------------------------------------------------------------------------------------------------

    /** What this controller tells another one that asks. */
    public PeerCodec.StatusResponse answerPeerRequest(long serial) {
        double now = clockS.getAsDouble();
        return new PeerCodec.StatusResponse(
                serial,
                boot,
                state.isServed(),
                knownToken(),
                reports.recentCount(now),
                false,
                peerView.recentCancellations(now),
                admission.demand());
    }

    private long knownToken() {
        return election.isLeading() ? election.token() : election.leaderKeyRevision();
    }

    /** Takes in what another controller has answered. */
    public void handlePeerResponse(String label, PeerConnections.TimedResponse h) {
        double now = clockS.getAsDouble();
        peerView.recordResponse(label, h.requestedS(), now, h.response());
        if (leader == null) {
            return;
        }
        if (h.response().token() > election.token()) {
            LOG.info("deposed: {} knows token {}", label, h.response().token());
            election.depose();
            return;
        }
        leader.recordDemand(label, h.response().incarnation(), h.response().demand());
        JobRecordWatch records = leader.records();
        for (String id : h.response().cancellations()) {
            records.recordCancellation(id);
        }
        records.confirmCancellationsUntil(peerView.cancellationsKnownUntilS(records.cancellationsKnownUntilS(), now));
    }

    /** A peer's address refused a connection. */
    public void recordPeerRefusal(String label) {
        peerView.recordRefusedConnection(label, clockS.getAsDouble());
    }

    /**
     * This node is about to tell a user that the job is cancelled, while its tasks may still run; to be called before each
     * such answer, as a leader that is not served hears of cancellations in no other way.
     */
    public void recordCancellation(String id) {
        peerView.recordCancellation(id, clockS.getAsDouble());
        if (leader != null) {
            leader.records().recordCancellation(id);
        }
    }

    // ---- catalogue --------------------------------------------------------------------------------------------

    /** Without the machine types no submission can be judged; the state service keeps them for when the cloud fails. */
    private void types() {
        double now = clockS.getAsDouble();
        if (!types.isEmpty() || fetchingTypes || now < nextTypesS) {
            return;
        }
        fetchingTypes = true;
        state.get(StateKeys.CATALOGUE, Constants.STATE_TIMEOUT_MS, a -> {
            if (a.status() == 200) {
                learnTypes(CloudCodec.readMachineTypes(Fields.asMap(a.body().get("v"))));
                return;
            }
            cloud.call(Methods.GET, "/flavors", null, Constants.CLOUD_TIMEOUT_MS, b -> {
                if (b.status() == 200) {
                    learnTypes(CloudCodec.readMachineTypes(b.body()));
                } else {
                    fetchingTypes = false;
                    nextTypesS = clockS.getAsDouble() + 1 + random.nextDouble();
                }
            });
        });
    }

    private void learnTypes(List<MachineType> l) {
        fetchingTypes = false;
        Map<String, MachineType> m = new LinkedHashMap<>();
        for (MachineType t : l) {
            m.put(t.name(), t);
        }
        types = m;
        if (leader != null && leader.cluster().types().isEmpty()) {
            leader.cluster().setMachineTypes(l);
        }
    }

    // ---- for the interface ------------------------------------------------------------------------------------

    /** The machine types by name; empty until they have been read. */
    public Map<String, MachineType> machineTypes() {
        return types;
    }

    /** How submissions are admitted here. */
    public AdmissionControl admission() {
        return admission;
    }

    /** The meters of this controller. */
    public Metrics metrics() {
        return metrics;
    }

    /** The final state of a job as a cache knows it: true for done, false for cancelled, null if not known. */
    public Boolean cachedFinalState(String id) {
        FinalStateCache.FinalState s = finals.get(id);
        return s == null ? null : (Boolean) s.done();
    }

    /** How many tasks a job had whose final state is cached, else 0. */
    public int cachedTaskCount(String id) {
        FinalStateCache.FinalState s = finals.get(id);
        return s == null ? 0 : s.tasks();
    }

    /** Caches the final state of a job. */
    public void cacheFinalState(String id, boolean done, int tasks) {
        finals.put(id, done, tasks);
    }

    /** Whether this node leads. */
    public boolean isLeading() {
        return leader != null && election.isLeading();
    }

    /** The token under which this node leads or last led. */
    public long token() {
        return election.token();
    }

    /** Who leads as far as this node knows, or null. */
    public String leaderLabel() {
        return election.leaderLabel();
    }

    /** What to answer a worker. */
    public sealed interface ReportResponse {
        /** Orders under our token. */
        record Commands(long token, List<Command> commands) implements ReportResponse {}

        /** Somebody else leads, perhaps unknown who. */
        record NotLeader(String leader) implements ReportResponse {}

        /** We lead but may not renew. */
        record Withheld() implements ReportResponse {}
    }

    /** Takes in a worker's report and decides the answer. */
    public ReportResponse handleReport(Report r) {
        metrics.countReport();
        reports.recordReport(clockS.getAsDouble());
        if (leader == null || !election.isLeading()) {
            String l = election.leaderLabel();
            return new ReportResponse.NotLeader(settings.label().equals(l) || missedByWorkers(l) ? null : l);
        }
        noticeStandstill();
        double now = clockS.getAsDouble();
        if (!trusted(now) || !leader.mayRenewWorkerLeases(now) || leader.mustWithholdResponse(r.machine())) {
            metrics.countUnansweredReport();
            return new ReportResponse.Withheld();
        }
        List<Command> orders = leader.handleReport(r);
        if (orders == null) {
            LOG.info("deposed: {} knows token {}", r.machine(), r.token());
            election.depose();
            return new ReportResponse.NotLeader(null);
        }
        return new ReportResponse.Commands(leader.cluster().token(), orders);
    }

    /** Whether this node can take requests. */
    public boolean isHealthy() {
        // A node that alone is refused sends its users elsewhere; in an outage for all there is no elsewhere.
        double now = clockS.getAsDouble();
        boolean refused = !state.isServed() && now - state.lastServedS() > Constants.UNHEALTHY_AFTER_MS / 1000.0;
        return !(refused && peerView.isStateAvailableToAnyPeer(now));
    }
}
