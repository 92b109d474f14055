package org.mountlug.node;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.mountlug.Constants;
import org.mountlug.api.Api;
import org.mountlug.cloud.CloudCodec;
import org.mountlug.core.lead.Election;
import org.mountlug.core.model.Aims;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Order;
import org.mountlug.core.model.Report;
import org.mountlug.peer.PeerCodec;
import org.mountlug.peer.PeerView;
import org.mountlug.peer.Peers;
import org.mountlug.settings.Operators;
import org.mountlug.settings.Settings;
import org.mountlug.store.Change;
import org.mountlug.store.RecordCodec;
import org.mountlug.store.StateClient;
import org.mountlug.wire.Fields;
import org.mountlug.wire.Http;
import io.undertow.util.Methods;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import java.io.IOException;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One controller node: the server, the clients and the timers round the core. Everything runs on one I/O thread, which
 * on a quarter of a core costs nothing and leaves no state to be shared.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    private final Settings settings;
    private final Operators operators;
    private final Election election;
    private final FinalStates finals = new FinalStates();
    private final Metrics metrics = new Metrics();
    private final Aims aims = new Aims();
    private final SplittableRandom random = new SplittableRandom();
    private XnioWorker worker;
    private Undertow server;
    private XnioIoThread io;
    private StateClient state;
    private Http cloud;
    private Leader leader;
    private volatile Map<String, MachineType> types = Map.of();
    private boolean fetchingTypes;
    private double nextTypesS;
    private long leaderWatchFrom = -1;
    private boolean watchingLeader;
    private boolean stopped;
    private final PeerView peerView;
    private Peers peers;
    private double nextPeerS;
    private final long boot;
    private final Set<String> reserved = new HashSet<>();
    private long reservationsFrom = -1;
    private boolean watchingReservations;
    private double nextReservationsS;

    public Controller(Settings settings, Operators operators) {
        this.settings = settings;
        this.operators = operators;
        this.boot = random.nextLong();
        this.election = new Election(settings.label(), Long.toHexString(boot));
        this.peerView = new PeerView(settings.others().stream().map(Settings.Peer::label).toList(),
                Constants.ABORT_MEMORY_S);
        for (Settings.Objective o : settings.objectives()) {
            if (Double.isNaN(o.withinS())) continue;
            if (o.kind().equals("wait")) aims.wait(o.lane(), o.withinS());
            else if (o.kind().equals("finished")) aims.finished(o.lane(), o.withinS());
        }
    }

    public static double clockS() {
        return System.nanoTime() / 1e9;
    }

    public void start() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.STACK_SIZE, 1024 * 1024L)
                .set(Options.TCP_NODELAY, true)
                .getMap());
        io = worker.getIoThread();
        ByteBufferPool pool = new DefaultByteBufferPool(true, Constants.IO_BUFFER, 64, 4);
        state = new StateClient(new Http(io, pool, settings.state(), 8), new Http(io, pool, settings.state(), 4),
                Controller::clockS, settings.stateRps());
        cloud = new Http(io, pool, settings.cloud(), 3);
        int colon = settings.listen().lastIndexOf(':');
        server = Undertow.builder().setWorker(worker).setByteBufferPool(pool)
                .addHttpListener(Integer.parseInt(settings.listen().substring(colon + 1)),
                        settings.listen().substring(0, colon))
                .setHandler(new Api(this, state, settings))
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) Constants.BODY_MAX * 2)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setSocketOption(Options.BACKLOG, 512)
                .build();
        server.start();
        Map<String, String> others = new LinkedHashMap<>();
        for (Settings.Peer p : settings.others()) others.put(p.label(), p.endpoint());
        peers = new Peers(worker, io, Controller::clockS, others, this::tellPeer, this::heardPeer);
        peers.listen(settings.clusterListen());
        LOG.info("{} listens on {}", settings.label(), settings.listen());
        io.execute(this::tick);
    }

    /** Ends the node; for rehearsals and tests, as a node in service runs until it is killed. */
    public void stop() {
        stopped = true;
        server.stop();
        peers.close();
        worker.shutdownNow();
    }

    private void after(Runnable r, int ms) {
        io.executeAfter(() -> {
            if (!stopped) r.run();
        }, ms, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        if (stopped) return;
        try {
            lead();
            watchLeader();
            watchReservations();
            types();
            if (leader != null) leader.tick();
            double now = clockS();
            if (now >= nextPeerS) {
                nextPeerS = now + Constants.PEER_MS / 1000.0;
                peers.ask();
            }
        } catch (RuntimeException e) {
            LOG.error("a turn failed", e);
        }
        io.executeAfter(this::tick, 100, TimeUnit.MILLISECONDS);
    }

    // ---- leadership -------------------------------------------------------------------------------------------

    private void lead() {
        double now = clockS();
        switch (election.next(now)) {
            case LOOK -> state.get(RecordCodec.LEADER, Constants.STATE_TIMEOUT_MS, a -> {
                if (a.status() == 200) {
                    Map<String, Object> v = Fields.map(a.body().get("v"));
                    long stamp = Fields.num(a.body(), "stamp", 0);
                    election.looked(clockS(), Fields.str(v, "node"), Fields.str(v, "nonce"), Fields.num(v, "hold", 0),
                            stamp, random.nextDouble());
                    if (leaderWatchFrom < stamp) leaderWatchFrom = stamp;
                } else if (a.status() == 404) {
                    leaderWatchFrom = Math.max(leaderWatchFrom, Fields.num(a.body(), "epoch", 0));
                    election.looked(clockS(), null, null, 0, 0, random.nextDouble());
                } else election.failed(clockS());
            });
            case DROP_OLD_HOLD -> state.drop(election.oldHold(), a -> election.oldHoldDropped(clockS()));
            case OPEN_HOLD -> state.hold(Constants.HOLD_LIFE_MS, a -> {
                if (a.status() == 200) {
                    election.holdOpened(now, Fields.num(a.body(), "hold", 0));
                    lead();
                } else election.failed(clockS());
            });
            case CAMPAIGN -> {
                Map<String, Object> v = new LinkedHashMap<>();
                v.put("node", settings.label());
                v.put("nonce", election.nonce());
                v.put("hold", election.hold());
                state.commit(new Change().guard(RecordCodec.LEADER, 0).put(RecordCodec.LEADER, v, election.hold()), a -> {
                    if (a.status() == 200) {
                        election.campaigned(clockS(), true, Fields.num(a.body(), "epoch", 0));
                        lead();
                    } else if (a.status() == 409) election.campaigned(clockS(), false, 0);
                    else election.failed(clockS());
                });
            }
            case RENEW -> state.renew(election.hold(), a -> {
                if (a.status() == 200) election.renewed(now, true);
                else if (a.status() == 404) {
                    LOG.info("deposed: the hold ended");
                    election.renewed(now, false);
                } else election.failed(clockS());
            });
            case NONE -> {
            }
        }
        if (leader != null && (!election.leading() || leader.cluster().token() != election.token())) {
            leader.end();
            leader = null;
            metrics.leading(false);
            LOG.info("no longer leading");
        }
        if (leader == null && election.leading()) {
            LOG.info("elected with token {}", election.token());
            leader = new Leader(settings, operators, election, state, cloud, Controller::clockS, aims, types.values(),
                    finals, metrics);
            leader.timer(this::after);
            metrics.leading(true);
        }
    }

    /** Followers learn of a vacancy from a watch, at once and for one request in ten seconds. */
    private void watchLeader() {
        if (watchingLeader || election.leading() || leaderWatchFrom < 0) return;
        watchingLeader = true;
        state.watch(RecordCodec.LEADER, leaderWatchFrom, Constants.WATCH_BLOCK_MS, a -> {
            after(() -> watchingLeader = false, a.status() == 200 ? 50 : 500);
            if (a.status() == 410) leaderWatchFrom = -1;
            if (a.status() != 200) return;
            leaderWatchFrom = Math.max(leaderWatchFrom, Fields.num(a.body(), "epoch", 0));
            List<Object> news = Fields.list(a.body(), "news");
            if (!news.isEmpty() && Fields.str(Fields.map(news.get(news.size() - 1)), "delete") != null) {
                election.vanished(clockS(), random.nextDouble());
            }
        });
    }

    // ---- reservations -----------------------------------------------------------------------------------------

    /**
     * Followers watch the reservations, as the design has it, so that every node can tell what is held for whom. A new
     * leader still reads them itself before its first round: what a watch last said may be behind.
     */
    private void watchReservations() {
        double now = clockS();
        if (watchingReservations || election.leading() || election.leader() == null || now < nextReservationsS) return;
        watchingReservations = true;
        nextReservationsS = now + Constants.RESERVATIONS_PAUSE_MS / 1000.0;
        if (reservationsFrom < 0) {
            state.list(RecordCodec.RESERVED, null, a -> {
                watchingReservations = false;
                if (a.status() != 200) return;
                reserved.clear();
                for (Object o : Fields.list(a.body(), "rows")) reserved.add(Fields.str(Fields.map(o), "k"));
                reservationsFrom = Fields.num(a.body(), "epoch", 0);
                metrics.reserved(reserved.size());
            });
            return;
        }
        state.watch(RecordCodec.RESERVED, reservationsFrom, Constants.WATCH_BLOCK_MS, a -> {
            watchingReservations = false;
            if (a.status() == 410) reservationsFrom = -1;
            if (a.status() != 200) return;
            reservationsFrom = Math.max(reservationsFrom, Fields.num(a.body(), "epoch", 0));
            for (Object o : Fields.list(a.body(), "news")) {
                Map<String, Object> e = Fields.map(o);
                String put = Fields.str(e, "put");
                if (put != null) reserved.add(put);
                else reserved.remove(Fields.str(e, "delete"));
            }
            metrics.reserved(reserved.size());
        });
    }

    // ---- peers ------------------------------------------------------------------------------------------------

    private PeerCodec.Answer tellPeer(long serial) {
        double now = clockS();
        return new PeerCodec.Answer(serial, boot, state.served(), knownToken(), false, peerView.aborts(now));
    }

    private long knownToken() {
        return election.leading() ? election.token() : election.seenStamp();
    }

    private void heardPeer(String label, Peers.Heard h) {
        double now = clockS();
        peerView.answered(label, h.askedS(), now, h.answer());
        if (leader == null) return;
        if (h.answer().token() > election.token()) {
            LOG.info("deposed: {} knows token {}", label, h.answer().token());
            election.depose();
            return;
        }
        for (String id : h.answer().aborts()) leader.abortTold(id);
        leader.viewHolds(peerView.knownUntilS(leader.viewS(), now));
    }

    /** This node is about to tell a user that the job is cancelled; said before the user hears it. */
    public void abortAccepted(String id) {
        peerView.aborted(id, clockS());
        if (leader != null) leader.abortTold(id);
    }

    // ---- catalogue --------------------------------------------------------------------------------------------

    /** Without the machine types no submission can be judged; the state service keeps them for when the cloud fails. */
    private void types() {
        double now = clockS();
        if (!types.isEmpty() || fetchingTypes || now < nextTypesS) return;
        fetchingTypes = true;
        state.get(RecordCodec.CATALOGUE, Constants.STATE_TIMEOUT_MS, a -> {
            if (a.status() == 200) {
                learnTypes(CloudCodec.catalogue(Fields.map(a.body().get("v"))));
                return;
            }
            cloud.call(Methods.GET, "/flavors", null, Constants.CLOUD_TIMEOUT_MS, b -> {
                if (b.status() == 200) learnTypes(CloudCodec.catalogue(b.body()));
                else {
                    fetchingTypes = false;
                    nextTypesS = clockS() + 1 + random.nextDouble();
                }
            });
        });
    }

    private void learnTypes(List<MachineType> l) {
        fetchingTypes = false;
        Map<String, MachineType> m = new LinkedHashMap<>();
        for (MachineType t : l) m.put(t.name(), t);
        types = m;
        if (leader != null && leader.cluster().types().isEmpty()) leader.cluster().catalogue(l);
    }

    // ---- for the interface ------------------------------------------------------------------------------------

    public Map<String, MachineType> knownTypes() {
        return types;
    }

    public Metrics metrics() {
        return metrics;
    }

    /** The final state of a job as a cache knows it: true for done, false for cancelled, null if not known. */
    public Boolean finalState(String id) {
        FinalStates.State s = finals.get(id);
        return s == null ? null : (Boolean) s.done();
    }

    public int finalTasks(String id) {
        FinalStates.State s = finals.get(id);
        return s == null ? 0 : s.tasks();
    }

    public void learnFinal(String id, boolean done, int tasks) {
        finals.put(id, done, tasks);
    }

    /** Who leads as far as this node knows, or null. */
    public String leaderLabel() {
        return election.leader();
    }

    /** What to answer a worker. */
    public sealed interface Beat {
        /** Orders under our token. */
        record Orders(long token, List<Order> orders) implements Beat {}

        /** Somebody else leads, perhaps unknown who. */
        record Elsewhere(String leader) implements Beat {}

        /** We lead but may not renew. */
        record Blind() implements Beat {}
    }

    public Beat beat(Report r) {
        metrics.beat();
        if (leader == null || !election.leading()) {
            String l = election.leader();
            return new Beat.Elsewhere(settings.label().equals(l) ? null : l);
        }
        if (!leader.mayRenew(clockS())) return new Beat.Blind();
        List<Order> orders = leader.report(r);
        if (orders == null) {
            LOG.info("deposed: {} knows token {}", r.machine(), r.token());
            election.depose();
            return new Beat.Elsewhere(null);
        }
        return new Beat.Orders(leader.cluster().token(), orders);
    }

    /** Whether this node can take requests. */
    public boolean healthy() {
        // A node that alone is refused sends its users elsewhere; in an outage for all there is no elsewhere.
        double now = clockS();
        boolean refused = !state.served() && now - state.servedS() > Constants.UNSERVED_MS / 1000.0;
        return !(refused && peerView.anyServed(now));
    }
}
