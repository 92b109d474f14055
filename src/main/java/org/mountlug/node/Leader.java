package org.mountlug.node;

import io.undertow.util.Methods;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.mountlug.Constants;
import org.mountlug.agent.AgentCodec;
import org.mountlug.cloud.CloudCodec;
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
import org.mountlug.core.scale.Rental;
import org.mountlug.core.scale.Scaler;
import org.mountlug.settings.Operators;
import org.mountlug.settings.Settings;
import org.mountlug.store.Budget;
import org.mountlug.store.Change;
import org.mountlug.store.RecordCodec;
import org.mountlug.store.StateClient;
import org.mountlug.wire.Calls;
import org.mountlug.wire.Fields;
import org.mountlug.wire.Http;
import org.mountlug.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leadership: loads the live work, answers workers, runs the rounds and writes what they decide. A new term
 * gets a new object, so nothing of an older one survives. Runs on the I/O thread.
 */
final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    /** A job in a transaction: which of its parts, as of which version; {@code own} false if only parts written ahead. */
    private record Item(Job job, boolean over, boolean done, boolean own, int[] parts, long version, String writeId) {}

    private final Settings settings;
    private final Election election;
    private final StateClient state;
    private final Calls cloud;
    private final Function<String, Calls> workers;
    /** Machines with orders on their way that were sent directly to them. */
    private final Set<String> commanded = new HashSet<>();

    private final DoubleSupplier clockS;
    private final LongSupplier epochMs;
    private final BiConsumer<Runnable, Integer> timer;
    private final Aims aims;
    private final Cluster cluster;
    private final Scaler scaler;
    private final Preemptor preemptor;
    private final FinalStates finals;
    private final Budget writes;
    private final Metrics metrics;
    private final LiveRecords records;
    /** Keys that nothing needs any more, deleted when there is room for it. */
    private final ArrayDeque<String> orphans = new ArrayDeque<>();
    /** Keys of {@link #orphans} in the transaction on its way. */
    private int orphansInFlight;
    /** Whether every controller is durably known to read parts, so that they may be written. */
    private boolean parts;

    private boolean readingVersions;
    private double nextVersionsS;
    /** How many transactions to come hold one job each, to find the one that the state service refuses. */
    private int oneByOne;
    /** Until when reservations are not written, after they were refused. */
    private double reservationsAgainS;

    private boolean loaded;
    private boolean ended;
    private final double beganS;

    private List<Item> inFlight;
    private Change change;
    private boolean waiting;
    private boolean unknown;
    private double retryAtS;
    private long writeCounter;
    private Map<String, List<Reservation>> reservationsWritten = new HashMap<>();
    private Map<String, List<Reservation>> reservationsInFlight;
    /** Revisions of the stored reservations. */
    private final Map<String, Long> reservationStamps = new HashMap<>();

    private final ArrayDeque<Rental> rentals = new ArrayDeque<>();
    private int renting;
    /** Whether the cloud's interface refused the last request, whatever it was for. */
    private boolean cloudTrouble;

    private boolean rentLater;
    private double rentAgainS;
    private final Budget cloudCalls;
    private boolean returning;
    private boolean listing;
    private boolean listed;
    private double nextRoundS;
    private double lastRoundS;
    /** Whether somebody waits for the next round by the second. */
    private boolean roundWanted;

    private double nextListS;
    private double nextCatalogueS;
    private double nextFlushS;
    private double nextImagesS;
    private Map<String, Object> imagesWritten = Map.of();

    Leader(
            Settings settings,
            Operators operators,
            Election election,
            StateClient state,
            Calls cloud,
            Function<String, Calls> workers,
            DoubleSupplier clockS,
            LongSupplier epochMs,
            BiConsumer<Runnable, Integer> timer,
            Aims aims,
            Collection<MachineType> types,
            FinalStates finals,
            Metrics metrics) {
        this.settings = settings;
        this.election = election;
        this.state = state;
        this.cloud = cloud;
        this.workers = workers;
        this.clockS = clockS;
        this.epochMs = epochMs;
        this.timer = timer;
        this.aims = aims;
        this.finals = finals;
        this.metrics = metrics;
        cluster = new Cluster(election.token(), settings.leaseS(), settings.teams());
        cluster.catalogue(types);
        cluster.valueLimit(settings.valueKb());
        scaler = new Scaler(
                cluster, aims, settings.leaseS(), settings.reportS(), operators.idleKeepS(), operators.spotRisk());
        preemptor = new Preemptor(cluster);
        double w = settings.stateWriteRps() * Constants.LEADER_WRITE_SHARE;
        writes = new Budget(w, w);
        cloudCalls = new Budget(
                settings.cloudRps() * Constants.RENT_CALL_SHARE,
                settings.cloudRps() * Constants.RENT_CALL_SHARE * Constants.CLOUD_BURST_S);
        beganS = clockS.getAsDouble();
        cluster.woke(beganS); // who was silent before was not silent to us
        records = new LiveRecords(state, clockS, timer, new Term());
        records.start();
    }

    /** Seconds since this term began. */
    double termS() {
        return clockS.getAsDouble() - beganS;
    }

    /** Machines that have been heard of and are not known to be gone. */
    int machinesUp() {
        int n = 0;
        for (Machine m : cluster.machines.values()) {
            if (m.up && !m.unlisted) {
                n++;
            }
        }
        return n;
    }

    Cluster cluster() {
        return cluster;
    }

    boolean loaded() {
        return loaded;
    }

    void end() {
        ended = true;
    }

    // ---- records ----------------------------------------------------------------------------------------------

    private final class Term implements LiveRecords.Term {
        @Override
        public boolean knows(String id) {
            return cluster.jobs.containsKey(id);
        }

        @Override
        public void adopt(Job j, double now) {
            // Counted from its submission, or every change of leader would start its wait anew.
            j.seenS = now - Math.max(0, (epochMs.getAsLong() - j.spec.submittedMs()) / 1000.0);
            cluster.load(j, now);
            roundWanted |= j.spec.gang() || j.spec.service() || j.spec.need().gpus() > 0;
            if (j.cancelled && cluster.jobs.get(j.spec.id()) == j) {
                j.cancelled = false;
                cluster.cancelled(j, now);
            }
        }

        @Override
        public void changed(String id, Map<String, Object> v, long stamp, double now) {
            Job j = cluster.jobs.get(id);
            if (stamp <= j.stamp) {
                return;
            }
            String w = Fields.str(v, "w", "");
            if (inFlight != null) {
                for (Item i : inFlight) {
                    if (i.job == j && i.own && i.writeId.equals(w)) {
                        persisted(i, stamp);
                    }
                }
            }
            if (!w.equals(j.writeId)) {
                // Only a newer leader writes records, so this term is over; it went on watching while it was not
                // served.
                LOG.info("deposed: record of {} was written by another leader", id);
                election.depose();
                ended = true;
                return;
            }
            j.stamp = stamp;
            if (Fields.bool(v, "x")) {
                cancelled(id);
            }
        }

        @Override
        public void orphan(String key) {
            orphans.add(key);
        }

        @Override
        public void reservations(Map<String, List<Reservation>> byJob, Map<String, Long> stamps) {
            byJob.forEach((id, l) -> {
                reservationsWritten.put(id, l);
                if (cluster.jobs.containsKey(id)) {
                    cluster.reservations.put(id, l);
                }
            });
            reservationStamps.putAll(stamps);
        }

        @Override
        public void images(Map<String, Object> v) {
            imagesWritten = v;
            for (Map.Entry<String, Object> e : v.entrySet()) {
                if (e.getValue() instanceof List<?> l) {
                    cluster.expectImages(
                            e.getKey(), l.stream().map(String::valueOf).toList());
                }
            }
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
            Job j = cluster.jobs.get(id);
            if (!j.cancelled) {
                cluster.cancelled(j, clockS.getAsDouble());
            }
        }

        @Override
        public boolean ended() {
            return ended;
        }
    }

    private void later(Runnable r, int ms) {
        timer.accept(
                () -> {
                    if (!ended) {
                        r.run();
                    }
                },
                ms);
    }

    private void persisted(Item i, long stamp) {
        Job j = i.job;
        if (i.over) {
            over(j, true, i.done, stamp);
            return;
        }
        if (!i.own) {
            j.staged(i.parts, i.version);
            return;
        }
        j.stamp = Math.max(j.stamp, stamp);
        j.writeId = i.writeId;
        j.persisted(i.parts, i.version);
        if (!j.dirty()) {
            j.dirtySinceS = Double.NaN;
            j.urgent = false;
        } else {
            j.dirtySinceS = clockS.getAsDouble();
        }
    }

    /** The job has moved to the finished ones; {@code told} whether its outcome is known. */
    private void over(Job j, boolean told, boolean done, long stamp) {
        for (int p = 1; p < j.parts(); p++) {
            orphans.add(RecordCodec.partKey(j.spec.id(), p));
        }
        j.leftover.stream().forEach(p -> orphans.add(RecordCodec.partKey(j.spec.id(), p)));
        cluster.finished(j, stamp);
        if (!told) {
            return;
        }
        finals.put(j.spec.id(), done, j.spec.tasks());
        metrics.finished(done);
    }

    // ---- workers ----------------------------------------------------------------------------------------------

    /**
     * Whether workers' leases may be renewed: not after a cancelled task might be kept alive by that. A term that has not
     * read the records knows of no cancellation, however old, and so may renew nothing.
     */
    boolean mayRenew(double nowS) {
        return nowS
                < records.knownUntilS()
                        + settings.cancelS()
                        - settings.leaseS() * (1 + Constants.DRIFT)
                        - Constants.CANCEL_MARGIN_S;
    }

    LiveRecords records() {
        return records;
    }

    /** Whether this worker must go without an answer, so that its lease runs out. */
    boolean unanswerable(String machine) {
        return cluster.unanswerable(machine, clockS.getAsDouble());
    }

    /** Orders for a worker, or null if we are deposed. */
    List<Order> report(Report r) {
        double now = clockS.getAsDouble();
        return cluster.report(r, election.proven(now), now);
    }

    // ---- the clock --------------------------------------------------------------------------------------------

    void tick() {
        if (ended || !loaded) {
            return;
        }
        double now = clockS.getAsDouble();
        if (!parts && now >= nextVersionsS && !readingVersions) {
            versions(now);
        }
        if (now >= nextCatalogueS) {
            catalogue(now);
        }
        if (now >= nextListS && !listing) {
            list(now, null, new ArrayList<>());
        }
        if (cluster.roomCameFree()) {
            roundWanted = true;
        }
        boolean early = roundWanted && now >= lastRoundS + Constants.EARLY_ROUND_MS / 1000.0;
        if (now >= nextRoundS || early) {
            roundWanted = false;
            lastRoundS = now;
            if (early) {
                nextRoundS = now + Constants.ROUND_MS / 1000.0;
            } else {
                nextRoundS = Math.max(nextRoundS + Constants.ROUND_MS / 1000.0, now + Constants.ROUND_MS / 2000.0);
            }
            round(now);
            if (early) {
                nextFlushS = 0;
            }
        }
        sendDirectCommands(now);
        if (now >= nextImagesS) {
            nextImagesS = now + Constants.IMAGES_MS / 1000.0;
            writeImages(now);
        }
        if (now >= nextFlushS) {
            nextFlushS = now + Constants.FLUSH_MS / 1000.0;
            flush(now);
        }
    }

    /** Sends what must not wait for a machine's next report directly to its worker. */
    private void sendDirectCommands(double now) {
        // Stops of cancelled jobs leave without a proof of leading, too: no write to a state service that does not
        // serve
        // us may be waited for, and a later leader's worker refuses them by their token.
        boolean proven = election.proven(now);
        for (Machine m : cluster.machines.values()) {
            if (m.placed.isEmpty() || commanded.contains(m.name)) {
                continue;
            }
            if (commanded.size() >= Constants.COMMANDS_MOST) {
                return;
            }
            List<Order> orders = cluster.urgent(m, proven, commanded.size() < Constants.COMMANDS_ORDINARY, now);
            if (orders.isEmpty()) {
                continue;
            }
            commanded.add(m.name);
            long session = m.session;
            workers.apply(m.address)
                    .call(
                            Methods.POST,
                            "/commands",
                            AgentCodec.command(cluster.token(), session, orders),
                            Constants.COMMAND_TIMEOUT_MS,
                            a -> {
                                commanded.remove(m.name);
                                if (!ended) {
                                    commandsAnswered(m, session, orders, a);
                                }
                            });
        }
    }

    private void commandsAnswered(Machine m, long session, List<Order> orders, Http.Answer a) {
        Report r = a.status() == 200 || a.status() == 409 ? AgentCodec.report(a.body()) : null;
        if (r != null && r.token() > cluster.token()) {
            LOG.info("deposed: {} knows token {}", m.name, r.token());
            election.depose();
        } else if (a.status() == 200) {
            if (r != null) {
                cluster.carriedOut(m, r, orders, clockS.getAsDouble());
            }
        } else if (a.status() == 409 || a.status() == 400 || !a.sent()) {
            cluster.refused(m, session, orders);
        }
        // Anything else may take effect yet: the starts stay at large.
    }

    /**
     * Whether every controller that the settings name runs code that reads parts, by what each has written itself. Not
     * by what a peer says: only what is durable still holds for the next leader.
     */
    private void versions(double now) {
        readingVersions = true;
        nextVersionsS = now + Constants.VERSIONS_MS / 1000.0;
        state.list(RecordCodec.VERSIONS, null, a -> {
            readingVersions = false;
            if (ended || a.status() != 200) {
                return;
            }
            Set<String> reads = new HashSet<>();
            for (Object o : Fields.list(a.body(), "rows")) {
                Map<String, Object> r = Fields.map(o);
                if (Fields.num(Fields.map(r.get("v")), "layout", 1) >= RecordCodec.LAYOUT) {
                    reads.add(Fields.str(r, "k").substring(RecordCodec.VERSIONS.length()));
                }
            }
            if (!reads.contains(settings.label())) {
                return;
            }
            for (Settings.Peer p : settings.others()) {
                if (!reads.contains(p.label())) {
                    return;
                }
            }
            LOG.info("every controller reads parts of records; they are written from now on");
            parts = true;
            cluster.partsAllowed();
            double at = clockS.getAsDouble();
            // What may be larger than the limits to come is written anew while it need not be in a roundWanted.
            for (Job j : cluster.jobs.values()) {
                if (mustSplit(j)) {
                    j.touch(at, false);
                }
            }
        });
    }

    private int valueChars() {
        return (int) (settings.leastValueKb() * 1024 * Constants.VALUE_FILL);
    }

    private boolean mustSplit(Job j) {
        return parts && !j.split() && j.spec.tasks() > layout(j).own();
    }

    private RecordCodec.Layout layout(Job j) {
        return RecordCodec.layout(j.written, valueChars(), cluster.longestName());
    }

    private void writeImages(double now) {
        Map<String, Object> v = RecordCodec.images(cluster.machines.values(), valueChars());
        if (v.equals(imagesWritten) || !election.proven(now) || !writes.take(now, 1)) {
            return;
        }
        state.commit(new Change().guard(RecordCodec.LEADER, cluster.token()).put(RecordCodec.IMAGES, v), a -> {
            if (a.status() == 200) {
                imagesWritten = v;
            }
        });
    }

    private void round(double now) {
        // Judging by silence needs a lease: otherwise another leader may be keeping the machines alive.
        if (!election.proven(now)) {
            return;
        }
        cluster.expireLeases(now);
        cluster.reviewStandbys(now);
        scaler.drain(now);
        double epochS = epochMs.getAsLong() / 1000.0;
        ReplicaTimes times = new ReplicaTimes(j -> aims.withinS(j.spec, 0), now);
        Allocator round =
                new Allocator(cluster, j -> aims.orderKey(j.spec, j.open(), cluster.expectedS(j), epochS), times, now);
        int placed = round.round();
        metrics.placed(placed);
        List<Job> unplaced = new ArrayList<>();
        for (Job j : cluster.jobs.values()) {
            if (!j.cancelled && j.open() > 0) {
                unplaced.add(j);
            }
        }
        unplaced.sort(Comparator.comparing((Job j) -> j.spec.urgency())
                .reversed()
                .thenComparingDouble(j -> aims.dueEpochS(j.spec, j.spec.expectedS())));
        preemptor.round(unplaced, round.nodes(), round.usage(), times, now);
        if (now < rentAgainS) {
            rentals.clear();
        }
        // Until the first list a new leader does not know of the idle machines, and would rent them all again.
        if (listed && rentals.isEmpty() && renting == 0 && now >= rentAgainS) {
            rentals.addAll(scaler.rentals(now, epochS));
            rent();
        }
        if (!returning) {
            release(scaler.returns(now, epochS));
        }
        log(cluster.takeEvents());
        metrics.reserved(cluster.reservations.size());
        metrics.fleet(cluster.status(now));
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

    // ---- flush ------------------------------------------------------------------------------------------------

    private void flush(double now) {
        if (waiting || now < retryAtS) {
            return;
        }
        if (change != null) {
            send();
            return;
        }
        if (!election.proven(now)) {
            return;
        }
        int room = (int) Math.min(settings.txnOps(), Math.floor(writes.level(now) + 1e-9));
        if (room < 1) {
            return;
        }
        Change c = new Change().guard(RecordCodec.LEADER, cluster.token());
        List<Item> items = new ArrayList<>();
        int bytes = 0;
        List<Job> dirty = new ArrayList<>();
        for (Job j : cluster.jobs.values()) {
            if (j.over() && !j.dirty()) {
                j.touch(now, true);
            }
            if (now < refusedUntil.getOrDefault(j.spec.id(), 0.0)) {
                continue;
            }
            if (j.dirty() && (j.urgent || now - j.dirtySinceS > Constants.LAZY_FLUSH_MS / 1000.0)) {
                dirty.add(j);
            }
        }
        dirty.sort(Comparator.comparing((Job j) -> !j.spec.service())
                .thenComparing(j -> !j.over())
                .thenComparing(j -> !j.urgent)
                .thenComparingDouble(j -> j.dirtySinceS));
        boolean alone = oneByOne > 0;
        int used = alone && !dirty.isEmpty() || now < reservationsAgainS ? 0 : reservations(c, room);
        for (Job j : dirty) {
            boolean over = j.over();
            // At least one part with the job's own record, or a job of many parts would be put off for ever.
            int cost = over || j.partsToWrite(1).length > 0 ? 2 : 1;
            if (used + cost > room) {
                if (used > 0) {
                    break;
                }
                if (settings.txnOps() >= cost) {
                    return; // wait until the budget covers it
                }
            }
            String key = RecordCodec.LIVE + j.spec.id();
            String writeId = cluster.token() + "." + ++writeCounter;
            c.guard(key, j.stamp);
            if (over) {
                c.delete(key);
                c.put(RecordCodec.FINAL + j.spec.id(), RecordCodec.over(j.endsAsDone(), j.spec.tasks()));
                items.add(new Item(j, true, j.endsAsDone(), true, new int[0], j.version, writeId));
                used += cost;
            } else {
                if (mustSplit(j)) {
                    split(j, now);
                }
                int[] all = j.partsToWrite(room - used + 1);
                // The record that says that there are parts is written last: until then the old one, which nothing
                // replaces, holds all that is durable, and what is written ahead counts for nothing.
                boolean own = !j.switching() || all.length < room - used;
                int[] some = Arrays.copyOf(all, Math.min(all.length, room - used - (own ? 1 : 0)));
                if (own) {
                    Map<String, Object> v = RecordCodec.job(j, writeId);
                    c.put(key, v);
                    bytes += Json.length(v) + 200;
                }
                for (int p : some) {
                    Map<String, Object> v = RecordCodec.part(j, p);
                    c.put(RecordCodec.partKey(j.spec.id(), p), v);
                    bytes += Json.length(v) + 200;
                }
                items.add(new Item(j, false, false, own, some, j.version, writeId));
                used += some.length + (own ? 1 : 0);
            }
            if (alone || used >= room || bytes > Constants.TXN_BYTES) {
                break;
            }
        }
        if (alone) {
            oneByOne--;
        }
        orphansInFlight = 0;
        for (String k : orphans) {
            if (alone || used >= room || orphansInFlight >= Constants.ORPHANS_MOST) {
                break;
            }
            c.delete(k);
            orphansInFlight++;
            used++;
        }
        if (used == 0) {
            return;
        }
        writes.take(now, used);
        inFlight = items;
        change = c;
        unknown = false;
        send();
    }

    /** From now on the job is stored in parts. */
    private void split(Job j, double now) {
        if (!RecordCodec.fits(j.written, valueChars())) {
            j.written = j.written.narrowed(typeNames());
        }
        RecordCodec.Layout l = layout(j);
        j.split(l.own(), l.per(), now);
    }

    private Set<String> typeNames() {
        Set<String> names = new HashSet<>();
        for (MachineType t : cluster.types()) {
            names.add(t.name());
        }
        return names;
    }

    private int reservations(Change c, int room) {
        int used = 0;
        reservationsInFlight = null;
        if (cluster.reservations.equals(reservationsWritten)) {
            return 0;
        }
        Map<String, List<Reservation>> next = new HashMap<>(reservationsWritten);
        for (Map.Entry<String, List<Reservation>> e : cluster.reservations.entrySet()) {
            if (used >= room || e.getValue().equals(next.get(e.getKey()))) {
                continue;
            }
            Job j = cluster.jobs.get(e.getKey());
            if (j == null) {
                continue;
            }
            guardReservation(c, e.getKey());
            c.guard(RecordCodec.LIVE + e.getKey(), j.stamp);
            c.put(RecordCodec.RESERVED + e.getKey(), RecordCodec.reservations(e.getValue(), valueChars()));
            next.put(e.getKey(), e.getValue());
            used++;
        }
        for (String id : new ArrayList<>(next.keySet())) {
            if (used >= room || cluster.reservations.containsKey(id)) {
                continue;
            }
            guardReservation(c, id);
            c.delete(RecordCodec.RESERVED + id);
            next.remove(id);
            used++;
        }
        reservationsInFlight = next;
        return used;
    }

    /**
     * The leader key alone would let a change that is carried out late replace a newer one of the same term. As the key
     * comes and goes, a put is guarded by the job's record too, which moves on when the job is placed.
     */
    private void guardReservation(Change c, String id) {
        c.guard(RecordCodec.RESERVED + id, reservationStamps.getOrDefault(id, 0L));
    }

    /** After a failed condition: what is stored is read anew, as the failed change may have been carried out before. */
    private void rereadReservations(Runnable then) {
        state.list(RecordCodec.RESERVED, null, a -> {
            if (ended) {
                return;
            }
            if (a.status() != 200) {
                later(() -> rereadReservations(then), 300);
                return;
            }
            reservationsWritten = new HashMap<>();
            reservationStamps.clear();
            LiveRecords.reservations(a.body(), (byJob, stamps) -> {
                reservationsWritten.putAll(byJob);
                reservationStamps.putAll(stamps);
            });
            then.run();
        });
    }

    /** The reservations on their way are stored, each that changed as of this revision. */
    private void reserved(long epoch) {
        for (Map.Entry<String, List<Reservation>> e : reservationsInFlight.entrySet()) {
            if (!e.getValue().equals(reservationsWritten.get(e.getKey()))) {
                reservationStamps.put(e.getKey(), epoch);
            }
        }
        reservationStamps.keySet().retainAll(reservationsInFlight.keySet());
        reservationsWritten = reservationsInFlight;
    }

    private void send() {
        waiting = true;
        state.commit(change, a -> {
            waiting = false;
            if (ended) {
                return;
            }
            double now = clockS.getAsDouble();
            switch (a.status()) {
                case 200 -> {
                    long epoch = Fields.num(a.body(), "epoch", 0);
                    for (Item i : inFlight) {
                        // The watch may have shown this write already.
                        if (cluster.jobs.get(i.job.spec.id()) == i.job) {
                            persisted(i, epoch);
                        }
                    }
                    if (reservationsInFlight != null) {
                        reserved(epoch);
                    }
                    for (int k = 0; k < orphansInFlight; k++) {
                        orphans.poll();
                    }
                    settled();
                    nextFlushS = 0;
                }
                case 409 -> {
                    List<Object> failed = Fields.list(a.body(), "failed");
                    if (failed.contains(RecordCodec.LEADER)) {
                        LOG.info("deposed: the leader key has changed");
                        election.depose();
                        return;
                    }
                    waiting = true;
                    ArrayDeque<Item> read = new ArrayDeque<>(inFlight);
                    if (reservationsInFlight == null) {
                        readBack(read);
                    } else {
                        retryAtS = now + Constants.STALE_RESERVATION_S; // the watch shows the jobs' records meanwhile
                        rereadReservations(() -> readBack(read));
                    }
                }
                case 400 -> {
                    LOG.error("state service refused a change of {} jobs: {}", inFlight.size(), a.body());
                    refused(now);
                    if (unknown) { // an earlier copy may have been carried out before the limits were lowered
                        waiting = true;
                        readBack(new ArrayDeque<>(inFlight));
                    } else {
                        settled();
                    }
                }
                case 429, 503 -> {
                    if (!unknown) {
                        settled(); // certainly not executed; what it held is still dirty
                    }
                    retryAtS = now + 0.4;
                }
                default -> {
                    // It may have been executed or yet be: only the same change again gives a definite answer.
                    if (a.sent()) {
                        unknown = true;
                    } else if (!unknown) {
                        settled();
                    }
                    retryAtS = now + 0.3;
                }
            }
        });
    }

    /**
     * A change that the state service will never take: alone, its job is left for a while, so that it keeps no other
     * from being written; of several, each is tried by itself. Only the leader key and the watch tell of a new leader.
     */
    private void refused(double now) {
        retryAtS = now + Constants.REFUSED_CHANGE_PAUSE_S;
        if (inFlight.size() > 1 || !inFlight.isEmpty() && (reservationsInFlight != null || orphansInFlight > 0)) {
            oneByOne = Math.max(oneByOne, inFlight.size());
        } else if (inFlight.size() == 1) {
            Job j = inFlight.get(0).job;
            refusedUntil.put(j.spec.id(), now + Constants.REFUSED_CHANGE_S);
            if (!unknown) {
                cluster.withdraw(j, now + Constants.REFUSED_CHANGE_S);
            }
        } else {
            reservationsAgainS = now + Constants.REFUSED_CHANGE_S;
            orphans.clear(); // found again by the next leader
        }
    }

    private final Map<String, Double> refusedUntil = new HashMap<>();

    private void settled() {
        inFlight = null;
        change = null;
        reservationsInFlight = null;
        unknown = false;
    }

    /** A condition failed: each record tells whether our write is in it (an answer was lost) or a user's abort. */
    private void readBack(ArrayDeque<Item> left) {
        if (left.isEmpty()) {
            waiting = false;
            settled();
            return;
        }
        Item i = left.peek();
        String id = i.job.spec.id();
        state.get(RecordCodec.LIVE + id, Constants.STATE_TIMEOUT_MS, a -> {
            if (ended) {
                return;
            }
            if (a.status() == 200) {
                records.record(
                        id, Fields.map(a.body().get("v")), Fields.num(a.body(), "stamp", 0), clockS.getAsDouble());
                left.poll();
                readBack(left);
            } else if (a.status() == 404) {
                readFinal(left);
            } else {
                later(() -> readBack(left), 300);
            }
        });
    }

    /**
     * The record is gone, so the job is over; how, only its finished record tells. It need not be our own write: if we
     * were not served for a while, another leader may have finished the job with an abort that we have not heard of.
     */
    private void readFinal(ArrayDeque<Item> left) {
        Item i = left.peek();
        String id = i.job.spec.id();
        state.get(RecordCodec.FINAL + id, Constants.STATE_TIMEOUT_MS, a -> {
            if (ended) {
                return;
            }
            if (a.status() != 200 && a.status() != 404) {
                later(() -> readBack(left), 300);
                return;
            }
            if (a.status() == 404) {
                LOG.error("record of {} is gone", id);
            }
            if (cluster.jobs.get(id) == i.job) {
                boolean done =
                        a.status() == 200 && Fields.bool(Fields.map(a.body().get("v")), "done");
                over(
                        i.job,
                        a.status() == 200,
                        done,
                        Fields.num(a.body(), a.status() == 200 ? "stamp" : "epoch", i.job.stamp));
            }
            left.poll();
            readBack(left);
        });
    }

    // ---- cloud ------------------------------------------------------------------------------------------------

    private void catalogue(double now) {
        nextCatalogueS = now + Constants.CATALOGUE_MS / 1000.0;
        cloud.call(Methods.GET, "/flavors", null, Constants.CLOUD_TIMEOUT_MS, a -> {
            if (ended) {
                return;
            }
            if (a.status() != 200) {
                nextCatalogueS = clockS.getAsDouble() + 3;
                return;
            }
            boolean first = cluster.types().isEmpty();
            List<MachineType> types = CloudCodec.catalogue(a.body());
            cluster.catalogue(types);
            Map<String, Object> kept = CloudCodec.catalogue(types);
            // A help for nodes that start while the cloud is down; one too large for a value is not kept.
            if ((first || !catalogueKept)
                    && Json.length(kept) <= valueChars()
                    && writes.take(clockS.getAsDouble(), 1)) {
                state.commit(
                        new Change().guard(RecordCodec.LEADER, cluster.token()).put(RecordCodec.CATALOGUE, kept),
                        b -> catalogueKept = b.status() == 200);
            }
        });
    }

    private boolean catalogueKept;

    private void list(double now, String after, List<org.mountlug.core.scale.Listed> sofar) {
        listing = true;
        nextListS = now + Constants.LIST_MS / 1000.0;
        cloud.call(
                Methods.GET,
                "/hosts?" + (after == null ? "" : "after=" + after + "&") + "page=500",
                null,
                Constants.CLOUD_TIMEOUT_MS,
                a -> {
                    listing = false;
                    if (ended || a.status() != 200) {
                        return;
                    }
                    sofar.addAll(CloudCodec.listed(a.body()));
                    if (CloudCodec.more(a.body()) && !sofar.isEmpty()) {
                        list(now, sofar.get(sofar.size() - 1).name(), sofar);
                        return;
                    }
                    listed = true;
                    List<String> failed = cluster.listed(sofar, settings.listLagS(), clockS.getAsDouble());
                    if (!failed.isEmpty()) {
                        cloud.call(
                                Methods.POST,
                                "/hosts/release",
                                CloudCodec.release(failed),
                                Constants.CLOUD_TIMEOUT_MS,
                                b -> {});
                    }
                });
    }

    private void rent() {
        while (!ended && renting < Constants.RENTALS_OPEN && !rentals.isEmpty()) {
            if (!cloudCalls.take(clockS.getAsDouble(), 1)) {
                if (rentLater) {
                    return;
                }
                rentLater = true;
                later(
                        () -> {
                            rentLater = false;
                            rent();
                        },
                        250);
                return;
            }
            renting++;
            rent(rentals.poll(), 0);
        }
    }

    private void rent(Rental r, int tries) {
        cloud.call(Methods.POST, "/hosts", CloudCodec.rent(r), Constants.CLOUD_TIMEOUT_MS, a -> {
            if (ended) {
                return;
            }
            double now = clockS.getAsDouble();
            if (a.status() == 200) {
                List<String> names = CloudCodec.rented(a.body());
                for (String n : names) {
                    cluster.rented(n, r.type(), r.zone(), r.spot(), now);
                }
                LOG.info("rented {} of {} {}", names.size(), r.count(), r.kind());
                LOG.debug("rented {}", names);
                noteTrouble(false);
                if (names.size() < r.count()) {
                    exhausted(r, now);
                } else if (scaler.served(r)) {
                    LOG.info("{} to be had again", r.kind());
                }
            } else if (a.none() && tries < 3) {
                later(() -> rent(r, tries + 1), 500); // the same name gives the same machines
                return;
            } else if (a.status() == 503 || a.status() == 429) {
                metrics.rentalRefused();
                noteTrouble(!"no capacity".equals(a.body().get("error")));
                if (!"trouble".equals(a.body().get("error")) && a.status() == 503) {
                    exhausted(r, now);
                } else {
                    rentAgainS = now + Constants.CLOUD_TROUBLE_S; // the whole interface is down or we ask too much
                }
            }
            renting--;
            rent();
        });
    }

    /** Notes in the log when the cloud's interface begins to refuse everything, and when that is over. */
    private void noteTrouble(boolean trouble) {
        if (trouble != cloudTrouble) {
            LOG.info(trouble ? "the cloud's interface refuses requests" : "the cloud's interface serves again");
        }
        cloudTrouble = trouble;
    }

    /** There are no more of this kind now, so what else was to be asked of it is not. */
    private void exhausted(Rental r, double now) {
        if (scaler.refused(r, now)) {
            LOG.info("no more {} for now", r.kind());
        }
        rentals.removeIf(x -> x.type().equals(r.type()) && x.zone().equals(r.zone()) && x.spot() == r.spot());
    }

    private void release(List<String> names) {
        if (names.isEmpty()) {
            return;
        }
        returning = true;
        List<String> l = new ArrayList<>(names);
        cloud.call(Methods.POST, "/hosts/release", CloudCodec.release(l), Constants.CLOUD_TIMEOUT_MS, a -> {
            returning = false;
            if (ended || a.status() != 200) {
                return;
            }
            for (String n : l) {
                cluster.machineGone(n, clockS.getAsDouble(), "returned");
            }
        });
    }
}
