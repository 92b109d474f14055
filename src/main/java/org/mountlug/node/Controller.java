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
import org.mountlug.core.model.Aims;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Order;
import org.mountlug.core.model.Report;
import org.mountlug.core.zone.ZoneStatus;
import org.mountlug.peer.PeerCodec;
import org.mountlug.peer.PeerView;
import org.mountlug.peer.Peers;
import org.mountlug.settings.Settings;
import org.mountlug.store.Change;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Calls;
import org.mountlug.wire.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller node without its sockets: leadership, the watches a follower keeps, and what users, workers and peers
 * are answered. Everything runs on one thread, which on a quarter of a core costs nothing and leaves no state to be
 * shared; {@link Daemon} puts the sockets and the clock round it.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    private final Environment environment;
    private final Settings settings;
    private final Election election;
    private final FinalStates finals = new FinalStates();
    private final Metrics metrics = new Metrics();
    private final Aims aims = new Aims();
    private final SplittableRandom random;
    private final StateClient state;
    private final Calls cloud;
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
    private final VersionAnnouncement versions;
    private final ReportCount reports;
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
                ? new FairAdmission(environment)
                : new RequestBudgetAdmission(state);
        this.versions = new VersionAnnouncement(state, settings.label());
        this.storedCounts = new StoredReportCounts(state, settings.label());
        this.reports = new ReportCount(Constants.REPORTS_INTERVALS * settings.reportS());
        this.election = new Election(settings.label(), Long.toHexString(boot));
        this.peerView = new PeerView(
                settings.others().stream().map(Settings.Peer::label).toList(), Constants.ABORT_MEMORY_S);
        for (Settings.Objective o : settings.objectives()) {
            if (Double.isNaN(o.withinS())) {
                continue;
            }
            if (o.kind().equals("wait")) {
                aims.wait(o.lane(), o.withinS());
            } else if (o.kind().equals("finished")) {
                aims.finished(o.lane(), o.withinS());
            }
        }
    }

    private void after(Runnable r, int ms) {
        environment.timer().accept(r, ms);
    }

    /** Machines that are heard, as far as this controller leads. */
    int machinesUp() {
        return leader == null ? 0 : leader.machinesUp();
    }

    /** How the zones stand, as far as this controller leads. */
    List<ZoneStatus> zones() {
        return leader == null ? List.of() : leader.zones();
    }

    /** To be called about ten times a second. */
    public void tick() {
        noticeStandstill();
        lastTurnS = clockS.getAsDouble();
        String l = election.leader();
        if (l != null && !election.leading() && peerView.ended(l, clockS.getAsDouble())) {
            LOG.info("{} has ended, by its refusals and the others' answers", l);
            election.leaderEnded(l);
        }
        noteLeader(clockS.getAsDouble());
        overload.look(metrics.overBudgetSoFar(), clockS.getAsDouble());
        shareReportCounts();
        if (missed()) {
            LOG.info("gives up leading: workers report to the other nodes and not to us");
            election.resign(clockS.getAsDouble());
        }
        lead();
        watchLeader();
        versions.announce(clockS.getAsDouble());
        admission.tick(clockS.getAsDouble());
        if (!election.leading() && election.leader() != null) {
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
        if (gap <= Constants.STANDSTILL_S) {
            return;
        }
        metrics.standstill();
        LOG.info("stood still for {} s", Math.round(gap * 10) / 10.0);
        lastTurnS = now; // noticed once, by whichever looks first
        wokeS = now;
        stoodStillS = gap;
        doubtful = true;
        if (leader != null) {
            leader.cluster().woke(now);
        }
    }

    /**
     * Whether users' requests are refused for now: this process stood still for longer than any user waits, and what it
     * reads just after waking is mostly from users that have long given up and asked elsewhere.
     */
    public boolean shedsRequests() {
        noticeStandstill();
        return stoodStillS > Constants.USER_PATIENCE_S && clockS.getAsDouble() - wokeS < Constants.SHED_AFTER_WAKING_S;
    }

    /** Whether we may answer workers: after waking only once a renewal, or every peer, shows that nobody else leads. */
    private boolean trusted(double now) {
        if (doubtful && (election.proven(now) || peerView.allAnsweredSince(wokeS))) {
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
        int elsewhere = Math.max(peerView.reportsElsewhere(now), storedCounts.elsewhere(now));
        if (elsewhere < Constants.MISSED_LEAST || reports.lately(now) > elsewhere * Constants.MISSED_HEARS) {
            return false;
        }
        return elsewhere >= leader.machinesUp() * Constants.MISSED_SHARE;
    }

    /**
     * Whether the leader says itself that hardly any worker reaches it, long after it began to lead, while workers come
     * here: sent back, they would wait for an answer in vain until their lease has run out.
     */
    private boolean missedByWorkers(String label) {
        double now = clockS.getAsDouble();
        return label != null && now - leaderKnownS >= Constants.MISSED_AFTER_S && peerView.reportsCeased(label, now);
    }

    /** Notes when another leader began to lead, as far as this controller knows. */
    private void noteLeader(double now) {
        long stamp = election.seenStamp();
        if (stamp != leaderStamp) {
            leaderStamp = stamp;
            leaderKnownS = now;
        }
    }

    private boolean mayBeMissed(double now) {
        return leader != null && leader.loaded() && election.proven(now) && leader.termS() >= Constants.MISSED_AFTER_S;
    }

    /**
     * Where connections between controllers are refused or lost, what tells a leader that it is missed goes through the
     * state service: from a follower that hears workers and not the leader, to a leader that hears hardly any worker.
     */
    private void shareReportCounts() {
        double now = clockS.getAsDouble();
        int heard = reports.lately(now);
        String label = election.leader();
        if (leader == null && label != null && !election.leading()) {
            if (heard >= Constants.MISSED_LEAST && !peerView.heardLately(label, now)) {
                storedCounts.write(heard, election.seenStamp(), now);
            }
        } else if (mayBeMissed(now)
                && heard <= leader.machinesUp() * Constants.MISSED_HEARS
                && leader.machinesUp() >= Constants.MISSED_LEAST
                && !peerView.allHeardLately(now)) {
            storedCounts.read(election.token(), now);
        }
    }

    // ---- leadership -------------------------------------------------------------------------------------------

    /** When to campaign, as a part of the spread. */
    private double turn() {
        boolean fresh = clockS.getAsDouble() - startedS < Constants.FRESH_S;
        double r = random.nextDouble();
        return fresh ? r * Constants.FRESH_PART : Constants.FRESH_PART + r * (1 - Constants.FRESH_PART);
    }

    private void lead() {
        double now = clockS.getAsDouble();
        switch (election.next(now)) {
            case LOOK ->
                state.get(StateKeys.LEADER, Constants.STATE_TIMEOUT_MS, a -> {
                    if (a.status() == 200) {
                        Map<String, Object> v = Fields.map(a.body().get("v"));
                        long stamp = Fields.num(a.body(), "stamp", 0);
                        election.looked(
                                clockS.getAsDouble(),
                                Fields.str(v, "node"),
                                Fields.str(v, "nonce"),
                                Fields.num(v, "hold", 0),
                                stamp,
                                turn());
                        if (leaderWatchFrom < stamp) {
                            leaderWatchFrom = stamp;
                        }
                    } else if (a.status() == 404) {
                        leaderWatchFrom = Math.max(leaderWatchFrom, Fields.num(a.body(), "epoch", 0));
                        election.looked(clockS.getAsDouble(), null, null, 0, 0, turn());
                    } else {
                        election.failed(clockS.getAsDouble());
                    }
                });
            case DROP_OLD_LEASE ->
                state.dropLease(election.oldLease(), a -> election.oldLeaseDropped(clockS.getAsDouble()));
            case OPEN_LEASE ->
                state.openLease(Constants.LEADER_LEASE_MS, a -> {
                    if (a.status() == 200) {
                        election.leaseOpened(now, Fields.num(a.body(), "hold", 0));
                        lead();
                    } else {
                        election.failed(clockS.getAsDouble());
                    }
                });
            case CAMPAIGN -> {
                Map<String, Object> v = new LinkedHashMap<>();
                v.put("node", settings.label());
                v.put("nonce", election.nonce());
                v.put("hold", election.lease());
                state.commit(new Change().guard(StateKeys.LEADER, 0).put(StateKeys.LEADER, v, election.lease()), a -> {
                    if (a.status() == 200) {
                        election.campaigned(clockS.getAsDouble(), true, Fields.num(a.body(), "epoch", 0));
                        lead();
                    } else if (a.status() == 409) {
                        election.campaigned(clockS.getAsDouble(), false, 0);
                    } else {
                        election.failed(clockS.getAsDouble());
                    }
                });
            }
            case RENEW ->
                state.renewLease(election.lease(), a -> {
                    if (a.status() == 200) {
                        election.renewed(now, true);
                    } else if (a.status() == 404) {
                        LOG.info("deposed: the lease ended");
                        election.renewed(now, false);
                    } else {
                        election.failed(clockS.getAsDouble());
                    }
                });
            case NONE -> {}
        }
        if (leader != null && (!election.leading() || leader.cluster().token() != election.token())) {
            leader.end();
            leader = null;
            metrics.leading(false);
            LOG.info("no longer leading");
        }
        if (leader == null && election.leading()) {
            LOG.info("elected with token {}", election.token());
            leader = new Leader(
                    environment,
                    election,
                    aims,
                    types.values(),
                    finals,
                    metrics,
                    () -> peerView.reportsElsewhere(clockS.getAsDouble()),
                    admission);
            metrics.leading(true);
        }
    }

    /** Followers learn of a vacancy from a watch, at once and for one request in ten seconds. */
    private void watchLeader() {
        if (watchingLeader || election.leading() || leaderWatchFrom < 0) {
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
            leaderWatchFrom = Math.max(leaderWatchFrom, Fields.num(a.body(), "epoch", 0));
            List<Object> news = Fields.list(a.body(), "news");
            if (!news.isEmpty() && Fields.str(Fields.map(news.get(news.size() - 1)), "delete") != null) {
                election.vanished(clockS.getAsDouble(), turn());
            }
        });
    }

    // ---- peers ------------------------------------------------------------------------------------------------

    /** What this controller tells another one that asks. */
    public PeerCodec.Answer tellPeer(long serial) {
        double now = clockS.getAsDouble();
        return new PeerCodec.Answer(
                serial,
                boot,
                state.served(),
                knownToken(),
                reports.lately(now),
                false,
                peerView.aborts(now),
                admission.demand());
    }

    private long knownToken() {
        return election.leading() ? election.token() : election.seenStamp();
    }

    /** Takes in what another controller has answered. */
    public void heardPeer(String label, Peers.Heard h) {
        double now = clockS.getAsDouble();
        peerView.answered(label, h.askedS(), now, h.answer());
        if (leader == null) {
            return;
        }
        if (h.answer().token() > election.token()) {
            LOG.info("deposed: {} knows token {}", label, h.answer().token());
            election.depose();
            return;
        }
        leader.demand(label, h.answer().boot(), h.answer().demand());
        LiveRecords records = leader.records();
        for (String id : h.answer().aborts()) {
            records.cancellationNoticed(id);
        }
        records.knownByPeers(peerView.knownUntilS(records.knownUntilS(), now));
    }

    /** A peer's address refused a connection. */
    public void peerRefused(String label) {
        peerView.refused(label, clockS.getAsDouble());
    }

    /**
     * This node is about to tell a user that the job is cancelled, while its tasks may still run; to be called before each
     * such answer, as a leader that is not served hears of cancellations in no other way.
     */
    public void abortAccepted(String id) {
        peerView.cancelled(id, clockS.getAsDouble());
        if (leader != null) {
            leader.records().cancellationNoticed(id);
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
                learnTypes(CloudCodec.catalogue(Fields.map(a.body().get("v"))));
                return;
            }
            cloud.call(Methods.GET, "/flavors", null, Constants.CLOUD_TIMEOUT_MS, b -> {
                if (b.status() == 200) {
                    learnTypes(CloudCodec.catalogue(b.body()));
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
            leader.cluster().catalogue(l);
        }
    }

    // ---- for the interface ------------------------------------------------------------------------------------

    /** The machine types by name; empty until they have been read. */
    public Map<String, MachineType> knownTypes() {
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
    public Boolean finalState(String id) {
        FinalStates.State s = finals.get(id);
        return s == null ? null : (Boolean) s.done();
    }

    /** How many tasks a job had whose final state is cached, else 0. */
    public int finalTasks(String id) {
        FinalStates.State s = finals.get(id);
        return s == null ? 0 : s.tasks();
    }

    /** Caches the final state of a job. */
    public void learnFinal(String id, boolean done, int tasks) {
        finals.put(id, done, tasks);
    }

    /** Whether this node leads. */
    public boolean leads() {
        return leader != null && election.leading();
    }

    /** The token under which this node leads or last led. */
    public long token() {
        return election.token();
    }

    /** Who leads as far as this node knows, or null. */
    public String leaderLabel() {
        return election.leader();
    }

    /** What to answer a worker. */
    public sealed interface ReportAnswer {
        /** Orders under our token. */
        record Orders(long token, List<Order> orders) implements ReportAnswer {}

        /** Somebody else leads, perhaps unknown who. */
        record Elsewhere(String leader) implements ReportAnswer {}

        /** We lead but may not renew. */
        record Blind() implements ReportAnswer {}
    }

    /** Takes in a worker's report and decides the answer. */
    public ReportAnswer handleReport(Report r) {
        metrics.handleReport();
        reports.add(clockS.getAsDouble());
        if (leader == null || !election.leading()) {
            String l = election.leader();
            return new ReportAnswer.Elsewhere(settings.label().equals(l) || missedByWorkers(l) ? null : l);
        }
        noticeStandstill();
        double now = clockS.getAsDouble();
        if (!trusted(now) || !leader.mayRenew(now) || leader.unanswerable(r.machine())) {
            metrics.unanswered();
            return new ReportAnswer.Blind();
        }
        List<Order> orders = leader.report(r);
        if (orders == null) {
            LOG.info("deposed: {} knows token {}", r.machine(), r.token());
            election.depose();
            return new ReportAnswer.Elsewhere(null);
        }
        return new ReportAnswer.Orders(leader.cluster().token(), orders);
    }

    /** Whether this node can take requests. */
    public boolean healthy() {
        // A node that alone is refused sends its users elsewhere; in an outage for all there is no elsewhere.
        double now = clockS.getAsDouble();
        boolean refused = !state.served() && now - state.servedS() > Constants.UNSERVED_MS / 1000.0;
        return !(refused && peerView.anyServed(now));
    }
}
