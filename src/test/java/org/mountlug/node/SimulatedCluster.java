package org.mountlug.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.mountlug.Constants;
import org.mountlug.api.UserRequestHandler;
import org.mountlug.api.UserResponseCodec;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Team;
import org.mountlug.peer.PeerConnections;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;
import org.mountlug.store.StateClient;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Fields;
import org.mountlug.wire.HttpTransport;
import org.mountlug.wire.PooledHttpClient;

/**
 * Controllers without sockets, a state service, a cloud and workers in memory, under a clock that the test drives. The
 * workers check the rules as they go: {@link #violations} collects what must never happen.
 */
final class SimulatedCluster {
    /** Seconds of a worker's lease. */
    final double workerLeaseS;

    static final double CANCEL_DEADLINE_S = 30;
    /** Milliseconds by which a controller's time of day may differ from the true one. */
    static final long MAX_CLOCK_SKEW_MS = 25;

    static final Map<String, Object> MACHINE_TYPE = Map.of(
            "name",
            "small",
            "vcpus",
            4.0,
            "cards",
            0.0,
            "ramGb",
            32.0,
            "cacheGb",
            30.0,
            "fetchGbPerS",
            1.0,
            "price",
            1.0,
            "marketPrice",
            0.5,
            "bootS",
            5.0,
            "sites",
            List.of("a"));
    static final double MACHINE_CPUS = 4;
    /** Seconds within which each job must be answered about once troubles are over. */
    static final double ANSWERED_S = 75;
    /** Seconds for which a job may wait, once troubles are over, while a machine has room for it. */
    static final double BESIDE_ROOM_S = 90;

    double nowS = 1000;
    /** The limits of the state service that the controllers are told; the value's is the one to come. */
    double leastValueKb = 8;

    int txnOps = 8;
    private final OperatorSettings operators;
    private long order;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<String> violations = new ArrayList<>();
    final FakeStateService stateService;
    final List<ControllerProcess> controllers = new ArrayList<>();
    final Map<String, Worker> workers = new TreeMap<>();
    /** When each job's user was told that it is cancelled. */
    final Map<String, Double> cancelAcknowledgedAtS = new HashMap<>();

    final Map<String, Integer> sizes = new HashMap<>();
    final Map<String, Boolean> gangs = new HashMap<>();
    private final Map<String, byte[]> bodies = new HashMap<>();
    /** Run time of every task, seconds. */
    double taskDurationS = 4;

    final FakeCloud cloud = new FakeCloud(this);
    /** Jobs that were submitted with a mistake: their tasks fail everywhere. */
    final java.util.Set<String> failingJobs = new java.util.HashSet<>();
    /** How workers report, if not to the controllers of this cluster. */
    Consumer<Worker> reportSender;

    /** A start as it took effect on a machine. */
    record TaskStart(double atS, String jobId, int taskIndex, String zone, String machine) {}

    /** All starts, in order. */
    final List<TaskStart> startLog = new ArrayList<>();
    /** How many tasks of each job were started, on any machine. */
    final Map<String, Integer> startsByJob = new HashMap<>();
    /** Services, whose replicas run until they are stopped. */
    final java.util.Set<String> services = new java.util.HashSet<>();
    /** How the next so many seconds-old replicas of a service end by themselves, if they do. */
    ExitCause replicaExitCause;

    /** Whether a filter refuses connections between controllers. */
    boolean peersRefuseConnections;
    /** Seconds by which orders sent directly to workers come late, their answers lost. */
    double commandDelayS;
    /** Orders sent directly to workers that hear nothing, to be delivered late. */
    final List<Runnable> heldCommands = new ArrayList<>();

    int machinesRented;
    /** The longest time after a told cancellation at which a start took effect; negative if none did. */
    double latestStartAfterCancelS = -1;

    /** Seconds from a rental until its machine is up. */
    double machineBootS = 2;
    /** Times that machines rented now take to boot. */
    double bootSlowdownFactor = 1;
    /** Of how many machines rented now one never comes up; none if 0. */
    int everyNthNeverBoots;

    private final Map<String, Team> teams = new HashMap<>();
    private final Map<String, Asked> asked = new LinkedHashMap<>();
    /** Run when a node begins a term, before anything else reaches it. */
    final List<Consumer<ControllerProcess>> onTermStart = new ArrayList<>();

    private long highestToken;
    /** Most that any team with a limit has used of it, as a share; shows that a test had a team at its limit. */
    double peakTeamLimitShare;

    private static final Asked NOBODY = new Asked();

    /** A submission as its user sent it, and the first moment at which an answer of each kind was told. */
    private static final class Asked {
        String team = "t";
        double cpus;
        String zone;
        boolean oneZone;
        boolean accepted;
        /** By rank: unknown, live, over. */
        final double[] toldAt = {Double.NaN, Double.NaN, Double.NaN};

        String outcome;
        /** Tasks that have completed, wherever. */
        final java.util.Set<Integer> completed = new java.util.HashSet<>();

        double answeredAt;
        double askedAt;
        double waitsSince = Double.NaN;
    }

    private record Event(double at, long order, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            int c = Double.compare(at, o.at);
            return c != 0 ? c : Long.compare(order, o.order);
        }
    }

    SimulatedCluster(int controllerCount) {
        this(controllerCount, List.of(new Team("t", 0, 0, 0, 0, 1)));
    }

    SimulatedCluster(int controllerCount, List<Team> teams) {
        this(controllerCount, teams, 10);
    }

    SimulatedCluster(int controllerCount, List<Team> teams, double leaseS) {
        this(controllerCount, teams, leaseS, false, 8, 8);
    }

    /** @param oldVersion whether the controllers begin with the version in production, as far as data decides it */
    SimulatedCluster(
            int controllerCount, List<Team> teams, double leaseS, boolean oldVersion, double leastValueKb, int txnOps) {
        this(controllerCount, teams, leaseS, oldVersion, leastValueKb, txnOps, OperatorSettings.defaults());
    }

    SimulatedCluster(
            int controllerCount,
            List<Team> teams,
            double leaseS,
            boolean oldVersion,
            double leastValueKb,
            int txnOps,
            OperatorSettings operators) {
        this.workerLeaseS = leaseS;
        this.operators = operators;
        this.leastValueKb = leastValueKb;
        this.txnOps = txnOps;
        stateService = new FakeStateService(this, 8, 8);
        for (Team t : teams) {
            this.teams.put(t.name(), t);
        }
        for (int i = 0; i < controllerCount; i++) {
            controllers.add(new ControllerProcess("c-" + i, controllerCount, teams));
            controllers.get(i).oldVersion = oldVersion;
        }
        for (ControllerProcess n : controllers) {
            n.start();
        }
        schedule(0.1, this::look);
    }

    // ---- what must hold at any time ---------------------------------------------------------------------------

    /** Looks at all machines ten times a second, as a hung one says nothing of itself. */
    private void look() {
        for (Worker w : workers.values()) {
            for (Task t : w.activeTasks()) {
                Double c = cancelAcknowledgedAtS.get(t.jobId);
                if (c != null && nowS > c + CANCEL_DEADLINE_S) {
                    recordViolation("ran_cancelled: " + t.jobId + "/" + t.index + " on " + w.name + " "
                            + Math.round(nowS - c) + " s after");
                    cancelAcknowledgedAtS.put(t.jobId, Double.POSITIVE_INFINITY); // said once
                }
            }
        }
        for (Team t : teams.values()) {
            if (t.maxCpus() <= 0) {
                continue;
            }
            double used = usedCpus(t.name());
            peakTeamLimitShare = Math.max(peakTeamLimitShare, used / t.maxCpus());
            if (used > t.maxCpus() + 1e-6) {
                recordViolation("quota: " + t.name() + " uses " + used);
            }
        }
        schedule(0.1, this::look);
    }

    double usedCpus(String team) {
        double n = 0;
        for (Worker w : workers.values()) {
            for (Task t : w.activeTasks()) {
                Asked a = asked.get(t.jobId);
                if (a != null && a.team.equals(team)) {
                    n += a.cpus;
                }
            }
        }
        return n;
    }

    /**
     * An answer has been sent: after that, no question about the job may be answered with anything older, whoever is
     * asked. Unknown comes before pending and running, and both before done or withdrawn, which stay as they are.
     */
    void checkResponse(String id, double askedAt, String question, int code, Map<String, Object> body) {
        if (code == 429 || code == 503) {
            return;
        }
        Asked a = asked.computeIfAbsent(id, k -> new Asked());
        String status = code == 200 || code == 201 ? String.valueOf(body.get("status")) : null;
        int rank = status == null ? 0 : status.equals("done") || status.equals("withdrawn") ? 2 : 1;
        if (status == null && (code == 400 || code == 422) && a.accepted && a.toldAt[1] < askedAt) {
            recordViolation("forgotten: " + question + " of " + id + " got " + code);
        }
        for (int r = rank + 1; r <= 2; r++) {
            if (a.toldAt[r] < askedAt) {
                recordViolation("older answer: " + question + " of " + id + " got " + code + " " + status + ", "
                        + a.outcome + " was told");
            }
        }
        if (rank == 2 && a.outcome != null && !a.outcome.equals(status)) {
            recordViolation("went_back: " + id + " " + a.outcome + ", then " + status);
        }
        if (rank == 2) {
            a.outcome = status;
        }
        // A gang completes together, so one of its tasks is enough.
        int least = gangs.getOrDefault(id, false) ? 1 : sizes.getOrDefault(id, 1);
        if ("done".equals(status) && a.completed.size() < least) {
            recordViolation("not_done: " + id + " with " + a.completed.size() + " tasks done");
        }
        if (rank > 0) {
            a.accepted = true;
            a.answeredAt = nowS;
        }
        for (int r = 1; r <= rank; r++) {
            if (!(a.toldAt[r] <= nowS)) {
                a.toldAt[r] = nowS;
            }
        }
        if ("withdrawn".equals(status)) {
            cancelAcknowledgedAtS.putIfAbsent(id, nowS);
        }
    }

    /** The submission as it was first sent. */
    byte[] originalSubmission(String id) {
        return bodies.get(id);
    }

    /** A new submission, to be sent by the test itself. */
    byte[] newSubmission(String id, int tasks) {
        return controllers.get(0).buildSubmission(id, tasks, false, Map.of());
    }

    /** Jobs that were accepted. */
    List<String> acceptedJobs() {
        return asked.entrySet().stream()
                .filter(e -> e.getValue().accepted)
                .map(Map.Entry::getKey)
                .toList();
    }

    String outcome(String id) {
        return asked.get(id).outcome;
    }

    /**
     * The last trouble is over: each job that was accepted is answered about, none waits beside room, and within the time
     * each ends, or runs if it is a service.
     */
    void runUntilSettled(double timeoutS) {
        double from = nowS;
        for (Asked a : asked.values()) {
            a.waitsSince = Double.NaN;
        }
        int turn = 0;
        while (nowS < from + timeoutS) {
            boolean all = true;
            int polls = 0;
            List<String> open = new ArrayList<>(acceptedJobs());
            open.sort(java.util.Comparator.comparingDouble(id -> asked.get(id).askedAt));
            for (String id : open) {
                Asked a = asked.get(id);
                if (a.outcome != null) {
                    continue;
                }
                // Each about every five seconds, at one node after the other, and no more than the nodes' budgets take.
                if (nowS - a.askedAt > 5 && polls < 40) {
                    polls++;
                    a.askedAt = nowS;
                    ControllerProcess n = controllers.get((turn + polls) % controllers.size());
                    if (n.up) {
                        n.askAsync("poll", id, r -> n.users.poll(id, r), null);
                    }
                }
                if (nowS - Math.max(from, a.answeredAt) > ANSWERED_S) {
                    recordViolation("forgotten: nobody answers about " + id);
                }
                if (isRunning(id) && services.contains(id)) {
                    continue;
                }
                if (isRunning(id) || cancelAcknowledgedAtS.containsKey(id) || failingJobs.contains(id) || !room(a)) {
                    a.waitsSince = Double.NaN;
                } else if (Double.isNaN(a.waitsSince)) {
                    a.waitsSince = nowS;
                }
                if (nowS - a.waitsSince > BESIDE_ROOM_S) {
                    recordViolation("waits beside room: " + id);
                }
                all = false;
            }
            if (all || !violations.isEmpty()) {
                return;
            }
            turn++;
            runFor(1);
        }
        for (String id : acceptedJobs()) {
            if (asked.get(id).outcome == null && !(services.contains(id) && isRunning(id))) {
                recordViolation("not over: " + id);
            }
        }
    }

    boolean isRunning(String id) {
        for (Worker w : workers.values()) {
            for (Task t : w.activeTasks()) {
                if (t.jobId.equals(id)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean room(Asked a) {
        Team t = teams.get(a.team);
        if (t != null && t.maxCpus() > 0 && usedCpus(a.team) + a.cpus > t.maxCpus()) {
            return false;
        }
        for (Worker w : workers.values()) {
            if (w.terminated
                    || w.disconnected
                    || w.inboundBlocked
                    || w.reportsBlocked
                    || w.failsAllTasks
                    || w.hungUntilS > nowS
                    || !w.willBoot
                    || nowS < w.rentedAtS + w.bootDurationS) {
                continue;
            }
            if (a.zone != null && !a.zone.equals(w.zone)) {
                continue;
            }
            double used = 0;
            for (Task u : w.activeTasks()) {
                used += asked.get(u.jobId).cpus;
            }
            if (used + a.cpus <= MACHINE_CPUS) {
                return true;
            }
        }
        return false;
    }

    void schedule(double delayS, Runnable action) {
        events.add(new Event(nowS + delayS, order++, action));
    }

    void recordViolation(String s) {
        violations.add(Math.round(nowS - 1000) + " s: " + s);
    }

    List<String> violations() {
        return violations;
    }

    void runFor(double seconds) {
        double end = nowS + seconds;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.poll();
            nowS = Math.max(nowS, e.at());
            e.run().run();
        }
        nowS = end;
    }

    /** Runs until a condition holds; false if it never did. */
    boolean runUntil(double timeoutS, java.util.function.BooleanSupplier condition) {
        for (double t = 0; t < timeoutS; t += 0.25) {
            if (condition.getAsBoolean()) {
                return true;
            }
            runFor(0.25);
        }
        return condition.getAsBoolean();
    }

    ControllerProcess leader() {
        ControllerProcess best = null;
        for (ControllerProcess n : controllers) {
            if (n.up && n.controller.isLeading() && (best == null || n.token() > best.token())) {
                best = n;
            }
        }
        return best;
    }

    // ---- controllers ------------------------------------------------------------------------------------------

    final class ControllerProcess {
        final String label;
        private final int count;
        private final List<Team> teams;
        boolean up;
        /** What it can reach. */
        FakeStateService.Link stateLink = FakeStateService.Link.HEALTHY;

        /** Milliseconds by which its time of day differs from the true one; within {@link #MAX_CLOCK_SKEW_MS}. */
        long clockSkewMs;

        boolean cutFromPeers;
        boolean cutFromWorkers;
        /** Whether it is in a zone that is cut off from the rest. */
        boolean inIsolatedZone;

        private int process;
        /** When it goes on, while it stands still: nothing of it runs, but its clocks do. */
        double pausedUntilS;
        /** The start of a path: it stands still for so long just between deciding on such a call and sending it. */
        String pauseBeforePath;

        double pauseDurationS;
        /** Whether its next process is of the version in production: it says nothing of itself and knows no newer field. */
        boolean oldVersion;

        Controller controller;
        UserRequestHandler users;

        ControllerProcess(String label, int count, List<Team> teams) {
            this.label = label;
            this.count = count;
            this.teams = teams;
        }

        long token() {
            return controller.token();
        }

        private long epochMs() {
            return (long) (nowS * 1000) + clockSkewMs;
        }

        void start() {
            int mine = ++process;
            List<Settings.Peer> others = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                if (!label.equals("c-" + i)) {
                    others.add(new Settings.Peer("c-" + i, "x:1"));
                }
            }
            Settings s = new Settings(
                    label,
                    "a",
                    "x:1",
                    "x:2",
                    others,
                    "x:3",
                    "x:4",
                    MAX_CLOCK_SKEW_MS,
                    teams,
                    List.of(),
                    2,
                    workerLeaseS,
                    50,
                    6,
                    CANCEL_DEADLINE_S,
                    200,
                    25,
                    8,
                    leastValueKb,
                    txnOps,
                    4,
                    10,
                    1000,
                    360);
            HttpTransport plain = stateService.connectionFrom(
                    this, () -> inIsolatedZone ? FakeStateService.Link.PARTITIONED : stateLink);
            HttpTransport st = alive(mine, oldVersion ? asProduction(plain) : plain);
            StateClient client = new StateClient(st, st, () -> nowS, 200, count);
            Environment environment = new Environment(
                    s,
                    oldVersion ? OperatorSettings.defaults() : operators,
                    client,
                    alive(mine, cloud::call),
                    a -> alive(mine, commands(a, this)),
                    () -> nowS,
                    this::epochMs,
                    (r, ms) -> schedule(
                            ms / 1000.0,
                            () -> awake(() -> {
                                if (process == mine) {
                                    r.run();
                                }
                            })));
            controller = new Controller(environment, new SplittableRandom(label.hashCode() * 31L + process));
            users = new UserRequestHandler(controller, client, s, this::epochMs);
            up = true;
            Runnable[] tick = new Runnable[1];
            tick[0] = () -> {
                if (process != mine) {
                    return;
                }
                if (pausedUntilS > nowS) {
                    awake(tick[0]);
                    return;
                }
                controller.tick();
                noticeLeading();
                schedule(Constants.TICK_MS / 1000.0, tick[0]);
            };
            schedule(0, tick[0]);
            Runnable[] ask = new Runnable[1];
            ask[0] = () -> {
                if (process != mine) {
                    return;
                }
                if (pausedUntilS > nowS) {
                    awake(ask[0]);
                    return;
                }
                for (ControllerProcess n : controllers) {
                    if (n == this
                            || n.pausedUntilS > nowS
                            || n.cutFromPeers
                            || cutFromPeers
                            || n.inIsolatedZone != inIsolatedZone) {
                        continue;
                    }
                    if (!n.up || peersRefuseConnections) {
                        controller.recordPeerRefusal(n.label);
                        continue;
                    }
                    controller.handlePeerResponse(
                            n.label, new PeerConnections.TimedResponse(nowS, n.controller.answerPeerRequest(1)));
                }
                schedule(Constants.PEER_POLL_INTERVAL_MS / 1000.0, ask[0]);
            };
            schedule(0.5, ask[0]);
        }

        /** Records come as production would see them, what it does not know left out, and it writes nothing of itself. */
        private HttpTransport asProduction(HttpTransport c) {
            return (method, path, body, ms, then) -> {
                for (Object o : Fields.getList(body == null ? Map.of() : body, "writes")) {
                    if (String.valueOf(Fields.asMap(o).get("put")).startsWith("v/")) {
                        schedule(0.002, () -> then.accept(new PooledHttpClient.Response(200, Map.of(), true)));
                        return;
                    }
                }
                c.call(method, path, body, ms, a -> {
                    if (path.startsWith("/kv/j/")) {
                        known(a.body(), "v");
                    }
                    for (String list : List.of("rows", "news")) {
                        for (Object o : Fields.getList(a.body(), list)) {
                            Map<String, Object> r = Fields.asMap(o);
                            String k = Fields.getString(r, "k", Fields.getString(r, "put", ""));
                            if (k.startsWith("j/")) {
                                known(r, "v");
                            }
                            if (k.startsWith("p/")) {
                                recordViolation("parts while " + label + " cannot read them");
                            }
                        }
                    }
                    then.accept(a);
                });
            };
        }

        private void known(Map<String, Object> m, String k) {
            if (!(m.get(k) instanceof Map)) {
                return;
            }
            if (Fields.asMap(m.get(k)).containsKey("K")) {
                recordViolation("a record with parts while " + label + " cannot read them");
            }
            m.put(k, org.mountlug.store.ProductionCompatibilityTest.rewrittenByProduction(Fields.asMap(m.get(k))));
        }

        /** Ends, and comes back with the new version. */
        void upgradeAfter(double delayS) {
            oldVersion = false;
            restartAfter(delayS);
        }

        private void noticeLeading() {
            if (!controller.isLeading() || controller.token() <= highestToken) {
                return;
            }
            highestToken = controller.token();
            for (var f : List.copyOf(onTermStart)) {
                f.accept(this);
            }
        }

        /** An answer that comes after the process has ended reaches nobody. */
        private HttpTransport alive(int mine, HttpTransport c) {
            return (method, path, body, ms, then) -> {
                if (pauseBeforePath != null && path.startsWith(pauseBeforePath)) {
                    pauseBeforePath = null;
                    pause(pauseDurationS);
                }
                awake(() -> c.call(
                        method,
                        path,
                        body,
                        ms,
                        a -> awake(() -> {
                            if (process != mine) {
                                return;
                            }
                            then.accept(a);
                            noticeLeading();
                        })));
            };
        }

        /** Now, or as soon as it goes on. */
        private void awake(Runnable r) {
            if (pausedUntilS > nowS) {
                schedule(pausedUntilS - nowS, () -> awake(r));
            } else {
                r.run();
            }
        }

        void pause(double durationS) {
            pausedUntilS = nowS + durationS;
        }

        void kill() {
            up = false;
            pausedUntilS = 0;
            process++;
        }

        void restartAfter(double delayS) {
            kill();
            schedule(delayS, this::start);
        }

        /** One request of a user, waited for; {@code null} if no answer came in time. */
        Map<String, Object> ask(Consumer<UserRequestHandler.Reply> request) {
            return ask("request", null, request);
        }

        private Map<String, Object> ask(String question, String id, Consumer<UserRequestHandler.Reply> request) {
            List<Map<String, Object>> got = new ArrayList<>();
            if (!up || pausedUntilS > nowS) {
                return null;
            }
            askAsync(question, id, request, got::add);
            runUntil(5, () -> !got.isEmpty());
            return got.isEmpty() ? null : got.get(0);
        }

        /** The same without waiting; every answer is held against all that were sent before its question. */
        void askAsync(
                String question,
                String id,
                Consumer<UserRequestHandler.Reply> request,
                Consumer<Map<String, Object>> then) {
            if (!up || pausedUntilS > nowS) {
                return;
            }
            double askedAt = nowS;
            int mine = process;
            request.accept(answer -> {
                if (process != mine) {
                    return;
                }
                int status = UserResponseCodec.status(answer);
                Map<String, Object> m = new LinkedHashMap<>(UserResponseCodec.body(answer));
                m.put("answer", answer);
                if (id != null) {
                    checkResponse(id, askedAt, question + " at " + label, status, m);
                }
                m.put("code", status);
                if (then != null) {
                    then.accept(m);
                }
            });
        }

        /** The same, read from its socket as soon as it goes on if it stands still now. */
        void askAsyncThroughSocket(
                String question,
                String id,
                Consumer<UserRequestHandler.Reply> request,
                Consumer<Map<String, Object>> then) {
            awake(() -> askAsync(question, id, request, then));
        }

        Map<String, Object> poll(String id) {
            return ask("poll", id, r -> users.poll(id, r));
        }

        Map<String, Object> cancel(String id) {
            return ask("abort", id, r -> users.cancel(id, r));
        }

        Map<String, Object> submit(String id, int tasks, boolean gang) {
            return submit(id, tasks, gang, Map.of());
        }

        Map<String, Object> submit(String id, int tasks, boolean gang, Map<String, Object> extraFields) {
            byte[] body = buildSubmission(id, tasks, gang, extraFields);
            return ask("submission", id, r -> users.submit(body, r));
        }

        byte[] buildSubmission(String id, int tasks, boolean gang, Map<String, Object> extraFields) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("nameId", id);
            m.put("lane", "l");
            m.put("crew", "t");
            m.put("shape", gang ? "group" : "array");
            m.put("urgency", "high");
            m.put("pieces", tasks);
            m.put("vcpus", 1.0);
            m.put("cards", 0.0);
            m.put("ramGb", 2.0);
            m.put("bundle", "i");
            m.put("imageGb", 0.0);
            m.put("oneZone", false);
            m.put("apart", false);
            m.put("loaners", true);
            m.put("expectedS", taskDurationS);
            m.put("bookmarkS", 0.0);
            m.put("stashS", 0.0);
            m.putAll(extraFields);
            if ("daemon".equals(m.get("shape")) && !asked.getOrDefault(id, NOBODY).accepted) {
                services.add(id);
            }
            byte[] body = Cbor.write(m);
            Asked a = asked.computeIfAbsent(id, k -> new Asked());
            if (!a.accepted) {
                sizes.put(id, tasks);
                gangs.put(id, gang);
                bodies.put(id, body);
                a.team = String.valueOf(m.get("crew"));
                a.cpus = m.get("vcpus") instanceof Number n ? n.doubleValue() : 0;
                a.zone = (String) m.get("site");
                a.oneZone = Boolean.TRUE.equals(m.get("oneZone"));
            }
            return body;
        }

        /** Sends a new submission without waiting. */
        void submitAsync(String id, int tasks) {
            submitAsync(id, tasks, false, Map.of());
        }

        void submitAsync(String id, int tasks, boolean gang, Map<String, Object> extraFields) {
            if (!up) {
                return;
            }
            byte[] body = buildSubmission(id, tasks, gang, extraFields);
            askAsync("submission", id, r -> users.submit(body, r), null);
        }

        /** Sends the submission once more, as it was. */
        void resubmit(String id) {
            askAsync("submission", id, r -> users.submit(bodies.get(id), r), null);
        }
    }

    /** Submits until accepted, at any node that is up. */
    void submitUntilAccepted(String id, int tasks, boolean gang, Map<String, Object> extraFields) {
        for (int i = 0; i < 60; i++) {
            for (ControllerProcess n : controllers) {
                Map<String, Object> a = n.submit(id, tasks, gang, extraFields);
                if (a != null && ((int) a.get("code") == 201 || (int) a.get("code") == 200)) {
                    return;
                }
            }
            runFor(1);
        }
        recordViolation(id + " was not accepted in a minute");
    }

    void submitUntilAccepted(String id, int tasks, boolean gang) {
        submitUntilAccepted(id, tasks, gang, Map.of());
    }

    /** What any node says of the job within so many seconds; "unanswered" if none did. */
    String pollStatus(String id, double timeoutS) {
        for (double end = nowS + timeoutS; nowS < end; runFor(1)) {
            for (ControllerProcess n : controllers) {
                Map<String, Object> a = n.poll(id);
                if (a != null && (int) a.get("code") == 200) {
                    return (String) a.get("status");
                }
                if (a != null && (int) a.get("code") == 404) {
                    return "unknown";
                }
            }
        }
        return "unanswered";
    }

    /** The way directly to a worker, which its address names. */
    private HttpTransport commands(String address, ControllerProcess from) {
        return (method, path, body, ms, then) -> {
            Worker w = workers.get(address);
            if (w == null || !w.reaches(from)) {
                schedule(ms / 1000.0, () -> then.accept(new PooledHttpClient.Response(0, Map.of(), false)));
                return;
            }
            boolean[] over = new boolean[1];
            Runnable carry = () -> w.handleCommands(
                    body,
                    a -> schedule(0.001, () -> {
                        if (!over[0]) {
                            then.accept(a);
                        }
                        over[0] = true;
                    }));
            if (w.hungUntilS > nowS) {
                schedule(ms / 1000.0, () -> {
                    if (!over[0]) {
                        then.accept(new PooledHttpClient.Response(0, Map.of(), true));
                    }
                    over[0] = true;
                });
            }
            if (!w.inboundBlocked && commandDelayS == 0) {
                schedule(0.001, carry);
            } else {
                if (w.inboundBlocked) {
                    heldCommands.add(carry);
                } else {
                    schedule(commandDelayS, carry);
                }
                schedule(ms / 1000.0, () -> then.accept(new PooledHttpClient.Response(0, Map.of(), true)));
            }
        };
    }

    // ---- machines ---------------------------------------------------------------------------------------------

    Worker addMachine(String zone) {
        Worker w = new Worker(String.format("n-%06d", ++machinesRented), zone);
        workers.put(w.name, w);
        if (everyNthNeverBoots == 0 || machinesRented % everyNthNeverBoots > 0) {
            schedule(w.bootDurationS, w::sendReport);
            schedule(w.bootDurationS, w::live);
            w.willBoot = true;
        }
        return w;
    }

    // ---- workers ----------------------------------------------------------------------------------------------

    final class Task {
        final String jobId;
        final int index;
        final long attempt;
        AttemptState state = AttemptState.RUNNING;
        ExitCause cause = ExitCause.NONE;
        double ranS;

        Task(String job, int index, long attempt) {
            this.jobId = job;
            this.index = index;
            this.attempt = attempt;
        }
    }

    final class Worker {
        final String name;
        /** Where orders reach it. */
        String address;

        final Map<String, Task> tasks = new LinkedHashMap<>();
        long session = 1;
        long sequence;
        long token;
        double leaseStartS = nowS;
        int controllerIndex;
        boolean terminated;
        final double rentedAtS = nowS;
        final double bootDurationS = machineBootS * bootSlowdownFactor;
        /** Whether it ever comes up. */
        boolean willBoot;

        double crashedAtS = Double.POSITIVE_INFINITY;
        /** When the cloud takes it, which its reports announce; NaN while it does not. */
        double reclaimedAtS = Double.NaN;
        /** Every task that starts fails. */
        boolean failsAllTasks;
        /** How many times slower than others it runs tasks. */
        double slowdownFactor = 1;
        /** Reports leave, answers do not come. */
        boolean inboundBlocked;
        /** Nothing leaves. */
        boolean disconnected;
        /** No report leaves, but orders sent directly here arrive. */
        boolean reportsBlocked;
        /** Whether it is in a zone that is cut off from the rest. */
        boolean inIsolatedZone;

        final String zone;
        /** When it goes on, while it hangs: tasks stand still, and so does what it would hear or say. */
        double hungUntilS;
        /** Seconds by which its reports are held up on their way; the answers are not. */
        double reportDelayS;
        /** Whether a report of its was overtaken by the answer to orders sent directly here, and answered all the same. */
        boolean reportOvertaken;

        private long direct;
        /** Every report sent, for late copies. */
        final List<Report> sentReports = new ArrayList<>();

        int startCount;

        Worker(String name, String zone) {
            this.name = name;
            this.address = name;
            this.zone = zone;
            this.leaseStartS = nowS + bootDurationS;
        }

        boolean reaches(ControllerProcess n) {
            return !disconnected && !n.cutFromWorkers && inIsolatedZone == n.inIsolatedZone;
        }

        /** Tasks on the machine; a hung one that its lease has outrun will kill them before anything else. */
        List<Task> activeTasks() {
            if (terminated || tasks.isEmpty() || nowS - leaseStartS > workerLeaseS + 0.1) {
                return List.of();
            }
            return tasks.values().stream()
                    .filter(t -> t.state != AttemptState.EXITED)
                    .toList();
        }

        /** Stops with all that is on it; the cloud's list tells so half a minute later. */
        void crash() {
            terminate();
            crashedAtS = nowS;
        }

        void terminate() {
            terminated = true;
            tasks.clear();
        }

        /** Lease and running tasks, ten times a second. */
        void live() {
            if (terminated) {
                return;
            }
            if (hungUntilS > nowS) {
                schedule(hungUntilS - nowS, this::live);
                return;
            }
            if (nowS - leaseStartS > workerLeaseS) {
                tasks.clear();
                session++;
                leaseStartS = nowS;
            }
            boolean changed = false;
            for (Task t : tasks.values()) {
                if (t.state == AttemptState.WAITING_FOR_GANG && together(t)) {
                    t.state = AttemptState.RUNNING;
                }
                if (t.state != AttemptState.RUNNING) {
                    continue;
                }
                t.ranS += 0.1 / slowdownFactor;
                boolean fails = failsAllTasks || failingJobs.contains(t.jobId);
                boolean service = services.contains(t.jobId);
                if (fails || t.ranS >= taskDurationS && (!service || replicaExitCause != null)) {
                    t.state = AttemptState.EXITED;
                    t.cause = fails ? ExitCause.ERROR : service ? replicaExitCause : ExitCause.DONE;
                    if (t.cause == ExitCause.DONE && asked.containsKey(t.jobId)) {
                        asked.get(t.jobId).completed.add(t.index);
                    }
                    changed = true;
                }
            }
            schedule(0.1, this::live);
        }

        private boolean together(Task t) {
            int n = 0;
            for (Worker w : workers.values()) {
                for (Task u : w.tasks.values()) {
                    if (u.jobId.equals(t.jobId) && u.attempt == t.attempt && u.state != AttemptState.EXITED) {
                        n++;
                    }
                }
            }
            return n >= sizes.get(t.jobId);
        }

        Report createReport() {
            List<Report.AttemptStatus> items = new ArrayList<>();
            for (Task t : tasks.values()) {
                items.add(new Report.AttemptStatus(t.jobId, t.index, t.attempt, t.state, t.cause, false));
            }
            double noticeS = reclaimedAtS - nowS;
            return new Report(name, name, "small", zone, false, session, ++sequence, token, noticeS, items);
        }

        void sendReport() {
            if (terminated) {
                return;
            }
            if (hungUntilS > nowS) {
                // On waking, the lease is looked at before anything is said.
                schedule(hungUntilS - nowS + 0.001, this::sendReport);
                return;
            }
            if (reportSender != null) {
                reportSender.accept(this);
                return;
            }
            ControllerProcess n = controllers.get(controllerIndex);
            if (reportsBlocked || !reaches(n) || !n.up) {
                elsewhere(reportsBlocked || !reaches(n) ? 5 : 1);
                return;
            }
            Report r = createReport();
            sentReports.add(r);
            double sentAt = nowS;
            schedule(0.002 + reportDelayS, () -> {
                reportOvertaken |= direct > r.sequence() && n.up && n.controller.isLeading();
                if (n.pausedUntilS > nowS) {
                    // It waits in the socket and is read on waking, when nobody waits for the answer any more.
                    schedule(n.pausedUntilS - nowS, () -> {
                        if (n.up) {
                            n.controller.handleReport(r);
                        }
                    });
                    schedule(5, () -> elsewhere(0));
                    return;
                }
                Controller.ReportResponse b = n.up ? n.controller.handleReport(r) : null;
                if (inboundBlocked) {
                    schedule(5, () -> elsewhere(0));
                } else {
                    schedule(0.002, () -> handleReportResponse(b, sentAt, r.session()));
                }
            });
        }

        private void elsewhere(double s) {
            controllerIndex = (controllerIndex + 1) % controllers.size();
            schedule(s, this::sendReport);
        }

        void handleReportResponse(Controller.ReportResponse b, double sentAt, long inSession) {
            if (terminated) {
                return;
            }
            if (hungUntilS > nowS) {
                schedule(
                        hungUntilS - nowS + 0.001,
                        () -> handleReportResponse(nowS - sentAt > 4 ? null : b, sentAt, inSession));
                return;
            }
            if (b instanceof Controller.ReportResponse.Commands o) {
                if (inSession == session && o.token() >= token) {
                    token = o.token();
                    leaseStartS = Math.max(leaseStartS, sentAt);
                    for (Command x : o.commands()) {
                        carryOut(x);
                    }
                }
                schedule(o.commands().isEmpty() ? 2 : 0.5, this::sendReport);
            } else if (b instanceof Controller.ReportResponse.NotLeader e
                    && e.leader() != null
                    && !e.leader().equals(controllers.get(controllerIndex).label)) {
                for (int i = 0; i < controllers.size(); i++) {
                    if (controllers.get(i).label.equals(e.leader())) {
                        controllerIndex = i;
                    }
                }
                schedule(0.2, this::sendReport);
            } else {
                elsewhere(1);
            }
        }

        /** Orders sent directly here: refused under a lower token or for another session. */
        void handleCommands(Map<String, Object> body, Consumer<PooledHttpClient.Response> then) {
            if (terminated) {
                return;
            }
            if (hungUntilS > nowS) {
                schedule(hungUntilS - nowS + 0.001, () -> handleCommands(body, then));
                return;
            }
            boolean good = Fields.getLong(body, "baton", 0) >= token && Fields.getLong(body, "stint", 0) == session;
            if (good) {
                token = Fields.getLong(body, "baton", 0);
                for (Object o : Fields.getList(body, "orders")) {
                    Map<String, Object> c = Fields.asMap(o);
                    Command.Verb v =
                            switch (Fields.getString(c, "verb", "")) {
                                case "start" -> Command.Verb.START;
                                case "kill" -> Command.Verb.STOP;
                                default -> Command.Verb.FORGET;
                            };
                    carryOut(new Command(
                            v,
                            Fields.getString(c, "piece"),
                            Fields.getLong(c, "try", 0),
                            Fields.getDouble(c, "leewayS", 0)));
                }
            }
            Report r = createReport();
            direct = r.sequence();
            then.accept(new PooledHttpClient.Response(good ? 200 : 409, reportMessage(r), true));
        }

        /** A report as it is sent. */
        Map<String, Object> reportMessage(Report r) {
            List<Object> pieces = new ArrayList<>();
            for (Report.AttemptStatus i : r.attempts()) {
                boolean waits = i.state() == AttemptState.WAITING_FOR_GANG;
                String cause = i.cause() == ExitCause.DONE ? "done" : i.cause() == ExitCause.STOPPED ? "halted" : null;
                pieces.add(Fields.orderedMap(
                        "piece",
                        i.job() + "/" + i.task(),
                        "try",
                        i.attempt(),
                        "status",
                        i.state() == AttemptState.EXITED ? "exited" : waits ? "gathering" : "running",
                        "cause",
                        cause));
            }
            return Fields.orderedMap(
                    "rig", name,
                    "address", address,
                    "build", "small",
                    "site", zone,
                    "loaners", false,
                    "stint", r.session(),
                    "tick", r.sequence(),
                    "baton", token,
                    "pieces", pieces);
        }

        void carryOut(Command o) {
            int slash = o.taskName().lastIndexOf('/');
            String job = o.taskName().substring(0, slash);
            int index = Integer.parseInt(o.taskName().substring(slash + 1));
            String key = o.taskName() + "#" + o.attempt();
            Task t = tasks.get(key);
            switch (o.verb()) {
                case START -> {
                    if (t != null) {
                        return;
                    }
                    if (stateService.value("j/" + job) == null && stateService.value("f/" + job) == null) {
                        recordViolation("start of unknown " + job);
                    }
                    Asked a = asked.get(job);
                    if (a != null && a.zone != null && !a.zone.equals(zone)) {
                        recordViolation("wrong_place: " + key + " in " + zone);
                    }
                    for (Worker w : workers.values()) {
                        for (Task u : w.activeTasks()) {
                            if (!u.jobId.equals(job)) {
                                continue;
                            }
                            if (u.index == index) {
                                recordViolation("ran_twice: " + o.taskName() + " on " + w.name + " and " + name);
                            }
                            if (a != null && a.oneZone && !w.zone.equals(zone)) {
                                recordViolation("wrong_place: " + key + " in two zones");
                            }
                        }
                    }
                    Double c = cancelAcknowledgedAtS.get(job);
                    if (c != null && nowS > c + CANCEL_DEADLINE_S) {
                        recordViolation("ran_cancelled: start of " + key);
                    }
                    if (c != null) {
                        latestStartAfterCancelS = Math.max(latestStartAfterCancelS, nowS - c);
                    }
                    startCount++;
                    startsByJob.merge(job, 1, Integer::sum);
                    startLog.add(new TaskStart(nowS, job, index, zone, name));
                    t = new Task(job, index, o.attempt());
                    if (gangs.getOrDefault(job, false)) {
                        t.state = AttemptState.WAITING_FOR_GANG;
                    }
                    tasks.put(key, t);
                }
                case STOP -> {
                    if (t != null && t.state != AttemptState.EXITED) {
                        t.state = AttemptState.EXITED;
                        t.cause = ExitCause.STOPPED;
                    }
                }
                case FORGET -> {
                    if (t != null && t.state == AttemptState.EXITED) {
                        tasks.remove(key);
                    }
                }
            }
        }
    }
}
