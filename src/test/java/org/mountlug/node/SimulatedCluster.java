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
import org.mountlug.core.model.Command;
import org.mountlug.core.model.ExitCause;
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
 * Controllers without sockets, a fake state service, a fake cloud and simulated workers, under a clock that the test advances.
 * Workers and responses are checked against the scheduler's guarantees; {@link #violations} collects each breach.
 */
final class SimulatedCluster {
    /** Duration of a worker's lease, in seconds. */
    final double workerLeaseS;
    /** Seconds after an acknowledged cancellation by which no task of the job may run. */
    static final double CANCEL_DEADLINE_S = 30;
    /** Milliseconds by which a controller's epoch time may differ from the simulated time. */
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
    /** Seconds within which some controller must answer polls of each accepted job, once all faults are over. */
    static final double MAX_ANSWER_DELAY_S = 75;
    /** Seconds for which a job may wait, once all faults are over, while a machine has free capacity for it. */
    static final double MAX_WAIT_WITH_FREE_CAPACITY_S = 90;

    /** Simulated time in seconds; it begins at 1000. */
    double nowS = 1000;
    /** The strictest value size limit, in KiB, in the controllers' settings. */
    double strictestValueLimitKb = 8;
    /** The limit on operations of a transaction in the controllers' settings. */
    int txnOps = 8;

    private final OperatorSettings operators;
    private long nextEventNumber;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<String> violations = new ArrayList<>();
    final FakeStateService stateService;
    final List<ControllerProcess> controllers = new ArrayList<>();
    final Map<String, SimulatedWorker> workers = new TreeMap<>();
    /** When each job's cancellation was acknowledged; positive infinity once a violation is recorded. */
    final Map<String, Double> cancelAcknowledgedAtS = new HashMap<>();

    final Map<String, Integer> taskCounts = new HashMap<>();
    final Map<String, Boolean> gangs = new HashMap<>();
    private final Map<String, byte[]> submissionBodies = new HashMap<>();
    /** Run time of every task, in seconds. */
    double taskDurationS = 4;

    final FakeCloud cloud = new FakeCloud(this);
    /** Jobs whose tasks fail on every machine. */
    final java.util.Set<String> failingJobs = new java.util.HashSet<>();
    /** Sends workers' reports in place of the calls to this cluster's controllers; null for those calls. */
    Consumer<SimulatedWorker> reportSender;

    /** A task's start on a machine. */
    record TaskStart(double atS, String jobId, int taskIndex, String zone, String machine) {}

    /** All task starts, in order of time. */
    final List<TaskStart> startLog = new ArrayList<>();
    /** Keys of all attempts that were started on any machine. */
    private final java.util.Set<String> startedAttempts = new java.util.HashSet<>();
    /** Number of task starts of each job, on all machines. */
    final Map<String, Integer> startsByJob = new HashMap<>();
    /** Ids of the services, whose replicas run until they are stopped. */
    final java.util.Set<String> services = new java.util.HashSet<>();
    /** The cause with which replicas exit after {@link #taskDurationS}; null if they run until they are stopped. */
    ExitCause replicaExitCause;
    /** Whether connections between controllers are refused. */
    boolean peersRefuseConnections;
    /** The way of direct commands to the workers. */
    final DirectCommandNetwork commandNetwork = new DirectCommandNetwork(this);

    int machinesRented;
    /** The longest time, in seconds, from an acknowledged cancellation to a start of that job; negative if none was started. */
    double latestStartAfterCancelS = -1;
    /** Seconds from a rental until the machine is up, before {@link #bootSlowdownFactor}. */
    double machineBootS = 2;
    /** Factor on the boot time of machines that are rented from now on. */
    double bootSlowdownFactor = 1;
    /** Every machine whose number is a multiple of this value never boots; 0 if all boot. */
    int everyNthNeverBoots;

    private final Map<String, Team> teams = new HashMap<>();
    private final ClusterInvariants invariants = new ClusterInvariants(this, teams.values());
    private final Map<String, SubmittedJob> submittedJobs = new LinkedHashMap<>();
    /** Called when a controller begins a term, before any later event reaches it. */
    final List<Consumer<ControllerProcess>> onTermStart = new ArrayList<>();

    /** Runs each tick of a controller; a measurement may replace it. */
    Consumer<Runnable> tickRunner = Runnable::run;

    private long highestToken;
    /** Highest share of its CPU limit that any team has used; shows whether a test brought a team to its limit. */
    double peakTeamLimitShare;

    private static final SubmittedJob NEVER_SUBMITTED = new SubmittedJob();

    /** A job as its user submitted it, with the states that responses have reported. */
    private static final class SubmittedJob {
        String team = "t";
        double cpus;
        String zone;
        boolean oneZone;
        boolean accepted;
        /** When a response of each rank was first sent; ranks: 0 unknown, 1 live, 2 finished. {@code NaN} if never. */
        final double[] firstResponseAtS = {Double.NaN, Double.NaN, Double.NaN};

        /** {@code done} or {@code withdrawn}, once a response has reported it; null before. */
        String outcome;
        /** Indexes of the tasks that have completed on any machine. */
        final java.util.Set<Integer> completedTasks = new java.util.HashSet<>();

        double lastAnsweredAtS;
        double lastPolledAtS;
        /** Since when the job has waited although a machine has free capacity for it; {@code NaN} if it does not. */
        double waitingSinceS = Double.NaN;
    }

    private record Event(double atS, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atS, other.atS);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
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

    /** @param production whether the controllers begin with an imitation of the production version */
    SimulatedCluster(
            int controllerCount, List<Team> teams, double leaseS, boolean production, double valueLimitKb, int txnOps) {
        this(controllerCount, teams, leaseS, production, valueLimitKb, txnOps, OperatorSettings.defaults());
    }

    SimulatedCluster(
            int controllerCount,
            List<Team> teams,
            double leaseS,
            boolean production,
            double valueLimitKb,
            int txnOps,
            OperatorSettings operators) {
        this.workerLeaseS = leaseS;
        this.operators = operators;
        this.strictestValueLimitKb = valueLimitKb;
        this.txnOps = txnOps;
        stateService = new FakeStateService(this, 8, 8);
        for (Team team : teams) {
            this.teams.put(team.name(), team);
        }
        for (int i = 0; i < controllerCount; i++) {
            controllers.add(new ControllerProcess("c-" + i, controllerCount, teams));
            controllers.get(i).runsProductionVersion = production;
        }
        for (ControllerProcess process : controllers) {
            process.start();
        }
        schedule(0.1, this::checkInvariants);
    }

    // ---- checks -------------------------------------------------------------------------------------------------

    private void checkInvariants() {
        invariants.check();
        schedule(0.1, this::checkInvariants);
    }

    double usedCpus(String team) {
        double cpus = 0;
        for (SimulatedWorker worker : workers.values()) {
            for (SimulatedTask task : worker.activeTasks()) {
                SubmittedJob job = submittedJobs.get(task.jobId);
                if (job != null && job.team.equals(team)) {
                    cpus += job.cpus;
                }
            }
        }
        return cpus;
    }

    /**
     * Checks a response against all responses about the job that were sent before its request. The job's state may only
     * advance, whichever controller responds: unknown, then pending or running, then done or withdrawn, which are final.
     */
    void checkResponse(String id, double askedAtS, String request, int statusCode, Map<String, Object> body) {
        if (statusCode == 429 || statusCode == 503) {
            return;
        }
        SubmittedJob job = submittedJobs.computeIfAbsent(id, key -> new SubmittedJob());
        String status = statusCode == 200 || statusCode == 201 ? String.valueOf(body.get("status")) : null;
        int rank = status == null ? 0 : status.equals("done") || status.equals("withdrawn") ? 2 : 1;
        if (status == null
                && (statusCode == 400 || statusCode == 422)
                && job.accepted
                && job.firstResponseAtS[1] < askedAtS) {
            recordViolation("accepted job rejected: " + request + " of " + id + " got " + statusCode);
        }
        for (int laterRank = rank + 1; laterRank <= 2; laterRank++) {
            if (job.firstResponseAtS[laterRank] < askedAtS) {
                recordViolation("outdated response: " + request + " of " + id + " got " + statusCode + " " + status
                        + ", although a later state was sent before (outcome " + job.outcome + ")");
            }
        }
        if (rank == 2 && job.outcome != null && !job.outcome.equals(status)) {
            recordViolation("outcome changed: " + id + " " + job.outcome + ", then " + status);
        }
        if (rank == 2) {
            job.outcome = status;
        }
        // A gang's tasks complete together, so one completed task is enough.
        int requiredTasks = gangs.getOrDefault(id, false) ? 1 : taskCounts.getOrDefault(id, 1);
        if ("done".equals(status) && job.completedTasks.size() < requiredTasks) {
            recordViolation("reported done too early: " + id + " with " + job.completedTasks.size() + " tasks done");
        }
        if (rank > 0) {
            job.accepted = true;
            job.lastAnsweredAtS = nowS;
        }
        for (int reachedRank = 1; reachedRank <= rank; reachedRank++) {
            if (!(job.firstResponseAtS[reachedRank] <= nowS)) {
                job.firstResponseAtS[reachedRank] = nowS;
            }
        }
        if ("withdrawn".equals(status)) {
            cancelAcknowledgedAtS.putIfAbsent(id, nowS);
        }
    }

    /** Returns the last submission that was built before the job was accepted; null if there is none. */
    byte[] originalSubmission(String id) {
        return submissionBodies.get(id);
    }

    /** Builds a new submission for the test to send. */
    byte[] newSubmission(String id, int tasks) {
        return controllers.get(0).buildSubmission(id, tasks, false, Map.of());
    }

    /** Returns the ids of the jobs that a response has shown to be accepted. */
    List<String> acceptedJobs() {
        return submittedJobs.entrySet().stream()
                .filter(e -> e.getValue().accepted)
                .map(Map.Entry::getKey)
                .toList();
    }

    String outcome(String id) {
        return submittedJobs.get(id).outcome;
    }

    /**
     * Runs, after the last fault, until every accepted job has finished, or runs if it is a service. Records a violation for a
     * job that is not answered about, waits although a machine has free capacity, or is not settled within the timeout.
     */
    void runUntilSettled(double timeoutS) {
        double startS = nowS;
        for (SubmittedJob job : submittedJobs.values()) {
            job.waitingSinceS = Double.NaN;
        }
        int second = 0;
        while (nowS < startS + timeoutS) {
            boolean allSettled = true;
            int polls = 0;
            List<String> ids = new ArrayList<>(acceptedJobs());
            ids.sort(java.util.Comparator.comparingDouble(id -> submittedJobs.get(id).lastPolledAtS));
            for (String id : ids) {
                SubmittedJob job = submittedJobs.get(id);
                if (job.outcome != null) {
                    continue;
                }
                // Polls each job about every 5 s at alternating controllers, within the controllers' rate limits.
                if (nowS - job.lastPolledAtS > 5 && polls < 40) {
                    polls++;
                    job.lastPolledAtS = nowS;
                    ControllerProcess process = controllers.get((second + polls) % controllers.size());
                    if (process.up) {
                        process.requestAsync("poll", id, r -> process.users.poll(id, r), null);
                    }
                }
                if (nowS - Math.max(startS, job.lastAnsweredAtS) > MAX_ANSWER_DELAY_S) {
                    recordViolation("no controller answers about " + id);
                }
                if (isRunning(id) && services.contains(id)) {
                    continue;
                }
                if (isRunning(id)
                        || cancelAcknowledgedAtS.containsKey(id)
                        || failingJobs.contains(id)
                        || !hasFreeCapacity(job)) {
                    job.waitingSinceS = Double.NaN;
                } else if (Double.isNaN(job.waitingSinceS)) {
                    job.waitingSinceS = nowS;
                }
                if (nowS - job.waitingSinceS > MAX_WAIT_WITH_FREE_CAPACITY_S) {
                    recordViolation("waits although a machine has free capacity: " + id);
                }
                allSettled = false;
            }
            if (allSettled || !violations.isEmpty()) {
                return;
            }
            second++;
            runFor(1);
        }
        for (String id : acceptedJobs()) {
            if (submittedJobs.get(id).outcome == null && !(services.contains(id) && isRunning(id))) {
                recordViolation("not settled: " + id);
            }
        }
    }

    boolean isRunning(String id) {
        for (SimulatedWorker worker : workers.values()) {
            for (SimulatedTask task : worker.activeTasks()) {
                if (task.jobId.equals(id)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether the team's limit and some working machine leave capacity for one more task of the job. */
    private boolean hasFreeCapacity(SubmittedJob job) {
        Team team = teams.get(job.team);
        if (team != null && team.maxCpus() > 0 && usedCpus(job.team) + job.cpus > team.maxCpus()) {
            return false;
        }
        for (SimulatedWorker worker : workers.values()) {
            if (worker.terminated
                    || worker.disconnected
                    || worker.inboundBlocked
                    || worker.reportsBlocked
                    || worker.failsAllTasks
                    || worker.hungUntilS > nowS
                    || !worker.willBoot
                    || nowS < worker.rentedAtS + worker.bootDurationS) {
                continue;
            }
            if (job.zone != null && !job.zone.equals(worker.zone)) {
                continue;
            }
            double usedCpus = 0;
            for (SimulatedTask task : worker.activeTasks()) {
                usedCpus += submittedJobs.get(task.jobId).cpus;
            }
            if (usedCpus + job.cpus <= MACHINE_CPUS) {
                return true;
            }
        }
        return false;
    }

    /** Schedules an action; actions due at the same time run in the order in which they were scheduled. */
    void schedule(double delayS, Runnable action) {
        events.add(new Event(nowS + delayS, nextEventNumber++, action));
    }

    /** Records a breach of a guarantee, with the seconds since the start of the simulation. */
    void recordViolation(String violation) {
        violations.add(Math.round(nowS - 1000) + " s: " + violation);
    }

    List<String> violations() {
        return violations;
    }

    void runFor(double seconds) {
        double endS = nowS + seconds;
        while (!events.isEmpty() && events.peek().atS() <= endS) {
            Event event = events.poll();
            nowS = Math.max(nowS, event.atS());
            event.action().run();
        }
        nowS = endS;
    }

    /** Runs until the condition holds, checked four times a second; returns false if it does not hold in time. */
    boolean runUntil(double timeoutS, java.util.function.BooleanSupplier condition) {
        for (double elapsedS = 0; elapsedS < timeoutS; elapsedS += 0.25) {
            if (condition.getAsBoolean()) {
                return true;
            }
            runFor(0.25);
        }
        return condition.getAsBoolean();
    }

    /** Returns the running controller that leads, with the highest token if several do; null if none leads. */
    ControllerProcess leader() {
        ControllerProcess leader = null;
        for (ControllerProcess process : controllers) {
            if (process.up && process.controller.isLeading() && (leader == null || process.token() > leader.token())) {
                leader = process;
            }
        }
        return leader;
    }

    // ---- controllers ------------------------------------------------------------------------------------------

    /** A controller without sockets, which can be killed, restarted, paused and cut off. */
    final class ControllerProcess {
        final String label;
        private final int controllerCount;
        private final List<Team> teams;
        boolean up;
        /** How requests to the state service fare. */
        FakeStateService.Link stateLink = FakeStateService.Link.HEALTHY;

        /** Milliseconds by which its epoch time differs from the simulated time; at most {@link #MAX_CLOCK_SKEW_MS}. */
        long clockSkewMs;

        boolean cutFromPeers;
        boolean cutFromWorkers;
        /** Whether the controller is in a zone that is cut off from all other zones. */
        boolean inIsolatedZone;

        private int incarnation;
        /** End of the process pause in simulated seconds. During a pause nothing of the process runs; its clocks go on. */
        double pausedUntilS;
        /** The next request whose path starts with this prefix is sent after a pause; null for none. */
        String pauseBeforePath;

        double pauseDurationS;
        /** Whether the next incarnation imitates the production version: no version announcement, no newer record fields. */
        boolean runsProductionVersion;

        Controller controller;
        UserRequestHandler users;

        ControllerProcess(String label, int controllerCount, List<Team> teams) {
            this.label = label;
            this.controllerCount = controllerCount;
            this.teams = teams;
        }

        long token() {
            return controller.token();
        }

        private long epochMs() {
            return (long) (nowS * 1000) + clockSkewMs;
        }

        void start() {
            int ownIncarnation = ++incarnation;
            List<Settings.Peer> peers = new ArrayList<>();
            for (int i = 0; i < controllerCount; i++) {
                if (!label.equals("c-" + i)) {
                    peers.add(new Settings.Peer("c-" + i, "x:1"));
                }
            }
            Settings settings = new Settings(
                    label,
                    "a",
                    "x:1",
                    "x:2",
                    peers,
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
                    strictestValueLimitKb,
                    txnOps,
                    4,
                    10,
                    1000,
                    360);
            HttpTransport stateConnection = stateService.connectionFrom(
                    this, () -> inIsolatedZone ? FakeStateService.Link.PARTITIONED : stateLink);
            HttpTransport stateTransport = boundToIncarnation(
                    ownIncarnation, runsProductionVersion ? filterAsProduction(stateConnection) : stateConnection);
            StateClient stateClient = new StateClient(stateTransport, stateTransport, () -> nowS, 200, controllerCount);
            Environment environment = new Environment(
                    settings,
                    runsProductionVersion ? OperatorSettings.defaults() : operators,
                    stateClient,
                    boundToIncarnation(ownIncarnation, cloud::call),
                    address -> boundToIncarnation(ownIncarnation, commandNetwork.transport(address, this)),
                    () -> nowS,
                    this::epochMs,
                    (action, delayMs) -> schedule(
                            delayMs / 1000.0,
                            () -> runAfterPause(() -> {
                                if (incarnation == ownIncarnation) {
                                    action.run();
                                }
                            })));
            controller = new Controller(environment, new SplittableRandom(label.hashCode() * 31L + incarnation));
            users = new UserRequestHandler(controller, stateClient, settings, this::epochMs);
            up = true;
            Runnable[] tick = new Runnable[1];
            tick[0] = () -> {
                if (incarnation != ownIncarnation) {
                    return;
                }
                if (pausedUntilS > nowS) {
                    runAfterPause(tick[0]);
                    return;
                }
                tickRunner.accept(controller::tick);
                detectTermStart();
                schedule(Constants.TICK_MS / 1000.0, tick[0]);
            };
            schedule(0, tick[0]);
            Runnable[] pollPeers = new Runnable[1];
            pollPeers[0] = () -> {
                if (incarnation != ownIncarnation) {
                    return;
                }
                if (pausedUntilS > nowS) {
                    runAfterPause(pollPeers[0]);
                    return;
                }
                for (ControllerProcess peer : controllers) {
                    if (peer == this
                            || peer.pausedUntilS > nowS
                            || peer.cutFromPeers
                            || cutFromPeers
                            || peer.inIsolatedZone != inIsolatedZone) {
                        continue;
                    }
                    if (!peer.up || peersRefuseConnections) {
                        controller.recordPeerRefusal(peer.label);
                        continue;
                    }
                    controller.handlePeerResponse(
                            peer.label, new PeerConnections.TimedResponse(nowS, peer.controller.answerPeerRequest(1)));
                }
                schedule(Constants.PEER_POLL_INTERVAL_MS / 1000.0, pollPeers[0]);
            };
            schedule(0.5, pollPeers[0]);
        }

        /** Removes record fields unknown to the production version, and drops writes of the controller's version. */
        private HttpTransport filterAsProduction(HttpTransport transport) {
            return (method, path, body, timeoutMs, then) -> {
                for (Object entry : Fields.getList(body == null ? Map.of() : body, "writes")) {
                    if (String.valueOf(Fields.asMap(entry).get("put")).startsWith("v/")) {
                        schedule(0.002, () -> then.accept(new PooledHttpClient.Response(200, Map.of(), true)));
                        return;
                    }
                }
                transport.call(method, path, body, timeoutMs, response -> {
                    if (path.startsWith("/kv/j/")) {
                        rewriteAsProduction(response.body(), "v");
                    }
                    for (String list : List.of("rows", "news")) {
                        for (Object entry : Fields.getList(response.body(), list)) {
                            Map<String, Object> row = Fields.asMap(entry);
                            String key = Fields.getString(row, "k", Fields.getString(row, "put", ""));
                            if (key.startsWith("j/")) {
                                rewriteAsProduction(row, "v");
                            }
                            if (key.startsWith("p/")) {
                                recordViolation("record parts are stored while " + label + " cannot read them");
                            }
                        }
                    }
                    then.accept(response);
                });
            };
        }

        /** Replaces a job record by what the production version would write after reading it. */
        private void rewriteAsProduction(Map<String, Object> row, String field) {
            if (!(row.get(field) instanceof Map)) {
                return;
            }
            if (Fields.asMap(row.get(field)).containsKey("K")) {
                recordViolation("a record with parts is stored while " + label + " cannot read it");
            }
            row.put(
                    field,
                    org.mountlug.store.ProductionCompatibilityTest.rewrittenByProduction(Fields.asMap(row.get(field))));
        }

        /** Kills the process and restarts it with the current version. */
        void upgradeAfter(double delayS) {
            runsProductionVersion = false;
            restartAfter(delayS);
        }

        /** Calls {@link #onTermStart} if the controller has begun a term with a higher token than any before. */
        private void detectTermStart() {
            if (!controller.isLeading() || controller.token() <= highestToken) {
                return;
            }
            highestToken = controller.token();
            for (var action : List.copyOf(onTermStart)) {
                action.accept(this);
            }
        }

        /** Wraps a transport so that a response to an earlier incarnation is dropped, and calls wait for the end of a pause. */
        private HttpTransport boundToIncarnation(int ownIncarnation, HttpTransport transport) {
            return (method, path, body, timeoutMs, then) -> {
                if (pauseBeforePath != null && path.startsWith(pauseBeforePath)) {
                    pauseBeforePath = null;
                    pause(pauseDurationS);
                }
                runAfterPause(() -> transport.call(
                        method,
                        path,
                        body,
                        timeoutMs,
                        response -> runAfterPause(() -> {
                            if (incarnation != ownIncarnation) {
                                return;
                            }
                            then.accept(response);
                            detectTermStart();
                        })));
            };
        }

        /** Runs the action now, or at the end of the current pause. */
        private void runAfterPause(Runnable action) {
            if (pausedUntilS > nowS) {
                schedule(pausedUntilS - nowS, () -> runAfterPause(action));
            } else {
                action.run();
            }
        }

        void pause(double durationS) {
            pausedUntilS = nowS + durationS;
        }

        void kill() {
            up = false;
            pausedUntilS = 0;
            incarnation++;
        }

        /** Kills the process now and starts the next incarnation after the delay. */
        void restartAfter(double delayS) {
            kill();
            schedule(delayS, this::start);
        }

        /** Sends a user's request and runs until its response; returns null if none comes within 5 s. */
        Map<String, Object> request(Consumer<UserRequestHandler.Reply> request) {
            return request("request", null, request);
        }

        private Map<String, Object> request(String requestName, String id, Consumer<UserRequestHandler.Reply> request) {
            List<Map<String, Object>> responses = new ArrayList<>();
            if (!up || pausedUntilS > nowS) {
                return null;
            }
            requestAsync(requestName, id, request, responses::add);
            runUntil(5, () -> !responses.isEmpty());
            return responses.isEmpty() ? null : responses.get(0);
        }

        /** Sends a request unless the process is down or paused; checks the response if {@code id} is not null. */
        void requestAsync(
                String requestName,
                String id,
                Consumer<UserRequestHandler.Reply> request,
                Consumer<Map<String, Object>> then) {
            if (!up || pausedUntilS > nowS) {
                return;
            }
            double askedAtS = nowS;
            int ownIncarnation = incarnation;
            request.accept(response -> {
                if (incarnation != ownIncarnation) {
                    return;
                }
                int status = UserResponseCodec.status(response);
                Map<String, Object> fields = new LinkedHashMap<>(UserResponseCodec.body(response));
                fields.put("answer", response);
                if (id != null) {
                    checkResponse(id, askedAtS, requestName + " at " + label, status, fields);
                }
                fields.put("code", status);
                if (then != null) {
                    then.accept(fields);
                }
            });
        }

        /** Sends a user's request without waiting; a paused process reads the request from its socket after the pause. */
        void requestAsyncThroughSocket(
                String requestName,
                String id,
                Consumer<UserRequestHandler.Reply> request,
                Consumer<Map<String, Object>> then) {
            runAfterPause(() -> requestAsync(requestName, id, request, then));
        }

        Map<String, Object> poll(String id) {
            return request("poll", id, r -> users.poll(id, r));
        }

        Map<String, Object> cancel(String id) {
            return request("abort", id, r -> users.cancel(id, r));
        }

        Map<String, Object> submit(String id, int tasks, boolean gang) {
            return submit(id, tasks, gang, Map.of());
        }

        Map<String, Object> submit(String id, int tasks, boolean gang, Map<String, Object> extraFields) {
            byte[] body = buildSubmission(id, tasks, gang, extraFields);
            return request("submission", id, r -> users.submit(body, r));
        }

        /** Builds a submission and, unless the job was accepted before, records what it asks for. */
        byte[] buildSubmission(String id, int tasks, boolean gang, Map<String, Object> extraFields) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("nameId", id);
            fields.put("lane", "l");
            fields.put("crew", "t");
            fields.put("shape", gang ? "group" : "array");
            fields.put("urgency", "high");
            fields.put("pieces", tasks);
            fields.put("vcpus", 1.0);
            fields.put("cards", 0.0);
            fields.put("ramGb", 2.0);
            fields.put("bundle", "i");
            fields.put("imageGb", 0.0);
            fields.put("oneZone", false);
            fields.put("apart", false);
            fields.put("loaners", true);
            fields.put("expectedS", taskDurationS);
            fields.put("bookmarkS", 0.0);
            fields.put("stashS", 0.0);
            fields.putAll(extraFields);
            if ("daemon".equals(fields.get("shape")) && !submittedJobs.getOrDefault(id, NEVER_SUBMITTED).accepted) {
                services.add(id);
            }
            byte[] body = Cbor.write(fields);
            SubmittedJob job = submittedJobs.computeIfAbsent(id, key -> new SubmittedJob());
            if (!job.accepted) {
                taskCounts.put(id, tasks);
                gangs.put(id, gang);
                submissionBodies.put(id, body);
                job.team = String.valueOf(fields.get("crew"));
                job.cpus = fields.get("vcpus") instanceof Number cpus ? cpus.doubleValue() : 0;
                job.zone = (String) fields.get("site");
                job.oneZone = Boolean.TRUE.equals(fields.get("oneZone"));
            }
            return body;
        }

        /** Sends an array's submission without waiting. */
        void submitAsync(String id, int tasks) {
            submitAsync(id, tasks, false, Map.of());
        }

        void submitAsync(String id, int tasks, boolean gang, Map<String, Object> extraFields) {
            if (!up) {
                return;
            }
            byte[] body = buildSubmission(id, tasks, gang, extraFields);
            requestAsync("submission", id, r -> users.submit(body, r), null);
        }

        /** Sends again the last submission that was built before the job was accepted. */
        void resubmit(String id) {
            requestAsync("submission", id, r -> users.submit(submissionBodies.get(id), r), null);
        }
    }

    /** Submits at all controllers in turn until one accepts; records a violation if none does within 60 rounds. */
    void submitUntilAccepted(String id, int tasks, boolean gang, Map<String, Object> extraFields) {
        for (int round = 0; round < 60; round++) {
            for (ControllerProcess process : controllers) {
                Map<String, Object> response = process.submit(id, tasks, gang, extraFields);
                if (response != null && ((int) response.get("code") == 201 || (int) response.get("code") == 200)) {
                    return;
                }
            }
            runFor(1);
        }
        recordViolation(id + " was not accepted in 60 rounds");
    }

    void submitUntilAccepted(String id, int tasks, boolean gang) {
        submitUntilAccepted(id, tasks, gang, Map.of());
    }

    /** Returns the job's status from the first controller that answers, "unknown" for 404, or "unanswered" after the timeout. */
    String pollStatus(String id, double timeoutS) {
        for (double endS = nowS + timeoutS; nowS < endS; runFor(1)) {
            for (ControllerProcess process : controllers) {
                Map<String, Object> response = process.poll(id);
                if (response != null && (int) response.get("code") == 200) {
                    return (String) response.get("status");
                }
                if (response != null && (int) response.get("code") == 404) {
                    return "unknown";
                }
            }
        }
        return "unanswered";
    }

    // ---- machines ---------------------------------------------------------------------------------------------

    SimulatedWorker addMachine(String zone) {
        SimulatedWorker worker = new SimulatedWorker(this, String.format("n-%06d", ++machinesRented), zone);
        workers.put(worker.name, worker);
        if (everyNthNeverBoots == 0 || machinesRented % everyNthNeverBoots > 0) {
            schedule(worker.bootDurationS, worker::sendReport);
            schedule(worker.bootDurationS, worker::advanceTasks);
            worker.willBoot = true;
        }
        return worker;
    }

    /** Records a task's start on a machine, and a violation for each guarantee that it breaks. */
    void checkStart(SimulatedWorker startedOn, String job, int index, Command command) {
        String key = command.taskName() + "#" + command.attempt();
        if (!startedAttempts.add(key)) {
            recordViolation("attempt started again: " + key + " on " + startedOn.name);
        }
        if (stateService.value("j/" + job) == null && stateService.value("f/" + job) == null) {
            recordViolation("started without a job record: " + job);
        }
        SubmittedJob submittedJob = submittedJobs.get(job);
        if (submittedJob != null && submittedJob.zone != null && !submittedJob.zone.equals(startedOn.zone)) {
            recordViolation("started in a wrong zone: " + key + " in " + startedOn.zone);
        }
        for (SimulatedWorker worker : workers.values()) {
            for (SimulatedTask other : worker.activeTasks()) {
                if (!other.jobId.equals(job)) {
                    continue;
                }
                if (other.index == index) {
                    recordViolation(
                            "ran twice: " + command.taskName() + " on " + worker.name + " and " + startedOn.name);
                }
                if (submittedJob != null && submittedJob.oneZone && !worker.zone.equals(startedOn.zone)) {
                    recordViolation("started in two zones: " + key);
                }
            }
        }
        Double cancelledAtS = cancelAcknowledgedAtS.get(job);
        if (cancelledAtS != null && nowS > cancelledAtS + CANCEL_DEADLINE_S) {
            recordViolation("started after its cancellation: " + key);
        }
        if (cancelledAtS != null) {
            latestStartAfterCancelS = Math.max(latestStartAfterCancelS, nowS - cancelledAtS);
        }
        startsByJob.merge(job, 1, Integer::sum);
        startLog.add(new TaskStart(nowS, job, index, startedOn.zone, startedOn.name));
    }

    /** Records that a task has completed on some machine. */
    void recordCompletion(String job, int index) {
        if (submittedJobs.containsKey(job)) {
            submittedJobs.get(job).completedTasks.add(index);
        }
    }
}
