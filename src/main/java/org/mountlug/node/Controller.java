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
 * One controller without its sockets: its election, the watches that a follower keeps, and its responses to users,
 * workers and peers. Everything runs on one thread, which suffices on a quarter of a core and avoids shared state.
 * {@link ControllerServer} adds the sockets and the timer.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    private final Environment environment;
    private final Settings settings;
    private final Election election;
    private final FinalStateCache finalStates = new FinalStateCache();
    private final Metrics metrics = new Metrics();
    private final Objectives objectives = new Objectives();
    private final SplittableRandom random;
    private final StateClient state;
    private final HttpTransport cloud;
    private final DoubleSupplier clockS;
    private Leader leader;
    private volatile Map<String, MachineType> machineTypes = Map.of();
    private boolean fetchingMachineTypes;
    private double nextMachineTypesFetchS;
    private long leaderWatchRevision = -1;
    private boolean watchingLeaderKey;
    private final PeerView peerView;
    private final long incarnation;
    private final double startedS;
    private final ReservationWatch reservationWatch;
    private final VersionAnnouncer versionAnnouncer;
    private final ReportCounter reportCounter;
    private final StoredReportCounts storedCounts;
    private final OverloadLog overloadLog = new OverloadLog();
    private final AdmissionControl admission;
    /** The revision of the leader key as last seen. */
    private long lastLeaderRevision = -1;

    /** Monotonic seconds at which this controller first saw {@link #lastLeaderRevision}. */
    private double leaderSinceS;
    /** Monotonic seconds of the last tick; a long gap after it is a pause of the whole process. */
    private double lastTickS;
    /** Monotonic seconds at which the end of the last process pause was detected. */
    private double pauseEndedS = Double.NEGATIVE_INFINITY;
    /** Seconds that the last process pause lasted. */
    private double pauseDurationS;
    /** Whether nothing since the last process pause has shown that this controller still leads. */
    private boolean leadershipUnconfirmed;

    /**
     * Creates a controller that has just started.
     *
     * @param random the source of its incarnation number and of its random delays
     */
    public Controller(Environment environment, SplittableRandom random) {
        this.environment = environment;
        this.settings = environment.settings();
        this.state = environment.state();
        this.cloud = environment.cloud();
        this.clockS = environment.clockS();
        this.random = random;
        this.incarnation = random.nextLong();
        this.startedS = clockS.getAsDouble();
        this.lastTickS = startedS;
        this.reservationWatch = new ReservationWatch(state, metrics);
        this.admission = environment.operators().admission().enabled()
                ? new FairShareAdmission(environment)
                : new RateLimitAdmission(state);
        this.versionAnnouncer = new VersionAnnouncer(state, settings.label());
        this.storedCounts = new StoredReportCounts(state, settings.label());
        this.reportCounter = new ReportCounter(Constants.REPORT_COUNT_WINDOW_INTERVALS * settings.reportIntervalS());
        this.election = new Election(settings.label(), Long.toHexString(incarnation));
        this.peerView = new PeerView(
                settings.peers().stream().map(Settings.Peer::label).toList(), Constants.CANCELLATION_RETENTION_S);
        for (Settings.Objective objective : settings.objectives()) {
            if (Double.isNaN(objective.withinS())) {
                continue;
            }
            if (objective.kind().equals("wait")) {
                objectives.addStartObjective(objective.jobClass(), objective.withinS());
            } else if (objective.kind().equals("finished")) {
                objectives.addCompletionObjective(objective.jobClass(), objective.withinS());
            }
        }
    }

    private void runAfter(Runnable action, int delayMs) {
        environment.timer().accept(action, delayMs);
    }

    /** Returns the number of machines that have reported and are not known to be gone; 0 for a follower. */
    int reportedMachineCount() {
        return leader == null ? 0 : leader.reportedMachineCount();
    }

    /** Returns the names of the machines that the machine list proves gone and that are still known; empty for a follower. */
    List<String> machinesGoneByList() {
        return leader == null ? List.of() : leader.machinesGoneByList();
    }

    /** Returns the status of each zone; empty for a follower. */
    List<ZoneStatus> zoneStatuses() {
        return leader == null ? List.of() : leader.zoneStatuses();
    }

    /** Does all periodic work of the controller; to be called about ten times a second. */
    public void tick() {
        detectProcessPause();
        lastTickS = clockS.getAsDouble();
        String leaderLabel = election.leaderLabel();
        if (leaderLabel != null
                && !election.isLeading()
                && peerView.hasProcessEnded(leaderLabel, clockS.getAsDouble())) {
            LOG.info("the process of leader {} has ended: it refuses connections, and most peers respond", leaderLabel);
            election.onLeaderProcessEnded(leaderLabel);
        }
        recordLeaderChange(clockS.getAsDouble());
        overloadLog.observe(metrics.rateLimitedRequestCount(), clockS.getAsDouble());
        shareReportCounts();
        if (isIsolated()) {
            LOG.info("resigning as leader: workers report to the other controllers and not to this one");
            election.resign(clockS.getAsDouble());
        }
        advanceElection();
        watchLeaderKey();
        versionAnnouncer.tick(clockS.getAsDouble());
        admission.tick(clockS.getAsDouble());
        if (!election.isLeading() && election.leaderLabel() != null) {
            reservationWatch.tick(clockS.getAsDouble());
        }
        fetchMachineTypes();
        if (leader != null) {
            leader.tick();
        }
    }

    /**
     * Detects that the whole process was paused for seconds while its clocks ran on. The leader lease may have ended
     * meanwhile, and machines seem silent only because no report could be read. Called by the tick and before a request
     * is handled, as a request that waited in a socket may be read before the first tick.
     */
    private void detectProcessPause() {
        double nowS = clockS.getAsDouble();
        double sinceLastTickS = nowS - lastTickS;
        if (sinceLastTickS <= Constants.MIN_PROCESS_PAUSE_S) {
            return;
        }
        metrics.countProcessPause();
        LOG.info("the process was paused for {} s", Math.round(sinceLastTickS * 10) / 10.0);
        lastTickS = nowS; // a pause is detected only once
        pauseEndedS = nowS;
        pauseDurationS = sinceLastTickS;
        leadershipUnconfirmed = true;
        if (leader != null) {
            leader.cluster().restartListening(nowS);
        }
    }

    /**
     * Whether users' requests are refused for now: the process was paused for longer than any user waits, and the
     * requests that it reads just after the pause are mostly from users that have given up and turned to another
     * controller.
     */
    public boolean isSheddingRequests() {
        detectProcessPause();
        return pauseDurationS > Constants.USER_REQUEST_TIMEOUT_S
                && clockS.getAsDouble() - pauseEndedS < Constants.SHED_AFTER_PAUSE_S;
    }

    /**
     * Whether this controller may respond to workers as the leader. After a process pause it may only once a renewal of
     * the leader lease, or a response of every peer, shows that no other controller leads.
     */
    private boolean isLeadershipConfirmed(double nowS) {
        if (leadershipUnconfirmed && (election.isLeaseHeld(nowS) || peerView.haveAllRespondedSince(pauseEndedS))) {
            leadershipUnconfirmed = false;
        }
        return !leadershipUnconfirmed;
    }

    /**
     * Whether this leader is isolated: workers cannot reach it, though they reach its peers, which redirect them to it.
     * It would renew the leader lease forever while all running tasks lost their worker leases, so another controller
     * must lead.
     */
    private boolean isIsolated() {
        double nowS = clockS.getAsDouble();
        if (!canJudgeIsolation(nowS)) {
            return false;
        }
        int peerReportCount = Math.max(peerView.recentPeerReportCount(nowS), storedCounts.peerReportCount(nowS));
        if (peerReportCount < Constants.ISOLATION_MIN_REPORTS
                || reportCounter.recentCount(nowS) > peerReportCount * Constants.ISOLATION_OWN_REPORT_SHARE) {
            return false;
        }
        return peerReportCount >= leader.reportedMachineCount() * Constants.ISOLATION_PEER_REPORT_SHARE;
    }

    /**
     * Whether the leader itself responds that hardly any worker reaches it, long after it began to lead. Workers that
     * report here are then not redirected to it, as they would wait for a response in vain until their lease runs out.
     */
    private boolean isLeaderIsolated(String label) {
        double nowS = clockS.getAsDouble();
        return label != null
                && nowS - leaderSinceS >= Constants.ISOLATION_MIN_TERM_S
                && peerView.haveReportsCeased(label, nowS);
    }

    /** Records when this controller first saw the current revision of the leader key. */
    private void recordLeaderChange(double nowS) {
        long revision = election.leaderKeyRevision();
        if (revision != lastLeaderRevision) {
            lastLeaderRevision = revision;
            leaderSinceS = nowS;
        }
    }

    /** Whether this controller has led for long enough, with a lease that is held, to tell whether it is isolated. */
    private boolean canJudgeIsolation(double nowS) {
        return leader != null
                && leader.isLoaded()
                && election.isLeaseHeld(nowS)
                && leader.termDurationS() >= Constants.ISOLATION_MIN_TERM_S;
    }

    /**
     * Passes numbers of reports through the state service where connections between controllers are refused or lost, so
     * that an isolated leader detects its isolation: a follower that receives reports but no responses of the leader
     * writes its number, and a leader that receives hardly any report reads the numbers.
     */
    private void shareReportCounts() {
        double nowS = clockS.getAsDouble();
        int recentReports = reportCounter.recentCount(nowS);
        String leaderLabel = election.leaderLabel();
        if (leader == null && leaderLabel != null && !election.isLeading()) {
            if (recentReports >= Constants.ISOLATION_MIN_REPORTS && !peerView.hasRespondedRecently(leaderLabel, nowS)) {
                storedCounts.write(recentReports, election.leaderKeyRevision(), nowS);
            }
        } else if (canJudgeIsolation(nowS)
                && recentReports <= leader.reportedMachineCount() * Constants.ISOLATION_OWN_REPORT_SHARE
                && leader.reportedMachineCount() >= Constants.ISOLATION_MIN_REPORTS
                && !peerView.haveAllRespondedRecently(nowS)) {
            storedCounts.read(election.token(), nowS);
        }
    }

    // ---- leadership -------------------------------------------------------------------------------------------

    /** Returns a random campaign delay as a share of the campaign jitter; recently started controllers go first. */
    private double randomCampaignDelayShare() {
        boolean recentlyStarted = clockS.getAsDouble() - startedS < Constants.EARLY_CAMPAIGN_UPTIME_S;
        double randomShare = random.nextDouble();
        return recentlyStarted
                ? randomShare * Constants.EARLY_CAMPAIGN_SHARE
                : Constants.EARLY_CAMPAIGN_SHARE + randomShare * (1 - Constants.EARLY_CAMPAIGN_SHARE);
    }

    /** Takes the next step of the election, and begins or ends this controller's term by its outcome. */
    private void advanceElection() {
        double nowS = clockS.getAsDouble();
        switch (election.nextStep(nowS)) {
            case READ_LEADER_KEY ->
                state.get(StateKeys.LEADER, Constants.STATE_TIMEOUT_MS, response -> {
                    if (response.status() == 200) {
                        Map<String, Object> record =
                                Fields.asMap(response.body().get("v"));
                        long revision = Fields.getLong(response.body(), "stamp", 0);
                        election.onLeaderKeyRead(
                                clockS.getAsDouble(),
                                Fields.getString(record, "node"),
                                Fields.getString(record, "nonce"),
                                Fields.getLong(record, "hold", 0),
                                revision,
                                randomCampaignDelayShare());
                        if (leaderWatchRevision < revision) {
                            leaderWatchRevision = revision;
                        }
                    } else if (response.status() == 404) {
                        leaderWatchRevision =
                                Math.max(leaderWatchRevision, Fields.getLong(response.body(), "epoch", 0));
                        election.onLeaderKeyRead(clockS.getAsDouble(), null, null, 0, 0, randomCampaignDelayShare());
                    } else {
                        election.onStepFailed(clockS.getAsDouble());
                    }
                });
            case REVOKE_OLD_LEASE ->
                state.revokeLease(election.oldLeaseId(), response -> election.onOldLeaseRevoked(clockS.getAsDouble()));
            case CREATE_LEASE ->
                state.openLease(Constants.LEADER_LEASE_MS, response -> {
                    if (response.status() == 200) {
                        election.onLeaseCreated(nowS, Fields.getLong(response.body(), "hold", 0));
                        advanceElection();
                    } else {
                        election.onStepFailed(clockS.getAsDouble());
                    }
                });
            case CAMPAIGN -> {
                Map<String, Object> record = new LinkedHashMap<>();
                record.put("node", settings.label());
                record.put("nonce", election.nonce());
                record.put("hold", election.leaseId());
                state.commit(
                        new Transaction()
                                .requireRevision(StateKeys.LEADER, 0)
                                .put(StateKeys.LEADER, record, election.leaseId()),
                        response -> {
                            if (response.status() == 200) {
                                election.onCampaignResponse(
                                        clockS.getAsDouble(), true, Fields.getLong(response.body(), "epoch", 0));
                                advanceElection();
                            } else if (response.status() == 409) {
                                election.onCampaignResponse(clockS.getAsDouble(), false, 0);
                            } else {
                                election.onStepFailed(clockS.getAsDouble());
                            }
                        });
            }
            case RENEW_LEASE ->
                state.renewLease(election.leaseId(), response -> {
                    if (response.status() == 200) {
                        election.onRenewalResponse(nowS, true);
                    } else if (response.status() == 404) {
                        LOG.info("deposed: the lease ended");
                        election.onRenewalResponse(nowS, false);
                    } else {
                        election.onStepFailed(clockS.getAsDouble());
                    }
                });
            case NONE -> {}
        }
        if (leader != null && (!election.isLeading() || leader.cluster().termToken() != election.token())) {
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
                    objectives,
                    machineTypes.values(),
                    finalStates,
                    metrics,
                    () -> peerView.recentPeerReportCount(clockS.getAsDouble()),
                    admission);
            metrics.setLeading(true);
        }
    }

    /** Watches the leader key as a follower, which detects a vacancy at once and takes one request in ten seconds. */
    private void watchLeaderKey() {
        if (watchingLeaderKey || election.isLeading() || leaderWatchRevision < 0) {
            return;
        }
        watchingLeaderKey = true;
        state.watch(StateKeys.LEADER, leaderWatchRevision, Constants.WATCH_BLOCK_MS, response -> {
            runAfter(() -> watchingLeaderKey = false, response.status() == 200 ? 50 : 500);
            if (response.status() == 410) {
                leaderWatchRevision = -1;
            }
            if (response.status() != 200) {
                return;
            }
            leaderWatchRevision = Math.max(leaderWatchRevision, Fields.getLong(response.body(), "epoch", 0));
            List<Object> changes = Fields.getList(response.body(), "news");
            if (!changes.isEmpty()
                    && Fields.getString(Fields.asMap(changes.get(changes.size() - 1)), "delete") != null) {
                election.onLeaderKeyDeleted(clockS.getAsDouble(), randomCampaignDelayShare());
            }
        });
    }

    // ---- peers ------------------------------------------------------------------------------------------------

    /** Returns the response to a peer's status request. */
    public PeerCodec.StatusResponse answerPeerRequest(long serial) {
        double nowS = clockS.getAsDouble();
        return new PeerCodec.StatusResponse(
                serial,
                incarnation,
                state.isAvailable(),
                knownToken(),
                reportCounter.recentCount(nowS),
                false,
                peerView.recentCancellations(nowS),
                admission.demand());
    }

    /** Returns the own token while leading, else the revision of the leader key, which is the leader's token. */
    private long knownToken() {
        return election.isLeading() ? election.token() : election.leaderKeyRevision();
    }

    /** Applies the response of a peer to a status request. */
    public void handlePeerResponse(String label, PeerConnections.TimedResponse timedResponse) {
        double nowS = clockS.getAsDouble();
        peerView.recordResponse(label, timedResponse.requestedS(), nowS, timedResponse.response());
        if (leader == null) {
            return;
        }
        if (timedResponse.response().token() > election.token()) {
            LOG.info(
                    "deposed: controller {} knows the higher token {}",
                    label,
                    timedResponse.response().token());
            election.depose();
            return;
        }
        leader.recordDemand(
                label,
                timedResponse.response().incarnation(),
                timedResponse.response().demand());
        JobRecordWatch records = leader.recordWatch();
        for (String id : timedResponse.response().cancellations()) {
            records.recordCancellation(id);
        }
        records.confirmCancellationsUntil(peerView.cancellationsKnownUntilS(records.cancellationsKnownUntilS(), nowS));
    }

    /** Records that a peer's address refused a connection. */
    public void recordPeerRefusal(String label) {
        peerView.recordRefusedConnection(label, clockS.getAsDouble());
    }

    /**
     * Records that this controller is about to acknowledge a cancellation to a user, while tasks of the job may still
     * run. To be called before each such response: a leader to which the state service is unavailable learns of
     * cancellations in no other way.
     */
    public void recordCancellation(String id) {
        peerView.recordCancellation(id, clockS.getAsDouble());
        if (leader != null) {
            leader.recordWatch().recordCancellation(id);
        }
    }

    // ---- machine types ----------------------------------------------------------------------------------------

    /**
     * Fetches the machine types, without which no submission can be validated: from the state service, which keeps them
     * for when the cloud fails, or else from the cloud.
     */
    private void fetchMachineTypes() {
        double nowS = clockS.getAsDouble();
        if (!machineTypes.isEmpty() || fetchingMachineTypes || nowS < nextMachineTypesFetchS) {
            return;
        }
        fetchingMachineTypes = true;
        state.get(StateKeys.MACHINE_TYPES, Constants.STATE_TIMEOUT_MS, response -> {
            if (response.status() == 200) {
                applyMachineTypes(
                        CloudCodec.readMachineTypes(Fields.asMap(response.body().get("v"))));
                return;
            }
            cloud.call(Methods.GET, "/flavors", null, Constants.CLOUD_TIMEOUT_MS, cloudResponse -> {
                if (cloudResponse.status() == 200) {
                    applyMachineTypes(CloudCodec.readMachineTypes(cloudResponse.body()));
                } else {
                    fetchingMachineTypes = false;
                    nextMachineTypesFetchS = clockS.getAsDouble() + 1 + random.nextDouble();
                }
            });
        });
    }

    private void applyMachineTypes(List<MachineType> types) {
        fetchingMachineTypes = false;
        Map<String, MachineType> byName = new LinkedHashMap<>();
        for (MachineType type : types) {
            byName.put(type.name(), type);
        }
        machineTypes = byName;
        if (leader != null && leader.cluster().types().isEmpty()) {
            leader.cluster().setMachineTypes(types);
        }
    }

    // ---- users and workers ------------------------------------------------------------------------------------

    /** Returns the machine types by name; empty until they have been read. */
    public Map<String, MachineType> machineTypes() {
        return machineTypes;
    }

    /** Returns the admission control of this controller. */
    public AdmissionControl admission() {
        return admission;
    }

    /** Returns the metrics of this controller. */
    public Metrics metrics() {
        return metrics;
    }

    /** Returns the cached final state of a job: true for done, false for cancelled, null if it is not cached. */
    public Boolean cachedFinalState(String id) {
        FinalStateCache.FinalState finalState = finalStates.get(id);
        return finalState == null ? null : (Boolean) finalState.done();
    }

    /** Returns the number of tasks of a job whose final state is cached, else 0. */
    public int cachedTaskCount(String id) {
        FinalStateCache.FinalState finalState = finalStates.get(id);
        return finalState == null ? 0 : finalState.tasks();
    }

    /** Caches the final state of a job. */
    public void cacheFinalState(String id, boolean done, int tasks) {
        finalStates.put(id, done, tasks);
    }

    /** Whether this controller leads. */
    public boolean isLeading() {
        return leader != null && election.isLeading();
    }

    /** Returns the fencing token of this controller's current or last term. */
    public long token() {
        return election.token();
    }

    /** Returns the label of the leader as far as this controller knows it, or null. */
    public String leaderLabel() {
        return election.leaderLabel();
    }

    /** The response to a worker's report. */
    public sealed interface ReportResponse {
        /** The leader's response: commands under its fencing token. */
        record Commands(long token, List<Command> commands) implements ReportResponse {}

        /** Another controller leads; {@code leader} is null if it is not known which, or if workers cannot reach it. */
        record NotLeader(String leader) implements ReportResponse {}

        /** This controller leads but may not renew the worker's lease, so it sends no response. */
        record Withheld() implements ReportResponse {}
    }

    /** Applies a worker's report and returns the response. */
    public ReportResponse handleReport(Report report) {
        metrics.countReport();
        reportCounter.recordReport(clockS.getAsDouble());
        if (leader == null || !election.isLeading()) {
            String leaderLabel = election.leaderLabel();
            return new ReportResponse.NotLeader(
                    settings.label().equals(leaderLabel) || isLeaderIsolated(leaderLabel) ? null : leaderLabel);
        }
        detectProcessPause();
        double nowS = clockS.getAsDouble();
        if (!isLeadershipConfirmed(nowS)
                || !leader.mayRenewWorkerLeases(nowS)
                || leader.mustWithholdResponse(report.machine())) {
            metrics.countUnansweredReport();
            return new ReportResponse.Withheld();
        }
        List<Command> commands = leader.handleReport(report);
        if (commands == null) {
            LOG.info("deposed: machine {} knows the higher token {}", report.machine(), report.token());
            election.depose();
            return new ReportResponse.NotLeader(null);
        }
        return new ReportResponse.Commands(leader.cluster().commandToken(report.machine()), commands);
    }

    /** Whether the load balancer should send users to this controller. */
    public boolean isHealthy() {
        // If the state service is unavailable to this controller alone, users are better served by a peer; in an outage
        // for all controllers they are not.
        double nowS = clockS.getAsDouble();
        boolean stateUnavailable =
                !state.isAvailable() && nowS - state.lastAvailableS() > Constants.UNHEALTHY_AFTER_MS / 1000.0;
        return !(stateUnavailable && peerView.isStateAvailableToAnyPeer(nowS));
    }
}
